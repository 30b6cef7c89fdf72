"""Writes and loads the checkpoint files of a store; the previous checkpoint is kept beside the newest."""

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
    """A place in the log."""

    segment: int
    offset: int


def write_checkpoint(state: StoreState, directory: StoreDirectory, writer: LogWriter, identity: bytes) -> int:
    """Makes the log durable and writes a checkpoint of it; the caller holds the writer's lock.

    Returns:
        The size of the checkpoint in bytes; 0 where the disk accepts no more writes.
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
    """Takes over the newest sound checkpoint.

    Args:
        state: what is loaded goes there.
        directory: where the files are.
        identity: of this installation.
        names: the files that are there.

    Returns:
        Where the log continues after the checkpoint; None where there is no sound one.

    Raises:
        ForeignStoreError: it is another installation's.
    """
    for name in (CHECKPOINT_FILE, PREVIOUS_CHECKPOINT_FILE):
        if name not in names:
            continue
        try:
            checkpoint = unpack_checkpoint(memoryview(directory.read(name)))
            if checkpoint.identity != identity:
                raise ForeignStoreError(
                    f"{name} is another installation's: found '{identity_name(checkpoint.identity)}', "
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
    """Returns all that a checkpoint holds but the index block; the caller holds the lock of the state."""
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
    """Yields the index as it was, one chunk at a time: a lookup must not wait for all of it."""
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
