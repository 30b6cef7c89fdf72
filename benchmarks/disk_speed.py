"""Measures how fast the disk store writes, reads and recovers, and how long lookups block the event loop.

Speeds are given as ratios to plain files with the same bytes on the same disk.

    python -m benchmarks.disk_speed [--quick] [--folder DIR]
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from ironhinge.disk.directory import StoreDirectory
from ironhinge.disk.format import SEGMENT_HEADER_SIZE, segment_file_name
from ironhinge.disk.index import IndexEntry, PartKey
from ironhinge.disk.reader import Copy
from ironhinge.disk.store import Store, StoreLimits
from ironhinge.disk.tier import SWITCH_INTERVAL

IDENTITY = b"bench"
PART_SIZE = 256 * 1024  # bytes
BODIES = 16  # different bodies, used in turn
PUTS_PER_FLUSH = 16
PARTS, QUICK_PARTS = 2000, 400
ROUNDS, QUICK_ROUNDS = 7, 3
RECOVERED_ENTRIES = 1_000_000
LOOKUP_INTERVAL = 0.0005  # seconds between two lookups
RETENTION_MS = 1 << 50  # so long that opening a store never drops copies because of purges it may have missed
SPEED_LIMITS = StoreLimits(1 << 40, 1 << 26, 100_000, RETENTION_MS)


def now_ms() -> int:
    """Returns the wall clock in Unix milliseconds."""
    return int(time.time() * 1000)


def drop_page_cache(path: Path) -> None:
    """Asks the system to drop a file from the page cache, so that reads go to the disk."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fdatasync(descriptor)
        os.posix_fadvise(descriptor, 0, 0, os.POSIX_FADV_DONTNEED)
    finally:
        os.close(descriptor)


@contextmanager
def timed(seconds: dict[str, float], name: str) -> Iterator[None]:
    """Stores the duration of the block in `seconds[name]`."""
    started_at = time.perf_counter()
    yield
    seconds[name] = time.perf_counter() - started_at


def write_plain(path: Path, bodies: list[bytes], parts: int) -> None:
    """Writes all parts to one file and syncs it."""
    with path.open("wb", buffering=0) as file:
        for number in range(parts):
            file.write(bodies[number % BODIES])
        os.fdatasync(file.fileno())


def read_plain(path: Path, parts: int) -> None:
    """Reads all parts of the file."""
    with path.open("rb", buffering=0) as file:
        for _ in range(parts):
            file.read(PART_SIZE)


def write_store(store: Store, bodies: list[bytes], parts: int) -> None:
    """Writes all parts to the store and syncs them."""
    for number in range(parts):
        store.put(PartKey(number, 0), 0, Copy(b"tag", 1, bodies[number % BODIES]))
        if number % PUTS_PER_FLUSH == PUTS_PER_FLUSH - 1:
            store.flush()
    store.flush()
    store.sync()


def read_store(store: Store, parts: int) -> None:
    """Reads all parts from the store."""
    for number in range(parts):
        copy = store.get(PartKey(number, 0))
        assert copy is not None
        assert len(copy.body) == PART_SIZE


def measure_speed(folder: Path, parts: int) -> dict[str, float]:
    """Returns the seconds to write the parts and to read them cold and warm, in a plain file and a store."""
    bodies = [os.urandom(PART_SIZE) for _ in range(BODIES)]
    seconds: dict[str, float] = {}
    plain = folder / "plain"
    with timed(seconds, "plain_put"):
        write_plain(plain, bodies, parts)
    store = Store(StoreDirectory(folder / "store"), IDENTITY, SPEED_LIMITS, now_ms)
    with timed(seconds, "put"):
        write_store(store, bodies, parts)
    for temperature in ("cold", "warm"):
        is_cold = temperature == "cold"
        if is_cold:
            drop_page_cache(plain)
        with timed(seconds, f"plain_get_{temperature}"):
            read_plain(plain, parts)
        if is_cold:
            for number in store.segments:
                drop_page_cache(folder / "store" / segment_file_name(number))
        with timed(seconds, f"get_{temperature}"):
            read_store(store, parts)
    store.directory.release()
    return seconds


def filled_store(folder: Path, limits: StoreLimits) -> Store:
    """Returns a store with a full index; of its entries, only the first has a copy."""
    store = Store(StoreDirectory(folder), IDENTITY, limits, now_ms)
    store.put(PartKey(0, 0), 0, Copy(b"t", 1, b"x"))
    store.flush()
    for object_id in range(1, limits.max_entries):
        entry = IndexEntry(object_id, 0, 1, SEGMENT_HEADER_SIZE, 1, 1, 1, 0, 1)
        store.index.put(entry)
    return store


def lookup_seconds(store: Store, until: threading.Event, seconds: list[float]) -> None:
    """Looks up a part repeatedly until the event is set, and appends the duration of each lookup."""
    while not until.is_set():
        started_at = time.perf_counter()
        store.find(PartKey(7, 0))
        seconds.append(time.perf_counter() - started_at)
        time.sleep(LOOKUP_INTERVAL)


def measure_recovery(folder: Path, entries: int) -> dict[str, float]:
    """Measures a start from a checkpoint, and lookups while a checkpoint is written."""
    sys.setswitchinterval(SWITCH_INTERVAL)  # as the tier does
    limits = StoreLimits(1 << 40, 1 << 24, entries, RETENTION_MS)
    store = filled_store(folder, limits)
    lookups: list[float] = []
    seconds: dict[str, float] = {}
    is_written = threading.Event()
    thread = threading.Thread(target=lookup_seconds, args=(store, is_written, lookups))
    thread.start()
    with timed(seconds, "checkpoint"):
        store.checkpoint()
    is_written.set()
    thread.join()
    store.directory.release()
    with timed(seconds, "recovery"):
        recovered = Store(StoreDirectory(folder), IDENTITY, limits, now_ms)
    assert len(recovered.index) == entries
    index_size = len(recovered.index.block)
    recovered.directory.release()
    return {
        "recovery_entries": entries,
        "recovery_s": round(seconds["recovery"], 3),
        "index_bytes_an_entry": round(index_size / entries, 1),
        "checkpoint_s": round(seconds["checkpoint"], 3),
        "lookup_held_ms_most": round(1000 * max(lookups), 2),
        "lookup_held_ms_p99": round(1000 * sorted(lookups)[len(lookups) * 99 // 100], 2),
    }


def main() -> None:
    """Measures all rounds and prints the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--folder", help="Folder on the disk to measure.")
    arguments = parser.parse_args()
    ratios: dict[str, list[float]] = {"put": [], "get_cold": [], "get_warm": []}
    for _ in range(QUICK_ROUNDS if arguments.quick else ROUNDS):
        with tempfile.TemporaryDirectory(dir=arguments.folder) as folder:
            seconds = measure_speed(Path(folder), QUICK_PARTS if arguments.quick else PARTS)
        for name, values in ratios.items():
            values.append(seconds[f"plain_{name}"] / seconds[name])
        print({name: round(value, 4) for name, value in seconds.items()}, file=sys.stderr)
    figures: dict[str, Any] = {
        f"{name}_ratio": round(statistics.median(values), 3) for name, values in ratios.items()
    }
    with tempfile.TemporaryDirectory(dir=arguments.folder) as folder:
        figures.update(measure_recovery(Path(folder), RECOVERED_ENTRIES))
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
