"""The open streams, with the size and the rate of their segments.

A stream is a client connection that requests the parts of one object, its segments, one after another.
The budgets decide whether a new stream may start. Memory is bounded by the setting `most_streams`: further
streams are not tracked and their requests are treated like all others.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence

from .buckets import NEVER
from .reservations import StreamReservations

SMOOTHING = 0.1  # weight of the newest value in the moving averages of a class
REPEAT_SHARE = 0.3  # of the mean interval: a segment requested sooner is a retry of the last one
# number of mean intervals without a segment after which a stream is closed
NEW_STREAM_IDLE_INTERVALS = 3  # stream with a single segment so far
ESTABLISHED_IDLE_INTERVALS = 5  # stream with several segments
COMPLETE_IDLE_INTERVALS = 1.5  # stream that has reached the mean number of segments

StreamKey = tuple[int, int]  # ids of the client connection and the object


class Stream:
    """One open stream."""

    __slots__ = ("class_index", "rate", "reservations", "segment_count", "segment_size", "updated_at")

    def __init__(self, class_index: int, now: int):
        self.class_index, self.updated_at = class_index, now
        self.segment_size = 0.0  # expected bytes of the next segment
        self.rate = 0.0  # bytes per clock unit
        self.segment_count = 0
        self.reservations: tuple[StreamReservations, ...] = ()

    def reserve(self) -> None:
        """Reserves its rate and its next segment in each of its budgets."""
        for reservations in self.reservations:
            reservations.reserve(self.rate, self.segment_size)

    def release(self) -> None:
        """Releases its reservations."""
        for reservations in self.reservations:
            reservations.release(self.rate, self.segment_size)


class StreamTracker:
    """The open streams, and averages over the streams of each request class."""

    def __init__(self, max_streams: int, idle_timeout: int, default_interval: int):
        self.max_streams, self.idle_timeout = max_streams, idle_timeout
        self.default_interval = default_interval
        self.intervals: dict[int, float] = {}  # by class: mean time between two segments
        self.segment_counts: dict[int, float] = {}  # by class: mean number of segments
        # streams with one segment, and those with more; ordered by the last segment that was not a retry
        self.new: OrderedDict[StreamKey, Stream] = OrderedDict()
        self.established: OrderedDict[StreamKey, Stream] = OrderedDict()
        self.expired = 0  # streams closed because they were idle
        self.untracked = 0  # first segments that opened no stream because `max_streams` were open

    def __len__(self) -> int:
        return len(self.new) + len(self.established)

    def segment_interval(self, class_index: int) -> float:
        """Returns the mean time between two segments of a stream of the class."""
        return self.intervals.get(class_index, float(self.default_interval))

    def stream_rate(self, class_index: int, segment_size: float) -> float:
        """Returns the rate of a stream with such segments, in bytes per clock unit."""
        return segment_size / max(1.0, self.segment_interval(class_index))

    def find(self, key: StreamKey, now: int) -> Stream | None:
        """Returns an open stream; None if there is none or it has been idle too long."""
        self.expire(now)
        return self.established.get(key) or self.new.get(key)

    def record_segment(
        self,
        key: StreamKey,
        class_index: int,
        segment_size: float,
        now: int,
        reservations: Sequence[StreamReservations],
    ) -> None:
        """Counts a requested segment; the first one opens a stream that reserves in `reservations`.

        A retry within `REPEAT_SHARE` of the mean interval is not counted, but keeps the stream open longer. A
        later retry is counted as a further segment.
        """
        stream = self.find(key, now)
        if stream is None:
            if len(self) >= self.max_streams:
                self.untracked += 1
                return
            stream = self.new[key] = Stream(class_index, now)
            stream.segment_count = 1
        else:
            self._record_interval(key, stream, class_index, now - stream.updated_at)
        stream.updated_at = now
        self._update_reservations(stream, segment_size or stream.segment_size, reservations)

    def _record_interval(self, key: StreamKey, stream: Stream, class_index: int, interval: int) -> None:
        mean = self.segment_interval(class_index)
        if interval <= REPEAT_SHARE * mean:
            return
        self.intervals[class_index] = mean + SMOOTHING * (interval - mean)
        self.new.pop(key, None)
        self.established[key] = stream
        self.established.move_to_end(key)
        stream.segment_count += 1

    def _update_reservations(
        self, stream: Stream, segment_size: float, added: Sequence[StreamReservations]
    ) -> None:
        stream.release()
        stream.segment_size = segment_size
        stream.rate = self.stream_rate(stream.class_index, segment_size)
        stream.reservations = tuple(dict.fromkeys((*stream.reservations, *added)))
        stream.reserve()

    def continue_stream(self, key: StreamKey, class_index: int, now: int) -> None:
        """Counts a segment of an open stream, whether or not it needs a fill; else does nothing."""
        stream = self.find(key, now)
        if stream is not None:
            self.record_segment(key, class_index, stream.segment_size, now, ())

    def adopt(self, other: StreamTracker, replacements: Mapping[int, StreamReservations | None]) -> None:
        """Takes over the streams of another tracker.

        Args:
            other: The tracker of the previous settings.
            replacements: The current reservations by the identity (`id`) of the previous ones; None: the
                budget no longer has reservations.
        """
        self.intervals, self.segment_counts = other.intervals, other.segment_counts
        self.new, self.established = other.new, other.established
        for stream in (*self.new.values(), *self.established.values()):
            current = [replacements.get(id(previous)) for previous in stream.reservations]
            stream.reservations = tuple(each for each in current if each is not None)
            stream.reserve()

    def expire(self, now: int) -> None:
        """Closes streams that have been idle too long and releases their reservations.

        A stream with a single segment is closed sooner, so that a flood of first segments does not hold
        reservations for long.
        """
        for streams in (self.new, self.established):
            while streams:
                key, stream = next(iter(streams.items()))
                if now - stream.updated_at <= self._idle_limit(stream, streams is self.new):
                    break
                del streams[key]
                self.expired += 1
                self._record_length(stream)
                stream.release()

    def _record_length(self, stream: Stream) -> None:
        if stream.segment_count > 1:
            mean = self.segment_counts.get(stream.class_index, float(stream.segment_count))
            self.segment_counts[stream.class_index] = mean + SMOOTHING * (stream.segment_count - mean)

    def _idle_limit(self, stream: Stream, is_new: bool) -> float:
        # while the mean number of segments is unknown, no stream is complete
        is_complete = stream.segment_count >= self.segment_counts.get(stream.class_index, NEVER)
        if is_complete:
            max_idle_intervals = COMPLETE_IDLE_INTERVALS
        else:
            max_idle_intervals = NEW_STREAM_IDLE_INTERVALS if is_new else ESTABLISHED_IDLE_INTERVALS
        return min(self.idle_timeout, max_idle_intervals * self.segment_interval(stream.class_index))
