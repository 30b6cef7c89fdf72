"""What clients and stand-ins record during a run; the audit knows nothing else.

Times are seconds of the monotonic clock of the process that plays all clients and stand-ins.
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

    BY_DIRECTOR = "end"  # the director closed it
    RESET = "reset"
    BY_CLIENT = "ours"


class NotificationKind(StrEnum):
    """What an event of discovery tells."""

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
    incarnation: int  # which process of that director, from 1
    path_delay: float  # seconds that a proxy delays bytes in either direction
    end_delay: float  # further seconds that it delays the end of a side
    opened_at: float
    error_at: float | None = None  # the director reported a violation of the protocol
    goaway_at: float | None = None  # the director announced that it takes no new request
    ended_at: float | None = None
    ending: ConnectionEnding | None = None


class AnswerRecord(NamedTuple):
    """An answer that a client received."""

    at: float
    code: int
    body: str  # up to the padding


@dataclass(slots=True)
class RequestRecord:
    """One request on the wire."""

    trace: str
    operation: str  # common to all attempts: the requested object, or the first trace of a write
    class_name: str
    connection: ConnectionRecord
    client_timeout: float  # seconds
    started_at: float = 0.0
    written_at: float | None = None  # the last byte was given to the system
    cancelled_at: float | None = None  # by a frame, or by closing the connection
    answers: list[AnswerRecord] = field(default_factory=list)


@dataclass(slots=True)
class Arrival:
    """A command that a node received."""

    node: str
    trace: str
    at: float  # of its first byte
    complete_at: float
    fields: dict[str, str]


@dataclass(slots=True)
class Execution:
    """A write had its effect at a node."""

    node: str
    operation: str
    cell: int
    at: float


@dataclass(slots=True)
class ColdStart:
    """A node started with an empty cache, and when discovery announced it."""

    node: str
    started_at: float
    announced_at: float | None = None


@dataclass(slots=True)
class Notification:
    """An event that was written to a director's connection to discovery, or into its configuration."""

    director: int
    incarnation: int
    at: float
    kind: NotificationKind
    target: str  # name of a node, an object or a group
    happened_at: float


@dataclass(slots=True)
class DirectorIncarnation:
    """One process of a director."""

    director: int
    number: int  # from 1
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # SIGTERM
    killed_at: float | None = None  # SIGKILL
    exited_at: float | None = None
    exit_code: int | None = None
    pauses: list[tuple[float, float]] = field(default_factory=list)  # SIGSTOP to SIGCONT
    peak_descriptors: int = 0
    peak_memory_mb: float = 0.0
    log_path: str = ""


@dataclass(slots=True)
class Records:
    """Everything that was recorded in a run."""

    connections: list[ConnectionRecord] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    notifications: list[Notification] = field(default_factory=list)
    incarnations: list[DirectorIncarnation] = field(default_factory=list)
    unix_offset: float = 0.0  # seconds from the monotonic clock to Unix time
    max_lag: float = 0.0  # seconds that the recording process itself was late
    lags: list[tuple[float, float]] = field(default_factory=list)  # time and lag, over 20 ms
