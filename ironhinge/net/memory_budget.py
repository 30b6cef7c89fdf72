"""Bounds on the memory that clients' requests may use, as shares of the memory limit of the process."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

REQUEST_BODY_SHARE = 0.2  # of the memory limit, for the bodies of open requests
INCOMPLETE_FRAME_SHARE = 0.15  # of the memory limit, for frames that have not arrived completely

BYTES_PER_MB = 2**20


class MemoryBudget:
    """Counts the bytes of one use of memory against a limit.

    Attributes:
        limit: Bytes that may be in use; infinite if the memory limit of the process is unknown.
        used: Bytes in use.
        peak: The most bytes that were in use at a time.
    """

    __slots__ = ("_can_hold", "limit", "peak", "used")

    def __init__(self, memory_mb: int, share: float, can_hold: Callable[[int], bool] | None = None):
        """`can_hold` tells whether the process as a whole has room for a number of bytes."""
        self._can_hold = can_hold
        self.limit = share * memory_mb * BYTES_PER_MB or inf
        self.used = 0
        self.peak = 0

    def reserve(self, size: int) -> bool:
        """Adds bytes that are needed now; False, without an effect, if the limit does not allow them."""
        if size and self.used + size > self.limit:
            return False
        if size and self._can_hold is not None and not self._can_hold(size):
            return False
        self.used += size
        self.peak = max(self.peak, self.used)
        return True

    def release(self, size: int) -> None:
        """Removes bytes that are no longer needed."""
        self.used -= size
