"""A queue is moved to another service and back; then a zone with the leading entry instance and
a backend server that runs a task of the queue is cut off."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import common  # noqa: E402

# TROUBLE=0 does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CUT_S = 5.5


async def script(world, entries, client):
    # PARTS leaves parts out, to see what the fault depends on.
    parts = os.environ.get("PARTS", "move back cut")
    first = {"count": 1, "cpu": 2000, "mem-mb": 1000, "estimate-ms": 3000}
    body = {"spec": "work", "steps": [first, {**first, "estimate-ms": 25000, "after": [0]}]}
    job = client.new_job()
    assert await client.submit(job, body, 3.0) == 200
    await common.until("the first step runs", 15, lambda: world.running(job))
    if "move" in parts:
        world.configure(4, service="annex")
    long_task = f"{job}.0.1.0"

    def holder():
        return [m for m in world.minions() if any(t == long_task for t, _ in m.runs)]
    world.long_tasks.add(long_task)
    server = (await common.until("the second step runs", 15, holder))[0]
    await asyncio.sleep(2)
    if "back" in parts:
        world.configure(5, service="desk")
    await asyncio.sleep(3)
    zone = [m for m in world.minions() if m.zone == common.ZONES[0]]
    if server not in zone or not entries[0].is_leader():
        raise AssertionError("the task or the leader is not in the zone that is to be cut off")
    if TROUBLE and "cut" in parts:
        links = [*entries[0].links.values(), *(m.link for m in zone)]
        world.record.add("network", f"cuts {common.ZONES[0]} off: {entries[0].name}, "
                         f"{[m.id for m in zone]}")
        for link in links:
            link.cut()
        await asyncio.sleep(CUT_S)
        world.record.add("network", f"heals {common.ZONES[0]}")
        for link in links:
            link.heal()
    await asyncio.sleep(6)
    twice = [b for b in world.oracle.breaches if b.startswith("TWICE")]
    world.record.add("check", f"{len(twice)} tasks had two runs at the same time")
    return common.BROKEN if twice else common.HELD


common.main(script, FOLDER, servers=8, entries=3, pools="desk,annex")
