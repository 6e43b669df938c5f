"""A lasting job whose task is caught twice by a crash of its server is given up for good.

Five lasting tasks, of which one may be away. The server of one task crashes, and the server on
which it is started again crashes, too, four seconds later. Nothing that the job does is at fault.
"""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from world_3 import CannotRun, main  # noqa: E402

TASKS = 5
MAX_UNAVAILABLE = 1
CRASHES = 2
DOWN_S = 3.0
SECONDS_AT_WORK = 4.0
WATCHED_S = 12.0


async def scenario(world):
    job = await world.submit([{"count": TASKS, "cpu": 6000, "mem-mb": 1000, "estimate-ms": 700,
                               "long-running": True, "max-unavailable": MAX_UNAVAILABLE,
                               "image": "siteboard"}], duration_s=10000)
    tasks = [f"{job}.0.0.{n}" for n in range(TASKS)]
    await world.until("all tasks run", lambda: all(map(world.machine_of, tasks)), 20)
    machines = {task: world.machine_of(task) for task in tasks}
    if len(set(machines.values())) < TASKS:
        raise CannotRun(f"two tasks share a server: {machines}")
    victim = tasks[0]
    for _ in range(CRASHES):
        machine = await world.until(f"{victim} runs", lambda: world.machine_of(victim), 20)
        await asyncio.sleep(SECONDS_AT_WORK)
        if world.trouble:
            asyncio.ensure_future(world.crash_machine(machine, DOWN_S))
            await asyncio.sleep(0.2)
    await asyncio.sleep(WATCHED_S)
    breaches = []
    away = sum(world.machine_of(task) is None for task in tasks)
    stopped = [task for task in tasks for run in world.oracle.runs[task] if run["how"] == "stopped"]
    failed = [task for task in tasks for run in world.oracle.runs[task] if run["how"] == "failed"]
    state = await world.state(job)
    world.record.add("script", f"state {state}, {away} of {TASKS} tasks away, stopped by order: "
                     f"{stopped}, ends as failed: {failed}")
    if len(stopped) > MAX_UNAVAILABLE:
        breaches.append(f"AVAIL: {len(stopped)} tasks at work on sound servers were stopped by "
                        f"orders, and {MAX_UNAVAILABLE} may be away")
    if state != "running":
        breaches.append(f"LOST: the job is shown as {state}, and nobody has cancelled it")
    return breaches


if __name__ == "__main__":
    main(scenario, pools="siteboard", servers=8, spare=2)
