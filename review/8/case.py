"""AVAIL: a job that lasts is given up and stopped after three crashes of minions."""
import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from world_2 import BOUNDS, main, route  # noqa: E402

TASKS, MAX_UNAVAILABLE = 5, 1
CRASHES, GAP_S, DOWN_S = 3, 2.5, 2.0
AT_WORK_S = 0.4  # a task is at work this long after its start


def unavailable(world, job, at, but):
    """The other tasks of the step that are away at `at`: ended by a stop and not at work since, or
    not at work for `notice-ms`."""
    away = []
    for index in range(TASKS):
        task = f"{job}.0.0.{index}"
        if task == but:
            continue
        events = [e for e in world.history.get(task, []) if e[0] <= at]
        begins = [e for e in events if e[3] == "begins"]
        ends = [e for e in events if e[3] in ("stopped", "lapsed", "lost with its minion", "failed")]
        if begins and (not ends or begins[-1][0] > ends[-1][0]):
            continue  # it runs
        since = ends[-1][0] if ends else 0
        if (ends and ends[-1][3] == "stopped") or at - since >= BOUNDS["notice-ms"] / 1000:
            away.append(task)
    return away


async def case(world, trouble):
    rng = random.Random(8)
    await world.start([route("r-lasts", "desk", "/lasts/")])
    job = f"{rng.getrandbits(64):016x}"
    await world.submit_all("/lasts/", [job], {"spec": "a job that lasts", "steps": [
        {"count": TASKS, "cpu": 2600, "mem-mb": 8800, "estimate-ms": 500, "long-running": True,
         "max-per-server": 1, "max-unavailable": MAX_UNAVAILABLE, "image": "album"}]})
    await world.wait(lambda: len(world.history) == TASKS, 10, "all tasks have begun")
    await asyncio.sleep(7)
    for _ in range(CRASHES if trouble else 0):
        at_task = lambda: [m for m in world.machines.values() if m.minion and any(  # noqa: E731
            t.endswith(".0.0.0") for t, _ in m.minion.runs)]
        for _ in range(30):
            if at_task():
                break
            await asyncio.sleep(0.1)
        else:
            break
        await asyncio.sleep(AT_WORK_S)
        if at_task():
            world.crash(at_task()[0], DOWN_S)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(15)
    state = await world.state("/lasts/", job)
    running = [t for m in world.machines.values() if m.minion for t, _ in m.minion.runs]
    world.record.add(f"client: GET {job}: {state}; {len(running)} of its {TASKS} tasks run")
    out = []
    for task, events in sorted(world.history.items()):
        for at, minion, run, what in events:
            if what != "stopped":
                continue
            away = unavailable(world, job, at, task)
            if len(away) >= MAX_UNAVAILABLE:
                out.append(f"AVAIL: {task} run {run} on {minion} is stopped at {at:.3f} s while "
                           f"{len(away)} others of its step are away (max-unavailable "
                           f"{MAX_UNAVAILABLE}); nobody cancelled the job, which is shown as {state}, "
                           f"and {len(running)} of its tasks run 15 s later")
    return out


if __name__ == "__main__":
    main(case, FOLDER, {"desk": 8}, {"cpu": 32000, "mem-mb": 65536, "gpu": 0})
