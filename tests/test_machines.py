"""The byte-fed machines, the ring and the endings."""

from random import Random

import pytest

from ironhinge.config import EndpointListUpdate, PurgeUpdate
from ironhinge.net import client_wire, discovery_wire, upstream_wire
from ironhinge.net.attempt_end import RESULTS, AttemptEnd
from ironhinge.net.ring_buffer import RingBuffer


def fed(make, data, cuts):
    """What a machine makes of the data, cut at the given places."""
    wire, out, faults = make(), [], []
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        got = wire.feed(memoryview(data)[start:end])
        messages, fault = got if isinstance(got, tuple) else (got, None)
        out += messages
        if fault is not None:
            faults.append(str(fault))
            break
    return out, faults


def same_at_every_cut(make, data):
    whole = fed(make, data, [])
    for cut in range(1, len(data)):
        assert fed(make, data, [cut]) == whole, f"cut at {cut}"
    assert fed(make, data, range(1, len(data))) == whole
    return whole


def req_bytes(stream, fields, body=b""):
    packed = bytes([len(fields)])
    for name, value in fields:
        packed += bytes([len(name)]) + name + len(value).to_bytes(2, "big") + value
    payload = packed + body
    return (len(payload) + 5).to_bytes(4, "big") + b"\7" + stream.to_bytes(4, "big") + payload


def frame_bytes(kind, stream, payload=b""):
    return (len(payload) + 5).to_bytes(4, "big") + bytes([kind]) + stream.to_bytes(4, "big") + payload


def test_clients_frames_are_the_same_at_every_cut():
    data = (
        frame_bytes(1, 0, b"\0")
        + req_bytes(1, [(b"route", b"film"), (b"entity", b"7f3a9c21e0b4d655")], b"body")
        + frame_bytes(9, 1)
        + frame_bytes(6, 4)
        + req_bytes(2, [])
    )
    out, _ = same_at_every_cut(client_wire.ClientWire, data)
    assert out == [
        client_wire.ReadinessQuery(0),
        client_wire.RequestFrame(1, {"route": "film", "entity": "7f3a9c21e0b4d655"}, b"body"),
        client_wire.RequestCancelled(1),
        client_wire.UnknownFrame("type 6 is not one that clients send"),
        client_wire.RequestFrame(2, {}, b""),
    ]


@pytest.mark.parametrize("length", [0, 4, 262_145, 2**32 - 1])
def test_lengths_out_of_bounds_lose_the_framing(length):
    out, _ = same_at_every_cut(
        client_wire.ClientWire, frame_bytes(9, 3) + length.to_bytes(4, "big") + b"x" * 30
    )
    assert (
        out[0] == client_wire.RequestCancelled(3)
        and isinstance(out[1], client_wire.FramingLost)
        and len(out) == 2
    )


@pytest.mark.parametrize(
    "payload, word",
    [
        (b"", "count"),
        (b"\2\1a\0\1b", "cut short"),
        (b"\1\1a\0\5b", "cut short"),
        (b"\1\377", "cut short"),
        (b"\2\1a\0\1b\1a\0\1c", "twice"),
        (b"\1\1a\0\1\377", "not text"),
    ],
)
def test_unreadable_fields_are_named_and_the_framing_holds(payload, word):
    out, _ = fed(client_wire.ClientWire, frame_bytes(7, 5, payload) + frame_bytes(9, 6), [])
    assert isinstance(out[0], client_wire.MalformedRequest) and out[0].stream == 5 and word in out[0].text
    assert out[1] == client_wire.RequestCancelled(6)


def test_generated_answers_round_trip():
    chance = Random(5)
    for _ in range(50):
        fields = {f"n{i}": "v" * chance.randrange(300) for i in range(chance.randrange(4))}
        body = chance.randbytes(chance.choice([0, 1, 70_000]))
        stream, code = chance.randrange(2**32), chance.choice([1, 2, 3])
        data = b"".join(client_wire.answer(stream, code, fields, body))
        assert int.from_bytes(data[:4], "big") == len(data) - 4
        assert (data[4], int.from_bytes(data[5:9], "big"), data[9]) == (8, stream, code)
        read, end = client_wire.read_fields(data[10:])
        assert read == fields and data[10 + end :] == body


def resp(*items):
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items)


def test_nodes_answers_are_the_same_at_every_cut():
    data = (
        resp(b"a1", b"ACK", b"digest=4b,dated=1764576000123,res=f,gauges=inflight:7;util:0.61", b"by\r\ntes")
        + resp(b"a2", b"NOENT", b"-", b"")
        + resp(b"a3", b"NOMOD", b"res=h", b"")
        + resp(b"a4", b"AGAIN", b"-")
        + resp(b"p1", b"AILING", b"gauges=util:1", b"")
    )
    out, faults = same_at_every_cut(upstream_wire.UpstreamWire, data)
    assert not faults and [each.operation_id for each in out] == ["a1", "a2", "a3", "a4", "p1"]
    assert out[0] == upstream_wire.UpstreamAnswer(
        "a1", AttemptEnd.SERVED, 2, {"inflight": 7.0, "util": 0.61}, 1764576000123, True, b"by\r\ntes", "4b"
    )
    assert [each.end for each in out[1:]] == [
        AttemptEnd.MISS,
        AttemptEnd.NOT_MODIFIED,
        AttemptEnd.REJECTED,
        AttemptEnd.UNHEALTHY,
    ]


@pytest.mark.parametrize(
    "bad",
    [
        b"+OK\r\n",
        b"*0\r\n",
        b"*99\r\n",
        b"*4\r\n$300000\r\n",
        b"*4\r\n$x\r\n",
        b"*4\r\n$2\r\nabcd",
        b"*" + b"1" * 40,
        resp(b"a1", b"WHAT", b"-", b""),
        resp(b"a1", b"ACK", b"-"),
        resp(b"a1", b"ACK", b"digest=4b,dated=5,gauges=util:many", b"x"),
        resp(b"a1", b"ACK", b"digest=4b,dated=5,gauges=util:-1", b"x"),
        resp(b"a1", b"ACK", b"digest=4b,dated=5,gauges=util:nan", b"x"),
        resp(b"\377", b"ACK", b"-", b"x"),
    ],
)
def test_answers_that_are_none_are_found_at_every_cut(bad):
    out, faults = same_at_every_cut(upstream_wire.UpstreamWire, resp(b"a0", b"EIO", b"-", b"") + bad)
    assert [each.end for each in out] == [AttemptEnd.ERROR] and len(faults) == 1


def test_long_answers_pass_in_pieces():
    """Guards against looking at the same bytes again and again while a body comes."""
    body = Random(1).randbytes(240_000)
    data = resp(b"a1", b"ACK", b"digest=4b,dated=5", body)
    out, _ = fed(upstream_wire.UpstreamWire, data, range(1000, len(data), 1000))
    assert out[0].body == body


def test_commands_are_arrays_of_bulk_strings():
    assert upstream_wire.want("a1", {"kind": "film", "seg": "3"}, b"\r\n") == resp(
        b"want", b"a1", b"kind=film,seg=3", b"\r\n"
    )
    assert upstream_wire.want("a1", {}, b"") == resp(b"want", b"a1", b"-", b"")
    assert upstream_wire.never_mind("a1") == resp(b"never_mind", b"a1")


def record(name, state=0, weight=1500, started=0):
    return (
        name.to_bytes(4, "big")
        + bytes([10, 1, 0, 9])
        + (7001).to_bytes(2, "big")
        + bytes([state, 2, 1])
        + (3).to_bytes(2, "big")
        + weight.to_bytes(4, "big")
        + started.to_bytes(8, "big")
    )


def event(number, kind, rest=b""):
    payload = number.to_bytes(8, "big") + bytes([kind]) + rest
    return len(payload).to_bytes(4, "big") + payload


def test_the_coordinators_frames_are_the_same_at_every_cut():
    data = (
        event(4, 0)
        + event(5, 1, record(0x00C41F7A) + record(2, 1))
        + event(6, 2, record(3, 2, started=99))
        + event(7, 3, (2**60).to_bytes(8, "big") + (1764576000123).to_bytes(8, "big"))
        + event(8, 4, (17).to_bytes(2, "big") + (5).to_bytes(8, "big"))
    )
    out, faults = same_at_every_cut(discovery_wire.DiscoveryWire, data)
    assert not faults and isinstance(out[0], discovery_wire.Keepalive)
    assert isinstance(out[1], EndpointListUpdate) and out[1].is_full and not out[2].is_full
    row, address, started = out[1].records[0]
    assert (row.id, row.state, row.zone, row.kind, row.cell, row.weight) == (
        "s-00c41f7a",
        "ready",
        2,
        1,
        3,
        1.5,
    )
    assert address == ("10.1.0.9", 7001) and started == 0
    assert out[1].records[1].endpoint.state == "draining" and out[2].records[0].endpoint.state == "gone"
    assert out[2].records[0].started_unix_ms == 99
    assert out[3:] == [PurgeUpdate(7, 2**60, 0, 1764576000123), PurgeUpdate(8, None, 17, 5)]


@pytest.mark.parametrize(
    "bad", [event(9, 7), event(9, 2, b"x" * 26), event(9, 3, b"x"), event(9, 1, record(1, 3)), b"\0\0\0\0"]
)
def test_frames_of_the_coordinator_that_are_none_are_found_at_every_cut(bad):
    out, faults = same_at_every_cut(discovery_wire.DiscoveryWire, event(8, 0) + bad)
    assert len(out) == 1 and len(faults) == 1


def test_the_ring_holds_what_a_plain_queue_of_bytes_holds():
    chance, ring, model = Random(3), RingBuffer(64), b""
    for _ in range(5000):
        data = chance.randbytes(chance.randrange(100))
        if chance.random() < 0.5:
            done = ring.write(memoryview(data))
            assert done == min(len(data), 64 - len(model))
            model += data[:done]
        else:
            room = ring.writable()
            count = min(len(room), len(data))
            room[:count] = data[:count]
            ring.commit_write(count)
            model += data[:count]
        got = bytes(ring.readable())
        assert model.startswith(got) and bool(got) == bool(model) and ring.used == len(model)
        count = chance.randrange(len(got) + 1)
        ring.consume(count)
        model = model[count:]
    with pytest.raises(ValueError):
        ring.consume(65)
    with pytest.raises(ValueError):
        ring.commit_write(65)


def test_only_what_proves_that_nothing_ran_is_told_so():
    proven = {"miss", "full", "unconnected", "cut", "unsent"}
    never_ran = {
        AttemptEnd.MISS,
        AttemptEnd.REJECTED,
        AttemptEnd.EXPIRED,
        AttemptEnd.CONNECTION_REFUSED,
        AttemptEnd.CONNECT_TIMEOUT,
        AttemptEnd.NOT_SENT,
        AttemptEnd.CUT_BEFORE_SEND,
    }
    assert {ending for ending in AttemptEnd if RESULTS[ending] in proven} == never_ran
    assert RESULTS[AttemptEnd.RESET] == RESULTS[AttemptEnd.CLOSED] == "reset"
    assert RESULTS[AttemptEnd.TIMED_OUT] == "timeout" and RESULTS[AttemptEnd.CANCELLED] == "cancelled"
