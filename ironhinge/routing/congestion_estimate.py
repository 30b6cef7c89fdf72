"""Estimates how much slower than idle a path is, from the transfers that finished on it."""

from __future__ import annotations

CONGESTED_SLOWDOWN = 1.5  # a path on which transfers take this many times their idle time is congested


class CongestionEstimate:
    """Decaying sums over the transfers that finished on a path.

    Transfers are weighted by their expected time on an idle path, as long ones are more informative.
    """

    __slots__ = (
        "expected_time",
        "observed_time",
        "uncongested_in_flight",
        "updated_at",
        "weighted_in_flight",
    )

    def __init__(self) -> None:
        self.observed_time = 0.0  # durations of the transfers
        self.expected_time = 0.0  # their durations on an idle path
        self.updated_at = 0
        self.weighted_in_flight = 0.0  # attempts in flight, times the expected time
        self.uncongested_in_flight = 0.0  # most in flight during an uncongested transfer; decays too

    def record_transfer(
        self, now: int, duration: int, transfer_time: int, in_flight: float, half_life: float
    ) -> None:
        """Records a finished transfer.

        Args:
            now: The current time.
            duration: The time that the transfer took.
            transfer_time: The time that it takes on an idle path.
            in_flight: The mean number of attempts in flight during the transfer.
            half_life: The half-life of earlier observations.
        """
        decay = 2 ** ((self.updated_at - now) / half_life)
        self.observed_time = self.observed_time * decay + duration
        self.expected_time = self.expected_time * decay + transfer_time
        self.updated_at = now
        self.weighted_in_flight = self.weighted_in_flight * decay + transfer_time * in_flight
        uncongested = in_flight if duration < CONGESTED_SLOWDOWN * transfer_time else 0.0
        self.uncongested_in_flight = max(self.uncongested_in_flight * decay, uncongested)

    def slowdown(self, now: int, in_flight: int, half_life: float, prior: float) -> float:
        """Returns the expected duration of a transfer that is started now, as a multiple of its idle time.

        The observed slowdown lags by the duration of the transfers. To prevent oscillation, it is scaled by
        the ratio of the attempts in flight now to those in flight during the observed transfers. Both counts
        are raised to the number that was recently in flight without congestion, as more attempts take no
        longer below that number.

        Args:
            now: The current time.
            in_flight: The number of attempts in flight, including the new one.
            half_life: The half-life of observations.
            prior: The full-speed transfer time that is added to the observations.
        """
        decay = 2 ** ((self.updated_at - now) / half_life)
        observed_slowdown = (self.observed_time * decay + prior) / (self.expected_time * decay + prior)
        if not self.weighted_in_flight:
            return observed_slowdown
        uncongested = self.uncongested_in_flight * decay
        observed_in_flight = self.weighted_in_flight / self.expected_time
        # Conditionals, as this runs for each checked cache and calls of max would cost more than the rest.
        effective_now = in_flight if in_flight > uncongested else uncongested
        effective_then = observed_in_flight if observed_in_flight > uncongested else uncongested
        slowdown = observed_slowdown * effective_now / effective_then
        return slowdown if slowdown > 1.0 else 1.0
