"""How many commands a node may get in a window after a cold start, by the operators' documentation."""

from __future__ import annotations

from math import sqrt

from .plan import (
    SLOW_START_DURATION,
    SLOW_START_MULTIPLE,
    SLOW_START_SHARE,
    SLOW_START_WINDOW,
    TRANSFER_RATE,
)

MEAN_SIZE = 187.0  # KB: the mean of the sizes that clients draw
NORMAL_APPROXIMATION_MIN = 30  # expected commands from which a Poisson count is approximately normal


def slow_start_limit(age: float, node_weight: float) -> float:
    """Return the maximum number of commands in a window that ends `age` seconds after a cold start.

    This is the allowed mean of a Poisson count plus two standard deviations and 2; below
    `NORMAL_APPROXIMATION_MIN`, plus three standard deviations and 3.
    """
    share = SLOW_START_SHARE + (1 - SLOW_START_SHARE) * min(1.0, age / SLOW_START_DURATION)
    mean_seconds = MEAN_SIZE / TRANSFER_RATE
    allowed = SLOW_START_MULTIPLE * share * node_weight * SLOW_START_WINDOW / mean_seconds
    if allowed >= NORMAL_APPROXIMATION_MIN:
        return allowed + 2 * sqrt(allowed) + 2
    return allowed + 3 * sqrt(allowed) + 3
