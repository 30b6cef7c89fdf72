"""Admission: decides which parts of objects are stored on disk, given limited space and a write budget.

Parts are ranked by request rate divided by size; the rate decays exponentially. Each part of an object is
counted separately. A part enters the ranking with its second recent request; before that, only a sketch
counts it. A copy is admitted if the parts ranked above it leave space for it, its object and its size class
stay within their shares of the capacity, and the write budget allows it. Times are tenths of a millisecond,
passed in by the caller; this module does not handle bodies.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum
from math import floor, log2
from typing import NamedTuple

from .index import PartKey

TICKS_PER_SECOND = 10_000
# Half-life of request rates. It is long because a disk holds far more than a cache's memory.
_HALF_LIFE_TICKS = 60 * TICKS_PER_SECOND
_BUCKET_WIDTH = 0.5  # range of scores (base-2 logarithms) that share a bucket
_NO_CUTOFF = -(1 << 30)  # below every bucket: all ranked parts fit
_MIN_REQUESTS = 2  # recent requests after which a part is ranked
_REQUESTS_PER_CUTOFF_UPDATE = 256

_SKETCH_ROWS = 4
_SKETCH_COLUMNS = 1 << 14
_SKETCH_INDEX_SHIFT = 64 - 14  # the top 14 bits of the hash select a column
_SKETCH_MAX_COUNT = 15
_HALVED_COUNTS = bytes(count >> 1 for count in range(256))
_MASK_64 = (1 << 64) - 1
_OBJECT_MULTIPLIER = 0x9E3779B97F4A7C15
_PART_MULTIPLIER = 0xD6E8FEB86659FD93
_MIX_MULTIPLIER = 0xBF58476D1CE4E5B9


class RejectionReason(StrEnum):
    """Why a copy was not admitted; the values are keys of the status output."""

    RARELY_REQUESTED = "rare"
    LOW_RANK = "rank"
    OBJECT_SHARE = "object"
    SIZE_CLASS_SHARE = "class"
    WRITE_BUDGET = "writes"


class AdmissionPolicy(NamedTuple):
    """The operators' limits; shares are fractions of the capacity."""

    capacity: int  # bytes
    table_size: int = 65_536  # maximum number of ranked parts
    object_share: float = 0.05
    class_share: float = 0.5
    write_rate: float = 0.0  # bytes per second; 0: unlimited
    write_burst: float = 0.0  # bytes; capacity of the token bucket


class FrequencySketch:
    """A count-min sketch of saturating counters, halved periodically so that old requests lose weight."""

    def __init__(self) -> None:
        self._counters = [bytearray(_SKETCH_COLUMNS) for _ in range(_SKETCH_ROWS)]
        self._additions = 0

    def add(self, key: PartKey) -> int:
        """Counts a request; returns an upper bound on the part's recent requests, including this one."""
        hash_value = (key.object_id * _OBJECT_MULTIPLIER + key.part * _PART_MULTIPLIER) & _MASK_64
        estimate = _SKETCH_MAX_COUNT
        for counters in self._counters:
            hash_value = ((hash_value ^ (hash_value >> 30)) * _MIX_MULTIPLIER) & _MASK_64
            column = hash_value >> _SKETCH_INDEX_SHIFT
            counters[column] = min(_SKETCH_MAX_COUNT, counters[column] + 1)
            estimate = min(estimate, counters[column])
        self._additions += 1
        if self._additions >= _SKETCH_COLUMNS:
            self._halve()
        return estimate

    def _halve(self) -> None:
        self._additions //= 2
        self._counters = [counters.translate(_HALVED_COUNTS) for counters in self._counters]


class _RankedPart(NamedTuple):
    """A part in the ranking."""

    # log2(decayed request rate / size) plus the time in half-lives, so that decay doesn't change the score
    score: float
    size: int  # bytes

    @property
    def bucket(self) -> int:
        """The bucket that the score falls into."""
        return floor(self.score / _BUCKET_WIDTH)


class Admission:
    """Ranks requested parts and decides which copies are stored.

    The caller reports every request and every copy that is added to or removed from the tier.
    """

    def __init__(self, policy: AdmissionPolicy):
        self.policy = policy
        self.rejections = dict.fromkeys(RejectionReason, 0)
        self.object_bytes: dict[int, int] = {}  # bytes stored per object
        self.class_bytes: dict[int, int] = {}  # bytes stored per size class
        self._sketch = FrequencySketch()
        self._parts: OrderedDict[PartKey, _RankedPart] = OrderedDict()  # least recently requested first
        self._bucket_bytes: dict[int, int] = {}  # bytes of the ranked parts per bucket
        self._cutoff_bucket = _NO_CUTOFF  # parts in this bucket and below do not fit
        self._requests_since_update = 0
        self._write_tokens = float(policy.write_burst)
        self._refilled_at = 0

    def record_request(self, now: int, key: PartKey, size: int) -> None:
        """Counts a request for a part.

        Args:
            now: tenths of a millisecond.
            key: the requested part.
            size: best estimate of the part's size in bytes; 0 if unknown.
        """
        previous = self._parts.pop(key, None)
        if previous is None and self._sketch.add(key) < _MIN_REQUESTS:
            return
        size = size or (previous.size if previous is not None else 1)
        score = now / _HALF_LIFE_TICKS - log2(size)
        if previous is not None:
            self._add_bucket_bytes(previous.bucket, -previous.size)
            score = _combined_score(previous, score, size)
        elif len(self._parts) >= self.policy.table_size:
            _, oldest = self._parts.popitem(last=False)
            self._add_bucket_bytes(oldest.bucket, -oldest.size)
        ranked = _RankedPart(score, size)
        self._parts[key] = ranked
        self._add_bucket_bytes(ranked.bucket, size)
        self._requests_since_update += 1
        if self._requests_since_update >= _REQUESTS_PER_CUTOFF_UPDATE:
            self.update_cutoff()

    def update_cutoff(self) -> None:
        """Sets the cutoff to the bucket at which parts, in descending order of score, exceed the capacity."""
        self._requests_since_update = 0
        free_bytes = self.policy.capacity
        self._cutoff_bucket = _NO_CUTOFF
        for bucket in sorted(self._bucket_bytes, reverse=True):
            free_bytes -= self._bucket_bytes[bucket]
            if free_bytes < 0:
                self._cutoff_bucket = bucket
                return

    def should_store(self, now: int, key: PartKey, size: int) -> bool:
        """Returns whether to store a copy; if so, charges its size to the write budget."""
        reason = self._rejection_reason(now, key, size)
        if reason is None:
            return True
        self.rejections[reason] += 1
        return False

    def should_retain(self, key: PartKey) -> bool:
        """Returns whether compaction should write a stored copy again instead of evicting it."""
        return self._is_above_cutoff(key)

    def record_write(self, size: int) -> None:
        """Charges other writes, such as those of compaction, to the budget, as all writes wear the disk."""
        if self.policy.write_rate:
            self._write_tokens = max(-self.policy.write_burst, self._write_tokens - size)

    def record_stored(self, key: PartKey, size: int) -> None:
        """Counts a copy that was added to the tier."""
        _add_bytes(self.object_bytes, key.object_id, size)
        _add_bytes(self.class_bytes, size_class(size), size)

    def record_removed(self, key: PartKey, size: int) -> None:
        """Subtracts a copy that was removed from the tier."""
        _add_bytes(self.object_bytes, key.object_id, -size)
        _add_bytes(self.class_bytes, size_class(size), -size)

    def _rejection_reason(self, now: int, key: PartKey, size: int) -> RejectionReason | None:
        policy = self.policy
        if key not in self._parts:
            return RejectionReason.RARELY_REQUESTED
        if not self._is_above_cutoff(key):
            return RejectionReason.LOW_RANK
        if self.object_bytes.get(key.object_id, 0) + size > policy.object_share * policy.capacity:
            return RejectionReason.OBJECT_SHARE
        if self.class_bytes.get(size_class(size), 0) + size > policy.class_share * policy.capacity:
            return RejectionReason.SIZE_CLASS_SHARE
        if policy.write_rate and not self._charge_write_tokens(now, size):
            return RejectionReason.WRITE_BUDGET
        return None

    def _is_above_cutoff(self, key: PartKey) -> bool:
        part = self._parts.get(key)
        return part is not None and part.bucket > self._cutoff_bucket

    def _charge_write_tokens(self, now: int, size: int) -> bool:
        """Refills the token bucket of writes, then charges a copy; returns False if tokens are lacking."""
        refill = (now - self._refilled_at) * self.policy.write_rate / TICKS_PER_SECOND
        self._write_tokens = min(self.policy.write_burst, self._write_tokens + refill)
        self._refilled_at = now
        if self._write_tokens < size:
            return False
        self._write_tokens -= size
        return True

    def _add_bucket_bytes(self, bucket: int, size: int) -> None:
        _add_bytes(self._bucket_bytes, bucket, size)


def size_class(size: int) -> int:
    """Returns the size class of a part: the smallest exponent `n` with `size < 2**n`."""
    return size.bit_length()


def _combined_score(previous: _RankedPart, score: float, size: int) -> float:
    """Returns the score for the sum of the two rates, with the previous score converted to the new size."""
    previous_score = previous.score + log2(previous.size) - log2(size)
    return max(previous_score, score) + log2(1 + 2 ** -abs(previous_score - score))


def _add_bytes(totals: dict[int, int], total_key: int, size: int) -> None:
    """Adds a size, which may be negative, to one of the totals; removes a total that is not positive."""
    total = totals.get(total_key, 0) + size
    if total > 0:
        totals[total_key] = total
    else:
        totals.pop(total_key, None)
