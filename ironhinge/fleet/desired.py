"""Owns one agent's desired state: which generation is in force, who put it there, and the answers to
commands.

One entry point, `Desired.step`. A change is compared and set: it names the generation that it was decided
on, and wins whole or is refused with who, what and when stands instead. It is in force, and answered, once
its entry is durable. A command that comes again, also after the agent has restarted, gets the same answer
and does nothing; a delayed one names an old generation and is refused by that. So generations are the
fencing tokens.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple, Union

ANSWERS = 1024  # commands whose answers are remembered; older ones fail by their generation
HISTORY = 64  # entries that can be gone back to

Spec = tuple[tuple[str, str], ...]  # directors and the digests of their configurations, by name


class Command(NamedTuple):
    """`expect`: the generation that the operator saw. `spec`: all directors of this agent."""

    id: str
    expect: int
    who: str
    why: str
    spec: Spec


class Entry(NamedTuple):
    """What stands in the journal: one for each generation."""

    generation: int
    id: str
    who: str
    why: str
    at_ms: int
    spec: Spec


class Answer(NamedTuple):
    """To one command: whether it is in force, and the entry that stands."""

    id: str
    won: bool
    stands: Entry
    reason: str = ""


class Asked(NamedTuple):
    command: Command
    at_ms: int


class Appended(NamedTuple):
    """The entry is durable."""

    generation: int


class NotAppended(NamedTuple):
    """It is not and will not be: the disk said no."""

    generation: int
    reason: str


class Append(NamedTuple):
    entry: Entry


class InForce(NamedTuple):
    entry: Entry


Event = Union[Asked, Appended, NotAppended]
Doing = Union[Append, InForce, Answer]
NOTHING = Entry(0, "", "nobody", "the beginning", 0, ())


class Desired:
    def __init__(self, entries: tuple[Entry, ...] = ()):
        """From a journal's entries, oldest first; one out of order is a journal of something else."""
        self.history: deque[Entry] = deque([NOTHING], HISTORY)
        self.answers: OrderedDict[str, Answer] = OrderedDict()
        self.pending: Entry | None = None
        self.queue: deque[Asked] = deque()
        for entry in entries:
            if entry.generation != self.stands.generation + 1:
                raise ValueError(f"generation {entry.generation} after {self.stands.generation}")
            self._in_force(entry)

    @property
    def stands(self) -> Entry:
        return self.history[-1]

    def step(self, what: Event) -> list[Doing]:
        acts: list[Doing] = []
        if isinstance(what, Asked):
            self.queue.append(what)
        elif self.pending is None or what.generation != self.pending.generation:
            return acts  # a word on an entry that is settled
        elif isinstance(what, Appended):
            entry, self.pending = self.pending, None
            acts += [InForce(entry), self._in_force(entry)]
        else:
            entry, self.pending = self.pending, None
            # not remembered: asked again, it may go well
            acts.append(Answer(entry.id, False, self.stands, f"could not be written: {what.reason}"))
        while self.queue and self.pending is None:
            acts += self._take(self.queue.popleft())
        return acts

    def _take(self, asked: Asked) -> list[Doing]:
        command = asked.command
        known = self.answers.get(command.id)
        if known is not None:
            return [known]
        if command.expect != self.stands.generation:
            reason = f"generation {self.stands.generation} stands, not {command.expect}"
            return [self._remember(Answer(command.id, False, self.stands, reason))]
        names = [name for name, _ in command.spec]
        if len(set(names)) != len(names):
            return [self._remember(Answer(command.id, False, self.stands, "a director stands twice in it"))]
        generation = self.stands.generation + 1
        spec = tuple(sorted(command.spec))
        self.pending = Entry(generation, command.id, command.who, command.why, asked.at_ms, spec)
        return [Append(self.pending)]

    def _in_force(self, entry: Entry) -> Answer:
        self.history.append(entry)
        return self._remember(Answer(entry.id, True, entry))

    def _remember(self, answer: Answer) -> Answer:
        self.answers[answer.id] = answer
        while len(self.answers) > ANSWERS:
            self.answers.popitem(last=False)
        return answer

    def before(self, generation: int) -> Entry | None:
        """What stood before a generation, to go back to; None where that is forgotten."""
        for older, newer in zip(list(self.history), list(self.history)[1:], strict=False):
            if newer.generation == generation:
                return older
        return None


def specs(entry: Entry) -> dict[str, str]:
    return dict(entry.spec)
