"""The operator drops a queue's route, and the entry instances are restarted in turn."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import common  # noqa: E402

# TROUBLE=0 does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

WORK_S = 12.0
GAP_S = 2.0


async def script(world, entries, client):
    body = {"spec": "work", "steps": [{"count": 2, "cpu": 2000, "mem-mb": 1000,
                                       "estimate-ms": int(WORK_S * 1000)}]}
    job = client.new_job()
    world.fails.add(job)
    assert await client.submit(job, body, WORK_S, "more") == 200
    await common.until("the job runs", 15, lambda: world.running(job))
    await asyncio.sleep(1)
    # PARTS leaves parts out, to see what the fault depends on.
    parts = os.environ.get("PARTS", "route roll")
    if TROUBLE and "route" in parts:
        world.configure(4, ["asks"])
        await asyncio.sleep(2)
    if TROUBLE and "roll" in parts:
        for entry in entries:
            await entry.restart()
            await asyncio.sleep(GAP_S)
    failures = lambda: [line for name in world.oracle.names(job)
                        for line in world.oracle.tasks[name].history if line.endswith("failed")]
    await common.until("a run has failed", 40, failures)
    await asyncio.sleep(4)
    if TROUBLE and "route" in parts:
        world.configure(6, ["asks", "more"])
        await asyncio.sleep(3)

    async def has_ended():
        return await client.state(job, "more") in ("completed", "failed", "cancelled")
    await common.until("the job has ended", 40, has_ended)
    state = await client.state(job, "more")
    world.record.add("check", f"the job is {state}; runs that failed: {failures()}; a task has "
                     f"{common.ATTEMPTS} attempts")
    return common.BROKEN if state == "failed" and len(failures()) < common.ATTEMPTS \
        else common.HELD


common.main(script, FOLDER, servers=4, entries=3)
