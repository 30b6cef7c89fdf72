"""Owns what is played: scenes as records, and the reqs that a seed makes of them. No I/O.

Sizes on sockets are scaled down: `BYTES` of them stand for a KB that reqs tell.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random
from typing import NamedTuple

BYTES = 100  # on the socket, for each KB told
CARD, FILM = "card", "film"


class Ask(NamedTuple):
    """A req to come: at a second of the scene, by a viewer, for a part of an object."""

    at: float
    viewer: int
    route: str
    obj: int
    parts: int  # asked for in turn; 1: a single req
    body: int  # bytes of each
    leaves: float  # the viewer goes after that many seconds; 0: it stays


class Fault(NamedTuple):
    at: float  # part of the scene's time
    what: str  # 'kill', 'back', 'silence', 'wake', 'slow', 'fast', 'stop director', 'start director'
    whom: str
    figure: float = 0.0


@dataclass(frozen=True)
class Scene:
    name: str
    about: str
    cards: float = 60.0  # reqs a second
    names: int = 400  # cards that there are
    card: int = 6_000  # bytes, at most; half of that at least
    streams: float = 2.0  # begun a second
    films: int = 60
    parts: int = 8
    gap: float = 0.5  # seconds between parts
    part: int = 8_000
    unique: bool = False  # every stream is of a film of its own
    leaving: float = 0.02  # part of the reqs whose client goes before the answer
    pace: float = 400_000.0  # bytes a second of one transfer from a hub
    link: float = 3_000_000.0  # bytes a second of the branch's link in
    room: int = 400_000  # bytes that a cache keeps
    caches: int = 4
    budget: str = ""  # of the operations file: what stands in 'budgets'
    rate: float = 0.0  # bytes a second that the budget under test allows in all, with its allowance
    burst: float = 0.0
    ways: tuple[str, ...] = ()  # that it is of
    faults: tuple[Fault, ...] = ()
    disk: str = ""  # room of each director's tier


OTHER = """    other_hubs: {
        ways: ["other-hub", "origin"]
        rate: "60KB/s"
        burst: "60KB"
        emergency: {rate: "40KB/s", burst: "40KB"}
    }
"""
CALM = """    other_hubs: {ways: ["other-hub"], rate: "600KB/s", burst: "600KB"}
"""
LINK = """    link_in: {
        ways: ["own-hub", "other-hub", "origin"]
        rate: "%s"
        burst: "%s"%s
    }
"""
CUT = """
        streams: {part: 0.9, interval: "500ms"}"""

SCENES: dict[str, Scene] = {
    one.name: one
    for one in (
        Scene(
            "calm",
            "usual load, an ample budget",
            budget=CALM,
            rate=600_000,
            burst=600_000,
            ways=("other-hub",),
        ),
        Scene(
            "hub-loss",
            "the own hub's cache is killed in the middle of its transfers and comes back cold",
            leaving=0.04,
            budget=OTHER,
            rate=100_000,
            burst=100_000,
            ways=("other-hub", "origin"),
            faults=(Fault(0.35, "kill", "a"), Fault(0.7, "back", "a")),
        ),
        Scene(
            "stream-budget",
            "streams ask for twice what the budget of the link in allows",
            cards=10.0,
            streams=12.0,
            unique=True,
            parts=10,
            part=4_000,
            leaving=0.0,
            budget=LINK % ("240KB/s", "240KB", CUT),
            rate=240_000,
            burst=240_000,
            ways=("own-hub", "other-hub", "origin"),
        ),
        Scene(
            "disk-restart",
            "directors with a tier on disk, restarted in turn under load; caches and hubs hold little",
            cards=80.0,
            names=150,
            streams=3.0,
            films=12,
            parts=6,
            leaving=0.0,
            room=60_000,
            disk="2MB",
            faults=(Fault(0.5, "restart", "0"), Fault(0.6, "restart", "1")),
        ),
        Scene("off", "usual load, neither account nor budgets: the baseline of costs"),
    )
}
SCENES["stream-plain"] = replace(
    SCENES["stream-budget"],
    name="stream-plain",
    about="the same without places held for streams: the baseline of stream-budget",
    budget=LINK % ("240KB/s", "240KB", ""),
)


def scene(name: str, scale: float = 1.0) -> Scene:
    """A scene, with its load scaled."""
    found = SCENES[name]
    return replace(found, cards=found.cards * scale, streams=found.streams * scale)


def asks(played: Scene, seed: int, seconds: float) -> list[Ask]:
    """All reqs of a scene, the same for the same seed. Streams begin early enough to end with the scene."""
    chance, out, viewer = Random(seed), [], 0
    sizes = [chance.randrange(played.card // 2, played.card) for _ in range(played.names)]
    weights = [1 / (rank + 1) ** 0.9 for rank in range(played.names)]
    salt = chance.getrandbits(32) << 24
    at = chance.expovariate(played.cards) if played.cards else seconds
    while at < seconds:
        viewer += 1
        name = chance.choices(range(played.names), weights)[0]
        leaves = chance.uniform(0.005, 0.05) if chance.random() < played.leaving else 0.0
        out.append(Ask(at, viewer, CARD, salt + name, 1, sizes[name], leaves))
        at += chance.expovariate(played.cards)
    last = max(seconds / 2, seconds - played.parts * played.gap)
    at, films = (chance.expovariate(played.streams) if played.streams else last), 0
    while at < last:
        viewer, films = viewer + 1, films + 1
        film = films if played.unique else chance.randrange(played.films)
        out.append(Ask(at, viewer, FILM, salt + (1 << 20) + film, played.parts, played.part, 0.0))
        at += chance.expovariate(played.streams)
    return sorted(out)
