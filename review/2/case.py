"""A backend server restarts while it is idle, gets a task, and is cut off."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import common  # noqa: E402

# TROUBLE=0 does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SERVERS = 20
DOWN_S = 1.0        # at most 4.5 s
CUT_S = 5.5
WORK_S = 25.0
BODY = {"spec": "work", "steps": [{"count": 1, "cpu": 8000, "mem-mb": 1000,
                                   "estimate-ms": 20000}]}


async def script(world, entries, client):
    # Keeps the pool so large that some servers are idle.
    filler = client.new_job()
    assert await client.submit(filler, {"spec": "lasts", "steps": [
        {"count": 16, "cpu": 8000, "mem-mb": 1000, "estimate-ms": 1000, "long-running": True,
         "max-per-server": 1}]}, 1.0) == 200
    await common.until("the filler runs", 20, lambda: len(world.running(filler)) == 16)
    await asyncio.sleep(3)
    job = client.new_job()
    await asyncio.sleep(15)
    # Among servers with equally much room the one that registered first gets the task.
    idle = [m for m in world.minions() if not m.runs]
    minion = min(idle, key=lambda m: int(m.id.split("-")[1]))
    if TROUBLE and os.environ.get("RESTART", "1") != "0":
        minion.crash()
        await asyncio.sleep(DOWN_S)
        minion = await minion.revive()
        await asyncio.sleep(0.4)
    assert await client.submit(job, BODY, WORK_S) == 200
    first = (await common.until("the task runs", 15, lambda: world.running(job)))[0]
    if first.id != minion.id:
        raise AssertionError(f"the task runs on {first.id}, not on {minion.id}")
    await asyncio.sleep(0.5)
    if TROUBLE:
        world.record.add("network", f"cuts {first.id} off")
        first.link.cut()
        await asyncio.sleep(CUT_S)
        world.record.add("network", f"heals the link of {first.id}")
        first.link.heal()
    await asyncio.sleep(8)
    twice = [b for b in world.oracle.breaches if b.startswith("TWICE")]
    world.record.add("check", f"{len(twice)} tasks had two runs at the same time")
    return common.BROKEN if twice else common.HELD


common.main(script, FOLDER, servers=SERVERS, entries=3)
