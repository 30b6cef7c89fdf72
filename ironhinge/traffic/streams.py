"""Owns which streams are open: who asks for the parts of an object in turn, how large and how fast.

It must never refuse one: that is the budget's. Its memory is bounded by the settings' `most_streams`; beyond
it new streams are not told apart from other reqs.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from .budget import NEVER, StreamBook

LATELY = 0.1  # weight of the newest gap between two parts in a vhost's mean
SAME = 0.3  # a part that comes within this part of the usual gap is the last one, asked for anew
TRIAL = 3  # usual gaps that a stream of one part is waited for
PAUSED = 5  # one that went on
ENDED = 1.5  # one that had as many parts as usual

Key = tuple[int, int]  # who asks, and for which object


class Stream:
    __slots__ = ("at", "books", "part", "parts", "rate", "vhost")

    def __init__(self, vhost: int, at: int):
        self.vhost, self.at = vhost, at
        self.part, self.rate = 0.0, 0.0  # bytes of its next part, and bytes a unit of time
        self.parts = 0
        self.books: tuple[StreamBook, ...] = ()


class Streams:
    def __init__(self, most: int, idle: int, interval: int):
        self.most, self.idle, self.usual = most, idle, interval
        self.gaps: dict[int, float] = {}  # by vhost: usual time between two parts
        self.lengths: dict[int, float] = {}  # by vhost: usual number of parts
        # streams of one part, and those that went on; the one heard of longest ago first
        self.trial: OrderedDict[Key, Stream] = OrderedDict()
        self.open: OrderedDict[Key, Stream] = OrderedDict()
        self.lapsed = self.unheld = 0  # streams that stopped; and that found no place

    def __len__(self) -> int:
        return len(self.trial) + len(self.open)

    def gap(self, vhost: int) -> float:
        return self.gaps.get(vhost, float(self.usual))

    def rate(self, vhost: int, part: float) -> float:
        return part / max(1.0, self.gap(vhost))

    def find(self, key: Key, now: int) -> Stream | None:
        """An open stream; None where there is none, or it has stopped."""
        self.lapse(now)
        return self.open.get(key) or self.trial.get(key)

    def part_came(self, key: Key, vhost: int, part: float, now: int, books: Sequence[StreamBook]) -> None:
        """A part of it is on its way or served; from its first one a place is held for it in `books`. A part
        sent anew is a part once more, which only keeps the place longer.
        """
        stream = self.find(key, now)
        if stream is None:
            if len(self) >= self.most:
                self.unheld += 1
                return
            stream = self.trial[key] = Stream(vhost, now)
            stream.parts = 1
        else:
            gap = now - stream.at
            if gap > SAME * self.gap(vhost):
                self.gaps[vhost] = self.gap(vhost) + LATELY * (gap - self.gap(vhost))
                self.trial.pop(key, None)
                self.open[key] = stream
                self.open.move_to_end(key)
                stream.parts += 1
        stream.at = now
        self._rebook(stream, part or stream.part, books)

    def goes_on(self, key: Key, vhost: int, now: int) -> None:
        """Its next part is asked for, whatever becomes of it; nothing where no such stream is open."""
        stream = self.find(key, now)
        if stream is not None:
            self.part_came(key, vhost, stream.part, now, ())

    def adopt(self, other: Streams, books: dict[int, StreamBook | None]) -> None:
        """Goes on with the streams of before; `books`: what a book of before is now, by its identity."""
        self.gaps, self.lengths = other.gaps, other.lengths
        self.trial, self.open = other.trial, other.open
        for stream in (*self.trial.values(), *self.open.values()):
            now = [books.get(id(book)) for book in stream.books]
            stream.books = tuple(book for book in now if book is not None)
            for book in stream.books:
                book.add(stream.rate, stream.part, 1)

    def _rebook(self, stream: Stream, part: float, more: Sequence[StreamBook]) -> None:
        for book in stream.books:
            book.add(stream.rate, stream.part, -1)
        stream.part, stream.rate = part, self.rate(stream.vhost, part)
        stream.books = tuple(dict.fromkeys((*stream.books, *more)))
        for book in stream.books:
            book.add(stream.rate, stream.part, 1)

    def lapse(self, now: int) -> None:
        """Gives back what streams that have stopped held. One part is no stream yet: it is waited for less
        long, which guards the budget against floods of first parts.
        """
        for streams in (self.trial, self.open):
            while streams:
                key, stream = next(iter(streams.items()))
                if now - stream.at <= self._patience(stream, streams is self.trial):
                    break
                del streams[key]
                self.lapsed += 1
                if stream.parts > 1:
                    usual = self.lengths.get(stream.vhost, float(stream.parts))
                    self.lengths[stream.vhost] = usual + LATELY * (stream.parts - usual)
                for book in stream.books:
                    book.add(stream.rate, stream.part, -1)

    def _patience(self, stream: Stream, on_trial: bool) -> float:
        """Short for one that has shown a single part, or as many as streams usually have: it has ended."""
        gap = self.gap(stream.vhost)
        ended = stream.parts >= self.lengths.get(stream.vhost, NEVER)
        return min(self.idle, (ENDED if ended else TRIAL if on_trial else PAUSED) * gap)
