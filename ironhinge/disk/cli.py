"""Commands that inspect and change a tier's directory.

Commands that change it take its lock, which fails while its director runs.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:  # at run time only the commands that open a store import it
    from .directory import StoreDirectory
    from .index import IndexEntry
    from .store import Store

EXIT_FAILED = 1
_STDERR = 2
_HEX_BASE = 16
_UNBOUNDED_BYTES = 1 << 60
# Keeps recovery from raising the purge floor for missed purges: these commands serve no copies, so none has
# to be invalidated.
_UNLIMITED_RETENTION_MS = 1 << 50
_MIN_ENTRIES = 1 << 16
_MIN_SEGMENT_SIZE = 1 << 24

folder_argument = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
name_option = click.option(
    "--name", default="", help="Name of the director; by default, the name stored in the folder."
)
json_option = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


@click.group()
def disk() -> None:
    """Inspect, verify and compact a folder of the disk tier."""


def open_store(folder: Path, name: str, *, read_only: bool) -> Store:
    """Opens the store in a folder, with limits that its contents do not exceed.

    Exits with code 1 if it can't be opened.

    Args:
        folder: the tier's directory.
        name: name of the director; if empty, the one in the first valid segment header that has one.
        read_only: open without the lock and change nothing.
    """
    from .directory import StoreDirectory
    from .errors import ForeignStoreError, StoreLockedError
    from .store import Store, StoreLimits

    directory = StoreDirectory(folder, read_only=read_only)
    limits = StoreLimits(
        _UNBOUNDED_BYTES,
        _largest_segment(directory),
        _checkpoint_entries(directory),
        _UNLIMITED_RETENTION_MS,
    )
    stored_name = _stored_director_name(directory)
    try:
        return Store(directory, (name or stored_name).encode(), limits, lambda: int(time.time() * 1000))
    except (StoreLockedError, ForeignStoreError, OSError) as error:
        click.echo(f"ironhinge: {folder}: {error}", err=True)
        sys.exit(EXIT_FAILED)


def _segment_names(directory: StoreDirectory) -> list[str]:
    return [name for name in directory.names() if name.endswith(".seg")]


def _largest_segment(directory: StoreDirectory) -> int:
    """Returns the size of the largest segment, but at least `_MIN_SEGMENT_SIZE`."""
    return max([_MIN_SEGMENT_SIZE, *map(directory.size, _segment_names(directory))])


def _stored_director_name(directory: StoreDirectory) -> str:
    """Returns the director's name in the first valid segment header that has one, else an empty string."""
    from .errors import CorruptRecordError
    from .format import identity_name, unpack_segment_header

    names = []
    for segment_name in _segment_names(directory):
        try:
            identity = unpack_segment_header(directory.read(segment_name)).identity
        except CorruptRecordError:
            continue
        names.append(identity_name(identity))
    return next(filter(None, names), "")


def _checkpoint_entries(directory: StoreDirectory) -> int:
    """Returns the capacity of the checkpoint's index in entries; a default without a valid checkpoint.

    The index of a checkpoint is loaded only into a store with the same capacity.
    """
    from .checkpoint import CHECKPOINT_FILE
    from .checkpoint_format import unpack_checkpoint
    from .errors import CorruptRecordError
    from .index import MAX_LOAD, SLOT_SIZE

    if CHECKPOINT_FILE not in directory.names():
        return _MIN_ENTRIES
    try:
        checkpoint = unpack_checkpoint(memoryview(directory.read(CHECKPOINT_FILE)))
    except CorruptRecordError:
        return _MIN_ENTRIES
    return int(len(checkpoint.index_block) // SLOT_SIZE * MAX_LOAD)


def print_statistics(statistics: dict[str, Any], as_json: bool, name_width: int) -> None:
    """Prints statistics with their names, as JSON or as a table."""
    if as_json:
        click.echo(json.dumps(statistics))
        return
    for name, value in statistics.items():
        click.echo(f"{name:{name_width}} {value}")


def _copy_fields(entry: IndexEntry, *, is_purged: bool) -> dict[str, Any]:
    """Returns the fields of an entry by their fixed keys in the output of `ls`."""
    return {
        "obj": f"{entry.object_id:016x}",
        "part": entry.part,
        "segment": entry.segment,
        "offset": entry.offset,
        "length": entry.body_size,
        "dated": entry.produced_at,
        "generation": entry.generation,
        "group": entry.group,
        "tag_size": entry.tag_size,
        "purged": is_purged,
    }


def _for_each_segment(store: Store, label: str, action: Callable[[int], Iterable[int]]) -> int:
    """Runs an action on each segment, with a progress bar; returns the total of the bytes that it yields."""
    processed_bytes = 0
    segments = list(store.segments)
    hidden = not os.isatty(_STDERR)
    with click.progressbar(segments, label=label, file=sys.stderr, hidden=hidden) as progress:
        for segment in progress:
            processed_bytes += sum(action(segment))
    return processed_bytes


@disk.command()
@folder_argument
@name_option
@json_option
def status(folder: Path, name: str, as_json: bool) -> None:
    """Show statistics of a folder and of its recovery; works while its director runs."""
    from .directory import STATUS_FILE

    started_at = time.perf_counter()
    store = open_store(folder, name, read_only=True)
    recovery_ms = round(1000 * (time.perf_counter() - started_at), 1)
    statistics: dict[str, Any] = {**store.status(), "recovery_ms": recovery_ms}
    status_file = folder / STATUS_FILE
    if status_file.exists():
        try:
            statistics["last_life"] = json.loads(status_file.read_text())
        except ValueError:
            statistics["last_life"] = "unreadable"
    print_statistics(statistics, as_json, 22)


@disk.command()
@folder_argument
@name_option
@click.option("--most", "max_copies", type=int, default=100, show_default=True)
@json_option
def ls(folder: Path, name: str, max_copies: int, as_json: bool) -> None:
    """List copies: object, part, size in bytes, production time (Unix ms), segment."""
    store = open_store(folder, name, read_only=True)
    copies: list[dict[str, Any]] = []
    for entry in store.index.entries():
        if len(copies) >= max_copies:
            break
        copies.append(_copy_fields(entry, is_purged=store.is_purged(entry)))
    if as_json:
        click.echo(json.dumps(copies))
        return
    for copy in copies:
        click.echo(
            f"{copy['obj']} {copy['part']:6} {copy['length']:10} {copy['dated']} {copy['segment']:6}"
            f"{' purged' if copy['purged'] else ''}"
        )


@disk.command()
@folder_argument
@name_option
@json_option
def verify(folder: Path, name: str, as_json: bool) -> None:
    """Verify the checksums of all copies; code 1 if a copy is corrupt or a segment is missing."""
    from .state import StoreCounter

    store = open_store(folder, name, read_only=True)
    verified_bytes = _for_each_segment(store, "verifying", store.scrub)
    corrupt = store.counters.get(StoreCounter.CORRUPT_RECORDS, 0)
    corrupt += store.counters.get(StoreCounter.MISSING_SEGMENTS, 0)
    print_statistics({"bytes": verified_bytes, "entries": len(store.index), "unsound": corrupt}, as_json, 10)
    sys.exit(EXIT_FAILED if corrupt else 0)


@disk.command()
@folder_argument
@name_option
@json_option
def compact(folder: Path, name: str, as_json: bool) -> None:
    """Compact all segments: rewrite their live copies and remove the old files."""
    store = open_store(folder, name, read_only=False)
    before = store.used_bytes()
    _for_each_segment(store, "compacting", lambda segment: store.compact(segment, lambda _: True))
    after = store.used_bytes()
    store.close()
    print_statistics({"before": before, "after": after}, as_json, 10)


@disk.command()
@folder_argument
@click.argument("object_id", metavar="OBJ")
@name_option
@json_option
def drop(folder: Path, object_id: str, name: str, as_json: bool) -> None:
    """Remove the copies of all parts of an object (ID of 16 hex digits); code 1 if there are none."""
    try:
        object_number = int(object_id, _HEX_BASE)
    except ValueError:
        raise click.BadParameter(f"'{object_id}' is not a hexadecimal number", param_hint="OBJ") from None
    store = open_store(folder, name, read_only=False)
    keys = [entry.key for entry in store.index.entries() if entry.object_id == object_number]
    for key in keys:
        store.drop(key)
    store.close()
    print_statistics({"dropped": len(keys)}, as_json, 10)
    sys.exit(0 if keys else EXIT_FAILED)
