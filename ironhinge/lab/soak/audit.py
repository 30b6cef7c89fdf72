"""Judges a run from the records of clients and servers alone. It shares no code with the director.

Every limit is the protocol page's figure and its slack of 50 ms, plus what the run's own proxies held back.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field
from math import sqrt

from .plan import COLD, COLD_FROM, DRAIN_GRACE, FALL, FALL_MULTIPLE, PACE, PURGE_GRACE, WEIGHT, Plan
from .records import REFUSED, SERVED, Connection, DirectorLife, Records, Try

SLACK = 0.05  # seconds: each limit of the protocol is longer by this
LATE = 0.5  # an answer later than this after its time is none
LEFT = 0.1  # an attempt begun so long after its client left is a lost request
DEADLINE_SLACK = 0.15  # by which the deadline passed on may exceed what the client has left
CROSSED = 0.05  # a request written so shortly before its client sees an end may be sent again, once
KILL_OWED = 0.7  # what came later than this after SIGTERM must be answered by the kill
READY = 10.0  # seconds that a director may take to be ready
MEAN_SIZE = 187.0  # KB: the mean of the sizes that clients draw
MOST_KEPT = 40  # findings of one kind that are told


@dataclass
class Finding:
    """Something that must not be; `trace` names the request, if it is one."""

    rule: str
    text: str
    trace: str = ""


@dataclass
class Verdict:
    """What an audit found."""

    findings: list[Finding] = field(default_factory=list)
    requests: int = 0
    answered: int = 0
    served: int = 0
    crossed: int = 0  # requests that crossed the end of a connection within what the page excuses
    attempts: int = 0

    def count(self, *rules: str) -> int:
        """How many findings these rules have."""
        return sum(finding.rule in rules for finding in self.findings)


class Audit:
    """One run's judge."""

    def __init__(self, plan: Plan, records: Records):
        self.plan, self.records = plan, records
        self.verdict = Verdict(requests=sum(one.written_at is not None for one in records.tries))
        self.lives = {(life.director, life.life): life for life in records.lives}
        self.by_trace = {one.trace: one for one in records.tries}
        self.classes = {one.name: one for one in plan.classes}

    def judge(self) -> Verdict:
        """All rules."""
        for one in self.records.tries:
            self._answer(one)
        for connection in self.records.connections:
            if connection.error_at is not None:
                text = f"connection {connection.number} of director {connection.director} is told of a breach"
                self._find("error", text)
        self._attempts()
        self._effects()
        self._drains()
        self._copies()
        self._slow_start()
        self._processes()
        return self.verdict

    def _find(self, rule: str, text: str, trace: str = "") -> None:
        self.verdict.findings.append(Finding(rule, text, trace))

    # One final answer in time

    def _answer(self, one: Try) -> None:
        verdict = self.verdict
        if len(one.answers) > 1:
            self._find("doubled answer", f"{len(one.answers)} answers", one.trace)
        if one.answers:
            verdict.answered += 1
            at, code, _ = one.answers[0]
            verdict.served += code == SERVED
            start = one.written_at if one.written_at is not None else one.begun_at
            late = at - start - one.patience - LATE - 2 * one.connection.path_delay - self._stopped(one, at)
            if late > SLACK and one.left_at is None:
                self._find("late", f"answered {late + LATE:.3f} s after its time", one.trace)
            return
        if one.written_at is None or one.left_at is not None:
            return
        self._unanswered(one, one.connection)

    def _unanswered(self, one: Try, connection: Connection) -> None:
        assert one.written_at is not None
        life = self.lives.get((connection.director, connection.life))
        ended = connection.ended_at
        if life is None or self._excused_by_kill(one, life):
            return
        if ended is not None and self._crossed_an_end(one, connection, ended):
            self.verdict.crossed += 1
            return
        how = f"connection over by {connection.ending}" if ended is not None else "never answered"
        after = f" {ended - one.written_at:.3f} s after writing" if ended is not None else ""
        self._find("lost", f"{how}{after}, life {life.life} of director {life.director}", one.trace)

    def _crossed_an_end(self, one: Try, connection: Connection, ended: float) -> bool:
        """A request on a connection on which no other was open, written as its end was on the way."""
        assert one.written_at is not None
        way = 2 * connection.path_delay + connection.end_delay
        alone = not any(
            each is not one
            and each.connection is connection
            and each.begun_at < one.written_at
            and (not each.answers or each.answers[0][0] > one.written_at)
            for each in self.records.tries
        )
        announced = connection.announced_at is not None and connection.announced_at < one.written_at
        return alone and announced and connection.ending == "end" and ended - one.written_at < CROSSED + way

    def _excused_by_kill(self, one: Try, life: DirectorLife) -> bool:
        """Killed outright, or killed after SIGTERM before the request's time was up. What came up to 0.7 s
        after SIGTERM has to be answered by the kill, if its own time was up by then; later ones too.
        """
        assert one.written_at is not None
        if life.killed_at is None:
            return False
        if life.terminated_at is None or life.killed_at < life.terminated_at + KILL_OWED:
            return True
        arrived = one.written_at + one.connection.path_delay
        return arrived > life.killed_at - KILL_OWED  # too short before the kill for anyone

    def _stopped(self, one: Try, until: float) -> float:
        life = self.lives.get((one.connection.director, one.connection.life))
        if life is None:
            return 0.0
        return sum(end - begin for begin, end in life.stops if end > one.begun_at and begin < until)

    # Attempts

    def _attempts(self) -> None:
        node_delay = self.plan.node_path.delay
        for arrival in self.records.arrivals:
            self.verdict.attempts += 1
            one = self.by_trace.get(arrival.trace)
            if one is None:
                self._find("unknown request", f"{arrival.trace} came to {arrival.node}")
                continue
            delay = one.connection.path_delay + node_delay
            gone = one.left_at
            if gone is not None:
                ended = one.connection.end_delay if one.connection.ending == "ours" else 0.0
                late = arrival.at - gone - LEFT - SLACK - delay - ended - self._lag(arrival.at)
                if late > 0:
                    text = f"attempt {arrival.at - gone:.3f} s after the client left"
                    self._find("after client left", text, one.trace)
            start = one.written_at if one.written_at is not None else one.begun_at
            left = start + one.patience - arrival.whole_at
            passed = float(arrival.fields.get("ms", "0")) / 1000
            over = passed - left - DEADLINE_SLACK - 2 * delay - self._lag(arrival.at)
            if over > 0:
                text = f"told {arrival.node} {passed:.3f} s with {left:.3f} s left"
                self._find("deadline", text, one.trace)

    def _lag(self, at: float) -> float:
        """How late the recording process was around a moment: its own times are off by so much."""
        return max((lag for when, lag in self.records.lags if abs(when - at) < 0.3), default=0.0)

    def _effects(self) -> None:
        runs: dict[str, int] = defaultdict(int)
        for run in self.records.runs:
            runs[run.operation] += 1
        for operation, count in runs.items():
            if count > 1:
                self._find("duplicate", f"ran {count} times", operation)
        for one in self.records.tries:
            refused = one.answers and one.answers[0][1] == REFUSED
            cls = self.classes[one.cls]
            if refused and cls.effect == "once":
                at = one.answers[0][0]
                if any(run.operation == one.operation and run.at < at for run in self.records.runs):
                    self._find("duplicate", "refused after it had run", one.trace)

    # Drains, purges, slow start

    def _drains(self) -> None:
        told: dict[tuple, float] = {}
        back: dict[tuple, list[float]] = defaultdict(list)
        for event in self.records.told:
            key = event.director, event.life, event.whom
            if event.what in ("draining", "gone"):
                told[key] = min(told.get(key, event.at), event.at)
            elif event.what == "ready":
                back[key].append(event.at)
        for arrival in self.records.arrivals:
            one = self.by_trace.get(arrival.trace)
            if one is None:
                continue
            for node in (arrival.node, arrival.fields.get("parent", "")):
                key = one.connection.director, one.connection.life, node
                at = told.get(key)
                if at is None or any(at < again <= arrival.at for again in back[key]):
                    continue
                late = arrival.at - at - DRAIN_GRACE - SLACK - self.plan.node_path.delay
                if late - self._stopped(one, arrival.at) > self._lag(arrival.at):
                    text = f"{node} was sent to {late + DRAIN_GRACE:.3f} s after word"
                    self._find("drain", text, one.trace)

    def _copies(self) -> None:
        """No answer from a copy that was purged, nor from one past its fresh time when asked for."""
        first: dict[str, float] = {}
        for arrival in self.records.arrivals:
            first[arrival.trace] = max(arrival.at, first.get(arrival.trace, 0.0))
        for one in self.records.tries:
            if not one.answers or one.answers[0][1] != SERVED or self.classes[one.cls].effect != "repeatable":
                continue
            body = one.answers[0][2]
            obj, _, dated_text = body.partition("@")
            if obj != one.operation:
                self._find("lost", f"answered with the bytes of {obj}", one.trace)
                continue
            sent = first.get(one.trace)
            if sent is None:
                continue
            dated = int(dated_text) / 1000 - self.records.copies["unix less monotonic"]
            self._purged(one, dated, sent)

    def _purged(self, one: Try, dated: float, sent: float) -> None:
        group = str(int(one.operation, 16) % 8)
        for event in self.records.told:
            mine = (event.director, event.life) == (one.connection.director, one.connection.life)
            meant = event.whom == one.operation if event.what == "object" else event.whom == group
            if not mine or event.what not in ("object", "group") or not meant:
                continue
            known = event.at + PURGE_GRACE + SLACK + self._lag(event.at) + self._stopped(one, sent)
            if sent > known and dated < event.happened_at - 0.002:
                older, since = event.happened_at - dated, sent - event.at
                text = f"served a copy {older:.3f} s older than it, told {since:.3f} s before"
                self._find("purge", text, one.trace)

    def _slow_start(self) -> None:
        mean = MEAN_SIZE / PACE
        for life in self.records.nodes:
            times = sorted(
                arrival.at
                for arrival in self.records.arrivals
                if arrival.node == life.node and life.started_at <= arrival.at < life.started_at + COLD
            )
            for place, at in enumerate(times):
                age = at - life.started_at
                share = COLD_FROM + (1 - COLD_FROM) * min(1.0, age / COLD)
                calls = FALL_MULTIPLE * share * WEIGHT * FALL / mean
                most = calls + (2 * sqrt(calls) + 2 if calls >= 30 else 3 * sqrt(calls) + 3)
                count = place + 1 - bisect_left(times, at - FALL)
                if count > most:
                    self._find("slow start", f"{life.node} got {count} of {most:.0f} at {age:.2f} s")
                    break

    # Processes

    def _processes(self) -> None:
        for life in self.records.lives:
            name = f"director {life.director} life {life.life}"
            if life.exit_code not in (None, 0) and life.killed_at is None:
                self._find("crash", f"{name} ended with {life.exit_code}")
            if life.exited_at is not None and life.terminated_at is None and life.killed_at is None:
                self._find("crash", f"{name} ended by itself")
            ready = life.ready_at
            limit = READY + sum(end - begin for begin, end in life.stops)
            if ready is not None and ready - life.started_at > limit:
                self._find("not ready", f"{name} took {ready - life.started_at:.1f} s")
            if life.most_descriptors > self.plan.sockets:
                self._find("descriptors", f"{name} held {life.most_descriptors} of {self.plan.sockets}")


def timeline(trace: str, records: Records) -> list[str]:
    """What happened to a request and around its connection, a line each, in order."""
    one: Try | None = next((each for each in records.tries if each.trace == trace), None)
    if one is None:
        return []
    zero, lines = one.begun_at, []
    connection = one.connection
    lines.append((one.begun_at, f"begun: class {one.cls}, patience {one.patience:.3f} s"))
    for at, text in (
        (connection.opened_at, f"connection {connection.number} opened to director {connection.director}"),
        (connection.announced_at, "connection announced to end"),
        (connection.ended_at, f"connection over: {connection.ending}"),
        (one.written_at, "written whole"),
        (one.left_at, "client left"),
    ):
        if at is not None:
            lines.append((at, text))
    lines += [(at, f"answered with {code}") for at, code, _ in one.answers]
    lines += [
        (arrival.at, f"attempt at {arrival.node}: {arrival.fields}")
        for arrival in records.arrivals
        if arrival.trace == trace
    ]
    lines += [
        (run.at, f"ran at {run.node}")
        for run in records.runs
        if run.operation == one.operation and one.cls not in ("read", "part")
    ]
    for life in records.lives:
        if (life.director, life.life) == (connection.director, connection.life):
            signals = (life.terminated_at, "SIGTERM"), (life.killed_at, "SIGKILL"), (life.exited_at, "exit")
            lines += [(at, f"director: {text}") for at, text in signals if at is not None]
            lines += [(begin, f"director stopped for {end - begin:.3f} s") for begin, end in life.stops]
    return [f"{at - zero:+9.3f} s  {text}" for at, text in sorted(lines)]
