"""A uniqued request whose first attempt was reset and whose second one hangs: is it answered?"""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import TROUBLE, Client, Record, Site, a_class, reset, run_case, settings  # noqa: E402

FOLDER = Path(__file__).resolve().parent
WINDOW_MS = 1500
PATIENCE_MS = 1504
LATE_S = 0.55  # a final answer may come half a second after the request's time; 50 ms of slack on sockets
REQUESTS = 120


async def main(record: Record, folder: Path) -> bool:
    site = Site(record, folder, caches=4)
    try:
        card = a_class("card-asset", 2_500_000, "by_key", window=WINDOW_MS * 1000)
        director = await site.start(settings([card]))
        client = await Client(record, "c1").connect(director.port)

        def fields() -> dict[str, str]:
            return {"route": "card-asset", "patience": str(PATIENCE_MS), "entity": secrets.token_hex(8), "part": "0",
                    "group": "7", "size": "60", "nonce": secrets.token_hex(8)}

        for _ in range(40):  # a quiet start
            await client.ask(fields())
        if TROUBLE:
            for node in site.caches[:2]:
                node.hanging = True

            async def reset_some(node, writer, name, request_fields) -> bool:
                if node.requests % 3:
                    return False
                record("node", node.name, "resets the connection under", name)
                reset(writer)
                return True

            for node in site.caches[2:]:
                node.on_want = reset_some
        asked = []
        clients = [await Client(record, f"c{2 + i}").connect(director.port) for i in range(8)]
        for number in range(REQUESTS):
            each = clients[number % 8]
            asked.append((each, each.ask(fields())))
            await asyncio.sleep(0.025)
        lost = 0
        for _, future in asked:
            until = future.asked_at + PATIENCE_MS / 1000 + LATE_S
            try:
                await asyncio.wait_for(asyncio.shield(future), max(0.0, until - time.monotonic()))
            except TimeoutError:
                lost += 1
        record("requests", len(asked), "without an answer", LATE_S, "s after their time:", lost)
        await asyncio.sleep(3.0)
        never = sum(not future.done() for _, future in asked)
        record("still without an answer 3 s later:", never)
        print("lost:", lost, "never answered:", never)
        return not lost
    finally:
        await site.stop()


run_case(main, FOLDER)
