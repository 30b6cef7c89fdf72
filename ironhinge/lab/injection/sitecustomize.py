"""Fault injection for a program under test: system calls fail and the wall clock steps, by a seeded script.

Python imports a module of this name at start-up when its folder is on `PYTHONPATH`, so a program is put under
faults without knowing of it: it imports nothing of the laboratory. Without the variable `IRONHINGE_FAULTS`
nothing is changed. The variable holds JSON:

    {"seed": 7,
     "calls": [{"call": "send", "errno": "ENOBUFS", "share": 0.02, "from": 1.0, "until": 9.0,
                "side": "accepted", "while": "/path"}],
     "short": [{"call": "recv_into", "share": 0.2}],
     "steps": [[2.5, 3600.0]],
     "log": "/path"}

`call` is a method of a socket; only sockets over IPv4 are touched. `share` is the part of the calls that
fail. `from` and `until` are seconds since the start. `side` is `accepted`, `made` (by connect) or `any`.
`while` names a file that must exist. Short calls move 1 to 40 bytes. A step moves the wall clock by so many
seconds, at that second. `log` takes one line for each injected failure.
"""

import errno
import json
import os
import random
import socket
import time

SHORTEST, LONGEST = 1, 40  # bytes that a short call moves


class Script:
    """What is to fail, and the random numbers that say when."""

    def __init__(self, text):
        told = json.loads(text)
        self.random = random.Random(told.get("seed", 0))
        self.began = time.monotonic()
        self.calls: dict[str, list[dict]] = {}
        for rule in told.get("calls", []):
            self.calls.setdefault(rule["call"], []).append(rule)
        self.short = {rule["call"]: rule["share"] for rule in told.get("short", [])}
        self.steps = told.get("steps", [])
        self.log = open(told["log"], "a", buffering=1) if told.get("log") else None

    def elapsed(self):
        return time.monotonic() - self.began

    def holds(self, rule, side):
        """Whether a rule is in force now for a socket of that side."""
        if rule.get("side", "any") not in ("any", side):
            return False
        if not rule.get("from", 0.0) <= self.elapsed() < rule.get("until", float("inf")):
            return False
        return "while" not in rule or os.path.exists(rule["while"])

    def fail(self, call, side):
        """Raises the error that the script has for this call, if it has one."""
        for rule in self.calls.get(call, ()):
            if self.holds(rule, side) and self.random.random() < rule.get("share", 1.0):
                if self.log is not None:
                    self.log.write(f"{self.elapsed():.3f} {call} {rule['errno']} {side}\n")
                number = getattr(errno, rule["errno"])
                raise OSError(number, os.strerror(number))

    def cut(self, call, length):
        """How many of so many bytes the call may move."""
        if self.random.random() >= self.short.get(call, 0.0):
            return length
        return min(length, self.random.randint(SHORTEST, LONGEST))

    def step(self):
        """Seconds by which the wall clock is off now."""
        now = self.elapsed()
        return sum(delta for at, delta in self.steps if at <= now)


def install(script):
    """Puts the script between the program and its sockets and wall clock."""
    plain = socket.socket

    class InjectedSocket(plain):  # type: ignore[misc, valid-type]
        """A socket whose calls fail as the script says."""

        side = "made"

        def _fail(self, call):
            if self.family == socket.AF_INET:
                script.fail(call, self.side)

        def accept(self):
            self._fail("accept")
            connection, address = super().accept()
            connection.side = "accepted"
            return connection, address

        def connect_ex(self, address):
            try:
                self._fail("connect")
            except OSError as error:
                if error.errno == errno.EINTR:  # an interrupted connect goes on by itself, says connect(2)
                    super().connect_ex(address)
                return error.errno
            return super().connect_ex(address)

        def send(self, data, *flags):
            self._fail("send")
            return super().send(memoryview(data)[: script.cut("send", len(data))], *flags)

        def recv(self, size, *flags):
            self._fail("recv")
            return super().recv(size, *flags)

        def recv_into(self, buffer, size=0, *flags):
            self._fail("recv_into")
            return super().recv_into(buffer, script.cut("recv_into", size or len(buffer)), *flags)

        def sendto(self, data, *rest):
            self._fail("sendto")
            return super().sendto(data, *rest)

        def recvfrom(self, *rest):
            self._fail("recvfrom")
            return super().recvfrom(*rest)

        def setsockopt(self, *rest):
            self._fail("setsockopt")
            return super().setsockopt(*rest)

        def getsockopt(self, *rest):
            self._fail("getsockopt")
            return super().getsockopt(*rest)

        def shutdown(self, how):
            self._fail("shutdown")
            return super().shutdown(how)

    class Opened(InjectedSocket):
        """One that the program makes: `socket` itself can fail."""

        def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
            if fileno is None and family in (-1, socket.AF_INET):
                script.fail("socket", "made")
            super().__init__(family, type, proto, fileno)

    socket.socket = Opened  # type: ignore[misc]
    wall, wall_ns = time.time, time.time_ns
    time.time = lambda: wall() + script.step()
    time.time_ns = lambda: wall_ns() + int(script.step() * 1e9)


if os.environ.get("IRONHINGE_FAULTS"):
    install(Script(os.environ["IRONHINGE_FAULTS"]))
