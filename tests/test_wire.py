"""The adapter on odd and malformed input."""
import io
import json

from ironhinge.wirehost.host import serve


def talk(*batches):
    errors, sink = io.StringIO(), io.BytesIO()
    code = serve(io.BytesIO(b"".join(json.dumps(b).encode() + b"\n" for b in batches)), sink, errors)
    return code, [json.loads(line) for line in sink.getvalue().splitlines()], errors.getvalue()


def test_empty_batches_are_answered():
    code, replies, errors = talk({"wall": 8412250, "seq": 1, "input": []})
    assert (code, replies, errors) == (0, [{"seq": 1, "outbox": []}], "")


def test_malformed_batch_is_named():
    code, replies, errors = talk({"wall": 1, "input": []})
    assert code == 2 and not replies and "batch" in errors and "'seq'" in errors


def test_fault_of_an_instance_is_fatal_and_named():
    code, replies, errors = talk({"wall": 1, "seq": 1, "input": [{"QUERY": {"director": 3, "tid": "a"}}]})
    (fatal,), = [r["outbox"] for r in replies]
    assert code == 0 and fatal["FATAL"]["director"] == 3
    assert "QUERY" in errors and "'budget'" in errors and "Traceback" not in errors
