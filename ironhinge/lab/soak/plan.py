"""Draws the plan of a soak run from a seed: request classes, load and faults.

The same seed always gives the same plan. The order of the draws must not change: recorded seeds identify runs
in which the director failed, and have to reproduce them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Any

from .crowds import AbuseKind
from .lateness import Lateness

# seconds: how long after a notification a director may use a draining node or serve a purged copy; nodes have
# applied a purge by themselves after the settle time
DRAIN_GRACE, PURGE_GRACE, PURGE_SETTLE_TIME = 0.5, 0.3, 6.0
# slow start of a cache: its initial share of its weight, and the seconds until it has its full weight; per
# window (seconds), its work is limited to a multiple of that share
SLOW_START_SHARE, SLOW_START_DURATION = 0.25, 4.0
SLOW_START_WINDOW, SLOW_START_MULTIPLE = 1.0, 3.0
TRANSFER_RATE = 4000.0  # KB per second of one transfer
NODE_WEIGHTS = (4, 1)  # concurrent transfers at full rate per cache; one value is drawn per run
GROUPS = 8  # number of purge groups; an object's group is its number modulo this
OBJECTS = 40  # number of objects that are requested and purged

TRANSIENT_ERRORS = ("ENOBUFS", "ENOMEM", "EINTR")
INJECTED_CALLS = ("send", "recv_into", "setsockopt", "accept", "connect", "socket")
ERRORS_BY_CALL = {
    "accept": ("ECONNABORTED", "ENFILE", "ENOBUFS", "EINTR", "EPROTO"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EINTR", "EAGAIN"),
    "socket": ("ENFILE", "ENOBUFS", "EMFILE"),
    "setsockopt": ("ENOBUFS", "ENOMEM"),
}

# probabilities per director (system calls, clock) or per seed (discovery, paths)
CALL_OUTAGE_SHARE = 0.3  # every call of one kind fails for a short time
CLOCK_STEP_SHARE = 0.6
SHORT_CALLS_SHARE = 0.5
DISCOVERY_OUTAGE_SHARE = 0.4
DISCOVERY_MOVE_SHARE = 0.4
DELAYED_PATH_SHARE = 0.5
PIECEWISE_PATH_SHARE = 0.3
NODE_PATH_SHARE = 0.3
PAUSED_SIGNAL_SHARE = 0.5  # share of the signals around which the director is stopped and continued

# seed offset of a separate generator for draws that were added later, so that the older draws stay the same
EXTENSION_SEED_OFFSET = 0x570B
MAX_PAUSE_DURATION = 0.4  # seconds


class Idempotency(StrEnum):
    """Whether a request may be executed more than once; the values are the platform's names."""

    IDEMPOTENT = "repeatable"
    KEYED = "by_key"  # nodes drop repeats with the same idempotency key
    NON_IDEMPOTENT = "once"


class DedupScope(StrEnum):
    """Which nodes share the idempotency keys that they have seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class FaultKind(StrEnum):
    """Kinds of faults and events that a plan applies to directors, nodes and discovery."""

    RESTART_DIRECTOR = "term"
    KILL_DIRECTOR = "kill"
    PAUSE_DIRECTOR = "stop"
    PAUSE_AFTER_WRITE = "stop after write"
    SEND_SIGTERM = "signal term"
    SEND_SIGHUP = "signal hup"
    HANG_NODE = "hang"
    KILL_NODE = "die"
    DRAIN_NODE = "drain"
    RESTART_NODE = "restart"
    CLOSE_CONNECTIONS = "idle close"
    RESET_CONNECTIONS = "idle reset"
    STOP_DISCOVERY = "discovery down"
    MOVE_DISCOVERY = "discovery moves"
    PURGE_OBJECT = "purge"
    PURGE_GROUP = "purge group"
    STEP_PLATFORM_CLOCK = "platform clock step"


# one is drawn, equally likely; RESTART_DIRECTOR is listed twice to double its share; None: no fault
DIRECTOR_FAULTS = (
    FaultKind.RESTART_DIRECTOR,
    FaultKind.RESTART_DIRECTOR,
    FaultKind.KILL_DIRECTOR,
    None,
    FaultKind.SEND_SIGHUP,
    FaultKind.PAUSE_DIRECTOR,
)
NODE_FAULTS = (
    FaultKind.HANG_NODE,
    FaultKind.KILL_NODE,
    FaultKind.DRAIN_NODE,
    FaultKind.RESTART_NODE,
    FaultKind.CLOSE_CONNECTIONS,
    FaultKind.RESET_CONNECTIONS,
)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class; times in seconds."""

    name: str
    idempotency: Idempotency
    dedup_scope: DedupScope | None  # of keyed classes
    deadline: float
    dedup_window: float
    freshness_lifetime: float  # of a copy; 0: no limit, copies are served until they are purged


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """A fault that is applied at a given time of the run."""

    at: float  # seconds since the start of the load
    kind: FaultKind
    target: int = 0  # index of a director or cache, or number of an object or group
    duration: float = 0.0  # seconds; of a step of the clock: its size, negative if it is set back


@dataclass(frozen=True, slots=True)
class NetworkPath:
    """How a proxy delays and splits the bytes of its connections."""

    delay: float = 0.0  # seconds in each direction
    piece_bytes: int = 0  # bytes forwarded at a time; 0: forwarded as they arrive
    end_delay: float = 0.0  # additional seconds by which the close of either side is delayed


@dataclass(frozen=True, slots=True)
class AbuseEvent:
    """A crowd of bad clients at one director."""

    at: float  # seconds since the start of the load
    duration: float  # seconds
    kind: AbuseKind
    director: int
    connections: int


class BacklogPattern(StrEnum):
    """How discovery tells a process what it held when that connected for the first time."""

    AT_ONCE = "at once"
    LATE = "late"
    IN_PIECES = "in pieces"
    ONE_BY_ONE = "one by one"
    SILENT = "not on the first connection"


@dataclass(frozen=True, slots=True)
class BacklogDelivery:
    """Events that discovery holds from before the start of a process, and how it tells them."""

    config_age: float  # seconds from the writing of the configuration to the start of the process
    pattern: BacklogPattern
    delay: float  # seconds until the first byte, if it is late
    duration: float  # seconds in which all events are written, in pieces or one by one
    purges_before: int  # purges of objects that nobody requests, ahead of the other events


@dataclass(frozen=True, slots=True)
class DiscoveryDelay:
    """A time for which the paths from discovery to all directors are late."""

    at: float  # seconds since the start of the load; negative: from before the start of the directors
    duration: float  # seconds
    lateness: Lateness


DIRECT_PATH = NetworkPath()  # no proxy


@dataclass(frozen=True, slots=True)
class Plan:
    """All parameters and faults of the run of one seed."""

    seed: int
    seconds: float  # minimum duration of the load
    director_count: int
    cache_count: int
    classes: tuple[RequestClass, ...]
    clients_per_director: int
    idle_connections: int  # per director
    descriptor_limit: int
    injection_scripts: tuple[dict[str, Any], ...]  # by director
    client_paths: tuple[NetworkPath, ...]  # one is drawn per client
    node_path: NetworkPath
    # shares of the commands that a node receives
    reset_share: float  # connection reset after execution; half of this share before execution
    error_share: float  # rejected without execution; half of this share gets an error after execution
    unanswered_share: float  # executed and not answered
    fault_events: tuple[FaultEvent, ...] = ()
    node_weight: int = NODE_WEIGHTS[0]
    memory_limit_mb: int = 192
    event_write_time: float = 0.0  # seconds in which discovery writes each event in pieces; 0: at once
    crowds: tuple[AbuseEvent, ...] = ()
    backlog: BacklogDelivery | None = None  # None: the configuration is written right before each start
    discovery_delays: tuple[DiscoveryDelay, ...] = ()
    sends_full_lists: bool = False  # discovery writes the whole list to each new connection
    has_coinciding_times: bool = False  # client timeouts after which a deadline is the end of a window


def _draw_injection_script(rng: Random) -> dict[str, Any]:
    """Draw the fault script of one director (system calls, wall clock) for `lab/injection`."""
    calls: list[dict[str, Any]] = []
    for call in rng.sample(INJECTED_CALLS, 3):
        errors = ERRORS_BY_CALL.get(call, TRANSIENT_ERRORS)
        calls.append({"call": call, "errno": rng.choice(errors), "share": rng.choice([0.01, 0.05, 0.2])})
    if rng.random() < CALL_OUTAGE_SHARE:
        at = rng.uniform(1.0, 4.0)
        call = rng.choice(["send", "recv_into", "accept"])
        calls.append({"call": call, "errno": "ENOBUFS", "from": at, "until": at + rng.uniform(0.02, 0.15)})
    steps = []
    if rng.random() < CLOCK_STEP_SHARE:
        steps.append([rng.uniform(0.5, 4.0), rng.choice([3.0, -3.0, 7.0, -7.0, 3600.0, -3600.0])])
    short = []
    if rng.random() < SHORT_CALLS_SHARE:
        short = [{"call": "send", "share": 0.1}, {"call": "recv_into", "share": 0.1}]
    return {"seed": rng.randrange(2**31), "calls": calls, "short": short, "steps": steps}


def _draw_classes(rng: Random) -> tuple[RequestClass, ...]:
    read_deadline, read_freshness_lifetime = rng.choice([0.6, 1.5, 3.0]), rng.choice([0.0, 2.0])
    read = RequestClass("read", Idempotency.IDEMPOTENT, None, read_deadline, 0.0, read_freshness_lifetime)
    part = RequestClass("part", Idempotency.IDEMPOTENT, None, rng.choice([1.0, 2.5]), 0.0, 0.0)
    dedup_scope = rng.choice([DedupScope.ALL, DedupScope.ZONE, DedupScope.CELL])
    order_deadline, window = rng.choice([0.8, 2.0]), rng.choice([0.3, 1.0, 5.0])
    order = RequestClass("order", Idempotency.KEYED, dedup_scope, order_deadline, window, 0.0)
    payment = RequestClass("payment", Idempotency.NON_IDEMPOTENT, None, rng.choice([0.8, 2.0]), 0.0, 0.0)
    return read, part, order, payment


def _draw_director_faults(rng: Random, seconds: float, directors: int) -> list[FaultEvent]:
    events = []
    for director in range(directors):
        kind = rng.choice(DIRECTOR_FAULTS)
        at = rng.uniform(2.0, seconds - 3.0)
        match kind:
            case FaultKind.RESTART_DIRECTOR:
                events.append(FaultEvent(at, kind, director))
                for _ in range(rng.randrange(3)):
                    signal_at = at + rng.uniform(0.05, 1.0)
                    signal_kind = rng.choice([FaultKind.SEND_SIGTERM, FaultKind.SEND_SIGHUP])
                    events.append(FaultEvent(signal_at, signal_kind, director))
            case FaultKind.KILL_DIRECTOR:
                events.append(FaultEvent(at, kind, director))
            case FaultKind.SEND_SIGHUP:
                events += [FaultEvent(at + 0.1 * i, kind, director) for i in range(4)]
            case FaultKind.PAUSE_DIRECTOR:
                events.append(FaultEvent(at, kind, director, rng.uniform(0.05, 0.25)))
    return events


def _draw_pauses(rng: Random, seconds: float, directors: int, events: list[FaultEvent]) -> list[FaultEvent]:
    """Draw pauses (SIGSTOP to SIGCONT) around the directors' signals and right after writes of clients."""
    pauses = []
    for event in events:
        is_signal = event.kind in (
            FaultKind.RESTART_DIRECTOR,
            FaultKind.SEND_SIGTERM,
            FaultKind.SEND_SIGHUP,
        )
        if is_signal and rng.random() < PAUSED_SIGNAL_SHARE:
            at, duration = event.at - rng.uniform(0.0, 0.05), rng.uniform(0.05, 0.3)
            pauses.append(FaultEvent(at, FaultKind.PAUSE_DIRECTOR, event.target, duration))
    for _ in range(rng.randrange(2, 6)):
        at, duration = rng.uniform(0.5, seconds - 1.0), rng.uniform(0.02, MAX_PAUSE_DURATION)
        targets = rng.choice([range(directors), [rng.randrange(directors)]])
        pauses += [FaultEvent(at, FaultKind.PAUSE_AFTER_WRITE, target, duration) for target in targets]
    return pauses


def _draw_platform_faults(rng: Random, seconds: float, caches: int) -> list[FaultEvent]:
    """Draw faults of cache nodes and of discovery, and purges."""
    events = []
    for _ in range(rng.randrange(1, 4)):
        kind = rng.choice(NODE_FAULTS)
        at, duration = rng.uniform(1.0, seconds - 3.0), rng.uniform(0.3, 2.0)
        events.append(FaultEvent(at, kind, rng.randrange(caches), duration))
    if rng.random() < DISCOVERY_OUTAGE_SHARE:
        at, duration = rng.uniform(1.0, seconds - 3.5), rng.uniform(0.5, 2.5)
        events.append(FaultEvent(at, FaultKind.STOP_DISCOVERY, 0, duration))
    if rng.random() < DISCOVERY_MOVE_SHARE:
        events.append(FaultEvent(rng.uniform(1.0, seconds - 3.0), FaultKind.MOVE_DISCOVERY))
    for _ in range(rng.randrange(8)):
        at = rng.uniform(0.5, seconds - 1.0)
        events.append(FaultEvent(at, FaultKind.PURGE_OBJECT, rng.randrange(OBJECTS)))
    for _ in range(rng.randrange(3)):
        at = rng.uniform(0.5, seconds - 1.0)
        events.append(FaultEvent(at, FaultKind.PURGE_GROUP, rng.randrange(GROUPS)))
    return events


def _draw_client_paths(rng: Random) -> tuple[NetworkPath, ...]:
    paths = [DIRECT_PATH]
    if rng.random() < DELAYED_PATH_SHARE:
        paths.append(NetworkPath(rng.uniform(0.02, 0.1), 0, rng.choice([0.0, 0.05, 0.2])))
    if rng.random() < PIECEWISE_PATH_SHARE:
        paths.append(NetworkPath(0.0, rng.choice([1, 7, 100]), 0.0))
    return tuple(paths)


def _draw_node_path(rng: Random) -> NetworkPath:
    if rng.random() < NODE_PATH_SHARE:
        return NetworkPath(rng.uniform(0.0, 0.03), rng.choice([0, 0, 50]))
    return DIRECT_PATH


def draw_plan(seed: int, seconds: float = 8.0) -> Plan:
    """Return the plan of a seed for a run of `seconds` seconds, by the first version of the draws."""
    rng = Random(seed)
    directors, caches = rng.choice([1, 2, 3]), rng.choice([2, 3, 5, 8])
    idle_connections = rng.choice([0, 0, 0, 150])
    client_paths = _draw_client_paths(rng)
    node_path = _draw_node_path(rng)
    events = _draw_director_faults(rng, seconds, directors) + _draw_platform_faults(rng, seconds, caches)
    extension_rng = Random(seed + EXTENSION_SEED_OFFSET)
    events += _draw_pauses(extension_rng, seconds, directors, events)
    return Plan(
        seed=seed,
        seconds=seconds,
        director_count=directors,
        cache_count=caches,
        classes=_draw_classes(rng),
        clients_per_director=rng.choice([4, 8, 12]),
        idle_connections=idle_connections,
        descriptor_limit=128 if idle_connections else rng.choice([256, 1024]),
        injection_scripts=tuple(_draw_injection_script(rng) for _ in range(directors)),
        client_paths=client_paths,
        node_path=node_path,
        reset_share=rng.choice([0.0, 0.01, 0.03]),
        error_share=rng.choice([0.0, 0.02, 0.1]),
        unanswered_share=rng.choice([0.0, 0.01, 0.03]),
        fault_events=tuple(sorted(events, key=lambda event: event.at)),
        node_weight=extension_rng.choice(NODE_WEIGHTS),
    )
