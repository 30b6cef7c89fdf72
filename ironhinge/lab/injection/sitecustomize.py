"""Fault injection into a program under test: system calls fail and the wall clock steps, by a seeded script.

Python imports a module named `sitecustomize` at start-up if its folder is on `PYTHONPATH`, so the program
under test needs no change and imports nothing from the lab. If the environment variable `IRONHINGE_FAULTS` is
not set, nothing is changed. Its value is JSON:

    {"seed": 7,
     "calls": [{"call": "send", "errno": "ENOBUFS", "share": 0.02, "from": 1.0, "until": 9.0,
                "side": "accepted", "while": "/path"}],
     "short": [{"call": "recv_into", "share": 0.2}],
     "steps": [[2.5, 3600.0]],
     "log": "/path"}

`calls` lists rules for failing calls. `call` is the name of a socket method (`connect` for `connect_ex`), or
`socket` for opening a socket; only IPv4 sockets are affected. `errno` is the name of the error. `share` is
the share of the calls that fail, 1 by default. A rule applies between `from` and `until`, in seconds since
the start, and if it has `while`, only while the file of that name exists. `side` selects sockets that were
accepted (`accepted`), all others, which the program opened itself (`made`), or both (`any`, the default).

`short` gives the share of the `send` or `recv_into` calls that transfer only 1 to 40 bytes. Each entry of
`steps` is a time in seconds since the start and the number of seconds by which the wall clock steps then.
`log` names a file that gets one line per injected error.
"""

from __future__ import annotations

import errno
import functools
import json
import os
import random
import socket
import time
from typing import Any

MIN_SHORT_CALL_BYTES, MAX_SHORT_CALL_BYTES = 1, 40  # that a short call transfers
NANOSECONDS_PER_SECOND = 1e9
NO_LIMIT = 1 << 30  # bytes: more than any call transfers
ACCEPTED, OPENED, ANY_SIDE = "accepted", "made", "any"


class FaultScript:
    """The faults to inject, and the random generators that select the calls."""

    def __init__(self, text: str) -> None:
        """Parse a script; its times are counted from now."""
        document = json.loads(text)
        self._seed = document.get("seed", 0)
        self._generators: dict[str, random.Random] = {}
        self._started_at = time.monotonic()
        self._rules: dict[str, list[dict[str, Any]]] = {}
        for rule in document.get("calls", []):
            self._rules.setdefault(rule["call"], []).append(rule)
        self._short_shares = {rule["call"]: rule["share"] for rule in document.get("short", [])}
        self._clock_steps = document.get("steps", [])
        log_path = document.get("log")
        # stays open until the program exits
        self._log = open(log_path, "a", buffering=1) if log_path else None  # noqa: PTH123, SIM115

    def raise_fault(self, call: str, side: str) -> None:
        """Raise the error that the script injects into this call, if any.

        Raises:
            OSError: The injected error.
        """
        for rule in self._rules.get(call, ()):
            if self._is_active(rule, side) and self._rng(call).random() < rule.get("share", 1.0):
                if self._log is not None:
                    self._log.write(f"{self._elapsed():.3f} {call} {rule['errno']} {side}\n")
                error_number = getattr(errno, rule["errno"])
                raise OSError(error_number, os.strerror(error_number))

    def limit_length(self, call: str, length: int) -> int:
        """Return how many of `length` bytes the call may transfer."""
        share = self._short_shares.get(call, 0.0)
        rng = self._rng(call)
        if not share or rng.random() >= share:
            return length
        return min(length, rng.randint(MIN_SHORT_CALL_BYTES, MAX_SHORT_CALL_BYTES))

    def _rng(self, call: str) -> random.Random:
        """Return a call's own random generator: its faults do not depend on how often others are made."""
        if call not in self._generators:
            self._generators[call] = random.Random(f"{call} {self._seed}")
        return self._generators[call]

    def clock_offset(self) -> float:
        """Return the seconds by which the wall clock is off now: the sum of the steps so far."""
        now = self._elapsed()
        return float(sum(offset for at, offset in self._clock_steps if at <= now))

    def _elapsed(self) -> float:
        return time.monotonic() - self._started_at

    def _is_active(self, rule: dict[str, Any], side: str) -> bool:
        """Return whether a rule applies now to a socket that is `ACCEPTED` or `OPENED`, as `side` says."""
        if rule.get("side", ANY_SIDE) not in (ANY_SIDE, side):
            return False
        if not rule.get("from", 0.0) <= self._elapsed() < rule.get("until", float("inf")):
            return False
        return "while" not in rule or os.path.exists(rule["while"])  # noqa: PTH110 - imports little


def _raise(error: OSError, *_: Any) -> int:
    raise error


class InjectedSocket(socket.socket):
    """A socket whose calls fail according to the script, which `install` sets."""

    script: FaultScript
    side = OPENED

    def _inject(self, call: str) -> None:
        if self.family == socket.AF_INET:
            self.script.raise_fault(call, self.side)

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection; the new socket gets the faults of accepted sockets."""
        self._inject("accept")
        connection, address = super().accept()
        connection.side = ACCEPTED  # type: ignore[attr-defined]  # it is an InjectedSocket too
        return connection, address

    def connect_ex(self, address: Any) -> int:
        """Connect; an injected error is returned as an error number, as `connect_ex` does."""
        try:
            self._inject("connect")
        except OSError as error:
            if error.errno == errno.EINTR:  # by connect(2), an interrupted connect continues
                super().connect_ex(address)
            return error.errno or 0
        return super().connect_ex(address)

    @property
    def send(self) -> Any:
        """A function that sends all or some of the bytes, or raises an injected error.

        The fault is drawn when the attribute is read, not in the call, so that the call takes no longer than
        the real one: the time from a program's last reading of the clock to its call is under test.
        """
        if self.family != socket.AF_INET:
            return super().send
        try:
            self._inject("send")
        except OSError as error:
            return functools.partial(_raise, error)
        limit = self.script.limit_length("send", NO_LIMIT)
        if limit == NO_LIMIT:
            return super().send
        send = super().send
        return lambda data, *flags: send(memoryview(data)[:limit], *flags)

    def recv(self, size: int, *flags: int) -> bytes:
        """Receive bytes, or raise an injected error."""
        self._inject("recv")
        return super().recv(size, *flags)

    def recv_into(self, buffer: Any, size: int = 0, *flags: int) -> int:
        """Receive into a buffer; a short call receives at most a few bytes."""
        self._inject("recv_into")
        limit = self.script.limit_length("recv_into", size or len(buffer))
        return super().recv_into(buffer, limit, *flags)

    def sendto(self, data: Any, *rest: Any) -> int:
        """Send a datagram, or raise an injected error."""
        self._inject("sendto")
        return super().sendto(data, *rest)

    def recvfrom(self, *rest: Any) -> tuple[bytes, Any]:
        """Receive a datagram, or raise an injected error."""
        self._inject("recvfrom")
        return super().recvfrom(*rest)

    def setsockopt(self, *rest: Any) -> None:
        """Set a socket option, or raise an injected error."""
        self._inject("setsockopt")
        super().setsockopt(*rest)

    def getsockopt(self, *rest: Any) -> Any:
        """Return a socket option, or raise an injected error."""
        self._inject("getsockopt")
        return super().getsockopt(*rest)

    def shutdown(self, how: int) -> None:
        """Shut down one or both directions, or raise an injected error."""
        self._inject("shutdown")
        super().shutdown(how)


class OpenedSocket(InjectedSocket):
    """A socket that the program opens itself; opening it can fail."""

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        """Open a socket, or wrap a descriptor; only opening can fail."""
        if fileno is None and family in (-1, socket.AF_INET):
            self.script.raise_fault("socket", OPENED)
        super().__init__(family, type, proto, fileno)


def install(script: FaultScript) -> None:
    """Replace `socket.socket`, `time.time` and `time.time_ns` by versions that inject the script's faults."""
    InjectedSocket.script = script
    socket.socket = OpenedSocket  # type: ignore[misc]
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + script.clock_offset()
    time.time_ns = lambda: real_time_ns() + int(script.clock_offset() * NANOSECONDS_PER_SECOND)


if os.environ.get("IRONHINGE_FAULTS"):
    install(FaultScript(os.environ["IRONHINGE_FAULTS"]))
