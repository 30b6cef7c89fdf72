"""The platform's wall clock steps back by some seconds: copies on the director's disk live longer by that."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from standins import SERVED, CannotRun, Client, Director, Record, World, play, trouble

STEP = 30.0  # seconds; the terms: by seconds or an hour
FRESH, GRACE = 4.0, 4.0  # seconds: the class's fresh time, and for how long a copy may be served after it
SLACK = 0.05  # seconds
OBJECT, OTHER = "7f3a9c21e0b4d655", "1111111111111111"


async def main(record: Record, folder: Path, directors: list[Director]) -> int:
    world = World(record)
    world.fresh_ms["video-part"] = int(1000 * FRESH)
    await world.start(caches=3)
    operations = folder / "operations.cue"
    operations.write_text(f'disk: {{folder: "{folder / "tier"}", room: "64MB"}}\n')
    director = Director(world, folder, arguments=f" --operations {operations}")
    extra = director.settings["extra"]
    extra["class-fresh"], extra["class-grace"] = [int(FRESH * 1e6), 0], [int(GRACE * 1e6), 0]
    directors.append(director)

    def commands() -> int:
        return sum(len(node.commands) for node in world.nodes)

    async def ask() -> tuple[int, bytes, bool]:
        """Ask for the object; return the code, the body, and whether no cache node was asked."""
        client, before = await Client.connect(world, director.port), commands()
        answer = await client.ask("video-part", OBJECT, group="17")
        client.close()
        return answer.code, answer.body, commands() == before

    await director.start()
    for _ in range(30):
        code, body, is_own_copy = await ask()
        if is_own_copy:
            break
        await asyncio.sleep(0.2)
    else:
        raise CannotRun("the director kept no copy on its disk")
    kept_at = time.time()  # the copy is older than this
    record.say(f"the director serves {body[:24]!r} from its disk")
    world.versions[OBJECT] = 2  # the origin has new bytes, which no purge tells: the fresh time is the bound
    await asyncio.sleep(1)
    if trouble():
        world.clock_step_ms = int(-1000 * STEP)
        record.say(f"the platform's wall clock steps back by {STEP} s")
    await asyncio.sleep(0.5)
    world.purge(OTHER)
    old = []
    for age in (FRESH + GRACE + 2, FRESH + GRACE + 6, FRESH + GRACE + 12):
        await asyncio.sleep(kept_at + age - time.time())
        real_age = time.time() - kept_at
        code, body, is_own_copy = await ask()
        where = "from its disk" if is_own_copy else "from a cache node"
        record.say(f"the first copy is over {real_age:.1f} s old: code {code}, {body[:24]!r}, {where}")
        old.append(code == SERVED and b"/v1 " in body and real_age > FRESH + GRACE + SLACK)
    await director.end(signal.SIGTERM)
    return 1 if any(old) else 0


play(main, Path(__file__).resolve().parent)
