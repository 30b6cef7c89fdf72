"""Draws what a seed plays: settings, load, and faults. Pure; the same seed gives the same plan."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

ZONES = ["edge", "hub"]
KINDS = ["std", "parent", "origin"]
DRAIN_GRACE, PURGE_GRACE, PURGE_SETTLES = 0.5, 0.3, 6.0  # seconds
COLD_FROM, COLD, FALL, FALL_MULTIPLE = 0.25, 4.0, 1.0, 3.0
PACE = 4000.0  # KB a second of one transfer
WEIGHT = 4.0  # transfers at full pace that a cache can do
MOMENTARY = ("ENOBUFS", "ENOMEM", "EINTR")


@dataclass(frozen=True)
class RequestClass:
    """A class of requests; times in seconds."""

    name: str
    effect: str  # 'repeatable', 'by_key' or 'once'
    scope: str  # of `by_key`: 'all', 'zone' or 'cell'
    deadline: float
    window: float
    fresh: float  # 0: copies are good until they are purged


@dataclass(frozen=True)
class Happening:
    """Something that is done to a process at a second of the run."""

    at: float
    what: str
    whom: int = 0
    span: float = 0.0


@dataclass(frozen=True)
class Path:
    """What a proxy does to a connection: `delay` seconds each way, `piece` bytes at a time (0: as they come),
    and how long the end of a side is held back.
    """

    delay: float = 0.0
    piece: int = 0
    hold_end: float = 0.0


STRAIGHT = Path()  # no proxy


@dataclass(frozen=True)
class Plan:
    """All that one seed plays."""

    seed: int
    seconds: float
    directors: int
    caches: int
    classes: tuple[RequestClass, ...]
    clients: int  # for each director
    crowd: int  # idle connections for each director
    sockets: int
    scripts: tuple[dict[str, Any], ...]  # of the fault injection, by director
    client_paths: tuple[Path, ...]  # one is drawn for each client
    node_path: Path
    resets: float  # share of commands under which a node resets the connection
    errors: float
    hangs: float  # share of commands that a node never answers
    happenings: tuple[Happening, ...] = field(default=())

    def settings(self) -> dict[str, Any]:
        """The platform's settings, as a director is told them."""
        return {
            "classes": [
                {
                    "name": one.name,
                    "aim": 200_000,
                    "deadline": int(one.deadline * 1e6),
                    "semantics": one.effect,
                    "dedup-scope": one.scope if one.effect == "by_key" else "",
                    "window": int(one.window * 1e6),
                }
                for one in self.classes
            ],
            "balancers": self.directors,
            "zone": 0,
            "extra": {
                "store-kind": 2,
                "second-tier-kind": 1,
                "note-level": "all",
                "class-write": [one.effect != "repeatable" for one in self.classes],
                "class-fresh": [int(one.fresh * 1e6) for one in self.classes],
                "class-grace": [0 for _ in self.classes],
                "purge-settles": int(PURGE_SETTLES * 1e6),
                "obey-after": int(PURGE_GRACE * 1e6),
                "one-flow-kb-per-s": PACE,
                "attached-to": [1, 1],
                "crew-by-zone": [self.directors, 0],
                "parent-cold-from": 0.2,
                "parent-warms-in": int(COLD * 1e6),
                "parent-limit-factor": 2.0,
                "joins": True,
                "bypass-allowed": True,
            },
            "failure-domains": ZONES,
            "shapes": KINDS,
            "policy-limits": {
                "conn-idle": 4_000_000,
                "dial-timeout": 400_000,
                "max-attempts": 5,
                "max-retry-after": 300_000,
                "may-cancel": True,
                "multiplex": 32,
                "retry-after": True,
            },
            "rules": {
                "cold-from": COLD_FROM,
                "cold": int(COLD * 1e6),
                "fall": int(FALL * 1e6),
                "fall-multiple": FALL_MULTIPLE,
                "drain-grace": int(DRAIN_GRACE * 1e6),
            },
            "telemetry": {"fields": ["busy", "rif"], "how": "inline"},
            "weight-kind": "nominal",
            "granularity": 2000,
        }


def _script(draw: Random) -> dict[str, Any]:
    """Faults of one director's system calls and wall clock."""
    calls: list[dict[str, Any]] = []
    for call in draw.sample(["send", "recv_into", "setsockopt", "accept", "connect", "socket"], 3):
        names = {
            "accept": ("ECONNABORTED", "ENFILE", "ENOBUFS", "EINTR", "EPROTO"),
            "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EINTR", "EAGAIN"),
            "socket": ("ENFILE", "ENOBUFS", "EMFILE"),
            "setsockopt": ("ENOBUFS", "ENOMEM"),
        }.get(call, MOMENTARY)
        calls.append({"call": call, "errno": draw.choice(names), "share": draw.choice([0.01, 0.05, 0.2])})
    if draw.random() < 0.3:  # one call fails altogether for a moment
        at = draw.uniform(1.0, 4.0)
        call = draw.choice(["send", "recv_into", "accept"])
        calls.append({"call": call, "errno": "ENOBUFS", "from": at, "until": at + draw.uniform(0.02, 0.15)})
    steps = []
    if draw.random() < 0.6:
        steps.append([draw.uniform(0.5, 4.0), draw.choice([3.0, -3.0, 7.0, -7.0, 3600.0, -3600.0])])
    short = []
    if draw.random() < 0.5:
        short = [{"call": "send", "share": 0.1}, {"call": "recv_into", "share": 0.1}]
    return {"seed": draw.randrange(2**31), "calls": calls, "short": short, "steps": steps}


def _classes(draw: Random) -> tuple[RequestClass, ...]:
    read = RequestClass("read", "repeatable", "", draw.choice([0.6, 1.5, 3.0]), 0.0, draw.choice([0.0, 2.0]))
    other = RequestClass("part", "repeatable", "", draw.choice([1.0, 2.5]), 0.0, 0.0)
    scope = draw.choice(["all", "zone", "cell"])
    keyed = RequestClass("order", "by_key", scope, draw.choice([0.8, 2.0]), draw.choice([0.3, 1.0, 5.0]), 0.0)
    once = RequestClass("payment", "once", "", draw.choice([0.8, 2.0]), 0.0, 0.0)
    return read, other, keyed, once


def _signals(draw: Random, seconds: float, directors: int) -> list[Happening]:
    happenings = []
    for whom in range(directors):
        kind = draw.choice(["term", "term", "kill", "none", "hup", "stop"])
        at = draw.uniform(2.0, seconds - 3.0)
        if kind == "term":
            happenings.append(Happening(at, "term", whom))
            for _ in range(draw.randrange(3)):
                again = at + draw.uniform(0.05, 1.0)
                happenings.append(Happening(again, draw.choice(["signal term", "signal hup"]), whom))
        elif kind == "kill":
            happenings.append(Happening(at, "kill", whom))
        elif kind == "hup":
            happenings += [Happening(at + 0.1 * i, "signal hup", whom) for i in range(4)]
        elif kind == "stop":
            happenings.append(Happening(at, "stop", whom, draw.uniform(0.05, 0.25)))
    return happenings


def _troubles(draw: Random, seconds: float, caches: int) -> list[Happening]:
    """What happens to cache nodes and to discovery."""
    happenings = []
    for _ in range(draw.randrange(1, 4)):
        what = draw.choice(["hang", "die", "drain", "restart", "idle close", "idle reset"])
        at, span = draw.uniform(1.0, seconds - 3.0), draw.uniform(0.3, 2.0)
        happenings.append(Happening(at, what, draw.randrange(caches), span))
    if draw.random() < 0.4:
        happenings.append(
            Happening(draw.uniform(1.0, seconds - 3.5), "discovery down", 0, draw.uniform(0.5, 2.5))
        )
    if draw.random() < 0.4:
        happenings.append(Happening(draw.uniform(1.0, seconds - 3.0), "discovery moves"))
    for _ in range(draw.randrange(8)):
        happenings.append(Happening(draw.uniform(0.5, seconds - 1.0), "purge", draw.randrange(40)))
    for _ in range(draw.randrange(3)):
        happenings.append(Happening(draw.uniform(0.5, seconds - 1.0), "purge group", draw.randrange(8)))
    return happenings


def plan(seed: int, seconds: float = 8.0) -> Plan:
    """What a seed plays in so many seconds."""
    draw = Random(seed)
    directors, caches = draw.choice([1, 2, 3]), draw.choice([2, 3, 5, 8])
    crowd = draw.choice([0, 0, 0, 150])
    paths = [STRAIGHT]
    if draw.random() < 0.5:
        paths.append(Path(draw.uniform(0.02, 0.1), 0, draw.choice([0.0, 0.05, 0.2])))
    if draw.random() < 0.3:
        paths.append(Path(0.0, draw.choice([1, 7, 100]), 0.0))
    node_path = Path(draw.uniform(0.0, 0.03), draw.choice([0, 0, 50])) if draw.random() < 0.3 else STRAIGHT
    happenings = _signals(draw, seconds, directors) + _troubles(draw, seconds, caches)
    return Plan(
        seed=seed,
        seconds=seconds,
        directors=directors,
        caches=caches,
        classes=_classes(draw),
        clients=draw.choice([4, 8, 12]),
        crowd=crowd,
        sockets=128 if crowd else draw.choice([256, 1024]),
        scripts=tuple(_script(draw) for _ in range(directors)),
        client_paths=tuple(paths),
        node_path=node_path,
        resets=draw.choice([0.0, 0.01, 0.03]),
        errors=draw.choice([0.0, 0.02, 0.1]),
        hangs=draw.choice([0.0, 0.01, 0.03]),
        happenings=tuple(sorted(happenings, key=lambda one: one.at)),
    )
