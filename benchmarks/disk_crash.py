"""Kills a real process while it puts, compacts and checkpoints, and takes the power from a failing disk at
every call; then looks at what is there.

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
from pathlib import Path
from random import Random
from typing import Any

from ironhinge.disk.files import Files
from ironhinge.disk.store import Limits, Store
from ironhinge.lab.disks import Faults, MemoryFiles, PowerCut

LIMITS = Limits(room=4_000_000, segment=600_000, entries=20_000, settles=1 << 50)
KEYS = 200


def now_ms() -> int:
    return int(time.time() * 1000)


def body(obj: int, version: int) -> bytes:
    text = b"%d/%d " % (obj, version)
    return (text * 6000)[: 1000 + (obj * 37 + version * 101) % 30_000]


def work(folder: str, seed: int) -> None:
    """Puts without end; says on standard output what is durable, a line each time that a sync has
    returned.
    """
    chance = Random(seed)
    store = Store(Files(Path(folder)), b"bench", LIMITS, now_ms)
    version = max([int(copy.tag) for obj in range(KEYS) if (copy := store.get(obj, 0))], default=0)
    said: dict[int, int] = {}
    print("ready", flush=True)
    while True:
        for _ in range(chance.randrange(1, 12)):
            version += 1
            obj = chance.randrange(KEYS)
            if store.put(obj, 0, 0, now_ms(), b"%d" % version, body(obj, version)):
                said[obj] = version
        store.flush()
        store.sync()
        print(json.dumps(said), flush=True)
        said = {}
        dice = chance.random()
        if dice < 0.1:
            store.checkpoint()
        while store.needs_room():
            number = store.victim()
            if number is None:
                break
            for _ in store.compact(number, lambda entry: True):
                pass


def killed(points: int) -> dict[str, Any]:
    """A life for each point; what was said to be durable in any life must be there, or something newer."""
    chance, torn, lost, recoveries = Random(1), 0, 0, []
    with tempfile.TemporaryDirectory() as folder:
        durable: dict[int, int] = {}
        for point in range(points):
            process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.disk_crash", "--work", folder, "--seed", str(point)],
                stdout=subprocess.PIPE,
                text=True,
            )
            assert process.stdout is not None
            process.stdout.readline()
            time.sleep(chance.uniform(0.0, 0.06))
            process.send_signal(signal.SIGKILL)
            for line in process.stdout.read().splitlines():
                if line.endswith("}"):
                    durable.update({int(obj): version for obj, version in json.loads(line).items()})
            process.wait()
            began = time.perf_counter()
            store = Store(Files(Path(folder)), b"bench", LIMITS, now_ms)
            recoveries.append(1000 * (time.perf_counter() - began))
            for obj in range(KEYS):
                copy = store.get(obj, 0)
                if copy is None:
                    lost += obj in durable
                    continue
                torn += copy.body != body(obj, int(copy.tag))
                lost += int(copy.tag) < durable.get(obj, 0)
            lost += store.counts.get("records_unsound", 0)
            store.files.end()
    return {
        "points": points,
        "torn_served": torn,
        "lost_durable": lost,
        "recovery_ms_median": round(statistics.median(recoveries), 1),
        "recovery_ms_most": round(max(recoveries), 1),
    }


def cut(seed: int, at: int, step_limit: int = 200) -> list[int]:
    """One run on a failing disk; torn and lost after the power went at that call, and whether it went at
    all.
    """
    chance, files = Random(seed), MemoryFiles(Faults(seed * 1009 + at))
    files.faults.cut_at = at or None
    limits = Limits(room=60_000, segment=9000, entries=200, settles=1 << 50)
    durable: dict[int, int] = {}
    latest: dict[int, int] = {}
    went = 0
    try:
        store = Store(files, b"bench", limits, now_ms)
        for step in range(1, step_limit):
            obj = chance.randrange(20)
            data = body(obj, step)[: 200 + step * 7 % 1500]
            if store.put(obj, 0, 0, 1, b"%d" % step, data):
                latest[obj] = step
            dice = chance.random()
            if dice < 0.25:
                store.flush()
                store.sync()
                durable = dict(latest)
            elif dice < 0.3:
                store.checkpoint()
                durable = dict(latest)
            elif dice < 0.4 and (number := store.victim()) is not None:
                for _ in store.compact(number, lambda entry: True):
                    pass
    except PowerCut:
        went = 1
    torn = lost = 0
    after = Store(files.after_power_cut(), b"bench", limits, now_ms)
    for obj in range(20):
        copy = after.get(obj, 0)
        if copy is not None:
            step = int(copy.tag)
            torn += copy.body != body(obj, step)[: 200 + step * 7 % 1500]
        lost += obj in durable and (copy is None or int(copy.tag) < durable[obj])
    return [torn, lost, went]


def powerless(seeds: int, stride: int) -> dict[str, Any]:
    points = torn = lost = 0
    for seed in range(seeds):
        at = 1
        while True:
            found = cut(seed, at)
            if not found[2]:
                break
            points, torn, lost, at = points + 1, torn + found[0], lost + found[1], at + stride
    return {"power_cuts": points, "power_torn": torn, "power_lost": lost}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--work")
    parser.add_argument("--seed", type=int, default=0)
    told = parser.parse_args()
    if told.work:
        work(told.work, told.seed)
    out = killed(60 if told.quick else 200)
    print(out, file=sys.stderr)
    out.update(powerless(2 if told.quick else 10, 3 if told.quick else 1))
    out["torn_served"] += out["power_torn"]
    out["lost_durable"] += out["power_lost"]
    print(json.dumps(out))


if __name__ == "__main__":
    main()
