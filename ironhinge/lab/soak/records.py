"""What clients and stand-ins record during a run: the only input of the audit besides the plan.

Times are in seconds on the monotonic clock of the process that runs all clients and stand-ins.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import NamedTuple


class AnswerCode(IntEnum):
    """Result codes of answers to clients."""

    SERVED = 1
    REJECTED = 2
    FAILED = 3


class ConnectionEnding(StrEnum):
    """How a client's connection ended."""

    BY_DIRECTOR = "end"  # closed by the director
    RESET = "reset"  # ended by a connection error
    BY_CLIENT = "ours"  # closed or reset by the client


class NotificationKind(StrEnum):
    """What a discovery event reports about its target: the state of a node, or a purge."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"
    OBJECT_PURGED = "object"
    GROUP_PURGED = "group"


@dataclass(slots=True)
class ConnectionRecord:
    """A client's connection to a director."""

    number: int
    director: int
    incarnation: int  # number of the director's process, from 1
    path_delay: float  # seconds by which a proxy delays bytes, in each direction
    end_delay: float  # additional seconds by which it delays the close of either side
    opened_at: float
    error_at: float | None = None  # the director reported a protocol error by the client
    goaway_at: float | None = None  # the director announced that it accepts no new requests
    ended_at: float | None = None
    ending: ConnectionEnding | None = None


class AnswerRecord(NamedTuple):
    """An answer that a client received."""

    at: float
    code: int
    body: str  # the start of the body, without the padding


@dataclass(slots=True)
class RequestRecord:
    """A request that a client started, and its answers; a retry is a request of its own."""

    trace: str
    operation: str  # same for all retries: the requested object, or the trace of a write's first request
    class_name: str
    connection: ConnectionRecord
    client_timeout: float  # seconds
    started_at: float = 0.0
    written_at: float | None = None  # when the last byte was passed to the transport
    cancelled_at: float | None = None  # by a CANCEL frame, or by closing the connection
    answers: list[AnswerRecord] = field(default_factory=list)  # more than one is a violation


@dataclass(slots=True)
class Arrival:
    """A command that a node received."""

    node: str
    trace: str
    at: float  # arrival of its first byte
    complete_at: float  # when it was received completely
    fields: dict[str, str]  # of the command


@dataclass(slots=True)
class Execution:
    """The execution of a write at a node."""

    node: str
    operation: str
    cell: int
    at: float


@dataclass(slots=True)
class ColdStart:
    """A start of a node with an empty cache."""

    node: str
    started_at: float
    announced_at: float | None = None  # when discovery published that the node is ready


@dataclass(slots=True)
class Notification:
    """An event that was sent to a director over its discovery connection, or in its configuration."""

    director: int
    incarnation: int
    at: float
    kind: NotificationKind
    target: str  # name of a node, an object or a group
    happened_at: float  # when the event was published or the configuration written


@dataclass(slots=True)
class DirectorIncarnation:
    """One process of a director: a new one is started after each exit."""

    director: int
    number: int  # from 1
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # when SIGTERM was sent
    killed_at: float | None = None  # when SIGKILL was sent
    exited_at: float | None = None
    exit_code: int | None = None
    pauses: list[tuple[float, float]] = field(default_factory=list)  # from SIGSTOP to SIGCONT
    peak_descriptors: int = 0
    peak_memory_mb: float = 0.0
    cpu_wait: float = 0.0  # seconds that the process was ready to run and had no processor
    cpu_waits: list[tuple[float, float]] = field(default_factory=list)  # when measured, and the longer waits
    log_path: str = ""


class ExcessConnections(NamedTuple):
    """More connections of a director to discovery than it may have, or two for longer than it needs them."""

    director: int
    connections: int
    seconds: float  # for which there were so many at least


@dataclass(slots=True)
class Records:
    """All records of a run."""

    connections: list[ConnectionRecord] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    notifications: list[Notification] = field(default_factory=list)
    incarnations: list[DirectorIncarnation] = field(default_factory=list)
    excess_connections: list[ExcessConnections] = field(default_factory=list)
    unix_offset: float = 0.0  # seconds to add to a monotonic time to get Unix time
    max_lag: float = 0.0  # seconds: the largest lag of the recording process
    lags: list[tuple[float, float]] = field(default_factory=list)  # time and seconds of each lag over 20 ms
