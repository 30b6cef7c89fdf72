"""Owns how a change goes through a fleet: in waves, each gated on how the changed members fare against the
others, and back by itself when a gate fails. One entry point, `Rollout.step`; it must never talk to an agent.

It holds nothing that a member could not tell: whoever has the plan and asks the members where they stand
goes on where another tool stopped. What is sent are commands with ids made of the rollout and the member, so
that a second tool that sends them too does nothing twice.
"""

from __future__ import annotations

from typing import NamedTuple, Union

from .desired import Answer, Command, Spec

CANARY = 1
GROWS = 2  # each wave is at most this many times as large as all before it
SOAK = 100_000  # tenths of a millisecond that a wave is looked at before the next
WORSE = 0.02  # by which the share done in target may fall against the members still on the old one
LOST_FOR = 150_000  # without a word for that long a member counts as cut off, and the rollout holds


class Member(NamedTuple):
    name: str
    branch: str
    generation: int  # in force there when the plan was made
    old: Spec
    new: Spec


def plan(members: tuple[Member, ...], away: dict[str, int]) -> list[list[str]]:
    """Waves of members' names: one, then growing; of a branch never more at once than may be `away` (1 where
    it is not told). Branches take turns, so that no wave is of one branch where it can be helped.
    """
    left: dict[str, list[str]] = {}
    for member in sorted(members):
        left.setdefault(member.branch, []).append(member.name)
    waves: list[list[str]] = []
    done = 0
    while any(left.values()):
        most = CANARY if not waves else GROWS * done
        wave: list[str] = []
        taken = dict.fromkeys(left, 0)
        going = True
        while going and len(wave) < most:
            going = False
            for branch, names in sorted(left.items()):
                if names and taken[branch] < max(1, away.get(branch, 1)) and len(wave) < most:
                    wave.append(names.pop(0))
                    taken[branch] += 1
                    going = True
        waves.append(wave)
        done += len(wave)
    return waves


class Health(NamedTuple):
    """A member's word: where it stands and by which command, and how its directors fare."""

    name: str
    generation: int
    id: str
    who: str
    ready: bool
    in_target: float
    crashes: int


class Answered(NamedTuple):
    name: str
    answer: Answer


class Tick(NamedTuple):
    pass


class Pause(NamedTuple):
    on: bool


Event = Union[Health, Answered, Tick, Pause]


class Send(NamedTuple):
    name: str
    command: Command


class Over(NamedTuple):
    how: str  # 'done', 'undone', 'conflict'
    why: str


Doing = Union[Send, Over]


class Rollout:
    """States: 'rolling', 'holding' (paused, or a member is cut off), 'undoing', 'over'."""

    def __init__(
        self, name: str, who: str, why: str, members: tuple[Member, ...], away: dict[str, int], now: int
    ):
        self.name, self.who, self.why = name, who, why
        self.members = {member.name: member for member in members}
        self.waves = plan(members, away)
        self.wave = -1
        self.since = now
        self.sent: dict[str, int] = {}  # when a command was last sent; sent again until it is answered
        self.health: dict[str, Health] = {}
        self.heard = dict.fromkeys(self.members, now)
        self.crashes: dict[str, int] = {}
        self.undo: list[str] = []
        self.state, self.verdict = "rolling", ""
        self.paused = False

    def step(self, now: int, what: Event) -> list[Doing]:
        if self.state == "over":
            return []
        acts: list[Doing] = []
        if isinstance(what, Pause):
            self.paused = what.on
        elif isinstance(what, Health) and what.name in self.members:
            self.heard[what.name] = now
            self.health[what.name] = what
            self.crashes.setdefault(what.name, what.crashes)
            if what.generation > self.members[what.name].generation and not self._ours(what.name, what.id):
                return self._conflict(f"{what.name} stands at generation {what.generation} of {what.who}")
        elif isinstance(what, Answered) and what.name in self.members:
            acts += self._answered(now, what)
        return acts + self._go_on(now)

    def _answered(self, now: int, what: Answered) -> list[Doing]:
        self.heard[what.name] = now
        if what.answer.won:
            return []
        stands = what.answer.stands
        if self._ours(what.name, stands.id):
            return []  # by this tool or another that has the same plan
        if "could not be written" in what.answer.reason:
            self._go_back(now, f"{what.name}: {what.answer.reason}")
            return []
        return self._conflict(
            f"{what.name} stands at generation {stands.generation} of {stands.who}: {stands.why}"
        )

    def _conflict(self, why: str) -> list[Doing]:
        """Another operator's change stands there: nothing of it is touched, and nothing more is sent."""
        self.state = "over"
        return [Over("conflict", why)]

    def _ours(self, name: str, id_: str) -> bool:
        return id_.startswith(f"{self.name}/{name}/")

    def _id(self, name: str, to: str) -> str:
        return f"{self.name}/{name}/{to}"

    def _at(self, name: str, to: str) -> bool:
        """Whether a member has come to stand there."""
        health = self.health.get(name)
        return health is not None and health.id.startswith(self._id(name, to))

    def _go_on(self, now: int) -> list[Doing]:
        if self.state == "undoing":
            return self._undo(now)
        silent = [name for name in self._begun() if now > self.heard[name] + LOST_FOR]
        self.state = "holding" if self.paused or silent else "rolling"
        self.verdict = f"no word from {silent[0]}" if silent else "paused" if self.paused else ""
        acts: list[Doing] = []
        fault = self._gate()
        if fault:
            self._go_back(now, fault)
            return self._undo(now)
        if self.state == "holding":
            return acts
        begun = self._begun()
        settled = all(self._at(name, "new") and self.health[name].ready for name in begun)
        if not settled:
            self.since = now
        elif now >= self.since + (SOAK if begun else 0):
            if self.wave + 1 == len(self.waves):
                self.state = "over"
                return [Over("done", f"{len(begun)} members in {len(self.waves)} waves")]
            self.wave += 1
            self.since = now
        for name in self._begun():
            if not self._at(name, "new"):
                acts += self._send(now, name, "new")
        return acts

    def _begun(self) -> list[str]:
        return [name for wave in self.waves[: self.wave + 1] for name in wave]

    def _send(self, now: int, name: str, to: str) -> list[Doing]:
        if now < self.sent.get(self._id(name, to), -SOAK) + SOAK // 10:
            return []
        self.sent[self._id(name, to)] = now
        member = self.members[name]
        if to == "new":
            return [
                Send(name, Command(self._id(name, to), member.generation, self.who, self.why, member.new))
            ]
        # also to one that does not stand on the new one: it fences off a command that is still on its way
        expect = member.generation + self._at(name, "new")
        why = f"undone: {self.verdict}"
        return [Send(name, Command(f"{self._id(name, to)}@{expect}", expect, self.who, why, member.old))]

    def _gate(self) -> str:
        """What is wrong with the members that were changed, against those that were not."""
        changed = [name for name in self._begun() if self._at(name, "new")]
        others = [one.in_target for name, one in self.health.items() if name not in self._begun()]
        for name in changed:
            health = self.health[name]
            if health.crashes > self.crashes.get(name, 0):
                return f"{name}: a director of it crashed"
        shares = [self.health[name].in_target for name in changed if self.health[name].ready]
        if shares and others:
            usual, now = sum(others) / len(others), sum(shares) / len(shares)
            if now < usual - WORSE:
                return f"{100 * now:.1f}% in target on the new one, {100 * usual:.1f}% on the old"
        return ""

    def _go_back(self, now: int, why: str) -> None:
        self.state, self.verdict = "undoing", why
        self.undo = [
            name for name in self._begun() if self._id(name, "new") in self.sent or self._at(name, "new")
        ]

    def _undo(self, now: int) -> list[Doing]:
        """Members that took the change go back, all together: the old one is known to do well."""
        self.undo = [name for name in self.undo if not self._at(name, "old")]
        if not self.undo or all(now > self.heard[name] + LOST_FOR for name in self.undo):
            self.state = "over"
            lost = f"; no word from {', '.join(self.undo)}" if self.undo else ""
            return [Over("undone", self.verdict + lost)]
        return [act for name in self.undo for act in self._send(now, name, "old")]
