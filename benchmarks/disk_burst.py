"""What a burst of new oversized objects costs card assets, by admission and against baselines, and what each
writes.

    python -m benchmarks.disk_burst [--quick]

A trace of its own: cards by Zipf, films in parts; for 24 s 2.6% of the films' reqs are for new objects 8 to
28 times the usual size. The tier's room is a tenth of all that is asked for. The same store is modelled for
all: room in bytes; what leaves it differs.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import OrderedDict
from collections.abc import Iterator
from random import Random
from typing import Any, NamedTuple, Protocol

from ironhinge.disk.admission import Admission, Rules

SECOND = 10_000
CARD, FILM = 4_000, 60_000
Key = tuple[int, int]


class Ask(NamedTuple):
    now: int
    key: Key
    size: int
    card: bool


def trace(seed: int, seconds: int, burst_at: int, rate: int) -> Iterator[Ask]:
    chance = Random(seed)
    cards, films = 4000, 300
    card_weights = [1 / (rank + 1) ** 0.8 for rank in range(cards)]
    film_weights = [1 / (rank + 1) ** 0.8 for rank in range(films)]
    new, streams = 10**6, []
    for at in range(seconds * rate):
        now = at * SECOND // rate
        if chance.random() < 0.6:
            card = chance.choices(range(cards), card_weights)[0]
            yield Ask(now, (card, 0), CARD // 2 + card * 7919 % CARD, True)
            continue
        if burst_at <= now // SECOND < burst_at + 24 and chance.random() < 0.026:
            new += 1
            size = FILM * chance.randrange(8, 29)
            streams.append((new, size))
            yield Ask(now, (new, 0), size, False)
            if chance.random() < 0.5 and len(streams) > 4:  # asked for again a few times, as new things are
                again, size = chance.choice(streams[-8:])
                yield Ask(now, (again, 0), size, False)
            continue
        film = 10_000 + chance.choices(range(films), film_weights)[0]
        yield Ask(now, (film, chance.randrange(6)), FILM, False)


class Tier(Protocol):
    written: int

    def ask(self, ask: Ask) -> bool: ...


class Lru:
    """Keeps all that comes, up to a size; what was asked for longest ago goes."""

    def __init__(self, room: int, most: int = 1 << 60):
        self.room, self.most, self.used, self.written = room, most, 0, 0
        self.copies: OrderedDict[Key, int] = OrderedDict()

    def ask(self, ask: Ask) -> bool:
        if ask.key in self.copies:
            self.copies.move_to_end(ask.key)
            return True
        if ask.size <= self.most:
            self.copies[ask.key] = ask.size
            self.used += ask.size
            self.written += ask.size
            while self.used > self.room:
                self.used -= self.copies.popitem(last=False)[1]
        return False


class Ranked:
    """As the store does: a log in segments; room is made from the oldest, and what still ranks is written
    anew.
    """

    def __init__(self, room: int, write: float):
        self.room, self.used, self.written = room, 0, 0
        rules = Rules(int(room * 0.95), 65_536, 0.05, 0.5, write, 4 * write)
        self.admission = Admission(rules)
        self.log: OrderedDict[Key, int] = OrderedDict()

    def ask(self, ask: Ask) -> bool:
        one = self.admission
        one.asked(ask.now, ask.key, ask.size)
        if ask.key in self.log:
            return True
        if one.wants(ask.now, ask.key, ask.size):
            self._put(ask.key, ask.size)
            one.held(ask.key, ask.size, 1)
            turns = 0
            while self.used > self.room:
                key, size = self.log.popitem(last=False)
                self.used -= size
                turns += 1
                if one.keeps(key) and turns < 2 * len(self.log) + 2:
                    self._put(key, size)
                    one.wrote(size)
                else:
                    one.held(key, size, -1)
        return False

    def _put(self, key: Key, size: int) -> None:
        self.log[key] = size
        self.used += size
        self.written += size


def play(tier: Tier, seed: int, seconds: int, rate: int) -> dict[str, Any]:
    """Hit shares of cards in the 24 s before the burst and within it, and bytes written."""
    burst_at = seconds - 24
    before, burst, films, hit_bytes, asked_bytes = [0, 0], [0, 0], [0, 0], 0, 0
    for ask in trace(seed, seconds, burst_at, rate):
        hit = tier.ask(ask)
        second = ask.now // SECOND
        if second >= burst_at - 24:
            asked_bytes += ask.size
            hit_bytes += hit * ask.size
            book = films if not ask.card else burst if second >= burst_at else before
            book[0] += hit
            book[1] += 1
    shares = [book[0] / max(1, book[1]) for book in (before, burst, films)]
    return {
        "card_hits_before": round(shares[0], 4),
        "card_hits_burst": round(shares[1], 4),
        "card_drop_points": round(100 * (shares[0] - shares[1]), 2),
        "film_hits": round(shares[2], 4),
        "byte_hits": round(hit_bytes / asked_bytes, 4),
        "written_mb_a_second": round(tier.written / 1e6 / seconds, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    seconds, rate = (120, 300) if quick else (300, 600)
    room = 12_000_000
    rows: dict[str, Any] = {}
    for name, tier in (
        ("table", Ranked(room, 0.0)),
        ("table, 1 MB/s written", Ranked(room, 1e6)),
        ("lru, all admitted", Lru(room)),
        ("lru, up to 4 films", Lru(room, 4 * FILM)),
        ("lru, cards only", Lru(room, 2 * CARD)),
    ):
        rows[name] = play(tier, 5, seconds, rate)
        print(f"{name:24} {rows[name]}", file=sys.stderr)
    ours = rows.pop("table")
    print(json.dumps({**ours, "baselines": rows}))


if __name__ == "__main__":
    main()
