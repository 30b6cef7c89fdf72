"""Owns the bytes in transit of one direction of one connection: a ring of fixed size.

It must never grow, never know a socket or a frame, and never hand out room that holds unread bytes.
"""

from __future__ import annotations


class RingBuffer:
    __slots__ = ("used", "size", "_start", "_view")

    def __init__(self, size: int):
        self._view = memoryview(bytearray(size))
        self.size, self._start, self.used = size, 0, 0

    def writable(self) -> memoryview:
        """The longest run of free room behind what is held; empty when full."""
        end = self._start + self.used
        if end < self.size:
            return self._view[end:]
        return self._view[end - self.size : self._start]

    def commit_write(self, count: int) -> None:
        """`count` bytes were written into the room."""
        if not 0 <= count <= self.size - self.used:
            raise ValueError("more than the room")
        self.used += count

    def readable(self) -> memoryview:
        """The longest run of held bytes, oldest first."""
        return self._view[self._start : min(self._start + self.used, self.size)]

    def consume(self, count: int) -> None:
        """`count` bytes of the data were used."""
        if not 0 <= count <= self.used:
            raise ValueError("more than is held")
        self.used -= count
        self._start = (self._start + count) % self.size if self.used else 0

    def unwrite(self, count: int) -> None:
        """The last `count` bytes that were put are taken back."""
        if not 0 <= count <= self.used:
            raise ValueError("more than is held")
        self.used -= count

    def write(self, data: memoryview) -> int:
        """Copies as much as there is room for; returns how much."""
        done = 0
        while done < len(data):
            room = self.writable()
            count = min(len(room), len(data) - done)
            if not count:
                break
            room[:count] = data[done : done + count]
            self.used += count
            done += count
        return done
