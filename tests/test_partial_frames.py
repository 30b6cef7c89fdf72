"""A frame of which only a part is sent, and whose content is out of date before the rest is."""

from math import inf

import anyio
import pytest

from ironhinge.net.system_calls import Remedy

from .test_network_races import receive_all, run_with_connection
from .test_stopped_process import stop

CUT = 12  # bytes of the frame that the first send accepts


class Rendered:
    """A frame's `render`: returns the contents one after another, and the last one from then on."""

    def __init__(self, *contents):
        self.contents = list(contents)

    def __call__(self):
        content = self.contents.pop(0) if len(self.contents) > 1 else self.contents[0]
        return (content,) if content else ()


def send_partly(monkeypatch, render, seconds, remedy=None):
    """Sends a part of a frame, stops the process or refuses output for `seconds`, and goes on.

    Returns:
        What the peer received, whether the connection was closed before its end, and its queued bytes then.
    """
    outcome = []

    async def scenario(receiver, peer):
        connection = receiver.connection
        calls, parts = connection.owner.calls, [CUT]
        original, waits = calls.send, [remedy] if remedy else []

        def send(sock, data, latest=inf):
            if parts:
                sent = original(sock, data[: parts.pop()], latest)
                if not waits:
                    stop(seconds)
                return sent
            if waits:
                stop(seconds)
                return 0, waits.pop()
            return original(sock, data, latest)

        monkeypatch.setattr(calls, "send", send)
        connection.write((), render=render)
        connection.send_pending()
        if remedy is not None:
            await anyio.sleep(0.1)
        is_closed, queued_bytes = receiver.is_closed, connection.queued_bytes
        connection.finish()
        connection.owner.flush()
        outcome.append((await receive_all(peer), is_closed, queued_bytes))

    run_with_connection(scenario)
    return outcome[0]


def test_the_rest_of_a_partly_sent_frame_is_rendered_again(monkeypatch):
    """Guards deadlines: the time remaining was sent as it was before a stop between two parts."""
    render = Rendered(b"command=a,ms=2000", b"command=a,ms=1700")
    assert send_partly(monkeypatch, render, 0.3) == (b"command=a,ms=1700", False, 0)


@pytest.mark.parametrize("new", [b"command=a,ms=1", b"command=a,ms=2000 and more"])
def test_a_partly_sent_frame_may_become_shorter_or_longer(monkeypatch, new):
    assert send_partly(monkeypatch, Rendered(b"command=a,ms=2000", new), 0.3) == (new, False, 0)


def test_a_partly_sent_frame_larger_than_the_ring_is_rendered_again(monkeypatch):
    """Its bytes in the ring and those in the queue are both replaced, and counted once."""
    old, new = b"command=a,ms=2000" + b"x" * 100_000, b"command=a,ms=17" + b"y" * 90_000

    async def scenario(receiver, peer):
        connection = receiver.connection
        connection.sock.setsockopt(1, 7, 1 << 20)  # SOL_SOCKET, SO_SNDBUF
        original, parts = connection.owner.calls.send, [CUT]

        def send(sock, data, latest=inf):
            if not parts:
                return original(sock, data, latest)
            sent = original(sock, data[: parts.pop()], latest)
            stop(0.3)
            return sent

        monkeypatch.setattr(connection.owner.calls, "send", send)
        connection.write((), render=Rendered(old, new))
        connection.finish()
        connection.owner.flush()
        assert await receive_all(peer) == new
        assert connection.queued_bytes == connection.owner.queued_bytes == 0

    run_with_connection(scenario)


@pytest.mark.parametrize("new", [b"command=b,ms=1700", b""])
def test_a_partly_sent_frame_that_can_not_be_corrected_ends_its_connection(monkeypatch, new):
    """The peer must not get a time remaining from before the stop; half a command has no effect."""
    received, is_closed, _ = send_partly(monkeypatch, Rendered(b"command=a,ms=2000", new), 0.3)
    assert received == b"command=a,ms"
    assert is_closed


def test_a_partly_sent_frame_is_completed_unchanged_after_a_short_stop(monkeypatch):
    """Within the slack of deadlines, what else is in flight on the connection is worth more."""
    render = Rendered(b"command=a,ms=2000", b"command=b,ms=1960")
    assert send_partly(monkeypatch, render, 0.04) == (b"command=a,ms=2000", False, 0)


def test_a_partly_sent_frame_is_completed_unchanged_for_a_slow_peer(monkeypatch):
    """A peer that reads late also gets late what the system accepted long ago: no reason to end all on it."""
    render = Rendered(b"command=a,ms=2000", b"command=b,ms=1700")
    assert send_partly(monkeypatch, render, 0.3, Remedy.WAIT) == (b"command=a,ms=2000", False, 0)


def test_a_partly_sent_frame_that_this_machine_holds_up_ends_its_connection(monkeypatch):
    """A shortage on this machine is not the peer's slowness."""
    render = Rendered(b"command=a,ms=2000", b"command=b,ms=1700")
    received, is_closed, _ = send_partly(monkeypatch, render, 0.3, Remedy.PAUSE)
    assert received == b"command=a,ms"
    assert is_closed


def test_write_while_a_frame_is_rendered_does_not_send_that_frame_twice():
    """A command arrived damaged: a cancel that was read while it was rendered sent a part of it first."""
    content = bytes(i % 251 for i in range(400_000))  # fills the socket
    received = []

    async def scenario(receiver, peer):
        connection = receiver.connection
        cancels = [b"cancel"]

        def render():
            if cancels:
                connection.write_now([cancels.pop()])
            return (content,)

        connection.write((), render=render)
        connection.send_pending()
        connection.finish()
        connection.owner.flush()
        received.append(await receive_all(peer))

    run_with_connection(scenario)
    assert received == [content + b"cancel"]


def test_write_while_a_frame_is_rendered_again_follows_that_frame(monkeypatch):
    """The same where a part of the frame has been sent and the rest is rendered again."""
    writes = []

    async def scenario(receiver, peer):
        connection = receiver.connection
        calls, parts = connection.owner.calls, [CUT]
        original = calls.send

        def send(sock, data, latest=inf):
            if not parts:
                return original(sock, data, latest)
            sent = original(sock, data[: parts.pop()], latest)
            stop(0.05)
            return sent

        def render():
            if not parts and not writes:
                writes.append(connection.write_now([b"cancel"]))
            return (b"command" * 10,)

        monkeypatch.setattr(calls, "send", send)
        connection.write((), render=render)
        connection.send_pending()
        connection.finish()
        connection.owner.flush()
        writes.append(await receive_all(peer))

    run_with_connection(scenario)
    assert writes == [False, b"command" * 10 + b"cancel"]
