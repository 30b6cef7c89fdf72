"""Measures how much a burst of new large objects lowers the hit ratio of small ones, by admission policy.

    python -m benchmarks.disk_burst [--quick]

The trace requests small objects ("cards") and large ones in parts ("films"), both with Zipf popularity. In
its last 24 s, 2.6% of the film requests are for new objects of 8 to 28 times the size of a film part. The
capacity is a tenth of the bytes of all requested objects. All tiers are modelled by the bytes that they
store and differ only in what they admit and evict; the baselines are LRU caches. The bytes written are
reported too.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple, Protocol

from ironhinge.disk.admission import TICKS_PER_SECOND, Admission, AdmissionPolicy
from ironhinge.disk.index import PartKey

SEED = 5
CAPACITY = 12_000_000  # bytes
CARD_SIZE, FILM_SIZE = 4_000, 60_000  # bytes: mean size of a card, size of each part of a film
CARDS, FILMS, PARTS_PER_FILM = 4000, 300, 6
ZIPF_EXPONENT = 0.8
CARD_SHARE = 0.6  # share of the requests that are for cards
BURST_SECONDS = 24
BURST_SHARE = 0.026  # share of the film requests that are for new objects during the burst
BURST_REPEAT_SHARE = 0.5  # share of the new objects that are followed by a request for a recent one
MIN_BURST_SIZE, MAX_BURST_SIZE = 8, 28  # size of a new object in film parts
RECENT_NEW_OBJECTS = 8  # new objects that repeats are drawn from
MIN_NEW_OBJECTS_TO_REPEAT = 4  # no repeats until there are more new objects
FIRST_FILM_ID, FIRST_NEW_ID = 10_000, 10**6
CARD_SIZE_STEP = 7919  # multiplier (prime) that spreads the sizes of the cards


class Request(NamedTuple):
    """A request of the trace."""

    time: int  # tenths of a millisecond
    key: PartKey
    size: int  # bytes
    is_card: bool


class Trace:
    """Generates the request trace of a seed."""

    def __init__(self, seed: int, seconds: int, rate: int):
        self.random = Random(seed)
        self.request_count = seconds * rate
        self.rate = rate
        self.burst_start = seconds - BURST_SECONDS
        self.new_objects: list[tuple[int, int]] = []  # object ID and size

    def requests(self) -> Iterator[Request]:
        """Yields all requests in order."""
        card_weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(CARDS)]
        film_weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(FILMS)]
        for number in range(self.request_count):
            now = number * TICKS_PER_SECOND // self.rate
            if self.random.random() < CARD_SHARE:
                card = self.random.choices(range(CARDS), card_weights)[0]
                size = CARD_SIZE // 2 + card * CARD_SIZE_STEP % CARD_SIZE
                yield Request(now, PartKey(card, 0), size, True)
            elif self._is_in_burst(now) and self.random.random() < BURST_SHARE:
                yield from self._burst_requests(now)
            else:
                film = FIRST_FILM_ID + self.random.choices(range(FILMS), film_weights)[0]
                key = PartKey(film, self.random.randrange(PARTS_PER_FILM))
                yield Request(now, key, FILM_SIZE, False)

    def _is_in_burst(self, now: int) -> bool:
        return self.burst_start <= now // TICKS_PER_SECOND < self.burst_start + BURST_SECONDS

    def _burst_requests(self, now: int) -> Iterator[Request]:
        """Yields a request for a new object, and at random one for a recent new object."""
        object_id = FIRST_NEW_ID + len(self.new_objects) + 1
        size = FILM_SIZE * self.random.randrange(MIN_BURST_SIZE, MAX_BURST_SIZE + 1)
        self.new_objects.append((object_id, size))
        yield Request(now, PartKey(object_id, 0), size, False)
        is_repeated = self.random.random() < BURST_REPEAT_SHARE
        if is_repeated and len(self.new_objects) > MIN_NEW_OBJECTS_TO_REPEAT:
            object_id, size = self.random.choice(self.new_objects[-RECENT_NEW_OBJECTS:])
            yield Request(now, PartKey(object_id, 0), size, False)


class Tier(Protocol):
    """A model of a cache tier."""

    written: int  # bytes

    def request(self, request: Request) -> bool:
        """Handles a request; returns whether it was a hit."""
        ...


class LruTier:
    """An LRU cache that admits every copy up to a maximum size."""

    def __init__(self, capacity: int, max_size: int = 1 << 60):
        self.capacity = capacity
        self.max_size = max_size
        self.used = 0
        self.written = 0
        self.copies: OrderedDict[PartKey, int] = OrderedDict()

    def request(self, request: Request) -> bool:
        """Handles a request; returns whether it was a hit."""
        if request.key in self.copies:
            self.copies.move_to_end(request.key)
            return True
        if request.size <= self.max_size:
            self.copies[request.key] = request.size
            self.used += request.size
            self.written += request.size
            while self.used > self.capacity:
                _, size = self.copies.popitem(last=False)
                self.used -= size
        return False


class AdmissionTier:
    """Admits like the disk tier; evicts the oldest copies and rewrites those that are worth retaining."""

    def __init__(self, capacity: int, write_rate: float):
        self.capacity = capacity
        self.used = 0
        self.written = 0
        self.log: OrderedDict[PartKey, int] = OrderedDict()
        policy = AdmissionPolicy(
            int(capacity * 0.95),
            object_share=0.05,
            class_share=0.5,
            write_rate=write_rate,
            write_burst=4 * write_rate,
        )
        self.admission = Admission(policy)

    def request(self, request: Request) -> bool:
        """Handles a request; returns whether it was a hit."""
        self.admission.record_request(request.time, request.key, request.size)
        if request.key in self.log:
            return True
        if self.admission.should_store(request.time, request.key, request.size):
            self._append(request.key, request.size)
            self.admission.record_stored(request.key, request.size)
            self._make_space()
        return False

    def _make_space(self) -> None:
        """Evicts from the start of the log; after two rounds, copies worth retaining are evicted too."""
        handled = 0
        while self.used > self.capacity:
            key, size = self.log.popitem(last=False)
            self.used -= size
            handled += 1
            if self.admission.should_retain(key) and handled < 2 * len(self.log) + 2:
                self._append(key, size)
                self.admission.record_write(size)
            else:
                self.admission.record_removed(key, size)

    def _append(self, key: PartKey, size: int) -> None:
        self.log[key] = size
        self.used += size
        self.written += size


@dataclass(slots=True)
class HitRatio:
    """Counts hits and requests."""

    hits: int = 0
    requests: int = 0

    def record(self, is_hit: bool) -> None:
        """Counts a request and whether it was a hit."""
        self.hits += is_hit
        self.requests += 1

    def ratio(self) -> float:
        """Returns the hit ratio; 0 without requests."""
        return self.hits / max(1, self.requests)


def measure(tier: Tier, seed: int, seconds: int, rate: int) -> dict[str, Any]:
    """Returns hit ratios of cards in the 24 s before the burst and during it, of films, and bytes written."""
    trace = Trace(seed, seconds, rate)
    before, burst, films = HitRatio(), HitRatio(), HitRatio()
    hit_bytes = requested_bytes = 0
    for request in trace.requests():
        is_hit = tier.request(request)
        second = request.time // TICKS_PER_SECOND
        if second < trace.burst_start - BURST_SECONDS:
            continue
        requested_bytes += request.size
        hit_bytes += is_hit * request.size
        if not request.is_card:
            films.record(is_hit)
        elif second >= trace.burst_start:
            burst.record(is_hit)
        else:
            before.record(is_hit)
    return {
        "card_hits_before": round(before.ratio(), 4),
        "card_hits_burst": round(burst.ratio(), 4),
        "card_drop_points": round(100 * (before.ratio() - burst.ratio()), 2),
        "film_hits": round(films.ratio(), 4),
        "byte_hits": round(hit_bytes / requested_bytes, 4),
        "written_mb_a_second": round(tier.written / 1e6 / seconds, 2),
    }


def main() -> None:
    """Measures all tiers and prints their figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    seconds, rate = (120, 300) if quick else (300, 600)
    tiers: dict[str, Tier] = {
        "table": AdmissionTier(CAPACITY, 0.0),
        "table, 1 MB/s written": AdmissionTier(CAPACITY, 1e6),
        "lru, all admitted": LruTier(CAPACITY),
        "lru, up to 4 films": LruTier(CAPACITY, 4 * FILM_SIZE),
        "lru, cards only": LruTier(CAPACITY, 2 * CARD_SIZE),
    }
    figures: dict[str, Any] = {}
    for name, tier in tiers.items():
        figures[name] = measure(tier, SEED, seconds, rate)
        print(f"{name:24} {figures[name]}", file=sys.stderr)
    admission_figures = figures.pop("table")
    print(json.dumps({**admission_figures, "baselines": figures}))


if __name__ == "__main__":
    main()
