"""What clients and servers write down during a run; the audit knows nothing else. Times are seconds of the
monotonic clock of the process that plays all of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

SERVED, REFUSED, FAILED = 1, 2, 3


@dataclass
class Connection:
    """A client's connection to a director."""

    number: int
    director: int
    life: int  # which process of that director, from 1
    path_delay: float  # seconds that a proxy holds what goes either way
    end_delay: float  # and how much longer it holds the end of a side
    opened_at: float
    error_at: float | None = None  # the director said that the client broke the protocol
    announced_at: float | None = None  # the director said that it takes no new request
    ended_at: float | None = None
    ending: str = ""  # 'end', 'reset' or 'ours'


@dataclass
class Try:
    """One request on the wire."""

    trace: str
    operation: str  # what its tries have in common: the object of a write, the trace otherwise
    cls: str
    connection: Connection
    patience: float  # seconds
    begun_at: float = 0.0
    written_at: float | None = None  # its last byte was given to the system
    left_at: float | None = None  # the client cancelled it or closed
    answers: list[tuple[float, int, str]] = field(default_factory=list)  # time, code, body


@dataclass
class Arrival:
    """A command that came to a node."""

    node: str
    trace: str
    at: float  # of its first byte
    whole_at: float
    fields: dict[str, str]


@dataclass
class Run:
    """A command had its effect."""

    node: str
    operation: str
    cell: int
    at: float


@dataclass
class NodeLife:
    """When a node started cold, was told so, and when it drained or went."""

    node: str
    started_at: float
    cold_told_at: float | None = None


@dataclass
class Told:
    """An event that was written to a director's connection to discovery."""

    director: int
    life: int
    at: float
    what: str  # 'ready', 'draining', 'gone', 'object' or 'group'
    whom: str
    happened_at: float


@dataclass
class DirectorLife:
    """A process of a director."""

    director: int
    life: int
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # SIGTERM
    killed_at: float | None = None  # SIGKILL
    exited_at: float | None = None
    exit_code: int | None = None
    stops: list[tuple[float, float]] = field(default_factory=list)
    most_descriptors: int = 0
    most_memory_mb: float = 0.0
    log: str = ""


@dataclass
class Records:
    """All of a run."""

    connections: list[Connection] = field(default_factory=list)
    tries: list[Try] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    nodes: list[NodeLife] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    lives: list[DirectorLife] = field(default_factory=list)
    copies: dict[str, float] = field(default_factory=dict)  # by answer's body: when the origin gave it out
    lag: float = 0.0  # seconds that the recording process itself was late, at most
    lags: list[tuple[float, float]] = field(default_factory=list)  # when, and by how much, over 20 ms
