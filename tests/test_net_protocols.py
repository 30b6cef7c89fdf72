"""The protocols of `ironhinge.net` with its incremental decoders, its ring buffer, and attempt ends."""

from random import Random

import pytest

from ironhinge.config import EndpointListUpdate, PurgeUpdate
from ironhinge.net import client_wire, discovery_wire, upstream_wire
from ironhinge.net.attempt_end import RESULTS, AttemptEnd
from ironhinge.net.errors import FieldError, NetworkError, RingBufferError, UnparsableError
from ironhinge.net.ring_buffer import RingBuffer


def decode(make_wire, data, cuts):
    """Feeds data to a decoder in pieces, cut at the given offsets; returns its messages and error texts."""
    wire, messages, errors = make_wire(), [], []
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        result = wire.feed(memoryview(data)[start:end])
        found, error = result if isinstance(result, tuple) else (result, None)
        messages += found
        if error is not None:
            errors.append(str(error))
            break
    return messages, errors


def decode_at_every_cut(make_wire, data):
    """Checks that data decodes equally whole, in two pieces and byte by byte; returns the result."""
    whole = decode(make_wire, data, [])
    for cut in range(1, len(data)):
        assert decode(make_wire, data, [cut]) == whole, f"cut at {cut}"
    assert decode(make_wire, data, range(1, len(data))) == whole
    return whole


def request_bytes(stream, fields, body=b""):
    packed = bytes([len(fields)])
    for name, value in fields:
        packed += bytes([len(name)]) + name + len(value).to_bytes(2, "big") + value
    payload = packed + body
    return (len(payload) + 5).to_bytes(4, "big") + b"\7" + stream.to_bytes(4, "big") + payload


def frame_bytes(kind, stream, payload=b""):
    return (len(payload) + 5).to_bytes(4, "big") + bytes([kind]) + stream.to_bytes(4, "big") + payload


def test_client_frames_decode_equally_at_every_cut():
    data = (
        frame_bytes(1, 0, b"\0")
        + request_bytes(1, [(b"route", b"film"), (b"entity", b"7f3a9c21e0b4d655")], b"body")
        + frame_bytes(9, 1)
        + frame_bytes(6, 4)
        + request_bytes(2, [])
    )
    out, _ = decode_at_every_cut(client_wire.ClientWire, data)
    assert out == [
        client_wire.ReadinessQuery(0),
        client_wire.RequestFrame(1, {"route": "film", "entity": "7f3a9c21e0b4d655"}, b"body"),
        client_wire.RequestCancelled(1),
        client_wire.UnknownFrame("type 6 is not one that clients send"),
        client_wire.RequestFrame(2, {}, b""),
    ]


@pytest.mark.parametrize("length", [0, 4, 262_145, 2**32 - 1])
def test_frame_lengths_out_of_bounds_lose_the_framing(length):
    out, _ = decode_at_every_cut(
        client_wire.ClientWire, frame_bytes(9, 3) + length.to_bytes(4, "big") + b"x" * 30
    )
    assert out[0] == client_wire.RequestCancelled(3)
    assert isinstance(out[1], client_wire.FramingLost)
    assert len(out) == 2


@pytest.mark.parametrize(
    ("payload", "expected_text"),
    [
        (b"", "count"),
        (b"\2\1a\0\1b", "cut short"),
        (b"\1\1a\0\5b", "cut short"),
        (b"\1\377", "cut short"),
        (b"\2\1a\0\1b\1a\0\1c", "twice"),
        (b"\1\1a\0\1\377", "not text"),
    ],
)
def test_malformed_requests_are_reported_and_the_next_frame_is_decoded(payload, expected_text):
    out, _ = decode(client_wire.ClientWire, frame_bytes(7, 5, payload) + frame_bytes(9, 6), [])
    assert isinstance(out[0], client_wire.MalformedRequest)
    assert out[0].stream == 5
    assert expected_text in out[0].text
    assert out[1] == client_wire.RequestCancelled(6)


@pytest.mark.parametrize(
    ("read", "fields", "text"),
    [
        (client_wire.text_of, {}, "field 'x' is missing"),
        (client_wire.number_of, {}, "field 'x' is missing"),
        (client_wire.number_of, {"x": "-1"}, "field 'x' is not a number"),
        (client_wire.count_of, {"x": "1.5"}, "field 'x' is not a whole number"),
        (lambda fields, name: client_wire.count_of(fields, name, 7), {"x": "8"}, "field 'x' is over 7"),
        (client_wire.hex_id_of, {"x": "7f3a"}, "field 'x' is not 16 hex digits"),
        (client_wire.tag_of, {"x": "?"}, "field 'x' is not a tag"),
    ],
)
def test_field_errors_name_the_field_and_what_was_expected(read, fields, text):
    with pytest.raises(FieldError, match=f"^{text}$") as caught:
        read(fields, "x")
    assert isinstance(caught.value, NetworkError)
    assert isinstance(caught.value, ValueError)


def test_absent_fields_have_defaults():
    assert client_wire.number_of({}, "x", 2.5) == 2.5
    assert client_wire.count_of({}, "x") == 0
    assert client_wire.tag_of({}, "x") == ""


def test_generated_answers_round_trip():
    generator = Random(5)
    for _ in range(50):
        fields = {f"n{i}": "v" * generator.randrange(300) for i in range(generator.randrange(4))}
        body = generator.randbytes(generator.choice([0, 1, 70_000]))
        stream, code = generator.randrange(2**32), generator.choice([1, 2, 3])
        data = b"".join(client_wire.answer(stream, code, fields, body))
        assert int.from_bytes(data[:4], "big") == len(data) - 4
        assert (data[4], int.from_bytes(data[5:9], "big"), data[9]) == (8, stream, code)
        read, end = client_wire.read_fields(data[10:])
        assert read == fields
        assert data[10 + end :] == body


def resp_array(*items):
    """Encodes items as a RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items)


def test_upstream_answers_decode_equally_at_every_cut():
    data = (
        resp_array(
            b"a1", b"ACK", b"digest=4b,dated=1764576000123,res=f,gauges=inflight:7;util:0.61", b"by\r\ntes"
        )
        + resp_array(b"a2", b"NOENT", b"-", b"")
        + resp_array(b"a3", b"NOMOD", b"res=h", b"")
        + resp_array(b"a4", b"AGAIN", b"-")
        + resp_array(b"p1", b"AILING", b"gauges=util:1", b"")
    )
    out, errors = decode_at_every_cut(upstream_wire.UpstreamWire, data)
    assert not errors
    assert [answer.operation_id for answer in out] == ["a1", "a2", "a3", "a4", "p1"]
    assert out[0] == upstream_wire.UpstreamAnswer(
        "a1", AttemptEnd.SERVED, 2, {"inflight": 7.0, "util": 0.61}, 1764576000123, True, b"by\r\ntes", "4b"
    )
    assert [answer.end for answer in out[1:]] == [
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
        resp_array(b"a1", b"WHAT", b"-", b""),
        resp_array(b"a1", b"ACK", b"-"),
        resp_array(b"a1", b"ACK", b"digest=4b,dated=5,gauges=util:many", b"x"),
        resp_array(b"a1", b"ACK", b"digest=4b,dated=5,gauges=util:-1", b"x"),
        resp_array(b"a1", b"ACK", b"digest=4b,dated=5,gauges=util:nan", b"x"),
        resp_array(b"\377", b"ACK", b"-", b"x"),
    ],
)
def test_unparsable_answers_are_detected_at_every_cut(bad):
    out, errors = decode_at_every_cut(upstream_wire.UpstreamWire, resp_array(b"a0", b"EIO", b"-", b"") + bad)
    assert [answer.end for answer in out] == [AttemptEnd.ERROR]
    assert len(errors) == 1


def test_long_answers_decode_in_pieces():
    """A body that arrives in pieces must not be scanned from its start with each piece."""
    body = Random(1).randbytes(240_000)
    data = resp_array(b"a1", b"ACK", b"digest=4b,dated=5", body)
    out, _ = decode(upstream_wire.UpstreamWire, data, range(1000, len(data), 1000))
    assert out[0].body == body


def test_commands_are_arrays_of_bulk_strings():
    for body in (b"\r\n", bytes(1024), bytes(1025), bytes(240_000)):
        pieces = upstream_wire.encode_request("a1", {"kind": "film", "seg": "3"}, body)
        assert b"".join(pieces) == resp_array(b"want", b"a1", b"kind=film,seg=3", body)
    assert b"".join(upstream_wire.encode_request("a1", {}, b"")) == resp_array(b"want", b"a1", b"-", b"")
    assert upstream_wire.encode_cancel("a1") == resp_array(b"never_mind", b"a1")
    assert upstream_wire.encode_health_check("p1") == resp_array(b"busy", b"p1")


def endpoint_record(name, state=0, weight=1500, started=0):
    """Encodes an endpoint as in an endpoint list of the discovery service."""
    return (
        name.to_bytes(4, "big")
        + bytes([10, 1, 0, 9])
        + (7001).to_bytes(2, "big")
        + bytes([state, 2, 1])
        + (3).to_bytes(2, "big")
        + weight.to_bytes(4, "big")
        + started.to_bytes(8, "big")
    )


def discovery_frame(number, kind, rest=b""):
    """Encodes an update of the discovery service."""
    payload = number.to_bytes(8, "big") + bytes([kind]) + rest
    return len(payload).to_bytes(4, "big") + payload


def test_discovery_frames_decode_equally_at_every_cut():
    data = (
        discovery_frame(4, 0)
        + discovery_frame(5, 1, endpoint_record(0x00C41F7A) + endpoint_record(2, 1))
        + discovery_frame(6, 2, endpoint_record(3, 2, started=99))
        + discovery_frame(7, 3, (2**60).to_bytes(8, "big") + (1764576000123).to_bytes(8, "big"))
        + discovery_frame(8, 4, (17).to_bytes(2, "big") + (5).to_bytes(8, "big"))
    )
    out, errors = decode_at_every_cut(discovery_wire.DiscoveryWire, data)
    assert not errors
    assert isinstance(out[0], discovery_wire.Keepalive)
    assert isinstance(out[1], EndpointListUpdate)
    assert out[1].is_full
    assert not out[2].is_full
    row, address, started = out[1].records[0]
    assert (row.id, row.state, row.zone, row.kind, row.cell, row.weight) == (
        "s-00c41f7a",
        "ready",
        2,
        1,
        3,
        1.5,
    )
    assert address == ("10.1.0.9", 7001)
    assert started == 0
    assert out[1].records[1].endpoint.state == "draining"
    assert out[2].records[0].endpoint.state == "gone"
    assert out[2].records[0].started_unix_ms == 99
    assert out[3:] == [PurgeUpdate(7, 2**60, 0, 1764576000123), PurgeUpdate(8, None, 17, 5)]


@pytest.mark.parametrize(
    "bad",
    [
        discovery_frame(9, 7),
        discovery_frame(9, 2, b"x" * 26),
        discovery_frame(9, 3, b"x"),
        discovery_frame(9, 1, endpoint_record(1, 3)),
        b"\0\0\0\0",
    ],
)
def test_unparsable_discovery_frames_are_detected_at_every_cut(bad):
    out, errors = decode_at_every_cut(discovery_wire.DiscoveryWire, discovery_frame(8, 0) + bad)
    assert len(out) == 1
    assert len(errors) == 1


def test_unparsable_input_raises_the_same_error_in_both_protocols():
    assert upstream_wire.UnparsableError is UnparsableError
    assert discovery_wire.UnparsableError is UnparsableError
    assert issubclass(UnparsableError, NetworkError)


def test_the_ring_buffer_behaves_like_a_plain_queue_of_bytes():
    generator, ring, model = Random(3), RingBuffer(64), b""
    for _ in range(5000):
        data = generator.randbytes(generator.randrange(100))
        if generator.random() < 0.5:
            copied = ring.write(memoryview(data))
            assert copied == min(len(data), 64 - len(model))
            model += data[:copied]
        else:
            free = ring.writable()
            count = min(len(free), len(data))
            free[:count] = data[:count]
            ring.commit_write(count)
            model += data[:count]
        held_bytes = bytes(ring.readable())
        assert model.startswith(held_bytes)
        assert bool(held_bytes) == bool(model)
        assert ring.used == len(model)
        count = generator.randrange(len(held_bytes) + 1)
        ring.consume(count)
        model = model[count:]
    with pytest.raises(RingBufferError, match="consume 65 bytes"):
        ring.consume(65)
    with pytest.raises(RingBufferError, match="commit 65 bytes"):
        ring.commit_write(65)


@pytest.mark.parametrize("count", [65, -1])
def test_the_ring_buffer_rejects_counts_out_of_bounds(count):
    ring = RingBuffer(64)
    with pytest.raises(RingBufferError, match=f"consume {count} bytes, 0 are held"):
        ring.consume(count)
    with pytest.raises(RingBufferError, match=f"unwrite {count} bytes, 0 are held"):
        ring.unwrite(count)
    with pytest.raises(RingBufferError, match=f"commit {count} bytes, 64 of 64 are free"):
        ring.commit_write(count)
    assert issubclass(RingBufferError, ValueError)


def test_only_ends_without_execution_get_results_that_rule_it_out():
    results_without_execution = {"miss", "full", "unconnected", "cut", "unsent"}
    ends_without_execution = {
        AttemptEnd.MISS,
        AttemptEnd.REJECTED,
        AttemptEnd.EXPIRED,
        AttemptEnd.CONNECTION_REFUSED,
        AttemptEnd.CONNECT_TIMEOUT,
        AttemptEnd.NOT_SENT,
        AttemptEnd.CUT_BEFORE_SEND,
    }
    assert {end for end in AttemptEnd if RESULTS[end] in results_without_execution} == ends_without_execution
    assert RESULTS[AttemptEnd.RESET] == RESULTS[AttemptEnd.CLOSED] == "reset"
    assert RESULTS[AttemptEnd.TIMED_OUT] == "timeout"
    assert RESULTS[AttemptEnd.CANCELLED] == "cancelled"
