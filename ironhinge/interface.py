"""What a front tells the decision module, and what the module tells it to do: types only.

Times are whole tenths of a millisecond on the front's clock; sizes are KB; ids are opaque text.
A front makes one `brain.Router` for each instance from `Deployment` facts and a seed, calls
`router.step(now, happening)` for each thing that happened, in order, and carries out the actions that come
back, in order.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Optional, Protocol, Tuple, Union

# Facts of a deployment


class Vhost(NamedTuple):
    target: int  # first-byte target
    stretch: float  # the target grows by this many times the req's own sending time
    timeout: int  # client timeout
    value: float  # what a done req is worth
    late_share: float  # share of the value earned past the target
    effect: str  # 'replayable', 'uniqued' or 'non-replayable'
    scope: str  # uniqued: repeats are dropped by 'all' nodes, those of one 'zone' or of one 'cell'
    window: int  # uniqued: for how long repeats are dropped
    writes: bool  # runs at the origin and leaves no copy
    fresh: int  # fresh time of a copy; 0 for no limit
    grace: int  # time past fresh in which a copy may still be served
    aged_share: float  # share of the value that a copy past fresh earns
    parts: bool  # objects come in parts


@dataclass(frozen=True)
class Deployment:
    vhosts: Tuple[Vhost, ...]
    zone: int  # where this router stands
    routers: int  # of all locations
    routers_here: int  # of this location
    hub_of: Tuple[int, ...]  # by zone
    inlet: Tuple[float, ...]  # by zone: KB a second of its link in; 0 where not told
    parent_kind: int  # -1: no parents
    origin_kind: int
    bypass: bool  # parents and the origin take dispatches too
    siblings: str  # which caches can be the source of a fill: 'none', 'location', 'any'
    joins: bool  # a req may join a fill under way
    notes: str  # which notes come with answers: 'all', 'hit' or 'none'
    pace: float  # KB a second of one transfer to a client; 0 where not told
    weights: str  # what a node's weight holds: 'none', 'nominal', 'rough' or 'live'
    load_fields: Tuple[str, ...]  # names of the values of a load report
    must_watch: bool  # the list of nodes comes only to those that watch
    ask_within: int
    max_dispatches: int
    probes: bool
    peers: bool
    cancels: bool
    backoff: int  # longest advice that clients follow; 0 where none is given
    cold_from: float  # least share of its capacity with which a node starts
    cold: int  # by then it is warm
    fall_multiple: float  # sent more than this many times its capacity
    fall: int  # for this long, a cold node falls over
    parent_cold_from: float
    parent_cold: int
    parent_fall_multiple: float
    origin_fall_multiple: float  # asked for this many times what it can do, the origin stops; 0: never
    drain_grace: int
    purge_grace: int
    purge_settles: int  # by then old copies are gone everywhere
    tick: int  # shortest gap between two batches of happenings
    prices: Tuple[Tuple[str, float], ...]


# What happened


class NodeRow(NamedTuple):
    id: str
    state: str  # 'ready', 'draining' or 'gone'
    cell: int
    zone: int
    started: int  # 0: long ago
    weight: float
    kind: int


class Started(NamedTuple):
    """The instance has just been made."""


class Listed(NamedTuple):
    whole: bool  # the full list, not just changes
    rows: Tuple[NodeRow, ...]


class ListFailed(NamedTuple):
    """A call for the list failed or the watch broke; the old list holds."""


class ReqCame(NamedTuple):
    id: str
    obj: int
    part: int
    group: int
    size: float  # 0: not told
    left: int  # until the client gives up
    vhost: int
    repeat: bool
    write: bool
    viewer: int = 0  # whose connection it came on; 0 where that is not told


class Streaming(NamedTuple):
    id: str


class Outcome(NamedTuple):
    id: str
    number: int  # which dispatch of the req
    node: str
    # 'done', 'error', 'full', 'timeout', 'unconnected', 'reset', 'cut' (the connection broke before it was
    # sent: it never ran), 'cancelled', 'unsent', 'miss'
    result: str
    took: int
    closed: bool  # the req is finished
    note: int
    first_byte: int
    load: Optional[Tuple[float, ...]]


class Left(NamedTuple):
    """The client has gone; nothing more is owed."""

    id: str


class Own(NamedTuple):
    """What became of a copy of our own that was to be served."""

    id: str
    served: bool


class Purged(NamedTuple):
    obj: Optional[int]  # None: the whole group
    group: int
    age: int  # time since the purge, rounded down


class Rang(NamedTuple):
    token: str


class Probed(NamedTuple):
    node: str
    result: str
    took: int
    load: Optional[Tuple[float, ...]]


class Closing(NamedTuple):
    """The instance ends: each open req needs its final answer within this time."""

    left: int


class PeerSaid(NamedTuple):
    sender: int
    data: bytes


Happening = Union[
    Started,
    Listed,
    ListFailed,
    ReqCame,
    Streaming,
    Outcome,
    Left,
    Purged,
    Rang,
    Probed,
    PeerSaid,
    Closing,
    Own,
]


# What is to be done


class Ask(NamedTuple):
    """Dispatch for what the node holds fresh."""

    id: str
    node: str
    until: int
    begin_by: int = 0  # not begun by then it must never be; 0: any time


class Fetch(NamedTuple):
    """Dispatch that says where a miss is filled from, the rank to keep it at and the oldest copy that will
    do."""

    id: str
    node: str
    until: int
    source: str  # the node itself: no fill
    rank: int  # 0: not kept
    age: int  # 0: the vhost's fresh time
    join: bool
    renew: bool
    held_only: bool  # the source gives only what it holds
    begin_by: int = 0  # not begun by then it must never be; 0: any time


class Serve(NamedTuple):
    """Answer with our own copy, if it can be read in time."""

    id: str


class Keep(NamedTuple):
    """Keep what has just come as a copy of our own."""

    id: str


class CallOff(NamedTuple):
    id: str
    number: int


class Deny(NamedTuple):
    id: str
    backoff: int


class Abort(NamedTuple):
    id: str


class Remind(NamedTuple):
    after: int
    token: str


class Watch(NamedTuple):
    on: bool


class Snapshot(NamedTuple):
    """Ask for the full list once."""


class Probe(NamedTuple):
    node: str


class Say(NamedTuple):
    peer: Optional[int]  # None: all
    data: bytes


class Log(NamedTuple):
    text: str


Action = Union[Ask, Fetch, Serve, Keep, CallOff, Deny, Abort, Remind, Watch, Snapshot, Probe, Say, Log]


# What the module may ask


class Purse(Protocol):
    """Budgets of bytes that operators set; a module without one decides as if there were none."""

    def wait(self, now: int, came: ReqCame, source: str) -> int:
        """0: a fill from that source may go; else the time until there should be room for it."""
        ...


class Shelf(Protocol):
    """Copies of our own, where operators have given them a place."""

    def asked(self, now: int, came: ReqCame) -> int:
        """Counts a req; the age of the copy at hand, -1 where there is none."""
        ...

    def wants(self, now: int, came: ReqCame) -> bool:
        """Whether what has come for this req is worth keeping."""
        ...
