"""Measures how much traffic a disk tier saves after a restart.

Real directors are restarted under load, with the contents of their disk and with an empty disk.

    python -m benchmarks.disk_lab [--quick]
"""

from __future__ import annotations

import argparse
import json
import sys
from typing import Any

from ironhinge.lab.run import RunOptions, run_scenario
from ironhinge.lab.scenarios import SCENARIOS

SCENARIO = "disk-restart"
SECONDS = 20.0
DIRECTORS = 2
SEEDS, QUICK_SEEDS = 3, 1
SUMMED = ("origin", "crossed", "dispatches")  # keys of the traffic after a restart, summed over all seeds


def bad_answers(report: dict[str, Any]) -> int:
    """Returns the number of requests of a run without exactly one correct answer."""
    missing = abs(report["requests"] - report["final_answers"])
    return int(missing + report["doubled_answers"] + report["spoiled_answers"])


def main() -> None:
    """Runs the scenario for all seeds and prints the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    seeds = QUICK_SEEDS if parser.parse_args().quick else SEEDS
    sums = {"with": dict.fromkeys(SUMMED, 0), "empty": dict.fromkeys(SUMMED, 0)}
    bad = requests = 0
    for seed in range(1, seeds + 1):
        for name, totals in sums.items():
            options = RunOptions(seed, SECONDS, DIRECTORS, wipe=name == "empty")
            report = run_scenario(SCENARIOS[SCENARIO], options)
            requests += report["requests"]
            bad += bad_answers(report)
            for key, value in report["after_restart"].items():
                totals[key] += value
            print(name, report["after_restart"], report["done"], report["denied"], file=sys.stderr)
    figures: dict[str, Any] = {"requests": requests, "without_one_good_answer": bad, **sums}
    for key in SUMMED:
        figures[f"{key}_ratio"] = round(sums["with"][key] / max(1, sums["empty"][key]), 3)
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
