"""Owns the commands on a tier's folder. Those that change it take its lock, so they need its director
down.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

folder_argument = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
name_option = click.option(
    "--name", default="", help="The director's, where it is not the folder's only one."
)
json_option = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


@click.group()
def disk() -> None:
    """The tier of copies on disk: look at a folder, verify it, make room in it."""


def opened(folder: Path, name: str, writes: bool) -> Any:
    """The store of a folder, with limits as it stands; ends the program with code 1 where it can't be had."""
    from .files import Files, Locked
    from .format import Unsound, unpack_segment
    from .index import SLOT
    from .store import CHECKPOINT, Foreign, Limits, Store

    entries, settles, segment = 1 << 16, 1 << 50, 1 << 24  # no floor: nothing is served from here
    files = Files(folder, read_only=not writes)
    for each in files.names():
        if each.endswith(".seg"):
            segment = max(segment, files.size(each))
            try:
                identity = unpack_segment(files.read(each)).store
            except Unsound:
                continue
            name = name or identity.rstrip(b"\0").decode(errors="replace")
        if each == CHECKPOINT:
            from .format import unpack_checkpoint

            try:
                slots = unpack_checkpoint(memoryview(files.read(each))).slots
                entries = len(slots) // SLOT * 3 // 4
            except Unsound:
                pass
    limits = Limits(1 << 60, segment, entries, settles)
    try:
        return Store(files, name.encode(), limits, lambda: int(time.time() * 1000), read_only=not writes)
    except (Locked, Foreign, OSError) as fault:
        click.echo(f"ironhinge: {folder}: {fault}", err=True)
        sys.exit(1)


def show(rows: Any, as_json: bool, line: Callable[[Any], str]) -> None:
    if as_json:
        click.echo(json.dumps(rows))
    else:
        for row in rows.items() if isinstance(rows, dict) else rows:
            click.echo(line(row))


@disk.command()
@folder_argument
@name_option
@json_option
def status(folder: Path, name: str, as_json: bool) -> None:
    """What a folder holds, and what its recovery found; also while its director is up."""
    began = time.perf_counter()
    store = opened(folder, name, False)
    found = {**store.status(), "recovery_ms": round(1000 * (time.perf_counter() - began), 1)}
    kept = folder / "status.json"
    if kept.exists():
        try:
            found["last_life"] = json.loads(kept.read_text())
        except ValueError:
            found["last_life"] = "unreadable"
    show(found, as_json, lambda row: f"{row[0]:22} {row[1]}")


@disk.command()
@folder_argument
@name_option
@click.option("--most", type=int, default=100, show_default=True)
@json_option
def ls(folder: Path, name: str, most: int, as_json: bool) -> None:
    """List copies: object, part, bytes, date, segment."""
    store = opened(folder, name, False)
    rows: list[dict[str, Any]] = []
    for entry in store.index.entries():
        if len(rows) >= most:
            break
        rows.append({**entry._asdict(), "obj": f"{entry.obj:016x}", "purged": store.is_purged(entry)})
    show(
        rows,
        as_json,
        lambda row: (
            f"{row['obj']} {row['part']:6} {row['length']:10} {row['dated']} {row['segment']:6}"
            f"{' purged' * row['purged']}"
        ),
    )


@disk.command()
@folder_argument
@name_option
@json_option
def verify(folder: Path, name: str, as_json: bool) -> None:
    """Read all copies and check them; code 1 if any is not sound."""
    store, done = opened(folder, name, False), 0
    numbers = list(store.segments)
    with click.progressbar(numbers, label="verifying", file=sys.stderr, hidden=not os.isatty(2)) as segments:
        for number in segments:
            done += sum(store.scrub(number))
    bad = store.counts.get("records_unsound", 0) + store.counts.get("segments_missing", 0)
    show(
        {"bytes": done, "entries": len(store.index), "unsound": bad},
        as_json,
        lambda row: f"{row[0]:10} {row[1]}",
    )
    sys.exit(1 if bad else 0)


@disk.command()
@folder_argument
@name_option
@json_option
def compact(folder: Path, name: str, as_json: bool) -> None:
    """Write anew what is live, segment by segment, and remove the rest."""
    store = opened(folder, name, True)
    before = store.used()
    numbers = list(store.segments)
    with click.progressbar(numbers, label="compacting", file=sys.stderr, hidden=not os.isatty(2)) as segments:
        for number in segments:
            for _ in store.compact(number, lambda entry: True):
                pass
    after = store.used()
    store.close()
    show({"before": before, "after": after}, as_json, lambda row: f"{row[0]:10} {row[1]}")


@disk.command()
@folder_argument
@click.argument("obj")
@name_option
@json_option
def drop(folder: Path, obj: str, name: str, as_json: bool) -> None:
    """Drop all parts of an object (16 hex digits) that are there."""
    try:
        wanted = int(obj, 16)
    except ValueError:
        raise click.BadParameter(f"'{obj}' is not hex digits", param_hint="OBJ") from None
    store = opened(folder, name, True)
    parts = [entry.part for entry in store.index.entries() if entry.obj == wanted]
    for part in parts:
        store.drop(wanted, part)
    store.close()
    show({"dropped": len(parts)}, as_json, lambda row: f"{row[0]:10} {row[1]}")
    sys.exit(0 if parts else 1)
