"""The open connections to the servers go silent, and every lease in the fleet lapses.

New connections work at once. The leader has up to six open connections to each server and tries
them one after the other, with a timeout for each, which takes longer than the lease.
"""
import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from world_3 import CannotRun, Silenceable, main  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TASKS = 6
MAX_UNAVAILABLE = 1
STABLE_WINDOW_S = 3.0
WATCHED_S = 15.0


async def scenario(world):
    lasting = await world.submit([{"count": TASKS, "cpu": 3000, "mem-mb": 100, "estimate-ms": 700,
                                   "long-running": True, "max-unavailable": MAX_UNAVAILABLE,
                                   "max-per-server": 1, "image": "siteboard"}], duration_s=10000)
    tasks = [f"{lasting}.0.0.{n}" for n in range(TASKS)]
    await world.until("the lasting tasks run", lambda: all(map(world.machine_of, tasks)), 20)
    # Ordinary traffic, after which the leader has several connections to each server.
    for _ in range(5):
        for entry in world.entries:
            await world.submit([{"count": 24, "cpu": 1000, "mem-mb": 10, "estimate-ms": 300}],
                               duration_s=0.3, entry=entry)
        await asyncio.sleep(1.5)
    await asyncio.sleep(5)
    if not all(map(world.machine_of, tasks)):
        raise CannotRun("a lasting task is away before the disruption")
    connections = {e["server"].id: len(e["server"].connections)
                   for e in world.machines.values() if e["server"]}
    world.record.add("script", f"open connections of the servers: {connections}")
    at = time.monotonic()
    if TROUBLE:
        world.record.add("network", f"{Silenceable.silence_servers()} open connections to servers "
                         "fall silent; new ones work")
    await asyncio.sleep(WATCHED_S)
    # The silence counts as a reset of the connections at that moment.
    lapsed = [(task, round(run["ended"] - at, 2)) for task in tasks
              for run in world.oracle.runs[task]
              if run["how"] == "lapsed" and run["ended"] > at + STABLE_WINDOW_S]
    world.record.add("script", f"lapsed, seconds after the silence: {lapsed}")
    if len(lapsed) > MAX_UNAVAILABLE:
        return [f"AVAIL: {len(lapsed)} of {TASKS} tasks at work on sound servers were ended by "
                f"lapsed leases, and {MAX_UNAVAILABLE} may be away: {lapsed}"]
    return []


if __name__ == "__main__":
    main(scenario, pools="siteboard", servers=8, spare=2)
