"""A client sends hundreds of large requests at once: does the director stay within its memory?"""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import TROUBLE, Client, Record, Site, a_class, run_case, settings  # noqa: E402

FOLDER = Path(__file__).resolve().parent
MEMORY_MB = 192  # the largest limit of a scored day
SOCKETS = 1024
PATIENCE_MS = 2500
BODY = 240_000  # bytes of a request's body; the protocol's limit on a frame is 262,144
LARGE_REQUESTS = 600
MAX_OPEN = 32  # the protocol's limit on a connection
RATE = 40  # requests a second of the usual clients
DURATION_S = 12.0
TROUBLE_AT_S = 3.0
LATE_S = 0.55


def request() -> dict[str, str]:
    return {"route": "card-asset", "patience": str(PATIENCE_MS), "entity": secrets.token_hex(8), "part": "0",
            "group": "7", "size": "60"}


class Platform:
    """Samples the director's resident memory, and kills it over the limit, as the deployment page says."""

    def __init__(self, record: Record, director):
        self.record, self.director, self.peak_mb, self.killed = record, director, 0.0, False

    def resident_mb(self) -> float:
        for line in Path(f"/proc/{self.director.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def watch(self) -> None:
        last = 0.0
        while not self.director.has_ended():
            try:
                now_mb = self.resident_mb()
            except OSError:
                return
            self.peak_mb = max(self.peak_mb, now_mb)
            if abs(now_mb - last) > 10:
                self.record(f"the director holds {now_mb:.0f} MB of {MEMORY_MB}")
                last = now_mb
            if now_mb > MEMORY_MB:
                self.record(f"over {MEMORY_MB} MB: the platform kills the director")
                self.killed = True
                self.director.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.02)


async def usual_clients(record: Record, port: int, asked: list[asyncio.Future]) -> None:
    clients = [await Client(record, f"usual-{i}").connect(port) for i in range(4)]
    started = time.monotonic()
    number = 0
    while time.monotonic() - started < DURATION_S:
        client = clients[number % 4]
        if not client.closed.is_set():
            asked.append(client.ask(request()))
        number += 1
        await asyncio.sleep(1 / RATE)


async def bad_client(record: Record, port: int) -> None:
    """Sends hundreds of valid requests with large bodies at full speed, with never over 32 open, and reads all."""
    client = await Client(record, "bad").connect(port)
    body = secrets.token_bytes(BODY)
    answers: list[asyncio.Future] = []
    for _ in range(LARGE_REQUESTS):
        while len(client.waiting) >= MAX_OPEN and not client.closed.is_set():
            await asyncio.wait(list(client.waiting.values()), return_when=asyncio.FIRST_COMPLETED, timeout=1)
        if client.closed.is_set():
            break
        answers.append(client.ask(request(), body))
        try:
            await client.writer.drain()
        except OSError:
            break
    await asyncio.sleep(1)
    done = [each for each in answers if each.done()]
    record(f"the bad client sent {len(answers)} requests, {len(done)} of them answered, errors: {client.errors}")


async def main(record: Record, folder: Path) -> bool:
    site = Site(record, folder, caches=4)
    try:
        for node in site.nodes:
            node.service_s = 0.04  # two of them where the node has to fill: about the time of a card
        director = await site.start(settings([a_class("card-asset", PATIENCE_MS * 1000)]), MEMORY_MB)
        platform = Platform(record, director)
        watching = asyncio.ensure_future(platform.watch())
        asked: list[asyncio.Future] = []
        usual = asyncio.ensure_future(usual_clients(record, director.port, asked))
        await asyncio.sleep(TROUBLE_AT_S)
        if TROUBLE:
            record("the bad client comes")
            try:
                await bad_client(record, director.port)
            except OSError as error:
                record("the bad client:", error)
        await usual
        await asyncio.sleep(PATIENCE_MS / 1000 + LATE_S)
        crashed = platform.killed or director.has_ended()
        lost = sum(not each.done() for each in asked)
        record(f"peak of memory: {platform.peak_mb:.0f} MB of {MEMORY_MB}; killed for memory: {platform.killed}")
        record(f"usual clients' requests: {len(asked)}, without an answer: {lost}")
        print(f"peak {platform.peak_mb:.0f} MB of {MEMORY_MB}, usual requests {len(asked)}, unanswered {lost}")
        watching.cancel()
        return not crashed and not lost
    finally:
        await site.stop()


run_case(main, FOLDER)
