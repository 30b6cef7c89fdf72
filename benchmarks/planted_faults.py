"""Shows that the soak finds faults: each is planted in a copy of the program, and seeds are played there.

    python -m benchmarks.planted_faults [--seeds 10] [--only NAME] [--json]

A fault that no seed finds is a hole in the soak. Code 1 where there is one. Nothing but copies is changed.
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
COPIED_FOLDERS = ("ironhinge", "benchmarks")  # what a copy needs
SECONDS_PER_SEED = 7
TIMEOUT = 300  # seconds for all seeds of one fault
LOG_EXCERPT = 1500  # characters of the errors of a soak that failed


class FaultTextError(LookupError):
    """The program has changed where a fault is planted."""


class SoakFailedError(LookupError):
    """A soak of a copy ended without a result."""


class PlantedFault(NamedTuple):
    """One fault: a text that stands once in a module, and what it is replaced by."""

    name: str
    module: str
    original: str
    replacement: str


FAULTS = (
    PlantedFault(
        "forgotten purge",
        "net/discovery.py",
        "        self._listener.report(PurgeNotified(object_id, group, age))\n",
        "        self._clock.seconds(age)\n",
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
        '        """Nobody waits for a request\'s answer any more."""\n',
        '        """Nobody waits for a request\'s answer any more."""\n        return\n',
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
        '            director.event_log.dump("SIGUSR1")\n\n\nasync def _listen',
        '            director.event_log.dump("SIGUSR1")\n'
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
)


class SearchResult(NamedTuple):
    """What the seeds showed of one fault."""

    name: str
    seed: int | None  # that found it; None: none did
    rules: list[str]
    seconds: float


def plant(fault: PlantedFault, folder: Path) -> None:
    """Copies the program to a folder, with one fault.

    Raises:
        FaultTextError: The text to replace does not stand there once.
    """
    for copied_folder in COPIED_FOLDERS:
        shutil.copytree(
            ROOT / copied_folder, folder / copied_folder, ignore=shutil.ignore_patterns("__pycache__")
        )
    path = folder / "ironhinge" / fault.module
    text = path.read_text()
    if text.count(fault.original) != 1:
        raise FaultTextError(f"{fault.name}: its text stands {text.count(fault.original)} times in {path}")
    path.write_text(text.replace(fault.original, fault.replacement))


def search(fault: PlantedFault, seeds: int) -> SearchResult:
    """Plays seeds on a copy with the fault until one finds something.

    Raises:
        SoakFailedError: The soak itself failed.
    """
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="ironhinge-planted-") as name:
        plant(fault, Path(name))
        command = [
            sys.executable,
            "-m",
            "benchmarks.soak",
            "--seeds",
            str(seeds),
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
@click.option("--seeds", type=click.IntRange(1), default=10, show_default=True, help="Seeds for each fault.")
@click.option("--only", help="Plants just the fault of that name.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on the last line.")
def main(seeds: int, only: str | None, as_json: bool) -> None:
    """Plant each fault in a copy and play SEEDS seeds there."""
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
