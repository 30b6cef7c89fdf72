"""The simulator's host on unusual and malformed input."""

import io
import json

import pytest

from ironhinge.wirehost.host import serve


def run_host(*batches):
    """Runs the host on batches; returns its exit code, its replies and its error output."""
    errors, sink = io.StringIO(), io.BytesIO()
    code = serve(io.BytesIO(b"".join(json.dumps(b).encode() + b"\n" for b in batches)), sink, errors)
    return code, [json.loads(line) for line in sink.getvalue().splitlines()], errors.getvalue()


def test_empty_batches_are_answered():
    code, replies, errors = run_host({"wall": 8412250, "seq": 1, "input": []})
    assert (code, replies, errors) == (0, [{"seq": 1, "outbox": []}], "")


def test_a_malformed_batch_ends_the_host_and_names_the_field():
    code, replies, errors = run_host({"wall": 1, "input": []})
    assert code == 2
    assert not replies
    assert "batch" in errors
    assert "'seq'" in errors


def test_a_malformed_event_is_fatal_to_its_instance_and_the_field_is_named():
    code, replies, errors = run_host({"wall": 1, "seq": 1, "input": [{"QUERY": {"director": 3, "tid": "a"}}]})
    ((fatal,),) = [r["outbox"] for r in replies]
    assert code == 0
    assert fatal["FATAL"]["director"] == 3
    assert "QUERY" in errors
    assert "'budget'" in errors
    assert "Traceback" not in errors


SETTINGS = {
    "classes": [{"aim": 300000, "deadline": 2500000, "semantics": "repeatable"}],
    "extra": {"store-kind": 1},
    "policy-limits": {"max-attempts": 4},
    "unknown-key": [1, 2],
}


def batch_with_instance(*events):
    """Returns a batch that starts an instance with an endpoint list and then has the given events."""
    rows = [{"node": name, "state": "active", "family-type": kind} for name, kind in (("a:1", 0), ("o:1", 1))]
    return {
        "wall": 1000050,
        "seq": 1,
        "input": [
            {"SPAWN": {"director": 0, "seed": 5, "settings": SETTINGS}},
            {"MANIFEST": {"list": 0, "rows": rows}},
            {"MEMBERSHIP": {"director": 0, "scope": "restored", "serial": 1, "list": 0}},
            *events,
        ],
    }


def query(tid):
    return {"QUERY": {"director": 0, "tid": tid, "budget": 2000000, "unknown-field": True}}


def test_unknown_events_and_fields_and_absent_fields_are_accepted():
    code, (reply,), errors = run_host(batch_with_instance(query("q"), {"COMET": {"director": 0}}))
    ((name, body),) = reply["outbox"][0].items()
    assert code == 0
    assert name == "ANSWER_FROM"
    assert body["node"] == "a:1"
    assert body["supplier"] == "o:1"
    assert 1000050 < body["try-until"] <= 3000000
    assert "COMET" in errors


def test_list_numbers_are_resolved_in_the_order_of_events():
    rows = [{"node": "b:1", "state": "active"}, {"node": "o:1", "state": "active", "family-type": 1}]
    second_list = [
        {"MANIFEST": {"list": 0, "rows": rows}},
        {"MEMBERSHIP": {"director": 0, "scope": "replace", "list": 0}},
    ]
    _, (reply,), _ = run_host(batch_with_instance(query("q"), *second_list, query("r")))
    assert [act["ANSWER_FROM"]["node"] for act in reply["outbox"]] == ["a:1", "b:1"]


@pytest.mark.parametrize(
    ("event", "field"),
    [
        ({"QUERY": {"director": 0, "tid": 7, "budget": 5}}, "tid"),
        ({"QUERY": {"director": 0, "tid": "q", "budget": True}}, "budget"),
        ({"QUERY": {"director": 0, "tid": "q", "budget": 5, "cls": 1}}, "cls"),
        ({"QUERY": {"director": 9, "tid": "q", "budget": 5}}, "director"),
        ({"REPORT_BACK": {"director": 0, "tid": "q", "node": "a:1", "reason": "Z"}}, "reason"),
        ({"REPORT_BACK": {"director": 0, "tid": "q", "node": "a:1", "reason": "S", "stats": ["x"]}}, "stats"),
        ({"MEMBERSHIP": {"director": 0, "scope": "update", "list": 7}}, "list"),
        ({"FROM_PEER": {"director": 0, "who": 1, "bytes": "?"}}, "bytes"),
        ({"INVALIDATED": {"director": 0, "age": -1}}, "age"),
    ],
)
def test_malformed_fields_are_named(event, field):
    _, (reply,), errors = run_host(batch_with_instance(event))
    assert "FATAL" in reply["outbox"][-1]
    assert next(iter(event)) in errors
    assert f"'{field}'" in errors
    assert "Traceback" not in errors
