"""The memory of the process: what is left after the base, and who holds it.

The base is what the process has resident once it is ready to serve. Connections, open requests, their bodies,
incomplete frames and queued output take from the rest, less a reserve for what is not counted: copies during
a read, the router's tables, and free memory that the allocator can't give back.
"""

from __future__ import annotations

from collections.abc import Callable, Sized
from dataclasses import dataclass
from math import inf

from .memory_budget import BYTES_PER_MB, MemoryBudget

RESERVE_SHARE = 0.12  # of the memory limit
CONNECTION_BYTES = 10_000  # of a connection without input or output
OPEN_REQUEST_BYTES = 5_000  # of an open request and its attempt, without the body
CONNECTION_SHARE = 0.6  # of what is left after the base, for connections
DATA_SHARE = 0.7  # of what connections leave, for bodies and incomplete frames
AMPLE_SHARE = 0.1  # of what is left after the base
UNCHECKED_REQUESTS = 100  # let in between two measurements without a check, while there is ample room
MIN_OUTPUT_SHARE = 0.2  # for output in any case: less would close connections for what others hold
PRESSURE_SHARE = 0.94  # of the memory limit: from there on nothing more is taken in
MIN_HELD_SHARE = 0.25  # of what is left after the base; less can't be what the process is short of


def _nothing() -> int:
    return 0


def _unknown() -> int | None:
    """Returns None; the default of `MemoryAccount.read_resident`."""
    return None


@dataclass(slots=True)
class MemoryUse:
    """What holds memory: each attribute returns a count, or a number of bytes.

    Attributes:
        connections: The number of open connections.
        max_connections: The most that may be open.
        requests: The number of open requests.
        body_bytes: Bodies of open requests.
        frame_bytes: Incomplete frames.
        output_bytes: Queued output, with its buffers.
    """

    connections: Callable[[], int] = _nothing
    max_connections: Callable[[], int] = _nothing
    requests: Callable[[], int] = _nothing
    body_bytes: Callable[[], int] = _nothing
    frame_bytes: Callable[[], int] = _nothing
    output_bytes: Callable[[], int] = _nothing


class MemoryAccount:
    """Counts the memory that clients cause against what is left after the base.

    Attributes:
        limit: Bytes that the process may have resident; infinite if that is unknown.
        resident: Resident bytes when they were last measured.
        is_under_pressure: So much is resident that nothing more is taken in.
        use: What holds memory.
        read_resident: Returns the resident bytes of this process; None if they are unknown.
    """

    def __init__(self, memory_mb: int):
        """`memory_mb` is the memory limit of the process; 0 if it is unknown."""
        self.limit = memory_mb * BYTES_PER_MB or inf
        self.resident = 0
        self.is_under_pressure = False
        self.use = MemoryUse()
        self.read_resident: Callable[[], int | None] = _unknown
        self._unchecked_requests = 0  # that may be let in without a check, as there was ample room
        self._headroom: float = self.limit  # bytes above the base; set once the base is known

    def observe(
        self,
        open_requests: Sized,
        bodies: Callable[[], MemoryBudget],
        incomplete_frames: Callable[[], MemoryBudget],
    ) -> None:
        """Counts the open requests, their bodies and the incomplete frames of clients."""
        self.use.requests = lambda: len(open_requests)
        self.use.body_bytes = lambda: bodies().used
        self.use.frame_bytes = lambda: incomplete_frames().used

    def set_base(self) -> None:
        """Takes what is resident now for the base; called once the process is ready to serve."""
        self.resident = self.read_resident() or 0
        self._headroom = max(0.0, self.limit * (1 - RESERVE_SHARE) - self.resident)

    def max_connections(self) -> float:
        """Returns how many connections the memory allows."""
        return CONNECTION_SHARE * self._headroom / CONNECTION_BYTES

    def held_bytes(self) -> int:
        """Returns what connections, requests, bodies, frames and queued output hold together."""
        connections = self.use.connections() * CONNECTION_BYTES
        requests = self.use.requests() * OPEN_REQUEST_BYTES
        return connections + requests + self._held_by_data() + self.use.output_bytes()

    def _held_by_data(self) -> int:
        return self.use.body_bytes() + self.use.frame_bytes()

    def _reserved_for_others(self) -> int:
        return self.use.max_connections() * CONNECTION_BYTES + self.use.requests() * OPEN_REQUEST_BYTES

    def can_hold_request(self) -> bool:
        """Returns whether one more request may be open."""
        if self._unchecked_requests:
            self._unchecked_requests -= 1
            return True
        held = self._reserved_for_others() + self._held_by_data() + self.use.output_bytes()
        return not self.is_under_pressure and held + OPEN_REQUEST_BYTES <= self._headroom

    def can_hold_data(self, size: int) -> bool:
        """Returns whether bodies and incomplete frames may hold `size` more bytes.

        Some of the rest is left for requests without a body, which then are not rejected for those with one.
        """
        if self.is_under_pressure:
            return False
        others = self._reserved_for_others() + self.use.output_bytes()
        return self._held_by_data() + size <= DATA_SHARE * (self._headroom - others)

    def max_output(self) -> float:
        """Returns how many bytes of output may be queued."""
        rest = self._headroom - self._held_by_data() - self._reserved_for_others()
        return max(MIN_OUTPUT_SHARE * self._headroom, rest)

    def measure(self) -> bool:
        """Measures the resident memory; returns True if it has come under pressure by that."""
        self.resident = self.read_resident() or self.resident
        was_under_pressure = self.is_under_pressure
        held = self.held_bytes()
        self._unchecked_requests = UNCHECKED_REQUESTS if held < AMPLE_SHARE * self._headroom else 0
        self.is_under_pressure = (
            self.resident > PRESSURE_SHARE * self.limit and held > MIN_HELD_SHARE * self._headroom
        )
        return self.is_under_pressure and not was_under_pressure

    def summary(self) -> str:
        """Returns the resident memory and what holds it, as key=value fields."""
        return (
            f"resident_mb={self.resident / BYTES_PER_MB:.1f} held_mb={self.held_bytes() / BYTES_PER_MB:.1f}"
            f" connections={self.use.connections()} open_requests={self.use.requests()}"
            f" body_bytes={self.use.body_bytes()} frame_bytes={self.use.frame_bytes()}"
            f" output_bytes={self.use.output_bytes()}"
        )
