"""Owns what an agent does about its directors: starts, drains, restarts with back-off, and the verdict that
one crashes too often. One entry point, `Children.step`; it must never start a process itself.

A director whose configuration changes is told to drain and started anew once it has ended; one that does not
end in its time is ended by force. One that ends by itself is started again after a wait that doubles; after
`MOST` ends within `WITHIN` it is broken, and stays down until another generation is in force.
"""

from __future__ import annotations

from typing import NamedTuple, Union

from .desired import Entry, specs

SECOND = 10_000
BACK_OFF, LONGEST = SECOND // 5, 30 * SECOND
MOST, WITHIN = 5, 60 * SECOND
DRAIN = 4 * SECOND + SECOND // 2  # all that was taken is answered within 3.7 s of SIGTERM, says the platform
READY = 10 * SECOND  # one that is not ready by then is taken for one that has ended


class Told(NamedTuple):
    """A generation is in force."""

    entry: Entry


class Up(NamedTuple):
    """It says that it is ready."""

    name: str
    pid: int


class Ended(NamedTuple):
    name: str
    pid: int
    code: int


class Tick(NamedTuple):
    pass


Event = Union[Told, Up, Ended, Tick]


class Start(NamedTuple):
    name: str
    config: str


class Drain(NamedTuple):
    name: str


class Kill(NamedTuple):
    name: str


Doing = Union[Start, Drain, Kill]


class Child:
    def __init__(self, config: str):
        self.config: str | None = config  # wanted; None: to be down
        self.runs: str | None = None  # what the process was started with
        self.state = "down"  # 'starting', 'up', 'draining', 'waits', 'broken'
        self.since = 0
        self.until = 0
        self.ends: list[int] = []
        self.back_off = BACK_OFF


class Children:
    def __init__(self) -> None:
        self.children: dict[str, Child] = {}
        self.generation = 0

    def step(self, now: int, what: Event) -> list[Doing]:
        if isinstance(what, Told):
            self._told(what.entry)
        elif isinstance(what, Up):
            child = self.children.get(what.name)
            if child is not None and child.state == "starting":
                child.state, child.since = "up", now
        elif isinstance(what, Ended):
            self._ended(now, what)
        acts: list[Doing] = []
        for name, child in list(self.children.items()):
            acts += self._look(now, name, child)
            if child.config is None and child.state in ("down", "waits", "broken"):
                del self.children[name]
        return acts

    def _told(self, entry: Entry) -> None:
        if entry.generation <= self.generation:
            return  # a word of before
        self.generation = entry.generation
        wanted = specs(entry)
        for name, config in wanted.items():
            child = self.children.setdefault(name, Child(config))
            child.config = config
            if child.state in ("broken", "waits"):  # another generation: another chance
                child.state, child.ends, child.back_off = "down", [], BACK_OFF
        for name, child in self.children.items():
            if name not in wanted:
                child.config = None

    def _ended(self, now: int, what: Ended) -> None:
        child = self.children.get(what.name)
        if child is None:
            return
        wanted = child.state == "draining"
        child.runs = None
        if wanted:
            child.state = "down"
            return
        child.ends = [at for at in child.ends if at > now - WITHIN] + [now]
        if len(child.ends) >= MOST:
            child.state = "broken"
            return
        child.state, child.until = "waits", now + child.back_off
        child.back_off = min(LONGEST, 2 * child.back_off)

    def _look(self, now: int, name: str, child: Child) -> list[Doing]:
        if child.state == "waits" and now >= child.until:
            child.state = "down"
        if child.state == "down" and child.config is not None:
            child.state, child.since, child.runs = "starting", now, child.config
            return [Start(name, child.config)]
        if child.state in ("starting", "up") and child.runs != child.config:
            child.state, child.until = "draining", now + DRAIN
            return [Drain(name)]
        if child.state == "draining" and now >= child.until:
            child.until = now + DRAIN  # and again, should that be lost
            return [Kill(name)]
        if child.state == "starting" and now >= child.since + READY:
            child.since = now
            return [Kill(name)]
        if child.state == "up" and now >= child.since + WITHIN:
            child.back_off = BACK_OFF
        return []

    def plain(self) -> dict[str, str]:
        return {name: child.state for name, child in sorted(self.children.items())}
