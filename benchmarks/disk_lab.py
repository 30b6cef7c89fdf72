"""What a tier on disk is worth after a restart: real directors restarted under load, with their disk and
with it empty.

    python -m benchmarks.disk_lab [--quick]
"""

from __future__ import annotations

import argparse
import json
import sys

from ironhinge.lab.run import RunOptions, run_scenario
from ironhinge.lab.scenarios import SCENARIOS


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    quick = parser.parse_args().quick
    sums = {
        "with": {"origin": 0, "crossed": 0, "dispatches": 0},
        "empty": {"origin": 0, "crossed": 0, "dispatches": 0},
    }
    wrong = requests = 0
    for seed in range(1, 2 if quick else 4):
        for name in sums:
            found = run_scenario(SCENARIOS["disk-restart"], RunOptions(seed, 20.0, 2, wipe=name == "empty"))
            requests += found["requests"]
            wrong += abs(found["requests"] - found["final_answers"]) + found["doubled_answers"]
            wrong += found["spoiled_answers"]
            for key, value in found["after_restart"].items():
                sums[name][key] += value
            print(name, found["after_restart"], found["done"], found["denied"], file=sys.stderr)
    out = {"requests": requests, "without_one_good_answer": wrong, **sums}
    for key in ("origin", "crossed", "dispatches"):
        out[f"{key}_ratio"] = round(sums["with"][key] / max(1, sums["empty"][key]), 3)
    print(json.dumps(out))


if __name__ == "__main__":
    main()
