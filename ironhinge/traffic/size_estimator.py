"""How many bytes an attempt may need, and how many it did transfer.

The bytes of a fill are those of its answer, where the answer's note says that it was a fill. A hit and a
joined fill transferred none (the attempt that began the fill has them). Three kinds of bytes are guessed, and
counted apart: those of an answer that the client's own copy stands for, of a revalidation behind a stale
copy, and of a fill that broke off or outlived its client. Their guess is the size, which the request tells
or the mean of its class gives, times the share of its usual time that the fill had.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from ..interface import AttemptResult, CacheStatus, RequestReceived
from .attempts import AttemptInFlight
from .types import AttemptEnded

SMOOTHING = 0.05  # weight of the newest answer in means
MIN_TRANSFER_TIME_SHARE = 0.15  # of a fill's usual time: one that ends before it has transferred nothing
DEFAULT_BYTES_PER_KB = 1000.0
MAX_OBSERVED_KB = 1e6  # bounds the weight of answers long ago

# looking a member up in its class costs too much to do it for each attempt
_DONE, _TIMEOUT = AttemptResult.DONE, AttemptResult.TIMEOUT
_FILLED_FROM_ORIGIN = CacheStatus.FILLED_FROM_ORIGIN
_FILL_STATUSES = frozenset({CacheStatus.FILLED_FROM_SOURCE, CacheStatus.FILLED_FROM_ORIGIN})
_NO_TRANSFER_STATUSES = frozenset(  # hits, joined fills, and sources that gave nothing
    {
        CacheStatus.HIT,
        CacheStatus.JOINED_FILL,
        CacheStatus.SOURCE_REJECTED,
        CacheStatus.SOURCE_MISS,
        CacheStatus.FILL_LIMIT_REACHED,
        CacheStatus.ORIGIN_FAILED,
    }
)
_NO_TRANSFER_RESULTS = frozenset(  # ends before which nothing was transferred
    {
        AttemptResult.NOT_SENT,
        AttemptResult.CUT_BEFORE_SEND,
        AttemptResult.NOT_CONNECTED,
        AttemptResult.REJECTED,
        AttemptResult.MISS,
    }
)


def is_fill(event: AttemptEnded) -> bool:
    """Whether the answer says that a fill of its own brought it."""
    return event.cache_status in _FILL_STATUSES


class TransferredBytes(NamedTuple):
    """The bytes that an attempt transferred, and how many of them are guessed."""

    total: int
    guessed: int


_NO_TRANSFER = TransferredBytes(0, 0)


@dataclass(slots=True)
class SourceActivity:
    """When a source was last heard from, and asked for, anything."""

    requested_at: int = 0
    delivered_at: int = 0


class SizeEstimator:
    """What the answers of one request class were like.

    The times for each byte are told apart by whether the source held the object or had to ask the origin.
    """

    __slots__ = ("max_size", "origin_share", "origin_time_per_byte", "time_per_byte")

    def __init__(self) -> None:
        self.max_size = 0.0  # bytes, of late
        self.origin_share = 0.0  # of the fills: those for which the source had to ask the origin
        self.time_per_byte = 0.0
        self.origin_time_per_byte = 0.0

    def record_fill(self, size: int, duration: int, from_origin: bool) -> None:
        """Learns from an answer that a fill of its own brought."""
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
        """The share of a fill that should have been transferred after `duration`.

        Nothing is transferred while the source asks the origin; a fill that takes longer than one from a
        source that holds the object is taken for one of those.
        """
        if not size or not (self.time_per_byte or self.origin_time_per_byte):
            return 1.0
        transfer_time = size * (self.time_per_byte or self.origin_time_per_byte)
        if (
            duration < MIN_TRANSFER_TIME_SHARE * transfer_time
        ):  # no source answers that fast: it refused or broke
            return 0.0
        origin_wait = max(0.0, size * self.origin_time_per_byte - transfer_time)
        share_if_origin = min(1.0, max(0.0, duration - origin_wait) / transfer_time)
        if duration >= transfer_time:
            return share_if_origin
        share_if_cached = min(1.0, duration / transfer_time)
        return (1 - self.origin_share) * share_if_cached + self.origin_share * share_if_origin


class TransferEstimator:
    """Sizes of fills, as far as they are known, for all request classes."""

    def __init__(self, class_count: int):
        self.classes = [SizeEstimator() for _ in range(class_count)]
        # requests tell sizes in KB; how many bytes on the wire one of them stands for is the same everywhere
        self.bytes_per_kb, self.observed_kb = DEFAULT_BYTES_PER_KB, 0.0
        self._activity: defaultdict[str, SourceActivity] = defaultdict(SourceActivity)

    def expected_size(self, request: RequestReceived) -> float:
        """The bytes that a fill should need: what the request tells, else the most its class had lately."""
        if request.size:
            return request.size * self.bytes_per_kb
        return self.classes[request.class_index].max_size

    def record_request(self, now: int, source_id: str) -> None:
        """A fill is requested of a source."""
        self._activity[source_id].requested_at = now

    def remove_source(self, source_id: str) -> None:
        """The source is no longer listed."""
        self._activity.pop(source_id, None)

    def record_answer(self, now: int, attempt: AttemptInFlight, size: int, event: AttemptEnded) -> None:
        """Learns from an answer of `size` bytes."""
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
        """The bytes that an attempt transferred until it ended as the event says."""
        if event.result in _NO_TRANSFER_RESULTS or event.cache_status in _NO_TRANSFER_STATUSES:
            return _NO_TRANSFER
        # until the first answer has shown how many bytes a KB stands for, no size is guessed
        size = self.expected_size(attempt.request) if self.observed_kb else 0.0
        if event.result == _DONE:
            return self._transferred_when_done(attempt, event, size)
        if event.result == _TIMEOUT and self._is_unresponsive(attempt):
            return _NO_TRANSFER
        estimator = self.classes[attempt.request.class_index]
        guess = int(size * estimator.transferred_share(size, event.duration))
        return TransferredBytes(guess, guess)

    def _transferred_when_done(
        self, attempt: AttemptInFlight, event: AttemptEnded, size: float
    ) -> TransferredBytes:
        if event.cache_status and not is_fill(event):
            return TransferredBytes(int(size), int(size)) if attempt.revalidates else _NO_TRANSFER
        if event.body_size is None:  # the client's own copy stands for it
            return TransferredBytes(int(size), int(size))
        return TransferredBytes(event.body_size, 0 if event.cache_status else event.body_size)

    def _is_unresponsive(self, attempt: AttemptInFlight) -> bool:
        """Whether the source was asked again since, and gave nothing to anyone: then it is not just slow."""
        activity = self._activity.get(attempt.source_id)
        if activity is None:
            return False
        return activity.delivered_at < attempt.started_at < activity.requested_at
