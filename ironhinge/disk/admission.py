"""Owns what the tier keeps: the design's measure (thinned req rate over size, decaying) for every part that
is asked for, and where the tier's room ends in that order.

It must never see bytes or a clock of its own. Parts are counted one by one; a part that was asked for once
lately is in a sketch only. A part is wanted when all that ranks above it fits the tier beside it, its object
has not its share yet, nor its size class, and the write budget has room.
"""

from __future__ import annotations

from collections import OrderedDict
from math import floor, log2
from typing import NamedTuple

HALF_LIFE = 600_000  # tenths of a millisecond: a minute; a disk holds far more than a cache's memory
STEP = 0.5  # width of a bucket of scores
ROWS, COLUMNS = 4, 1 << 14  # of the sketch
OFTEN = 2  # sightings before a part has a rate
LOOKS = 256  # counts between two looks for where the room ends
SECOND = 10_000
MASK = (1 << 64) - 1

Key = tuple[int, int]


class Rules(NamedTuple):
    """What operators set; shares are of the tier's room."""

    room: int  # bytes
    table: int = 65_536  # parts whose rates are known
    object_share: float = 0.05
    class_share: float = 0.5
    write_rate: float = 0.0  # bytes a second; 0: no bound
    write_burst: float = 0.0


class Sketch:
    """A count-min sketch of 4-bit-like counters, halved now and then, so that it forgets."""

    def __init__(self) -> None:
        self.rows = [bytearray(COLUMNS) for _ in range(ROWS)]
        self.added = 0

    def add(self, key: Key) -> int:
        """Counts a sighting; how many there were lately, this one included, at most."""
        x = (key[0] * 0x9E3779B97F4A7C15 + key[1] * 0xD6E8FEB86659FD93) & MASK
        least = 15
        for row in self.rows:
            x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
            at = x >> 50
            row[at] = min(15, row[at] + 1)
            least = min(least, row[at])
        self.added += 1
        if self.added >= COLUMNS:
            self.added //= 2
            half = bytes(count >> 1 for count in range(256))
            self.rows = [row.translate(half) for row in self.rows]
        return least


class Admission:
    """`asked` for every req, `wants` when a copy has come; the store tells what it holds with `held`."""

    def __init__(self, rules: Rules):
        self.rules = rules
        self.sketch = Sketch()
        self.scores: OrderedDict[Key, tuple[float, int]] = OrderedDict()  # and size; longest uncounted first
        self.buckets: dict[int, int] = {}  # bytes by bucket of scores
        self.cut = -(1 << 30)  # the bucket in which the room ends
        self.looks = 0
        self.objects: dict[int, int] = {}  # bytes held, by object
        self.classes: dict[int, int] = {}  # and by size class
        self.tokens, self.at = float(rules.write_burst), 0
        self.refused: dict[str, int] = {"rare": 0, "rank": 0, "object": 0, "class": 0, "writes": 0}

    def asked(self, now: int, key: Key, size: int) -> None:
        """A req for a part of that many bytes (the best guess; 0: not known)."""
        old = self.scores.pop(key, None)
        if old is None and self.sketch.add(key) < OFTEN:
            return
        size = size or (old[1] if old else 1)
        score = now / HALF_LIFE - log2(size)
        if old is not None:
            self._shift(old, -1)
            before = old[0] + log2(old[1]) - log2(size)  # a size learned since
            score = max(before, score) + log2(1 + 2 ** -abs(before - score))
        elif len(self.scores) >= self.rules.table:
            _, gone = self.scores.popitem(last=False)
            self._shift(gone, -1)
        self.scores[key] = score, size
        self._shift((score, size), 1)
        self.looks += 1
        if self.looks >= LOOKS:
            self._find_cut()

    def _shift(self, entry: tuple[float, int], sign: int) -> None:
        bucket = floor(entry[0] / STEP)
        left = self.buckets.get(bucket, 0) + sign * entry[1]
        if left > 0:
            self.buckets[bucket] = left
        else:
            self.buckets.pop(bucket, None)

    def _find_cut(self) -> None:
        """From the best bucket down until the room is full."""
        self.looks, room = 0, self.rules.room
        self.cut = -(1 << 30)
        for bucket in sorted(self.buckets, reverse=True):
            room -= self.buckets[bucket]
            if room < 0:
                self.cut = bucket
                return

    def ranks(self, key: Key) -> bool:
        """Whether it ranks above where the room ends."""
        found = self.scores.get(key)
        return found is not None and floor(found[0] / STEP) > self.cut

    def wants(self, now: int, key: Key, size: int) -> bool:
        """Whether a copy that has come is worth its place and its writing."""
        rules = self.rules
        if key not in self.scores:
            return self._no("rare")
        if not self.ranks(key):
            return self._no("rank")
        if self.objects.get(key[0], 0) + size > rules.object_share * rules.room:
            return self._no("object")
        kind = self._class(key[0], size)
        if self.classes.get(kind, 0) + size > rules.class_share * rules.room:
            return self._no("class")
        if rules.write_rate:
            more = (now - self.at) * rules.write_rate / SECOND
            self.tokens, self.at = min(rules.write_burst, self.tokens + more), now
            if self.tokens < size:
                return self._no("writes")
            self.tokens -= size
        return True

    def wrote(self, count: int) -> None:
        """Bytes written besides, as by compaction: a disk's life is all its writes."""
        if self.rules.write_rate:
            self.tokens = max(-self.rules.write_burst, self.tokens - count)

    def _no(self, why: str) -> bool:
        self.refused[why] += 1
        return False

    def _class(self, obj: int, size: int) -> int:
        """By the size of a part: a power of two."""
        return size.bit_length()

    def held(self, key: Key, size: int, sign: int) -> None:
        """A copy is in the tier now, or no longer."""
        for book, name in ((self.objects, key[0]), (self.classes, self._class(key[0], size))):
            left = book.get(name, 0) + sign * size
            if left > 0:
                book[name] = left
            else:
                book.pop(name, None)

    def keeps(self, key: Key) -> bool:
        """When room is made: whether a copy is worth writing anew."""
        return self.ranks(key)
