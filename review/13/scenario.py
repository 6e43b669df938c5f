"""Leaders that are lost for good use up the connections of the servers.

Twelve times the leading machine is lost for good, and a new one comes at another address. Each
leader has opened up to six connections to a server, which stay open there, and a server takes 64.
"""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from world_3 import CannotRun, main  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOSSES = 12
NEW_MACHINE_AFTER_S = 1.0
TASKS = 12
TASK_S = 0.4
SETTLING_S = 16.0
CHECKED_S = 8.0


async def scenario(world):
    lasting = await world.submit([{"count": 2, "cpu": 1000, "mem-mb": 100, "estimate-ms": 700,
                                   "long-running": True, "image": "siteboard"}], duration_s=10000)
    await world.until("the lasting tasks run",
                      lambda: len([t for t in world.oracle.running.values() if t]) == 2, 20)

    def usable():
        return next(e for e in world.entries if not e.is_lost and e is not world.leader())

    async def work():
        return await world.submit([{"count": TASKS, "cpu": 400, "mem-mb": 100, "estimate-ms": 400}],
                                  duration_s=TASK_S, entry=usable())

    def is_done(job):
        return all(any(r["how"] == "done" for r in world.oracle.runs.get(f"{job}.0.0.{n}", ()))
                   for n in range(TASKS))

    for _ in range(LOSSES):
        leader = await world.until("one instance leads", world.leader, 10)
        job = await work()
        for _ in range(50):
            if is_done(job):
                break
            await asyncio.sleep(0.05)
        if TROUBLE:
            leader.lose()
            await asyncio.sleep(NEW_MACHINE_AFTER_S)
            await world.add_entry()
    job = await work()
    # The rule looks at jobs finish_s (14 s) after the end of the traffic, and at lasting tasks
    # 6 s after their last run and 7 s after the last disruption.
    await asyncio.sleep(SETTLING_S)
    waiting = {"job": 0.0, "lasting": 0.0}
    longest = dict(waiting)
    step = 0.05
    for _ in range(int(CHECKED_S / step)):
        running = {name for name, runs in world.oracle.running.items() if runs}
        used = sum(world.required_cpu(name) for name in running)
        servers = [e["server"] for e in world.machines.values() if e["server"]]
        has_room = any(s.used_cpu <= 0.5 * 8000 for s in servers) and used < 4000 * len(servers)
        states = {"job": not is_done(job) and not any(n.startswith(job) for n in running),
                  "lasting": len([n for n in running if n.startswith(lasting)]) < 2}
        for name, waits in states.items():
            waiting[name] = waiting[name] + step if waits and has_room else 0.0
            longest[name] = max(longest[name], waiting[name])
        await asyncio.sleep(step)
    connections = {e["server"].id: (len(e["server"].connections), e["server"].refused)
                   for e in world.machines.values() if e["server"]}
    world.record.add("script", f"waited with room: {longest}; connections and refusals of the "
                     f"servers: {connections}")
    return [f"LOST: {what} had nothing running for {seconds:.1f} s with the servers all but empty"
            for what, seconds in longest.items() if seconds >= 3.0]


if __name__ == "__main__":
    main(scenario, entries=9, pools="siteboard", servers=4, spare=4)
