"""LOST: one minion crashes with many tasks of one job; the job's state row outgrows `row-bytes`."""
import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from world_2 import BOUNDS, main, route, stuck_jobs  # noqa: E402

TASKS = 2100
WORK_S = 12.0
CRASH_S = 4.5      # srv_crash of osei-spool: share 0.14 of a service for 4.5 s
SMALL_JOBS = 300   # of other clients, handed in after the crash
SMALL = {"spec": "small", "steps": [{"count": 1, "cpu": 500, "mem-mb": 64, "estimate-ms": 300}]}


async def case(world, trouble):
    rng = random.Random(7)
    await world.start([route("r-large", "desk", "/large/"), route("r-small", "desk", "/small/")])
    job = f"{rng.getrandbits(64):016x}"
    for index in range(TASKS):
        world.durations[f"{job}.0.0.{index}"] = WORK_S
    body = {"spec": "one large job",
            "steps": [{"count": TASKS, "cpu": 15, "mem-mb": 8, "estimate-ms": int(WORK_S * 1000)}]}
    await world.submit_all("/large/", [job], body)
    await world.wait(lambda: len(world.history) == TASKS, 10, "all tasks have begun")
    if trouble:
        busiest = max((m for m in world.machines.values() if m.minion),
                      key=lambda m: len(m.minion.runs))
        world.crash(busiest, CRASH_S)
    small = [f"{rng.getrandbits(64):016x}" for _ in range(SMALL_JOBS)]
    for at in range(0, SMALL_JOBS, 20):
        for one in small[at:at + 20]:
            world.durations[f"{one}.0.0.0"] = 0.3
        await world.submit_all("/small/", small[at:at + 20], SMALL)
        await asyncio.sleep(0.3)
    end = world.record.now()
    world.record.add("the traffic has ended")
    return await stuck_jobs(world, end + BOUNDS["finish_s"],
                            {job: "/large/", **{one: "/small/" for one in small}}, "desk")


if __name__ == "__main__":
    main(case, FOLDER, {"desk": 8}, {"cpu": 32000, "mem-mb": 65536, "gpu": 0})
