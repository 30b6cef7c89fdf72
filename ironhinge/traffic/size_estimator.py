"""Estimates of the bytes that an attempt may need, and of the bytes that it did transfer.

If the cache status of an answer says that it was filled, the fill transferred the bytes of the answer. Hits
and joined fills transferred none (the bytes are counted for the attempt that started the fill). Other bytes
are estimated, and counted as `estimated` too: those of an answer "not modified", which has no body; of a
revalidation while a stale copy is served; and of a fill that broke off or whose client disconnected. The
estimate is the size given by the request or else the largest recent size of its class; for an unfinished
fill, it is multiplied by the share that should have been transferred in its duration. The bytes of an answer
without a cache status are counted as `estimated` as well, because the answer may have been a hit.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from ..interface import AttemptResult, CacheStatus, RequestReceived
from .attempts import AttemptInFlight
from .types import AttemptEnded

SMOOTHING = 0.05  # weight of the newest answer in moving averages
MIN_TRANSFER_TIME_SHARE = 0.15  # of the mean transfer time: a fill that ends sooner has transferred nothing
DEFAULT_BYTES_PER_KB = 1000.0
MAX_OBSERVED_KB = 1e6  # bounds the weight of old answers

# enum member look-ups are too slow to do for each attempt
_DONE, _TIMEOUT = AttemptResult.DONE, AttemptResult.TIMEOUT
_FILLED_FROM_ORIGIN = CacheStatus.FILLED_FROM_ORIGIN
_FILL_STATUSES = frozenset({CacheStatus.FILLED_FROM_SOURCE, CacheStatus.FILLED_FROM_ORIGIN})
_NO_TRANSFER_STATUSES = frozenset(  # hits, joined fills, and sources that sent nothing
    {
        CacheStatus.HIT,
        CacheStatus.JOINED_FILL,
        CacheStatus.SOURCE_REJECTED,
        CacheStatus.SOURCE_MISS,
        CacheStatus.FILL_LIMIT_REACHED,
        CacheStatus.ORIGIN_FAILED,
    }
)
_NO_TRANSFER_RESULTS = frozenset(  # results of attempts that transferred nothing
    {
        AttemptResult.NOT_SENT,
        AttemptResult.CUT_BEFORE_SEND,
        AttemptResult.NOT_CONNECTED,
        AttemptResult.REJECTED,
        AttemptResult.MISS,
    }
)


def is_fill(event: AttemptEnded) -> bool:
    """Returns whether the cache status says that the attempt itself caused a fill."""
    return event.cache_status in _FILL_STATUSES


class TransferredBytes(NamedTuple):
    """The bytes that an attempt transferred, and how many of them are estimated."""

    total: int
    estimated: int


_NO_TRANSFER = TransferredBytes(0, 0)


@dataclass(slots=True)
class SourceActivity:
    """When a fill was last requested from a source, and when it last delivered one."""

    requested_at: int = 0
    delivered_at: int = 0


class SizeEstimator:
    """Moving averages over the fills of one request class.

    The time per byte is tracked separately for fills from cached copies and for those that needed the origin.
    """

    __slots__ = ("max_size", "origin_share", "origin_time_per_byte", "time_per_byte")

    def __init__(self) -> None:
        self.max_size = 0.0  # largest recent fill in bytes; it decays
        self.origin_share = 0.0  # share of fills for which the source had to ask the origin
        self.time_per_byte = 0.0  # of fills from cached copies; 0: unknown
        self.origin_time_per_byte = 0.0  # of fills that needed the origin; 0: unknown

    def record_fill(self, size: int, duration: int, from_origin: bool) -> None:
        """Updates the averages with a finished fill."""
        self.max_size = max(float(size), self.max_size * (1 - SMOOTHING))
        self.origin_share += SMOOTHING * (from_origin - self.origin_share)
        time_per_byte = duration / size
        if from_origin:
            weight = SMOOTHING if self.origin_time_per_byte else 1.0
            self.origin_time_per_byte += (time_per_byte - self.origin_time_per_byte) * weight
        else:
            weight = SMOOTHING if self.time_per_byte else 1.0
            self.time_per_byte += (time_per_byte - self.time_per_byte) * weight

    def transferred_share(self, size: float, duration: int) -> float:
        """Returns the share of a fill that should have been transferred after `duration`.

        Nothing is transferred while the source waits for the origin. A fill that has taken longer than a
        transfer from a cached copy is assumed to be one that needed the origin.
        """
        if not size or not (self.time_per_byte or self.origin_time_per_byte):
            return 1.0
        transfer_time = size * (self.time_per_byte or self.origin_time_per_byte)
        # too short for a transfer: the source rejected the fill or the fill failed
        if duration < MIN_TRANSFER_TIME_SHARE * transfer_time:
            return 0.0
        origin_wait = max(0.0, size * self.origin_time_per_byte - transfer_time)
        share_if_origin = min(1.0, max(0.0, duration - origin_wait) / transfer_time)
        if duration >= transfer_time:
            return share_if_origin
        share_if_cached = min(1.0, duration / transfer_time)
        return (1 - self.origin_share) * share_if_cached + self.origin_share * share_if_origin


class TransferEstimator:
    """Size estimates for the fills of all request classes."""

    def __init__(self, class_count: int):
        self.classes = [SizeEstimator() for _ in range(class_count)]
        # requests give sizes in KB; the number of body bytes per KB is the same for all classes
        self.bytes_per_kb, self.observed_kb = DEFAULT_BYTES_PER_KB, 0.0
        self._activity: defaultdict[str, SourceActivity] = defaultdict(SourceActivity)

    def expected_size(self, request: RequestReceived) -> float:
        """Returns the size given by the request, else the largest recent size of its class, in bytes."""
        if request.size:
            return request.size * self.bytes_per_kb
        return self.classes[request.class_index].max_size

    def record_request(self, now: int, source_id: str) -> None:
        """Records that a fill was requested from a source."""
        self._activity[source_id].requested_at = now

    def remove_source(self, source_id: str) -> None:
        """Drops the activity of a source that was removed from the endpoint list."""
        self._activity.pop(source_id, None)

    def record_answer(self, now: int, attempt: AttemptInFlight, size: int, event: AttemptEnded) -> None:
        """Updates the estimates with an answer of `size` bytes."""
        request = attempt.request
        if request.size:
            self.observed_kb = min(self.observed_kb + request.size, MAX_OBSERVED_KB)
            bytes_per_request_kb = size / request.size
            self.bytes_per_kb += (bytes_per_request_kb - self.bytes_per_kb) * request.size / self.observed_kb
        if is_fill(event):
            self._activity[attempt.source_id].delivered_at = now
            from_origin = event.cache_status == _FILLED_FROM_ORIGIN
            self.classes[request.class_index].record_fill(size, event.duration, from_origin)

    def transferred(self, attempt: AttemptInFlight, event: AttemptEnded) -> TransferredBytes:
        """Returns the bytes that an attempt transferred before it ended with the given event."""
        if event.result in _NO_TRANSFER_RESULTS or event.cache_status in _NO_TRANSFER_STATUSES:
            return _NO_TRANSFER
        # until the first answer has shown the number of bytes per KB, no size is estimated
        size = self.expected_size(attempt.request) if self.observed_kb else 0.0
        if event.result == _DONE:
            return self._transferred_when_done(attempt, event, size)
        if event.result == _TIMEOUT and self._is_unresponsive(attempt):
            return _NO_TRANSFER
        estimator = self.classes[attempt.request.class_index]
        estimate = int(size * estimator.transferred_share(size, event.duration))
        return TransferredBytes(estimate, estimate)

    def _transferred_when_done(
        self, attempt: AttemptInFlight, event: AttemptEnded, size: float
    ) -> TransferredBytes:
        if event.cache_status and not is_fill(event):
            return TransferredBytes(int(size), int(size)) if attempt.revalidates else _NO_TRANSFER
        if event.body_size is None:  # "not modified": the client's own copy is valid
            return TransferredBytes(int(size), int(size))
        return TransferredBytes(event.body_size, 0 if event.cache_status else event.body_size)

    def _is_unresponsive(self, attempt: AttemptInFlight) -> bool:
        """Returns whether the source delivered nothing since the attempt started, despite later requests.

        Such a source is considered unresponsive rather than slow.
        """
        activity = self._activity.get(attempt.source_id)
        if activity is None:
            return False
        return activity.delivered_at < attempt.started_at < activity.requested_at
