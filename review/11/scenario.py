"""A job that has never run is shown as failed, because servers were replaced.

Four of 23 idle servers end, and two seconds later their addresses belong to servers of another
service. A job that comes then is started on them by their old registrations. Each start is refused
with 421 and counts as a crash of the server under the task, and after four the job is given up.
"""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from world_3 import CannotRun, main  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 23
REPLACED = 4
REUSED_AFTER_S = 2.0
JOB_AFTER_S = 2.3
WATCHED_S = 12.0


async def scenario(world):
    # One server goes to the other service, which has none.
    await asyncio.sleep(5)
    # The leader tries equally free servers in the order in which it has learnt of them, by their
    # IDs at its start, and suspected tasks in the opposite order.
    by_id = sorted((e["server"].id, m) for m, e in world.machines.items()
                   if e["server"] and e["pool"] == "siteboard")
    if len(by_id) != SERVERS:
        raise CannotRun(f"the pool has {len(by_id)} servers")
    replaced = [by_id[0][1]] + [machine for _, machine in by_id[1 - REPLACED:]]
    if TROUBLE:
        for machine in replaced:
            asyncio.ensure_future(world.replace_machine(machine, "other", REUSED_AFTER_S))
    await asyncio.sleep(JOB_AFTER_S)
    job = await world.submit([{"count": 1, "cpu": 8000, "mem-mb": 100, "estimate-ms": 500}],
                             duration_s=0.5)
    await asyncio.sleep(WATCHED_S)
    state = await world.state(job)
    ends = [run["how"] for run in world.oracle.runs.get(f"{job}.0.0.0", ())]
    world.record.add("script", f"state {state}, ends of runs: {ends}")
    if state in ("failed", "cancelled") and "failed" not in ends:
        return [f"LOST: the job is shown as {state}, nobody has cancelled it, and its runs have "
                f"ended so: {ends}"]
    return []


if __name__ == "__main__":
    main(scenario, pools="siteboard", servers=SERVERS + 1, spare=0, has_spare_pool=False,
         other_services=("other",))
