"""UNASKED: a job runs though its cancelling was acknowledged, as the store stored it late."""
import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from world_2 import BOUNDS, CannotRun, main, route  # noqa: E402

LOST_SHARE, LOST_S, LATE_S = 0.35, 4.5, 5.8  # platform_lost of osei-spool; late: 1 to 6 s later
LASTS = {"spec": "lasts", "steps": [{"count": 2, "cpu": 2600, "mem-mb": 8800, "estimate-ms": 500,
                                     "long-running": True}]}
SMALL = {"spec": "small", "steps": [{"count": 1, "cpu": 500, "mem-mb": 64, "estimate-ms": 300}]}


async def case(world, trouble):
    rng = random.Random(9)
    new_id = lambda: f"{rng.getrandbits(64):016x}"  # noqa: E731
    await world.start([route("r-lasts", "desk", "/lasts/"), route("r-small", "desk", "/small/")])
    job, writes, began = new_id(), {"all": 0, "lost": 0}, world.record.now()
    world.jobs[job] = LASTS

    def loses(tx):
        if world.record.now() > began + LOST_S:
            return False
        writes["all"] += 1
        if not any(put["key"] == job for put in tx["puts"]):
            return False
        writes["lost"] += 1
        world.record.add("store: the answer of a transaction with the job is lost")
        world.store.apply_late(tx, LATE_S)
        return True
    world.store.loses = loses if trouble else None

    async def others():
        """Other clients, whose jobs nothing happens to."""
        for _ in range(60):
            one = new_id()
            world.durations[f"{one}.0.0.0"] = 0.3
            asyncio.ensure_future(world.submit("/small/", one, SMALL))
            await asyncio.sleep(0.1)
    asyncio.ensure_future(others())

    entry = world.entries[0]
    status, _ = await world.call(entry, "POST", "/lasts/" + job, LASTS)
    world.record.add(f"client: POST {job} at {entry.name}: {status or 'no answer'}")
    acknowledged = None
    for attempt in range(8):
        entry = world.entries[(attempt + 1) % len(world.entries)]
        status, _ = await world.call(entry, "DELETE", "/lasts/" + job)
        world.record.add(f"client: DELETE {job} at {entry.name}: {status or 'no answer'}")
        if 200 <= status < 300 or status == 410:
            acknowledged = world.record.now()
            break
        await asyncio.sleep(0.2)
    if acknowledged is None:
        raise CannotRun("the cancelling is not acknowledged")
    last_disruption = began + LOST_S if trouble else began
    await asyncio.sleep(25)
    now, state = world.record.now(), await world.state("/lasts/", job)
    if trouble and writes["lost"] > LOST_SHARE * writes["all"]:
        raise CannotRun(f"{writes['lost']} of {writes['all']} answers were lost: more than the site's share")
    world.record.add(f"{writes['lost']} of {writes['all']} answers were lost")
    world.record.add(f"client: GET {job}: {state or 'no answer'}")
    out, limit = [], acknowledged + BOUNDS["cancel_ms"] / 1000
    for task, events in sorted(world.history.items()):
        starts = [e for e in events if e[3] == "begins"]
        if not task.startswith(job) or not starts:
            continue
        if starts[-1][0] > limit:
            out.append(f"UNASKED: {task} starts at {starts[-1][0]:.3f} s, "
                       f"{starts[-1][0] - acknowledged:.1f} s after the job's cancelling was acknowledged")
        if any((task, n) in m.minion.runs for m in world.machines.values() if m.minion
               for _, _, n, _ in starts):
            out.append(f"UNASKED: {task} still runs at {now:.3f} s, {now - acknowledged:.1f} s after the "
                       f"job's cancelling was acknowledged and {now - last_disruption:.1f} s after the "
                       f"last disruption; the job is shown as {state}")
    return out


if __name__ == "__main__":
    main(case, FOLDER, {"desk": 8}, {"cpu": 32000, "mem-mb": 65536, "gpu": 0})
