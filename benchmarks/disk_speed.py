"""How fast the store puts, reads and recovers, as ratios to plain files of the same bytes on the same
disk, and how long its lookups hold the event loop.

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
from pathlib import Path
from typing import Any

from ironhinge.disk.files import Files
from ironhinge.disk.format import name_of
from ironhinge.disk.index import Entry
from ironhinge.disk.store import Limits, Store
from ironhinge.disk.tier import SWITCH

PART = 256 * 1024


def now_ms() -> int:
    return int(time.time() * 1000)


def forget(path: Path) -> None:
    """Asks the system to drop what it holds of a file, so that a read goes to the disk."""
    fd = os.open(path, os.O_RDONLY)
    os.fdatasync(fd)
    os.posix_fadvise(fd, 0, 0, os.POSIX_FADV_DONTNEED)
    os.close(fd)


def speed(folder: Path, parts: int) -> dict[str, float]:
    """Seconds for the same bytes: plain and store, written (synced at the end) and read, cold and warm."""
    bodies = [os.urandom(PART) for _ in range(16)]
    out: dict[str, float] = {}
    plain = folder / "plain"
    began = time.perf_counter()
    with open(plain, "wb", buffering=0) as file:
        for at in range(parts):
            file.write(bodies[at % 16])
        os.fdatasync(file.fileno())
    out["plain_put"] = time.perf_counter() - began
    store = Store(Files(folder / "store"), b"bench", Limits(1 << 40, 1 << 26, 100_000, 1 << 50), now_ms)
    began = time.perf_counter()
    for at in range(parts):
        store.put(at, 0, 0, 1, b"tag", bodies[at % 16])
        if at % 16 == 15:
            store.flush()
    store.flush()
    store.sync()
    out["put"] = time.perf_counter() - began
    for warm in ("cold", "warm"):
        if warm == "cold":
            forget(plain)
        began = time.perf_counter()
        with open(plain, "rb", buffering=0) as file:
            for _ in range(parts):
                file.read(PART)
        out[f"plain_get_{warm}"] = time.perf_counter() - began
        if warm == "cold":
            for number in store.segments:
                forget(folder / "store" / name_of(number))
        began = time.perf_counter()
        for at in range(parts):
            copy = store.get(at, 0)
            assert copy is not None and len(copy.body) == PART
        out[f"get_{warm}"] = time.perf_counter() - began
    store.files.end()
    return out


def recovery(folder: Path, entries: int) -> dict[str, float]:
    """A start from a checkpoint of that many entries, and how long lookups wait while one is taken."""
    sys.setswitchinterval(SWITCH)  # as the tier does
    limits = Limits(1 << 40, 1 << 24, entries, 1 << 50)
    store = Store(Files(folder), b"bench", limits, now_ms)
    store.put(0, 0, 0, 1, b"t", b"x")
    store.flush()
    for obj in range(1, entries):
        store.index.put(Entry(obj, 0, 1, 64, 1, 1, 1, 0, 1))
    holds: list[float] = []
    stop = threading.Event()

    def look() -> None:
        while not stop.is_set():
            began = time.perf_counter()
            store.find(7, 0)
            holds.append(time.perf_counter() - began)
            time.sleep(0.0005)

    looker = threading.Thread(target=look)
    looker.start()
    began = time.perf_counter()
    store.checkpoint()
    taken = time.perf_counter() - began
    stop.set()
    looker.join()
    store.files.end()
    began = time.perf_counter()
    again = Store(Files(folder), b"bench", limits, now_ms)
    seconds = time.perf_counter() - began
    assert len(again.index) == entries
    found = {
        "recovery_entries": entries,
        "recovery_s": round(seconds, 3),
        "index_bytes_an_entry": round(len(again.index.block) / entries, 1),
        "checkpoint_s": round(taken, 3),
        "lookup_held_ms_most": round(1000 * max(holds), 2),
        "lookup_held_ms_p99": round(1000 * sorted(holds)[len(holds) * 99 // 100], 2),
    }
    again.files.end()
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--folder", help="On the disk that is to be measured.")
    told = parser.parse_args()
    ratios: dict[str, list[float]] = {"put": [], "get_cold": [], "get_warm": []}
    for _ in range(3 if told.quick else 7):
        with tempfile.TemporaryDirectory(dir=told.folder) as folder:
            found = speed(Path(folder), 400 if told.quick else 2000)
        for name in ratios:
            ratios[name].append(found[f"plain_{name}"] / found[name])
        print({name: round(value, 4) for name, value in found.items()}, file=sys.stderr)
    out: dict[str, Any] = {
        f"{name}_ratio": round(statistics.median(each), 3) for name, each in ratios.items()
    }
    with tempfile.TemporaryDirectory(dir=told.folder) as folder:
        out.update(recovery(Path(folder), 1_000_000))
    print(json.dumps(out))


if __name__ == "__main__":
    main()
