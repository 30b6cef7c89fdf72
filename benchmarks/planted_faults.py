"""Tests the soak itself: plants known faults in copies of the program and checks that the soak finds them.

    python -m benchmarks.planted_faults [--seeds 10] [--only NAME] [--json]

Each fault gets a copy of its own, in which soak seeds are run until one fails. A fault that no seed finds
shows a gap in the soak; the exit code is then 1. The working tree itself is not changed.
"""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import click

from ironhinge.lab.soak.audit import Rule

ROOT = Path(__file__).parent.parent
COPIED_FOLDERS = ("ironhinge", "benchmarks")  # folders that a copy needs to run the soak
SECONDS_PER_SEED = 7
MIN_PLATFORM_SEEDS = 20  # for faults that only a part of the seeds can show
TIMEOUT = 300  # seconds for all seeds of one fault
LOG_EXCERPT = 1500  # last characters of the standard error of a soak without a result


class FaultTextError(LookupError):
    """The source text that a fault replaces is not found exactly once, as the program has changed."""


class SoakFailedError(LookupError):
    """The soak of a copy ended without printing a result."""


class PlantedFault(NamedTuple):
    """A fault: a source text that occurs exactly once in a module, and its replacement."""

    name: str  # printed, and selected by `--only`
    module: str  # path below `ironhinge/`
    original: str
    replacement: str
    draws: int = 1  # version of the soak's draws


FAULTS = (
    PlantedFault(
        "forgotten purge",
        "net/discovery.py",
        "        self._listener.report(PurgeNotified(object_id, group, age=0))\n",
        "",
    ),
    PlantedFault(
        "repeat of an unsafe request",
        "routing/retries.py",
        "    if definition.idempotency == Idempotency.NON_IDEMPOTENT or now >=",
        "    if now:\n        return True\n"
        "    if definition.idempotency == Idempotency.NON_IDEMPOTENT or now >=",
    ),
    PlantedFault(
        "late cancel",
        "net/director.py",
        '        """Handles a request whose client no longer waits for its answer."""\n',
        '        """Handles a request whose client no longer waits for its answer."""\n        return\n',
    ),
    PlantedFault(
        "budget overrun",
        "routing/slow_start.py",
        "        if upstream is self._upstreams.origin or not self.is_warming_up(now, upstream):\n",
        "        if now:\n",
    ),
    PlantedFault(
        "lost last answer",
        "net/director.py",
        "            client.connection.write(client_wire.answer(message.stream, client_wire.DENIED, {}))\n",
        "",
    ),
    PlantedFault(
        "drain ignored",
        "routing/upstream_registry.py",
        "        is_ready, kind = endpoint.state == READY, endpoint.kind\n",
        "        is_ready, kind = endpoint.state != REMOVED, endpoint.kind\n",
    ),
    PlantedFault(
        "deadline passed on too long",
        "net/upstream_command.py",
        "    fields[TIME_REMAINING] = str(-(-time_remaining // MILLISECOND))\n",
        "    fields[TIME_REMAINING] = str(200 - (-time_remaining // MILLISECOND))\n",
    ),
    PlantedFault(
        "late answers",
        "routing/request_state.py",
        "        self.client_deadline = now + received.time_remaining\n",
        "        self.client_deadline = now + received.time_remaining + 8000\n",
    ),
    PlantedFault(
        "stop before the decision missed",
        "net/decision_loop.py",
        "        return self.request._replace(time_remaining=max(0, time_remaining))\n",
        "        return self.request\n",
    ),
    PlantedFault(
        "end of the process at a second SIGTERM",
        "net/service.py",
        "            _log_status(director)\n\n\nasync def _listen",
        "            _log_status(director)\n"
        "        elif number == signal.SIGTERM:\n            raise SystemExit(1)\n\n\nasync def _listen",
    ),
    PlantedFault(
        "connections ended without notice",
        "net/client_connection.py",
        "        elif now > self.waiting_since + self._idle_timeout() and self.is_idle():\n",
        "        elif now > self.waiting_since + 500 and not self.open_requests:\n"
        "            self.connection.close(AttemptEnd.CLOSED)\n"
        "        elif now > self.waiting_since + self._idle_timeout() and self.is_idle():\n",
    ),
    PlantedFault(
        "no limit on descriptors",
        "net/descriptor_budget.py",
        "        self.descriptor_limit = max(RESERVED_DESCRIPTORS, usable - RESERVED_DESCRIPTORS)\n",
        "        self.descriptor_limit = 2 * usable\n",
    ),
    PlantedFault(
        "answer read from the wrong copy",
        "net/attempts.py",
        "            self._owner.send_final_answer(request.request_id, client_wire.DONE, {}, answer.body)\n",
        "            body, self.last_body = getattr(self, 'last_body', answer.body), answer.body\n"
        "            self._owner.send_final_answer(request.request_id, client_wire.DONE, {}, body)\n",
    ),
    PlantedFault(
        "purge dated by its time stamp",
        "net/discovery.py",
        "PurgeNotified(object_id, group, age=0)",
        "PurgeNotified(object_id, group, max(0, self._clock.unix_age(update.unix_ms)))",
        draws=2,
    ),
    PlantedFault(
        "start dated by its time stamp",
        "net/discovery.py",
        "upstream.record_start(started_unix_ms, self._clock.now())",
        "upstream.record_start(started_unix_ms, self._clock.from_unix(started_unix_ms))",
        draws=2,
    ),
    PlantedFault(
        "served before it has caught up",
        "net/service.py",
        "    if service.config.discovery_address is None:\n",
        "    if service is not None:\n",
        draws=4,
    ),
    PlantedFault(
        "deadline taken for the start deadline",
        "net/attempts.py",
        "        if operation.is_finished:\n            return\n        self._monitor",
        "        if operation.is_finished or due == operation.start_deadline:\n            return\n"
        "        self._monitor",
        draws=2,
    ),
    PlantedFault(
        "silent connection given up",
        "net/discovery_choice.py",
        "        return Choice.OPEN_SECOND if older.overdue_time else Choice.KEEP\n",
        "        return Choice.REPLACE_OLDER if older.overdue_time else Choice.KEEP\n",
        draws=5,
    ),
    PlantedFault(
        "proof of one connection taken for the other's",
        "net/discovery_connections.py",
        "        if len(self.connections) > 1:\n            self._changed.set()\n",
        "        if len(self.connections) > 1:\n            self._changed.set()\n"
        "        for each in self.connections:\n            each.is_proved = True\n",
        draws=5,
    ),
    PlantedFault(
        "old list undoes a newer event",
        "net/discovery.py",
        "        if update.event_index <= self.last_index:\n            return\n"
        "        self.last_index = update.event_index\n",
        "        if update.event_index <= self.last_index and not getattr(update, 'is_full', False):\n"
        "            return\n        self.last_index = max(self.last_index, update.event_index)\n",
        draws=5,
    ),
    PlantedFault(
        "second connection never ended",
        "net/discovery_choice.py",
        "        return Choice.CLOSE_NEWER if is_older_better else Choice.CLOSE_OLDER\n",
        "        return Choice.CLOSE_NEWER if is_older_better else Choice.KEEP\n",
        draws=5,
    ),
)


class SearchResult(NamedTuple):
    """The result of searching for one fault."""

    name: str
    seed: int | None  # the first seed that found it; None: not found
    rules: list[str]  # rules that were violated
    seconds: float  # duration of the search


def plant(fault: PlantedFault, folder: Path) -> None:
    """Copies the program to a folder and plants a fault in the copy.

    Raises:
        FaultTextError: The text to replace does not occur exactly once in the module.
    """
    for copied_folder in COPIED_FOLDERS:
        shutil.copytree(
            ROOT / copied_folder, folder / copied_folder, ignore=shutil.ignore_patterns("__pycache__")
        )
    path = folder / "ironhinge" / fault.module
    text = path.read_text()
    if text.count(fault.original) != 1:
        raise FaultTextError(
            f"{fault.name}: its source text occurs {text.count(fault.original)} times in {path}"
        )
    path.write_text(text.replace(fault.original, fault.replacement))


def search(fault: PlantedFault, seeds: int) -> SearchResult:
    """Runs the soak on a copy with the fault, up to the first seed that fails.

    Raises:
        SoakFailedError: The soak ended without a result.
    """
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="ironhinge-planted-") as name:
        plant(fault, Path(name))
        command = [
            sys.executable,
            "-m",
            "benchmarks.soak",
            "--seeds",
            str(max(seeds, MIN_PLATFORM_SEEDS if fault.draws > 1 else 0)),
            "--draws",
            str(fault.draws),
            "--stop-at-first",
            "--json",
        ]
        command += ["--seconds", str(SECONDS_PER_SEED)]
        run = subprocess.run(command, cwd=name, capture_output=True, text=True, timeout=TIMEOUT, check=False)
    if not run.stdout.strip():
        raise SoakFailedError(f"{fault.name}: {run.stderr[-LOG_EXCERPT:]}")
    failed = json.loads(run.stdout.splitlines()[-1])["failed_seeds"]
    found = {line.partition(":")[0].strip() for line in run.stderr.splitlines()}
    rules: list[str] = [rule.value for rule in Rule if rule.value in found]
    return SearchResult(fault.name, failed[0] if failed else None, rules, round(time.monotonic() - began, 1))


@click.command()
@click.option(
    "--seeds",
    type=click.IntRange(1),
    default=10,
    show_default=True,
    help="Maximum number of seeds per fault.",
)
@click.option("--only", help="Plant only the fault of this name.")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON object as the last line.")
def main(seeds: int, only: str | None, as_json: bool) -> None:
    """Plant each fault in a copy and run up to SEEDS soak seeds there."""
    if only is not None and only not in {fault.name for fault in FAULTS}:
        raise click.BadParameter(f"no fault is named {only!r}", param_hint="--only")
    results = []
    for fault in FAULTS:
        if only is None or fault.name == only:
            results.append(search(fault, seeds))
            found = f"seed {results[-1].seed}" if results[-1].seed is not None else "NOT FOUND"
            rules = ", ".join(results[-1].rules)
            click.echo(f"{fault.name}: {found} ({rules}), {results[-1].seconds} s", err=True)
    missed = [result.name for result in results if result.seed is None]
    if as_json:
        rows = [result._asdict() for result in results]
        click.echo(json.dumps({"faults": len(results), "missed": missed, "results": rows}))
    else:
        click.echo(f"{len(results)} faults planted, {len(results) - len(missed)} found")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
