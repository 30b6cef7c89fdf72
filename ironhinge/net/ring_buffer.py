"""A ring buffer of fixed size, for the bytes of one direction of a connection.

It never grows, does no I/O, and never returns space as writable that holds unread bytes.
"""

from __future__ import annotations

from .errors import RingBufferError


class RingBuffer:
    """A queue of bytes in a block of memory that is allocated once.

    Readers and writers get views of that block, so that sockets read and write it without a copy. A view is
    valid until the next call that consumes or writes.

    Attributes:
        size: Capacity in bytes.
        used: Bytes held.
    """

    __slots__ = ("_start", "_view", "size", "used")

    def __init__(self, size: int):
        self._view = memoryview(bytearray(size))
        self.size = size
        self.used = 0
        self._start = 0

    def writable(self) -> memoryview:
        """Returns the longest contiguous free space after the held bytes; empty when the ring is full."""
        end = self._start + self.used
        if end < self.size:
            return self._view[end:]
        return self._view[end - self.size : self._start]

    def commit_write(self, count: int) -> None:
        """Adds `count` bytes that were written into `writable()` to the held bytes.

        Raises:
            RingBufferError: There is less free space than `count` bytes.
        """
        if not 0 <= count <= self.size - self.used:
            raise RingBufferError(
                f"ring buffer: can't commit {count} bytes, {self.size - self.used} of {self.size} are free"
            )
        self.used += count

    def readable(self) -> memoryview:
        """Returns the longest contiguous run of held bytes, oldest first."""
        return self._view[self._start : min(self._start + self.used, self.size)]

    def consume(self, count: int) -> None:
        """Drops the oldest `count` bytes.

        Raises:
            RingBufferError: Fewer bytes are held.
        """
        if not 0 <= count <= self.used:
            raise RingBufferError(f"ring buffer: can't consume {count} bytes, {self.used} are held")
        self.used -= count
        self._start = (self._start + count) % self.size if self.used else 0

    def unwrite(self, count: int) -> None:
        """Drops the newest `count` bytes.

        Raises:
            RingBufferError: Fewer bytes are held.
        """
        if not 0 <= count <= self.used:
            raise RingBufferError(f"ring buffer: can't unwrite {count} bytes, {self.used} are held")
        self.used -= count

    def write(self, data: memoryview) -> int:
        """Copies as much of `data` as fits; returns the number of bytes copied."""
        copied = 0
        while copied < len(data):
            free = self.writable()
            count = min(len(free), len(data) - copied)
            if not count:
                break
            free[:count] = data[copied : copied + count]
            self.used += count
            copied += count
        return copied


EMPTY_RING = RingBuffer(0)  # of a connection that holds no bytes
MAX_SPARE_RINGS = 4  # of each size
MAX_KEPT_BYTES = 256 * 1024  # while less is lent, a connection keeps its ring for its next output


class RingPool:
    """Lends ring buffers to connections while they hold bytes.

    Attributes:
        lent_bytes: The size of the rings that are lent.
    """

    def __init__(self) -> None:
        self.lent_bytes = 0
        self._free: dict[int, list[RingBuffer]] = {}

    def acquire(self, size: int) -> RingBuffer:
        """Returns an empty ring of that size."""
        self.lent_bytes += size
        free = self._free.get(size)
        return free.pop() if free else RingBuffer(size)

    def release(self, ring: RingBuffer) -> None:
        """Takes back a ring, whatever it holds."""
        self.lent_bytes -= ring.size
        free = self._free.setdefault(ring.size, [])
        if len(free) < MAX_SPARE_RINGS:
            ring.consume(ring.used)
            free.append(ring)
