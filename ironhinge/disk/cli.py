"""The commands on a tier's directory. Those that change it take its lock, so its director must be down."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:  # the store is imported only by the commands that open it
    from .directory import StoreDirectory
    from .index import IndexEntry
    from .store import Store

EXIT_FAILED = 1
_STDERR = 2
_HEX_BASE = 16
_UNBOUNDED_BYTES = 1 << 60
_UNLIMITED_RETENTION_MS = 1 << 50  # nothing is served from here, so no copy has to be voided
_MIN_ENTRIES = 1 << 16
_MIN_SEGMENT_SIZE = 1 << 24

folder_argument = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
name_option = click.option(
    "--name", default="", help="The director's, where it is not the folder's only one."
)
json_option = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


@click.group()
def disk() -> None:
    """The tier of copies on disk: look at a folder, verify it, make room in it."""


def open_store(folder: Path, name: str, *, read_only: bool) -> Store:
    """Returns the store of a folder, with limits as large as it needs.

    Ends the program with code 1 where it can't be opened.

    Args:
        folder: the tier's directory.
        name: the director's; if empty, the one that the first sound segment names.
        read_only: whether nothing is changed, so that no lock is needed.
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
    """Returns the size that segments are allowed to have: at least that of each that is there."""
    return max([_MIN_SEGMENT_SIZE, *map(directory.size, _segment_names(directory))])


def _stored_director_name(directory: StoreDirectory) -> str:
    """Returns the director's name as the first sound segment has it, empty where none has one."""
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
    """Returns how many entries the checkpoint's index was made for."""
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
    """Prints statistics by name, as JSON or as a table."""
    if as_json:
        click.echo(json.dumps(statistics))
        return
    for name, value in statistics.items():
        click.echo(f"{name:{name_width}} {value}")


def _copy_fields(entry: IndexEntry, *, is_purged: bool) -> dict[str, Any]:
    """Returns an entry under the names of the `ls` output, which are fixed."""
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
    """Runs all steps of an action on each segment, with a progress bar; returns the sum of the steps."""
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
    """What a folder holds, and what its recovery found; also while its director is up."""
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
    """List copies: object, part, bytes, date, segment."""
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
    """Read all copies and check them; code 1 if any is not sound."""
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
    """Write anew what is live, segment by segment, and remove the rest."""
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
    """Drop all parts of an object (16 hex digits) that are there."""
    try:
        object_number = int(object_id, _HEX_BASE)
    except ValueError:
        raise click.BadParameter(f"'{object_id}' is not hex digits", param_hint="OBJ") from None
    store = open_store(folder, name, read_only=False)
    keys = [entry.key for entry in store.index.entries() if entry.object_id == object_number]
    for key in keys:
        store.drop(key)
    store.close()
    print_statistics({"dropped": len(keys)}, as_json, 10)
    sys.exit(0 if keys else EXIT_FAILED)
