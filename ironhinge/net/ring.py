"""Owns the bytes in transit of one direction of one connection: a ring of fixed size.

It must never grow, never know a socket or a frame, and never hand out room that holds unread bytes.
"""

from __future__ import annotations


class Ring:
    __slots__ = ("held", "size", "start", "view")

    def __init__(self, size: int):
        self.view = memoryview(bytearray(size))
        self.size, self.start, self.held = size, 0, 0

    def room(self) -> memoryview:
        """The longest run of free room behind what is held; empty when full."""
        end = self.start + self.held
        if end < self.size:
            return self.view[end:]
        return self.view[end - self.size : self.start]

    def filled(self, count: int) -> None:
        """`count` bytes were written into the room."""
        if not 0 <= count <= self.size - self.held:
            raise ValueError("more than the room")
        self.held += count

    def data(self) -> memoryview:
        """The longest run of held bytes, oldest first."""
        return self.view[self.start : min(self.start + self.held, self.size)]

    def taken(self, count: int) -> None:
        """`count` bytes of the data were used."""
        if not 0 <= count <= self.held:
            raise ValueError("more than is held")
        self.held -= count
        self.start = (self.start + count) % self.size if self.held else 0

    def untake(self, count: int) -> None:
        """The last `count` bytes that were put are taken back."""
        if not 0 <= count <= self.held:
            raise ValueError("more than is held")
        self.held -= count

    def put(self, data: memoryview) -> int:
        """Copies as much as there is room for; returns how much."""
        done = 0
        while done < len(data):
            room = self.room()
            count = min(len(room), len(data) - done)
            if not count:
                break
            room[:count] = data[done : done + count]
            self.held += count
            done += count
        return done
