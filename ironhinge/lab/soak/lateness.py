"""How late what a server writes arrives on a network path."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

TURN_DURATION = 1.0  # seconds of each of two delays by turns
TURN_DELAYS = 0.1, 3.6  # seconds
GROWTH = 0.5  # seconds of delay per second


class LatenessKind(StrEnum):
    """How the delay of a late path develops."""

    CONSTANT = "constant"
    GROWING = "growing"  # up to the delay
    BY_TURNS = "by turns"  # of a short and a long delay


class Lateness(NamedTuple):
    """How late a path is for a time."""

    delay: float  # seconds
    kind: LatenessKind = LatenessKind.CONSTANT
    blackholed: int = 0  # connections that fall silent, one after another
    first_blackholed: int = 0  # the first of them; 0: the one that is open then, 1: the next one
    first_byte_after: float = (
        0.0  # seconds from the start of each connection that is made while the path is late
    )

    def at(self, elapsed: float) -> float:
        """Return the delay in seconds, `elapsed` seconds after the path became late."""
        match self.kind:
            case LatenessKind.GROWING:
                return min(self.delay, GROWTH * elapsed)
            case LatenessKind.BY_TURNS:
                return TURN_DELAYS[int(elapsed / TURN_DURATION) % 2]
            case _:
                return self.delay
