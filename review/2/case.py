"""A uniqued request whose first attempt is reset and whose second one meets a node that hangs: is it answered?"""

from __future__ import annotations

import asyncio
import random
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import TROUBLE, Client, Record, Site, a_class, reset, run_case, settings  # noqa: E402

FOLDER = Path(__file__).resolve().parent
DEADLINE_MS = 2500  # of the class
WINDOW_MS = 1500  # for which repeats are dropped
FIXED_PATIENCE_MS = 1504  # of half of the clients; within 50 to 100% of the deadline, like all others here
LATE_S = 0.55  # a final answer may come half a second after the request's time; 50 ms of slack on sockets
MAX_OPEN = 32  # on a connection
REQUESTS = 600
RATE = 100  # requests a second
RESET_EVERY = 2  # on the nodes that do not hang, under the first attempt of a request only


def request(patience_ms: int, rng: random.Random) -> dict[str, str]:
    return {"route": "card-asset", "patience": str(patience_ms), "entity": f"{rng.getrandbits(64):016x}", "part": "0",
            "group": "7", "size": "60", "nonce": secrets.token_hex(8)}


async def with_room(record: Record, port: int, clients: list[Client], number: int) -> Client:
    """Returns a connection with room for a request; one carries up to 32 open ones."""
    for offset in range(len(clients)):
        client = clients[(number + offset) % len(clients)]
        if len(client.waiting) < MAX_OPEN and not client.goaway and not client.closed.is_set():
            return client
    clients.append(await Client(record, f"c{len(clients)}").connect(port))
    return clients[-1]


def begin_trouble(site: Site, record: Record) -> set[str]:
    """Two of four nodes hang; the others reset some connections under requests. Returns who meets both, as it comes."""
    seen: set[str] = set()
    was_reset: set[str] = set()
    reset_then_hung: set[str] = set()

    async def note(node, writer, name: str, fields: dict[str, str]) -> bool:
        seen.add(name)
        if name in was_reset:
            reset_then_hung.add(name)
        return False

    async def reset_some(node, writer, name: str, fields: dict[str, str]) -> bool:
        is_first = name not in seen
        seen.add(name)
        if not is_first or int(name, 16) % RESET_EVERY:  # by the drawn id: no matter what the patience is
            return False
        was_reset.add(name)
        record("node", node.name, "resets the connection under", name)
        reset(writer)
        return True

    for node in site.caches[:2]:
        node.hanging, node.on_want = True, note
    for node in site.caches[2:]:
        node.on_want = reset_some
    return reset_then_hung


async def main(record: Record, folder: Path) -> bool:
    site = Site(record, folder, caches=4)
    rng = random.Random(51)
    try:
        card = a_class("card-asset", DEADLINE_MS * 1000, "by_key", window=WINDOW_MS * 1000)
        director = await site.start(settings([card]))
        clients = [await Client(record, f"c{i}").connect(director.port) for i in range(8)]
        for number in range(40):  # a quiet start
            await clients[number % 8].ask(request(FIXED_PATIENCE_MS, rng))
        both = begin_trouble(site, record) if TROUBLE else set()
        asked: list[tuple[int, asyncio.Future]] = []
        for number in range(REQUESTS):
            patience = FIXED_PATIENCE_MS if number % 2 else rng.randint(DEADLINE_MS // 2, DEADLINE_MS)
            fields = request(patience, rng)
            future = (await with_room(record, director.port, clients, number)).ask(fields)
            future.trace = fields["trace"]
            asked.append((patience, future))
            await asyncio.sleep(1 / RATE)
        lost: list[int] = []
        for patience, future in asked:
            until = future.asked_at + patience / 1000 + LATE_S
            try:
                await asyncio.wait_for(asyncio.shield(future), max(0.0, until - time.monotonic()))
            except TimeoutError:
                lost.append(patience)
        record(f"of {len(asked)} requests, without an answer {LATE_S} s after their time: {len(lost)}; patience: {lost}")
        await asyncio.sleep(10)
        never = sum(not future.done() for _, future in asked)
        for is_fixed in (True, False):
            met = [f for p, f in asked if f.trace in both and (p == FIXED_PATIENCE_MS) is is_fixed]
            record(f"first reset, then at a hanging node, patience {'' if is_fixed else 'not '}{FIXED_PATIENCE_MS}:",
                   len(met), "without an answer:", sum(not f.done() for f in met))
        twice = sum(client.answered_twice for client in clients)
        record("still without an answer 10 s later:", never, "- answered twice:", twice)
        print(f"requests {len(asked)}, lost {len(lost)}, still unanswered 10 s later {never}")
        return not lost and not twice
    finally:
        await site.stop()


run_case(main, FOLDER)
