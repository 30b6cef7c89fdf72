"""Owns what a budget allows now: rates with bursts, sums of a period, what is set aside for streams, and the
emergency allowance beside them.

It must never know a req, a node or a message. A fill is charged when it goes out, with the most that it may
be, and settled when it ends; so what is out can never spend the same room twice.
"""

from __future__ import annotations

from typing import Any

from ..settings import records

SECOND = 10_000
NEVER = 1 << 40  # a wait that no one waits for
HALF = 0.5


class RatePot:
    """A rate with a burst; the level may fall below 0 by what a fill turned out to be larger than charged."""

    def __init__(self, rate: float, burst: float, now: int, full: bool):
        self.rate = rate / SECOND  # bytes in a tenth of a millisecond
        self.cap, self.at = max(1.0, burst), now
        self.level = self.cap if full else 0.0

    def fill(self, now: int) -> None:
        if now > self.at:
            self.level = min(max(self.cap, self.level), self.level + (now - self.at) * self.rate)
            self.at = now

    def wait(self, now: int, need: float, floor: float) -> int:
        """Time until `need` bytes may go while `floor` stays; an object larger than the pot takes all of
        it.
        """
        self.fill(now)
        lacks = min(need, max(1.0, self.cap - floor)) + floor - self.level
        if lacks <= 0:
            return 0
        return min(NEVER, int(lacks / self.rate) + 1) if self.rate > 0 else NEVER

    def take(self, count: float) -> None:
        self.level -= count

    def give(self, count: float) -> None:
        """Comes back from a charge, or from a peer; what the pot can't hold is gone."""
        self.level = min(max(self.cap, self.level), self.level + count)

    def spare(self, now: int) -> float:
        self.fill(now)
        return max(0.0, self.level - HALF * self.cap)

    def plain(self) -> list[float]:
        return [self.level]

    def restore(self, plain: list[float], now: int, gap: float) -> None:
        """From a snapshot; in the `gap` seconds since then all that could be may have been spent: what was in
        the pot, and what came into it.
        """
        self.level, self.at = min(plain[0], self.cap, 0.0 if gap else self.cap), now


class SumPot(RatePot):
    """A sum for a period, paced: what is left goes evenly over what is left of the period."""

    def __init__(self, most: float, ahead: float, now: int, ends: int, left: float, full: bool):
        super().__init__(0.0, most * ahead, now, full)
        self.most, self.left, self.ends = most, left, ends  # `left`: what may still be spent
        if not full:  # guards the sum against a director that came up knowing nothing: see `Ledger`
            self.left = left
        self.pace(now)

    def pace(self, now: int) -> None:
        """Evenly: what is left but not in the pot yet, over the time that is left."""
        self.rate = max(0.0, self.left - max(0.0, self.level)) / max(1, self.ends - now)

    def fill(self, now: int) -> None:
        self.pace(now)
        super().fill(min(now, self.ends))
        self.level = min(self.level, self.left)

    def take(self, count: float) -> None:
        super().take(count)
        self.left -= count

    def give(self, count: float) -> None:
        self.left += count
        super().give(count)

    def begin(self, now: int, ends: int, out: float) -> None:
        """A new period; what is out is charged to it as well, so that settling can't loosen it."""
        self.left, self.ends, self.at = self.most - out, ends, now
        self.level = min(0.0, self.level)
        self.pace(now)

    def plain(self) -> list[float]:
        return [self.level, self.left]

    def restore(self, plain: list[float], now: int, gap: float) -> None:
        super().restore(plain, now, gap)
        self.left = min(plain[1], self.most)
        self.pace(now)
        if gap:
            self.left -= max(0.0, plain[0]) + self.rate * SECOND * gap
            self.pace(now)


class StreamBook:
    """What of a budget is promised to streams that were begun: a part of its rate, and the next part of each
    in hand. Bounded by the setting's part, so that a flood of first parts can't pin all of it.
    """

    def __init__(self, told: records.Streams, rate: float, burst: float):
        self.told = told
        self.most_rate = told.part * rate / SECOND
        self.most_held = told.part * burst
        self.promised, self.held, self.open = 0.0, 0.0, 0

    def admits(self, rate: float) -> bool:
        """One stream is always let in: guards small budgets against refusing all of them for ever."""
        return not self.open or self.promised + rate <= self.most_rate

    def add(self, rate: float, part: float, sign: int) -> None:
        self.open += sign
        self.promised += sign * rate
        self.held += sign * part
        if not self.open:
            self.promised = self.held = 0.0  # no dust of rounding stays

    def floor(self) -> float:
        """What others must leave in the pot."""
        return min(self.held, self.most_held)


class Budget:
    """One budget of this director's; `part` is its share among the directors that have it."""

    def __init__(self, name: str, told: records.Budget, part: float, now: int, ends: int, left: float):
        self.name, self.told, self.part = name, told, part
        self.above: Budget | None = None
        full = told.begin == "full"
        rate = (told.rate or 0) * part
        burst = (told.burst if told.burst is not None else told.rate or 0) * part
        self.pots: list[RatePot] = []
        if told.rate is not None:
            self.pots.append(RatePot(rate, burst, now, full))
        if told.sum is not None:
            most = told.sum * part
            self.pots.append(SumPot(most, told.ahead, now, ends, most if full else most * left, full))
        self.book: StreamBook | None = None
        if told.streams is not None and told.rate is not None:
            self.book = StreamBook(told.streams, rate, burst)
        self.emergency: list[RatePot] = []
        if told.emergency is not None:
            more = told.emergency
            spare = (more.burst if more.burst is not None else more.rate) * part
            self.emergency.append(RatePot(more.rate * part, spare, now, full))
            if more.sum is not None:
                self.emergency.append(
                    SumPot(more.sum * part, 1.0, now, ends, more.sum * part * (1.0 if full else left), True)
                )
        self.spent, self.drawn = 0, 0  # bytes of this period: from the budget, and from the allowance
        self.refused = 0  # times that it had no room
        self.out = [0.0, 0.0]  # charged and not settled: to the budget, and to the allowance
        self.wanted = 0.0  # bytes refused lately, for peers that have too much

    def wait(self, now: int, need: float, begun: bool, forced: bool) -> tuple[int, list[RatePot]]:
        """The time until there is room, and the pots that would be charged."""
        floor = self.book.floor() if self.book is not None and not begun else 0.0
        wait = 0
        for pot in self.pots:
            wait = max(wait, pot.wait(now, need, floor if type(pot) is RatePot else 0.0))
        if wait and forced and self.emergency:
            if not any(pot.wait(now, need, 0.0) for pot in self.emergency):
                return 0, self.emergency
        return wait, self.pots

    def charge(self, pots: list[RatePot], count: float) -> None:
        self.out[pots is self.emergency] += count
        for pot in pots:
            pot.take(count)

    def settle(self, pots: list[RatePot], charged: float, actual: int) -> None:
        """Gives back what a fill did not need, or takes what it needed more."""
        self.out[pots is self.emergency] -= charged
        for pot in pots:
            if actual > charged:
                pot.take(actual - charged)
            elif actual < charged:
                pot.give(charged - actual)
        if pots is self.pots:
            self.spent += actual
        else:
            self.drawn += actual

    def begin_period(self, now: int, ends: int) -> None:
        for pots, out in ((self.pots, self.out[0]), (self.emergency, self.out[1])):
            for pot in pots:
                if isinstance(pot, SumPot):
                    pot.begin(now, ends, out)
        self.spent = self.drawn = 0

    def plain(self) -> dict[str, Any]:
        return {
            "spent": self.spent,
            "drawn": self.drawn,
            "pots": [pot.plain() for pot in self.pots],
            "emergency": [pot.plain() for pot in self.emergency],
        }

    def restore(self, plain: dict[str, Any], now: int, gap_seconds: float) -> None:
        """Takes up a snapshot of the same period; what may have been spent since then counts as spent."""
        self.spent, self.drawn = plain["spent"], plain["drawn"]
        for mine, theirs in ((self.pots, plain["pots"]), (self.emergency, plain["emergency"])):
            if len(mine) != len(theirs):
                continue  # the settings have changed: it begins as one that knows nothing
            for pot, figures in zip(mine, theirs, strict=True):
                pot.restore(figures, now, gap_seconds)
