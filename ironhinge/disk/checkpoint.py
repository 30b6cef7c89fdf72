"""Writes and loads the checkpoint files of a store; the previous checkpoint is kept as a fallback."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from .checkpoint_format import Checkpoint, pack_checkpoint, unpack_checkpoint
from .directory import StoreDirectory
from .errors import CorruptRecordError, ForeignStoreError, IndexSizeError, is_unwritable
from .format import identity_name
from .index import PartIndex
from .purges import PurgeTable
from .segments import SegmentTable
from .state import StoreCounter, StoreState
from .writer import LogWriter

CHECKPOINT_FILE = "checkpoint"
PREVIOUS_CHECKPOINT_FILE = "checkpoint.1"


class LogPosition(NamedTuple):
    """A position in the log: a segment number and an offset in its file."""

    segment: int
    offset: int


def write_checkpoint(state: StoreState, directory: StoreDirectory, writer: LogWriter, identity: bytes) -> int:
    """Flushes and syncs the log, then writes a checkpoint; the caller holds the writer's lock.

    Returns:
        The size of the checkpoint in bytes; 0 if the disk accepts no more writes.

    Raises:
        OSError: the sync failed, or a write failed for a reason other than a full or unwritable disk.
    """
    writer.flush()
    writer.sync()
    with state.lock:
        chunk_count = state.index.begin_snapshot()
        checkpoint = _capture_checkpoint(state, writer, identity)
    pieces = pack_checkpoint(checkpoint, _index_chunks(state, chunk_count), len(state.index.block))
    try:
        if CHECKPOINT_FILE in directory.names():
            directory.rename(CHECKPOINT_FILE, PREVIOUS_CHECKPOINT_FILE)
        return directory.replace(CHECKPOINT_FILE, pieces)
    except OSError as error:
        if not is_unwritable(error):
            raise
        state.count(StoreCounter.FAILED_WRITES)
        return 0
    finally:
        with state.lock:
            state.index.end_snapshot()


def load_checkpoint(
    state: StoreState, directory: StoreDirectory, identity: bytes, names: list[str]
) -> LogPosition | None:
    """Loads the newest valid checkpoint into the state.

    Args:
        state: receives the contents of the checkpoint.
        directory: the directory of the store.
        identity: identity of this installation.
        names: names of the files in the directory.

    Returns:
        The position in the log from which to replay; None if there is no valid checkpoint.

    Raises:
        ForeignStoreError: the checkpoint belongs to another installation.
    """
    for name in (CHECKPOINT_FILE, PREVIOUS_CHECKPOINT_FILE):
        if name not in names:
            continue
        try:
            checkpoint = unpack_checkpoint(memoryview(directory.read(name)))
            if checkpoint.identity != identity:
                raise ForeignStoreError(
                    f"{name} belongs to another installation: found '{identity_name(checkpoint.identity)}', "
                    f"expected '{identity_name(identity)}'"
                )
            index = PartIndex(state.max_entries, checkpoint.index_block)
        except (CorruptRecordError, IndexSizeError, OSError):
            state.count(StoreCounter.CORRUPT_CHECKPOINTS)
            continue
        _restore_state(state, checkpoint, index)
        return LogPosition(checkpoint.segment, checkpoint.offset)
    return None


def _capture_checkpoint(state: StoreState, writer: LogWriter, identity: bytes) -> Checkpoint:
    """Copies the state, except the index block, into a checkpoint; the caller holds the state's lock."""
    return Checkpoint(
        identity=identity,
        generation=state.generation,
        segment=writer.segment,
        offset=writer.open_offset,
        purges_known_until=state.purges.known_until,
        purge_floor=state.purges.floor,
        purge_floor_generation=state.purges.floor_generation,
        entry_count=state.index.entry_count,
        segments=state.segments.snapshot(),
        object_purges=dict(state.purges.objects),
        group_purges=dict(state.purges.groups),
    )


def _index_chunks(state: StoreState, chunk_count: int) -> Iterator[bytes]:
    """Yields the chunks of the index snapshot.

    The state's lock is taken for one chunk at a time, so that no lookup waits for the copy of a whole index.
    """
    for number in range(chunk_count):
        with state.lock:
            chunk = state.index.release_chunk(number)
        yield chunk


def _restore_state(state: StoreState, checkpoint: Checkpoint, index: PartIndex) -> None:
    index.entry_count = checkpoint.entry_count
    state.index = index
    state.generation = checkpoint.generation
    state.segments = SegmentTable(checkpoint.segments)
    state.purges = PurgeTable(checkpoint.object_purges, checkpoint.group_purges)
    state.purges.known_until = checkpoint.purges_known_until
    state.purges.floor = checkpoint.purge_floor
    state.purges.floor_generation = checkpoint.purge_floor_generation
