"""A task that lasts is on a backend server that crashes, and then on another one that does."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import common  # noqa: E402

# TROUBLE=0 does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CRASHES = 2
DOWN_S = 2.0        # at most 4.5 s
RUNS_BEFORE_CRASH_S = 1.5
TASKS, MAX_UNAVAILABLE = 7, 1


async def script(world, entries, client):
    job = client.new_job()
    body = {"spec": "lasts", "steps": [
        {"count": TASKS, "cpu": 2000, "mem-mb": 1000, "estimate-ms": 1000, "long-running": True,
         "max-per-server": 1, "max-unavailable": MAX_UNAVAILABLE}]}
    assert await client.submit(job, body, 1.0) == 200
    await common.until("all tasks run", 15, lambda: len(world.running(job)) == TASKS)
    first = f"{job}.0.0.0"

    def holder():
        return [m for m in world.minions() if any(t == first for t, _ in m.runs)]
    for _ in range(CRASHES if TROUBLE else 0):
        minion = (await common.until("the first task runs", 10, holder))[0]
        await asyncio.sleep(RUNS_BEFORE_CRASH_S)
        minion.crash()
        await asyncio.sleep(DOWN_S)
        await minion.revive()
    # Longer than the 3 s after which a task that lasts has to run again.
    await asyncio.sleep(12)
    # A stop is repeated until the run has ended; only the first one of a run counts.
    stops = [(task, away) for n, (task, away) in enumerate(world.stops)
             if len(away) >= MAX_UNAVAILABLE and task not in [t for t, _ in world.stops[:n]]]
    running = sorted({t for m in world.minions() for t, _ in m.runs})
    world.record.add("check", f"nobody cancelled the job; it is {await client.state(job)}; "
                     f"{running} run; stopped while such orders had ended "
                     f"others of the step: {stops}")
    return common.BROKEN if stops else common.HELD


common.main(script, FOLDER, servers=9, entries=3)
