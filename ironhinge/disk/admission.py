"""Admission: which parts are worth their place in the tier and the writes that they cost.

Every part is ranked by its request rate over its size, decaying with time; parts are counted one by one, and
one that was requested only once lately is in a sketch alone. A copy is admitted when the parts that rank
above it leave space for it, its object and its size class are below their shares, and the write budget
allows it. Times are tenths of a millisecond; this module has no clock and sees no bodies.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum
from math import floor, log2
from typing import NamedTuple

from .index import PartKey

TICKS_PER_SECOND = 10_000
_HALF_LIFE_TICKS = 60 * TICKS_PER_SECOND  # of request rates; a disk holds far more than a cache's memory
_BUCKET_WIDTH = 0.5  # of scores, which are binary logarithms
_NO_CUTOFF = -(1 << 30)
_MIN_REQUESTS = 2  # before a part is ranked
_REQUESTS_PER_CUTOFF_UPDATE = 256

_SKETCH_ROWS = 4
_SKETCH_COLUMNS = 1 << 14
_SKETCH_INDEX_SHIFT = 64 - 14  # the top bits of the hash name a column
_SKETCH_MAX_COUNT = 15
_HALVED_COUNTS = bytes(count >> 1 for count in range(256))
_MASK_64 = (1 << 64) - 1
_OBJECT_MULTIPLIER = 0x9E3779B97F4A7C15
_PART_MULTIPLIER = 0xD6E8FEB86659FD93
_MIX_MULTIPLIER = 0xBF58476D1CE4E5B9


class RejectionReason(StrEnum):
    """Why a copy was not admitted; the values are the names in the status."""

    RARELY_REQUESTED = "rare"
    LOW_RANK = "rank"
    OBJECT_SHARE = "object"
    SIZE_CLASS_SHARE = "class"
    WRITE_BUDGET = "writes"


class AdmissionPolicy(NamedTuple):
    """What operators set; shares are of the capacity."""

    capacity: int  # bytes
    table_size: int = 65_536  # parts that are ranked
    object_share: float = 0.05
    class_share: float = 0.5
    write_rate: float = 0.0  # bytes a second; 0: unlimited
    write_burst: float = 0.0  # bytes


class FrequencySketch:
    """A count-min sketch of saturating counters, halved now and then so that it forgets."""

    def __init__(self) -> None:
        self._counters = [bytearray(_SKETCH_COLUMNS) for _ in range(_SKETCH_ROWS)]
        self._additions = 0

    def add(self, key: PartKey) -> int:
        """Counts a request; returns an upper bound of the recent ones, this one included."""
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
    """A part in the table of rates."""

    score: float  # log2 of the decayed rate over the size
    size: int  # bytes

    @property
    def bucket(self) -> int:
        """The bucket of scores that it is in."""
        return floor(self.score / _BUCKET_WIDTH)


class Admission:
    """Ranks what is requested and decides what is stored.

    The caller reports each request, and every copy that enters or leaves the tier.
    """

    def __init__(self, policy: AdmissionPolicy):
        self.policy = policy
        self.rejections = dict.fromkeys(RejectionReason, 0)
        self.object_bytes: dict[int, int] = {}  # stored, by object
        self.class_bytes: dict[int, int] = {}  # stored, by size class
        self._sketch = FrequencySketch()
        self._parts: OrderedDict[PartKey, _RankedPart] = OrderedDict()  # the longest unrequested first
        self._bucket_bytes: dict[int, int] = {}  # of the ranked parts, by bucket of scores
        self._cutoff_bucket = _NO_CUTOFF  # parts in this bucket and below do not fit
        self._requests_since_update = 0
        self._write_tokens = float(policy.write_burst)
        self._refilled_at = 0

    def record_request(self, now: int, key: PartKey, size: int) -> None:
        """Counts a request for a part of that many bytes: the best estimate, or 0 if unknown."""
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
        """Finds the bucket of scores in which the capacity is exhausted, from the best bucket down."""
        self._requests_since_update = 0
        free_bytes = self.policy.capacity
        self._cutoff_bucket = _NO_CUTOFF
        for bucket in sorted(self._bucket_bytes, reverse=True):
            free_bytes -= self._bucket_bytes[bucket]
            if free_bytes < 0:
                self._cutoff_bucket = bucket
                return

    def should_store(self, now: int, key: PartKey, size: int) -> bool:
        """Returns whether a copy is worth its place and its writing; if so, its writing is charged."""
        reason = self._rejection_reason(now, key, size)
        if reason is None:
            return True
        self.rejections[reason] += 1
        return False

    def should_retain(self, key: PartKey) -> bool:
        """Returns whether a stored copy is worth writing again when its segment is compacted."""
        return self._is_above_cutoff(key)

    def record_write(self, size: int) -> None:
        """Charges bytes written for other reasons, as by compaction: all writes wear the disk."""
        if self.policy.write_rate:
            self._write_tokens = max(-self.policy.write_burst, self._write_tokens - size)

    def record_stored(self, key: PartKey, size: int) -> None:
        """Counts a copy that is in the tier from now on."""
        _add_bytes(self.object_bytes, key.object_id, size)
        _add_bytes(self.class_bytes, size_class(size), size)

    def record_removed(self, key: PartKey, size: int) -> None:
        """Counts a copy that is no longer in the tier."""
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
        """Refills the token bucket of writes and charges a copy, where there are enough tokens."""
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
    """Returns the size class of a part: its size is below two to the power of it."""
    return size.bit_length()


def _combined_score(previous: _RankedPart, score: float, size: int) -> float:
    """Returns the logarithm of the sum of two rates, at the size that is known now."""
    previous_score = previous.score + log2(previous.size) - log2(size)
    return max(previous_score, score) + log2(1 + 2 ** -abs(previous_score - score))


def _add_bytes(totals: dict[int, int], name: int, size: int) -> None:
    """Adds to one of the totals; one that is not positive any more is removed."""
    total = totals.get(name, 0) + size
    if total > 0:
        totals[name] = total
    else:
        totals.pop(name, None)
