"""The states of a client connection: how far its close is, what it was used for, why it is closed."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """How far the close of a connection has progressed."""

    OPEN = "open"
    ANNOUNCED = "announced"  # GOAWAY was sent; requests are still answered
    HALF_CLOSED = "half-closed"  # this side is shut down; input is discarded


class Usage(Enum):
    """What a client has used its connection for."""

    NONE = 0  # the client has sent no frame
    READINESS_ONLY = 1  # the client has sent frames, such as readiness queries, but no request
    REQUESTS = 2


class CloseCause(Enum):
    """Why the director closes a connection."""

    IDLE = "idle"
    NEVER_USED = "never_used"
    CAPACITY = "capacity"  # descriptors are short
    SHUTDOWN = "shutdown"
    PROTOCOL_VIOLATION = "protocol_violation"
