"""Owns the store: a log of records in segments of a fixed size, an index of what is where, and their
recovery.

It must never serve bytes that were not verified, nor lose what it said is durable. It is synchronous and
does what it is told when it is told: one thread writes, any number read. Durability: what was put is
readable once `flush` has written it, and survives a power cut once `sync` has returned. A cut before that
costs the newest copies, never a wrong one. A put that was replaced or purged may come back as the older
copy, with its own date: who reads must hold dates against purges, and `get` does for all that it knows of.
"""

from __future__ import annotations

import errno
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from .files import Files
from .format import (
    DROP,
    HEAD,
    HEARD,
    PURGE_GROUP,
    PURGE_OBJECT,
    PUT,
    SEGMENT,
    VERSION,
    Checkpoint,
    Found,
    Head,
    Unsound,
    name_of,
    number_of,
    pack_checkpoint,
    pack_record,
    pack_segment,
    unpack_checkpoint,
    unpack_head,
    unpack_segment,
    verify,
    walk,
)
from .index import Entry, Index

CHECKPOINT = "checkpoint"
OLDER = "checkpoint.1"
MOST_PURGES = 65_536  # kept by name; an older one raises the floor below which no copy is served
AHEAD = 60_000  # ms: a copy dated further ahead than that is of a clock that was set back since
WRONG = errno.ENOSPC, errno.EDQUOT, errno.EROFS, errno.EIO


class Foreign(Exception):
    """The folder is another installation's, or of another version."""


class Copy(NamedTuple):
    tag: bytes
    dated: int
    body: bytes


class Limits(NamedTuple):
    room: int = 1 << 30  # bytes on disk, checkpoints not counted
    segment: int = 1 << 24
    entries: int = 1 << 20
    settles: int = 0  # ms after which purges that were not told in time can't be learned any more


class Store:
    def __init__(
        self,
        files: Files,
        identity: bytes,
        limits: Limits,
        now_ms: Callable[[], int],
        read_only: bool = False,
    ):
        self.files, self.identity, self.limits, self.now_ms = (
            files,
            identity.ljust(16, b"\0")[:16],
            limits,
            now_ms,
        )
        self.lock = threading.RLock()  # of what is known; never held while the disk works
        self.write_lock = threading.RLock()  # of the log: whoever writes, compacts or checkpoints
        self.counts: dict[str, int] = {}
        self.index = Index(limits.entries)
        self.segments: dict[int, list[int]] = {}  # by number, the oldest first: bytes in all, and live
        self.objects: OrderedDict[int, int] = OrderedDict()  # purges: Unix millisecond by name
        self.groups: dict[int, int] = {}
        self.heard = self.floor = self.floor_generation = 0
        self.generation = 0
        self.queue: list[tuple[tuple[bytes, ...], Entry | None]] = []
        self.queued = 0
        self.fd, self.number, self.offset = -1, 0, 0
        self.unsynced = False
        self.full = False  # the disk took no more
        self.read_only = read_only
        if not read_only:
            files.lock()
        self._recover()

    def count(self, name: str, more: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + more

    # Recovery

    def _recover(self) -> None:
        names = self.files.names()
        for name in names:
            if name.endswith(".part") and not self.read_only:  # a file that was begun and not put in place
                self.files.remove(name)
        start = self._checkpoint(names)
        here = sorted(number for number in map(number_of, names) if number is not None)
        for number in [number for number in self.segments if number not in here]:
            del self.segments[number]  # removed underneath: what was in it is a miss, found when asked for
            self.count("segments_missing")
        for number in here:
            if start is not None and number in self.segments and number != start[0]:
                continue  # all of it is in the checkpoint
            offset = start[1] if start is not None and number == start[0] else 0
            self._replay(number, offset)
        if here:
            self.number = max(here)
            if not self.read_only:
                self.files.sync_folder()
        now = self.now_ms()
        if self.heard > now + AHEAD:
            self._raise_floor(self.heard)  # the clock was set back: ages can't be told
        elif self.heard < now - self.limits.settles:
            # guards 'purges kept' against purges of the time that it was down: those that have settled since
            # are told no more
            self._raise_floor(now - self.limits.settles)

    def _raise_floor(self, at: int) -> None:
        """No copy of before that is served any more; one that comes later was checked by whoever brings
        it.
        """
        if self.generation:
            self.floor, self.floor_generation = max(self.floor, at), self.generation
            self.count("floor_raised")

    def _checkpoint(self, names: list[str]) -> tuple[int, int] | None:
        """Takes up the newest whole checkpoint; where the log goes on after it."""
        for name in (CHECKPOINT, OLDER):
            if name not in names:
                continue
            try:
                one = unpack_checkpoint(memoryview(self.files.read(name)))
                if one.store != self.identity:
                    raise Foreign("its checkpoint is another installation's")
                index = Index(self.limits.entries, one.slots)
            except (Unsound, OSError, ValueError):
                self.count("checkpoints_unsound")
                continue
            index.count = one.entries
            self.index, self.generation = index, one.generation
            self.segments = {number: list(sizes) for number, sizes in sorted(one.segments.items())}
            self.objects, self.groups = OrderedDict(one.objects), dict(one.groups)
            self.heard, self.floor, self.floor_generation = one.heard, one.floor, one.floor_generation
            return one.segment, one.offset
        return None

    def _replay(self, number: int, offset: int) -> None:
        """Reads a segment's records from an offset on into the index; cuts off what is torn."""
        name = name_of(number)
        try:
            data = memoryview(self.files.read(name))
        except OSError:
            self.count("segments_unreadable")
            self.segments.pop(number, None)
            return
        if len(data) < SEGMENT:  # begun and not more
            self._discard(name, number)
            return
        try:
            head = unpack_segment(bytes(data[:SEGMENT]))
        except Unsound:
            self.count("segments_unsound")
            self._discard(name, number)
            return
        if head.version != VERSION or head.store != self.identity:
            raise Foreign(f"{name} is of version {head.version} or of another installation")
        sizes = self.segments.setdefault(number, [SEGMENT, 0])
        at = max(offset, SEGMENT)
        for found in walk(data, at, True):
            self._apply(found.head, number, found.offset)
            at = found.offset + found.head.size
        sizes[0] = max(sizes[0], at)
        if at < len(data):
            self.count("records_torn")
            self.count("bytes_torn", len(data) - at)
            if not self.read_only:
                self.files.truncate(name, at)
        if not self.read_only and at > SEGMENT:
            # an earlier life may have written it and not synced: the next checkpoint will say that it is
            # there
            self.files.sync_file(name)

    def _discard(self, name: str, number: int) -> None:
        self.segments.pop(number, None)
        if not self.read_only:
            self.files.remove(name)

    def _apply(self, head: Head, number: int, offset: int) -> None:
        self.generation = max(self.generation, head.generation)
        if head.kind == PUT:
            entry = Entry(
                head.obj,
                head.part,
                number,
                offset,
                head.length,
                head.dated,
                head.generation,
                head.group,
                head.tag_size,
            )
            old = self.index.get(head.obj, head.part)
            if old is None or old.generation <= head.generation:
                self._place(entry, old)
        elif head.kind == DROP:
            old = self.index.get(head.obj, head.part)
            if old is not None and old.generation <= head.generation:
                self._forget(old)
        elif head.kind == PURGE_OBJECT:
            self._note_purge(head.obj, None, head.dated)
        elif head.kind == PURGE_GROUP:
            self._note_purge(None, head.group, head.dated)
        elif head.kind == HEARD:
            self.heard = max(self.heard, head.dated)

    # The index

    def _place(self, entry: Entry, old: Entry | None) -> bool:
        if not self.index.put(entry):
            self.count("index_full")
            return False
        self._weigh(entry, 1)
        if old is not None:
            self._weigh(old, -1)
        return True

    def _weigh(self, entry: Entry, sign: int) -> None:
        sizes = self.segments.get(entry.segment)
        if sizes is not None:
            sizes[1] += sign * (HEAD + entry.tag_size + entry.length)

    def _forget(self, entry: Entry) -> None:
        if self.index.drop(entry.obj, entry.part):
            self._weigh(entry, -1)

    # Purges

    def _note_purge(self, obj: int | None, group: int | None, at: int) -> None:
        if obj is not None:
            self.objects[obj] = max(self.objects.pop(obj, 0), at)
            while len(self.objects) > MOST_PURGES:
                _, gone = self.objects.popitem(last=False)
                self._raise_floor(gone)
        elif group is not None:
            self.groups[group] = max(self.groups.get(group, 0), at)
        self.heard = max(self.heard, at)

    def purge(self, obj: int | None, group: int, at: int) -> None:
        """A copy given out up to then is never served any more; holds at once, and on disk with the next
        sync.
        """
        with self.lock:
            self._note_purge(obj, group if obj is None else None, at)
            self._say_purge(PURGE_GROUP if obj is None else PURGE_OBJECT, obj or 0, group, at)

    def still_hears(self, at: int) -> None:
        """All purges up to then are known. Not said while the disk is full: saying less is safe."""
        with self.lock:
            if at > self.heard and self.full:
                self.heard = at
            elif at > self.heard:
                self.heard = at
                self.generation += 1
                self._enqueue(pack_record(HEARD, 0, 0, 0, at, self.generation), None)

    def is_purged(self, entry: Entry) -> bool:
        limit = max(self.objects.get(entry.obj, 0), self.groups.get(entry.group, 0))
        if entry.generation <= self.floor_generation:
            limit = max(limit, self.floor)
        return entry.dated <= limit or entry.dated > self.now_ms() + AHEAD

    # Reading

    def find(self, obj: int, part: int) -> Entry | None:
        """What the index has that may still be served."""
        with self.lock:
            entry = self.index.get(obj, part)
            if entry is None:
                return None
            if self.is_purged(entry) or entry.segment not in self.segments:
                self._forget(entry)
                return None
            return entry

    def read(self, entry: Entry) -> Copy | None:
        """The bytes, verified; None where they are not what was put, which is counted and dropped."""
        try:
            begin, body = self.files.read_at(
                name_of(entry.segment), entry.offset, HEAD + entry.tag_size, entry.length
            )
            if len(begin) < HEAD + entry.tag_size or len(body) < entry.length:
                raise Unsound("cut short")
            found, tag = unpack_head(memoryview(begin)), begin[HEAD:]
            if (found.kind, found.obj, found.part) != (PUT, entry.obj, entry.part):
                raise Unsound("another record")
            if (found.length, found.tag_size, found.dated) != (entry.length, entry.tag_size, entry.dated):
                raise Unsound("another copy")
            verify(found, tag, body)
        except FileNotFoundError:
            with self.lock:
                if entry.segment in self.segments:
                    self.count("segments_missing")
                    del self.segments[entry.segment]
            self._lost(entry)
            return None
        except (Unsound, OSError):
            self.count("records_unsound")
            self._lost(entry)
            return None
        return Copy(tag, entry.dated, body)

    def _lost(self, entry: Entry) -> None:
        with self.lock:
            now = self.index.get(entry.obj, entry.part)
            if now is not None and now.generation == entry.generation:
                self._forget(now)

    def get(self, obj: int, part: int) -> Copy | None:
        entry = self.find(obj, part)
        if entry is None:
            return None
        copy = self.read(entry)
        if copy is None:  # it may have moved meanwhile
            entry = self.find(obj, part)
            copy = self.read(entry) if entry is not None else None
        if copy is not None and entry is not None and self.is_purged(entry):
            return None  # purged while it was read
        return copy

    # Writing

    def put(self, obj: int, part: int, group: int, dated: int, tag: bytes, body: bytes) -> bool:
        """Queues a copy; False where it can't be taken."""
        with self.lock:
            size = HEAD + len(tag) + len(body)
            if self.read_only or self.full or SEGMENT + size > self.limits.segment:
                return False
            self.generation += 1
            entry = Entry(obj, part, 0, 0, len(body), dated, self.generation, group, len(tag))
            if self.is_purged(entry):
                return False
            self._enqueue(pack_record(PUT, obj, part, group, dated, self.generation, tag, body), entry)
            return True

    def drop(self, obj: int, part: int) -> bool:
        with self.lock:
            entry = self.index.get(obj, part)
            waits = [each for each in self.queue if each[1] is not None and each[1][:2] == (obj, part)]
            if entry is None and not waits:
                return False
            for each in waits:
                self.queue.remove(each)
            if entry is not None:
                self._forget(entry)
            self.generation += 1
            self._enqueue(pack_record(DROP, obj, part, 0, 0, self.generation), None)
            return True

    def _enqueue(self, pieces: tuple[bytes, ...], entry: Entry | None) -> None:
        if self.read_only:
            return
        self.queue.append((pieces, entry))
        self.queued += sum(map(len, pieces))

    def flush(self) -> int:
        """Writes what is queued; how many bytes. Where the disk takes no more, what could not be written is
        let go of and admission stops until there is room; what was written before goes on being served.
        """
        with self.write_lock:
            return self._flush()

    def _flush(self) -> int:
        done = 0
        while True:
            with self.lock:
                batch, self.queue, self.queued = self.queue, [], 0
            if not batch:
                return done
            try:
                for start, end in self._batches(batch):
                    done += self._write(batch[start:end])
            except OSError as fault:
                if fault.errno not in WRONG:
                    raise
                self.count("writes_failed")
                self.full = True
                self._abandon()
                self._owe_words(batch)
                return done

    def _owe_words(self, batch: list[tuple[tuple[bytes, ...], Entry | None]]) -> None:
        """Guards 'purges kept' where a write fails: copies are let go of, but what says that older copies are
        void is written again before anything that comes later; else a later word that all purges up to then
        are known would be on disk without them, and a restart would serve them.
        """
        words = [(record, None) for record, entry in batch if entry is None]
        with self.lock:
            self.queue[:0] = words
            self.queued += sum(sum(map(len, record)) for record, _ in words)

    def _batches(self, batch: list[tuple[tuple[bytes, ...], Entry | None]]) -> Iterator[tuple[int, int]]:
        """Runs that go into one segment; begins a new one where the next record does not fit."""
        start = 0
        while start < len(batch):
            size, end = 0, start
            while end < len(batch) and end - start < 256:
                more = sum(map(len, batch[end][0]))
                if self.fd >= 0 and self.offset + size + more > self.limits.segment:
                    break
                size, end = size + more, end + 1
                if self.fd < 0:
                    break
            if end == start or self.fd < 0:
                self._new_segment()
                continue
            yield start, end
            start = end

    def _new_segment(self) -> None:
        if self.fd >= 0:
            self.sync()
            self.files.close(self.fd)
            self.fd = -1
        with self.lock:
            self.number += 1
            number = self.number
        fd = self.files.open_append(name_of(number))
        try:
            self.files.write(fd, (pack_segment(self.identity, number, self.generation),), 0)
            self.files.sync_folder()
        except OSError:
            self.files.close(fd)
            self.files.remove(name_of(number))
            raise
        with self.lock:
            self.segments[number] = [SEGMENT, 0]
        self.fd, self.offset = fd, SEGMENT

    def _write(self, batch: list[tuple[tuple[bytes, ...], Entry | None]]) -> int:
        pieces = [piece for record, _ in batch for piece in record if piece]
        offset = self.offset
        self.files.write(self.fd, pieces, offset)
        offset += sum(map(len, pieces))
        written = offset - self.offset
        with self.lock:
            at = self.offset
            for record, entry in batch:
                if entry is not None:
                    placed = entry._replace(segment=self.number, offset=at)
                    old = self.index.get(entry.obj, entry.part)
                    if entry.segment:  # moved: must not undo a newer put
                        takes = old is not None and old.generation == entry.generation
                    else:
                        takes = old is None or old.generation < entry.generation
                    if takes and not self.is_purged(placed):
                        self._place(placed, old)
                at += sum(map(len, record))
            self.offset = offset
            self.segments[self.number][0] = offset
        self.unsynced = True
        self.count("bytes_written", written)
        return written

    def _abandon(self) -> None:
        """After a failed write: what it left behind the last whole record is cut off, or the segment is left
        as it is and a new one begun; its tail is told apart at the next start.
        """
        if self.fd >= 0:
            try:
                self.files.truncate(name_of(self.number), self.offset)
            except OSError:
                pass
            self.files.close(self.fd)
            self.fd = -1

    def sync(self) -> None:
        """What was flushed is durable after this."""
        with self.write_lock:
            if self.fd >= 0 and self.unsynced:
                try:
                    self.files.sync(self.fd)
                except OSError:
                    self._distrust_segment()
                    raise
                self.unsynced = False

    def _distrust_segment(self) -> None:
        """After a failed sync nobody knows what of the segment is durable, and a later sync that goes well
        says nothing of it (fsync(2)): it takes nothing more, and every purge that is known is said again in
        the next one.
        """
        self.count("syncs_failed")
        self.files.close(self.fd)
        self.fd, self.unsynced = -1, False
        with self.lock:
            for obj, at in self.objects.items():
                self._say_purge(PURGE_OBJECT, obj, 0, at)
            for group, at in self.groups.items():
                self._say_purge(PURGE_GROUP, 0, group, at)

    def _say_purge(self, kind: int, obj: int, group: int, at: int) -> None:
        self.generation += 1
        self._enqueue(pack_record(kind, obj, 0, group, at, self.generation), None)

    # Room, compaction, checkpoints

    def used(self) -> int:
        with self.lock:
            return sum(total for total, _ in self.segments.values())

    def live(self) -> int:
        with self.lock:
            return sum(live for _, live in self.segments.values())

    def needs_room(self) -> bool:
        return self.full or self.used() + self.queued > self.limits.room

    def victim(self) -> int | None:
        """The segment in which most is dead; of those alike, the oldest."""
        with self.lock:
            closed = [number for number in self.segments if number != self.number or self.fd < 0]
            if not closed:
                return None
            return min(
                closed, key=lambda number: (self.segments[number][1] / self.segments[number][0], number)
            )

    def compact(self, number: int, keep: Callable[[Entry], bool]) -> Iterator[int]:
        """Writes anew what of a segment is live and wanted, then removes it; yields the bytes of each step.
        A crash within leaves the old one, or both: the newer generation counts.
        """
        with self.lock:
            if number not in self.segments or (self.fd >= 0 and number == self.number):
                return
        try:
            data = memoryview(self.files.read(name_of(number)))
        except OSError:
            data = memoryview(b"")
        yield len(data)
        moved = 0
        for found in walk(data, SEGMENT, False):
            moved += self._move(found, data, number, keep)
            if moved >= 1 << 20:
                self.flush()
                yield moved
                moved = 0
        if self.full and self.queue:
            return
        self.flush()
        self.sync()  # the new place is durable before the old one goes
        with self.lock:
            self.segments.pop(number, None)
        try:
            self.files.remove(name_of(number))
        except FileNotFoundError:
            pass
        self.full = False  # there is room again
        self.count("segments_compacted")
        yield moved

    def _move(self, found: Found, data: memoryview, number: int, keep: Callable[[Entry], bool]) -> int:
        head = found.head
        if head.kind != PUT:
            return self._move_word(head)
        with self.lock:
            entry = self.index.get(head.obj, head.part)
            if entry is None or (entry.segment, entry.offset) != (number, found.offset):
                return 0
            if self.is_purged(entry) or self.full or not keep(entry):
                self._forget(entry)
                self.count("evicted")
                return 0
        tag_end = found.offset + HEAD + head.tag_size
        tag, body = (
            bytes(data[found.offset + HEAD : tag_end]),
            bytes(data[tag_end : found.offset + head.size]),
        )
        try:
            verify(head, tag, body)
        except Unsound:
            self.count("records_unsound")
            self._lost(entry)
            return 0
        pieces = pack_record(PUT, head.obj, head.part, head.group, head.dated, head.generation, tag, body)
        with self.lock:
            self._enqueue(pieces, entry)
        self.count("bytes_moved", head.size)
        return head.size

    def _move_word(self, head: Head) -> int:
        """A purge that is still known is said again, so that it outlives the segment in which it stood."""
        with self.lock:
            known = (
                self.objects.get(head.obj)
                if head.kind == PURGE_OBJECT
                else self.groups.get(head.group)
                if head.kind == PURGE_GROUP
                else None
            )
            if known == head.dated:
                self.generation += 1
                pieces = pack_record(head.kind, head.obj, 0, head.group, head.dated, self.generation)
                self._enqueue(pieces, None)
                return HEAD
        return 0

    def checkpoint(self) -> int:
        """Puts the index on disk, so that a start reads the log's tail only; how many bytes."""
        with self.write_lock:
            return self._checkpoint_now()

    def _checkpoint_now(self) -> int:
        self.flush()
        self.sync()
        with self.lock:
            self.index.begin_picture()
            one = Checkpoint(
                self.identity,
                self.generation,
                self.number,
                self.offset if self.fd >= 0 else 0,
                self.heard,
                self.floor,
                self.floor_generation,
                self.index.count,
                {number: (total, live) for number, (total, live) in self.segments.items()},
                dict(self.objects),
                dict(self.groups),
            )
            chunks = len(self.index.picture or ())
        pieces = pack_checkpoint(one, self._chunks(chunks), len(self.index.block))
        try:
            if CHECKPOINT in self.files.names():
                self.files.rename(CHECKPOINT, OLDER)
            return self.files.put(CHECKPOINT, pieces)
        except OSError as fault:
            if fault.errno not in WRONG:
                raise
            self.count("writes_failed")
            return 0
        finally:
            with self.lock:
                self.index.end_picture()

    def _chunks(self, count: int) -> Iterator[bytes]:
        """The index as it was, a piece at a time: whoever looks something up must not wait for all of it."""
        for place in range(count):
            with self.lock:
                piece = self.index.take_chunk(place)
            yield piece

    def scrub(self, number: int) -> Iterator[int]:
        """Verifies all that is live in a segment; yields the bytes of each step."""
        done = 0
        with self.lock:
            here = [entry for entry in self.index.entries() if entry.segment == number]
        for entry in here:
            with self.lock:
                if self.index.get(entry.obj, entry.part) != entry:
                    continue
            self.read(entry)
            done += entry.length
            if done >= 1 << 20:
                yield done
                done = 0
        yield done

    def close(self) -> None:
        if not self.read_only:
            self.checkpoint()
            if self.fd >= 0:
                self.files.close(self.fd)
                self.fd = -1
        self.files.end()

    def status(self) -> dict[str, int]:
        with self.lock:
            return {
                "entries": len(self.index),
                "segments": len(self.segments),
                "bytes": self.used(),
                "live": self.live(),
                "room": self.limits.room,
                "index_bytes": len(self.index.block),
                "purges": len(self.objects) + len(self.groups),
                "floor": self.floor,
                "heard": self.heard,
                "full": int(self.full),
                **self.counts,
            }
