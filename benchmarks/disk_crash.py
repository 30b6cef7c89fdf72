"""Checks what the disk store serves after kills and power cuts.

A real process is killed while it writes, compacts and checkpoints a store. On a simulated disk, the power is
cut at each call in turn.

    python -m benchmarks.disk_crash [--quick]
"""

from __future__ import annotations

import argparse
import json
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from ironhinge.disk.directory import StoreDirectory
from ironhinge.disk.index import IndexEntry, PartKey
from ironhinge.disk.reader import Copy
from ironhinge.disk.state import StoreCounter
from ironhinge.disk.store import Store, StoreLimits
from ironhinge.lab.disks import FaultPlan, MemoryDirectory, PowerCutError

IDENTITY = b"bench"
RETENTION_MS = 1 << 50  # so long that opening a store never drops copies because of purges it may have missed
LIMITS = StoreLimits(4_000_000, 600_000, 20_000, RETENTION_MS)
SMALL_LIMITS = StoreLimits(60_000, 9000, 200, RETENTION_MS)
OBJECTS, SMALL_OBJECTS = 200, 20
SMALL_STEPS = 200
MAX_PUTS_PER_SYNC = 12  # exclusive
CHECKPOINT_PROBABILITY = 0.1
MAX_LIFETIME = 0.06  # seconds from the start of writing until the process is killed, at most

# cumulative probabilities of the operation that follows a put on the simulated disk
SYNC_BELOW, CHECKPOINT_BELOW, COMPACT_BELOW = 0.25, 0.3, 0.4


def now_ms() -> int:
    """Returns the wall clock in Unix milliseconds."""
    return int(time.time() * 1000)


def body_of(object_id: int, version: int) -> bytes:
    """Returns the body of a version of an object; any other body that is served for it is torn."""
    text = b"%d/%d " % (object_id, version)
    return (text * 6000)[: 1000 + (object_id * 37 + version * 101) % 30_000]


def small_body_of(object_id: int, step: int) -> bytes:
    """Returns the body of a step, short enough for a small segment."""
    return body_of(object_id, step)[: 200 + step * 7 % 1500]


def retain_all(_: IndexEntry) -> bool:
    """Keeps every copy at compaction."""
    return True


def compact(store: Store, segment: int) -> None:
    """Compacts a segment completely."""
    for _ in store.compact(segment, retain_all):
        pass


def compact_until_there_is_space(store: Store) -> None:
    """Compacts segments until the store needs no compaction or has no candidate."""
    while store.needs_compaction():
        segment = store.compaction_candidate()
        if segment is None:
            return
        compact(store, segment)


def stored_version(store: Store, object_id: int) -> int | None:
    """Returns the stored version of an object, or None."""
    copy = store.get(PartKey(object_id, 0))
    return int(copy.tag) if copy is not None else None


def write_until_killed(folder: str, seed: int) -> None:
    """Writes copies until killed; prints the versions that are durable as a line after each sync."""
    random = Random(seed)
    store = Store(StoreDirectory(Path(folder)), IDENTITY, LIMITS, now_ms)
    version = max(stored_version(store, object_id) or 0 for object_id in range(OBJECTS))
    print("ready", flush=True)
    while True:
        put_versions: dict[int, int] = {}
        for _ in range(random.randrange(1, MAX_PUTS_PER_SYNC)):
            version += 1
            object_id = random.randrange(OBJECTS)
            copy = Copy(b"%d" % version, now_ms(), body_of(object_id, version))
            if store.put(PartKey(object_id, 0), 0, copy):
                put_versions[object_id] = version
        store.flush()
        store.sync()
        print(json.dumps(put_versions), flush=True)
        if random.random() < CHECKPOINT_PROBABILITY:
            store.checkpoint()
        compact_until_there_is_space(store)


@dataclass(slots=True)
class KillResult:
    """Counts of errors found after kills, and recovery times."""

    torn: int = 0  # copies with a wrong body
    lost: int = 0  # durable versions that are missing or replaced by older ones, and corrupt records
    recovery_ms: list[float] = field(default_factory=list)


def run_and_kill(folder: str, seed: int, lifetime: float) -> dict[int, int]:
    """Runs a writing process and kills it; returns the versions that it reported as durable."""
    command = [sys.executable, "-m", "benchmarks.disk_crash", "--work", folder, "--seed", str(seed)]
    durable: dict[int, int] = {}
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        process.stdout.readline()
        time.sleep(lifetime)
        process.send_signal(signal.SIGKILL)
        for line in process.stdout.read().splitlines():
            if line.endswith("}"):
                versions = json.loads(line).items()
                durable.update({int(object_id): version for object_id, version in versions})
    return durable


def check_after_kill(folder: str, durable: dict[int, int], result: KillResult) -> None:
    """Opens the store and compares its copies with the versions that were reported as durable."""
    started_at = time.perf_counter()
    store = Store(StoreDirectory(Path(folder)), IDENTITY, LIMITS, now_ms)
    result.recovery_ms.append(1000 * (time.perf_counter() - started_at))
    for object_id in range(OBJECTS):
        copy = store.get(PartKey(object_id, 0))
        if copy is None:
            result.lost += object_id in durable
            continue
        version = int(copy.tag)
        result.torn += copy.body != body_of(object_id, version)
        result.lost += version < durable.get(object_id, 0)
    result.lost += store.counters.get(StoreCounter.CORRUPT_RECORDS, 0)
    store.directory.release()


def measure_kills(points: int) -> dict[str, Any]:
    """Kills `points` processes, one after another, that write to the same folder.

    After each kill, each object must have the last version that was reported as durable, or a newer one.
    """
    random = Random(1)
    result = KillResult()
    durable: dict[int, int] = {}
    with tempfile.TemporaryDirectory() as folder:
        for seed in range(points):
            durable.update(run_and_kill(folder, seed, random.uniform(0.0, MAX_LIFETIME)))
            check_after_kill(folder, durable, result)
    return {
        "points": points,
        "torn_served": result.torn,
        "lost_durable": result.lost,
        "recovery_ms_median": round(statistics.median(result.recovery_ms), 1),
        "recovery_ms_most": round(max(result.recovery_ms), 1),
    }


class PowerCutResult(NamedTuple):
    """Counts of errors found after one run on a simulated disk."""

    torn: int  # copies with a wrong body
    lost: int  # durable copies that are missing or replaced by older ones
    was_cut: bool  # False: the run ended before the call at which to cut the power


def write_until_power_cut(directory: MemoryDirectory, seed: int, durable: dict[int, int]) -> bool:
    """Writes, syncs, checkpoints and compacts, and records in `durable` the durable step of each object.

    Returns:
        Whether the power was cut.
    """
    random = Random(seed)
    latest: dict[int, int] = {}
    try:
        store = Store(directory, IDENTITY, SMALL_LIMITS, now_ms)
        for step in range(1, SMALL_STEPS):
            object_id = random.randrange(SMALL_OBJECTS)
            copy = Copy(b"%d" % step, 1, small_body_of(object_id, step))
            if store.put(PartKey(object_id, 0), 0, copy):
                latest[object_id] = step
            choice = random.random()
            if choice < SYNC_BELOW:
                store.flush()
                store.sync()
                durable.update(latest)
            elif choice < CHECKPOINT_BELOW:
                store.checkpoint()
                durable.update(latest)
            elif choice < COMPACT_BELOW and (segment := store.compaction_candidate()) is not None:
                compact(store, segment)
    except PowerCutError:
        return True
    return False


def measure_power_cut(seed: int, call: int) -> PowerCutResult:
    """Cuts the power at one call of a run and checks the copies after the next start."""
    directory = MemoryDirectory(FaultPlan(seed * 1009 + call))
    directory.faults.power_cut_at_call = call
    durable: dict[int, int] = {}
    was_cut = write_until_power_cut(directory, seed, durable)
    torn = lost = 0
    store = Store(directory.after_power_cut(), IDENTITY, SMALL_LIMITS, now_ms)
    for object_id in range(SMALL_OBJECTS):
        copy = store.get(PartKey(object_id, 0))
        if copy is not None:
            torn += copy.body != small_body_of(object_id, int(copy.tag))
        lost += object_id in durable and (copy is None or int(copy.tag) < durable[object_id])
    return PowerCutResult(torn, lost, was_cut)


def measure_power_cuts(seeds: int, stride: int) -> dict[str, Any]:
    """Cuts the power at every `stride`-th call of the run of each seed."""
    cuts = torn = lost = 0
    for seed in range(seeds):
        call = 1
        while (result := measure_power_cut(seed, call)).was_cut:
            cuts += 1
            torn += result.torn
            lost += result.lost
            call += stride
    return {"power_cuts": cuts, "power_torn": torn, "power_lost": lost}


def main() -> None:
    """Prints the figures as JSON; with `--work`, writes to a store until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--work")
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    if arguments.work:
        write_until_killed(arguments.work, arguments.seed)
    figures = measure_kills(60 if arguments.quick else 200)
    print(figures, file=sys.stderr)
    figures.update(measure_power_cuts(2 if arguments.quick else 10, 3 if arguments.quick else 1))
    figures["torn_served"] += figures["power_torn"]
    figures["lost_durable"] += figures["power_lost"]
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
