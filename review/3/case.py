"""The wall clock is stepped back by seconds while a director runs: are purges still kept?"""

from __future__ import annotations

import asyncio
import os
import re
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import SERVED, TROUBLE, Client, Node, Record, Site, a_class, run_case, settings  # noqa: E402

FOLDER = Path(__file__).resolve().parent
STEP_S = float(os.environ.get("STEP", "7"))  # "by seconds"
OBEY_S = 0.3 + 0.05  # `obey-after` of the settings, and the 50 ms by which each limit is longer on sockets
NOTICE_S = 0.1  # a purge counts as told this long after the coordinator has it and has written it
SETTLES_S = 6.0  # `purge-settles`: by then all caches have dropped older copies by themselves
COPY_AGE_S = 30.0  # of the copies that the caches hold: far older than any purge here, by either clock
OBJECTS = 20


class PlatformClock:
    """The Unix clock of coordinator, caches and origin."""

    def __init__(self) -> None:
        self.offset = 0.0

    def __call__(self) -> float:
        return time.time() + self.offset


def body_dated(dated: int) -> bytes:
    return f"dated={dated} ".encode() * 20


def give_copy(node: Node, obj: str, dated: int) -> None:
    node.copies[obj, "0"] = body_dated(dated), dated, f"{dated:x}"


class Clients:
    """Asks for objects, on a connection that is made anew when the director ends it."""

    def __init__(self, record: Record, port: int):
        self.record, self.port, self.count, self.current = record, port, 0, None

    async def ask(self, obj: str):
        if self.current is None or self.current.goaway or self.current.closed.is_set():
            self.count += 1
            self.current = await Client(self.record, f"c{self.count}").connect(self.port)
        fields = {"route": "card-asset", "patience": "2500", "entity": obj, "part": "0", "group": "7", "size": "60"}
        return await asyncio.wait_for(self.current.ask(fields), 5)


async def drop_old_copies(site: Site, record: Record, objects: list[str]) -> None:
    """Sound caches drop what a purge made old within `purge-settles`, here at its end."""
    await asyncio.sleep(SETTLES_S - 0.2)
    for node in site.caches:
        for obj in objects:
            node.copies.pop((obj, "0"), None)
    record("all caches have dropped the older copies")


async def main(record: Record, folder: Path) -> bool:
    clock = PlatformClock()
    site = Site(record, folder, caches=4, clock=clock)
    for node in site.nodes:
        node.fresh_copy = lambda obj, seg: (body_dated(now := int(clock() * 1000)), now, f"{now:x}")
    try:
        director = await site.start(settings([a_class("card-asset", 2_500_000)]))
        clients = Clients(record, director.port)
        objects = [secrets.token_hex(8) for _ in range(OBJECTS)]
        for node in site.caches:
            for obj in objects:
                give_copy(node, obj, int((clock() - COPY_AGE_S) * 1000))
        for obj in objects:
            await clients.ask(obj)
        await asyncio.sleep(2)
        if TROUBLE:
            clock.offset -= STEP_S
            record(f"the wall clock is stepped back by {STEP_S} s")
        await asyncio.sleep(2.5)
        purges: dict[str, int] = {}
        for obj in objects:
            purges[obj] = int(clock() * 1000)
            number = site.coordinator.tell_purge(obj, purges[obj])
            record("purge of", obj, "at", purges[obj], "is event", number)
        dropping = asyncio.ensure_future(drop_old_copies(site, record, objects))
        await asyncio.sleep(NOTICE_S)
        told = time.monotonic()
        broken = asked = 0
        for wait_s in (0.8, 2.0, 3.5, 5.0):
            await asyncio.sleep(max(0.0, told + wait_s - time.monotonic()))
            for obj in objects:
                since = time.monotonic() - told
                answer = await clients.ask(obj)
                asked += 1
                match = re.match(rb"dated=(\d+)", answer.body)
                if answer.code == SERVED and match and int(match[1]) < purges[obj] and since > OBEY_S:
                    broken += 1
                    record(f"BROKEN: {obj} asked for {since:.2f} s after its purge was told, answered from a copy",
                           f"{(purges[obj] - int(match[1])) / 1000:.1f} s older than the purge")
        await dropping
        record(f"requests after the purges were told: {asked}, answered from older copies: {broken}")
        print(f"requests {asked}, answered from a copy older than the purge: {broken}")
        return not broken
    finally:
        await site.stop()


run_case(main, FOLDER)
