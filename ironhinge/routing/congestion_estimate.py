"""How fast transfers were seen to go on one path, and how many were in flight then."""

from __future__ import annotations

CONGESTED_SLOWDOWN = 1.5  # a path that takes this many times the transfer time is congested


class CongestionEstimate:
    """Decaying sums over the transfers that finished on a path.

    All are weighted by the transfer times that were expected of an idle path, so that long transfers, which
    show more, count for more.
    """

    __slots__ = (
        "expected_time",
        "observed_time",
        "uncongested_in_flight",
        "updated_at",
        "weighted_in_flight",
    )

    def __init__(self) -> None:
        self.observed_time = 0.0  # what the transfers took
        self.expected_time = 0.0  # what they would have taken on an idle path
        self.updated_at = 0
        self.weighted_in_flight = 0.0  # attempts in flight then, times the expected time
        self.uncongested_in_flight = 0.0  # the most in flight while one was not slow; fades as fast

    def record_transfer(
        self, now: int, duration: int, transfer_time: int, in_flight: float, half_life: float
    ) -> None:
        """Records a finished transfer.

        Args:
            now: The present time.
            duration: How long the transfer took.
            transfer_time: How long it takes on an idle path.
            in_flight: The mean number of attempts in flight while it took place.
            half_life: Half-life of what was recorded before.
        """
        decay = 2 ** ((self.updated_at - now) / half_life)
        self.observed_time = self.observed_time * decay + duration
        self.expected_time = self.expected_time * decay + transfer_time
        self.updated_at = now
        self.weighted_in_flight = self.weighted_in_flight * decay + transfer_time * in_flight
        uncongested = in_flight if duration < CONGESTED_SLOWDOWN * transfer_time else 0.0
        self.uncongested_in_flight = max(self.uncongested_in_flight * decay, uncongested)

    def slowdown(self, now: int, in_flight: int, half_life: float, prior: float) -> float:
        """How many times its transfer time a request would take now.

        What was seen is scaled by the attempts in flight now against then, since it is as old as the
        transfers that showed it: this guards against oscillation. As many as were in flight lately without
        congestion count as then: where nothing is full, more of them take no longer.

        Args:
            now: The present time.
            in_flight: Attempts in flight, with the one that is asked for.
            half_life: Half-life of what was recorded.
            prior: Transfer time at full speed that the path is assumed to have shown besides.
        """
        decay = 2 ** ((self.updated_at - now) / half_life)
        observed_slowdown = (self.observed_time * decay + prior) / (self.expected_time * decay + prior)
        if not self.weighted_in_flight:
            return observed_slowdown
        uncongested = self.uncongested_in_flight * decay
        observed_in_flight = self.weighted_in_flight / self.expected_time
        # comparisons, as this runs for each cache that is checked and a call of max costs more than the rest
        effective_now = in_flight if in_flight > uncongested else uncongested
        effective_then = observed_in_flight if observed_in_flight > uncongested else uncongested
        slowdown = observed_slowdown * effective_now / effective_then
        return slowdown if slowdown > 1.0 else 1.0
