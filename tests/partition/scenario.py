"""A day on which the data centre of the leader is cut off: the clients, the faults and the
verdict."""
import asyncio
import random
import signal
import time

import jobs_check
from clients import FINAL, REJECTED, Connections
from world import ATTEMPTS, POOLS, ZONES, World

READY_TIMEOUT_S = 20
# The next leader takes over within a few seconds; a job that it cannot place yet waits for
# leases and the timeout of the earlier leader (10.6 s).
STEP_TIMEOUT_S = 20
SETTLE_TIMEOUT_S = 60
SUBMIT_ATTEMPTS = 8
# A task under which this many servers have crashed may be given up (docs/design/jobs.md).
CRASHES_GIVEN_UP = 2


class ZoneEntry(jobs_check.Entry):
    """The entry instance of one data centre."""

    def __init__(self, build, folder, number, platform):
        super().__init__(build, folder, number, platform)
        self.zone = ZONES[number]
        self.settings.write_text(self.settings.read_text().replace(
            'zone: "z1"', f'zone: "{self.zone}"'))

    def terms_won(self):
        return self.log.read_text().count('"TermWon"')


class Scenario:
    def __init__(self, build, seed, folder):
        self.build, self.seed, self.folder = build, seed, folder
        self.rng, self.began = random.Random(seed), time.monotonic()
        self.trace, self.world = [], World(seed, self.record)
        self.entries, self.accepted, self.tasks = [], {}, []
        self.is_submitting, self.demand = True, {"desk": 3, "annex": 1}
        self.leader, self.connections = None, []
        self.others, self.won_before = [], {}

    def record(self, what):
        self.trace.append(f"{time.monotonic():.3f} {what}")

    async def until(self, what, timeout_s, test):
        deadline = time.monotonic() + timeout_s
        while not (result := test()):
            if time.monotonic() > deadline:
                raise AssertionError(f"timeout after {timeout_s} s: {what}")
            await asyncio.sleep(0.02)
        return result

    async def is_ready(self, entry):
        return (await asyncio.to_thread(jobs_check.call, entry.ready, "GET", "/readyz"))[0] == 200

    async def until_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all([await self.is_ready(e) for e in self.entries]):
            if time.monotonic() > deadline:
                raise AssertionError("the entry instances are not ready: "
                                     f"{[e.last_line() for e in self.entries]}")
            await asyncio.sleep(0.1)

    async def start(self):
        await self.world.start()
        ports = []
        # Ports are free again before the processes start, so that one may be drawn twice.
        while len(set(ports)) < 3 * len(ZONES):
            self.entries = [ZoneEntry(self.build, self.folder, number, {
                name: link.address for name, link in self.world.entry_links[zone].items()})
                for number, zone in enumerate(ZONES)]
            ports = [port for e in self.entries for port in (e.callers, e.ready, e.metrics)]
        for entry in self.entries:
            entry.start()
        self.connections = [Connections(e.callers, lambda: None) for e in self.entries]
        await self.until_ready()

    # Clients.

    def new_job(self, steps, count, duration_s=None):
        job = f"{self.rng.getrandbits(64):016x}"
        body = {"spec": "work", "steps": [
            {"count": count, "cpu": 1000, "mem-mb": 100, "estimate-ms": 500,
             **({"after": [n - 1]} if n else {})} for n in range(steps)]}
        if duration_s:
            self.world.fixed_durations_s[job] = duration_s
        self.world.oracle.on_job(job, body, ATTEMPTS)
        return job, body

    async def submit(self, pool, job, body):
        """Returns whether the job was accepted. It tries one instance after the other."""
        all_rejected = True
        for attempt in range(SUBMIT_ATTEMPTS):
            chosen = self.connections[(len(self.accepted) + attempt) % len(self.connections)]
            status, _, _ = await chosen.call("POST", f"/{pool}/{job}", body)
            if 200 <= status < 300:
                self.accepted[job] = pool
                return True
            all_rejected &= status in REJECTED
            await asyncio.sleep(0.2)
        if all_rejected:
            self.world.oracle.on_refused(job)
        return False

    async def submit_steadily(self):
        """Sends jobs of several short tasks, `demand` of each pool in 0.6 s."""
        while self.is_submitting:
            for pool in POOLS:
                for _ in range(self.demand[pool]):
                    job = self.new_job(self.rng.randint(1, 2), self.rng.randint(2, 4))
                    self.tasks.append(asyncio.ensure_future(self.submit(pool, *job)))
            await asyncio.sleep(0.6)

    async def has_ended(self, job, pool):
        for connection in self.connections:
            status, _, reply = await connection.call("GET", f"/{pool}/{job}")
            if status == 200 and reply["state"] in FINAL:
                self.check_end(job, reply["state"])
                return True
        return False

    def check_end(self, job, state):
        oracle = self.world.oracle
        if state == "completed":
            undone = [n for n in oracle.names(job) if not oracle.is_done(n)]
            if undone:
                oracle.report_violation("MIXED", undone[0], "not done, but its job is completed")
        # No task fails by itself, but one that crashes servers is given up.
        elif not any(sum(line.endswith(" lost") for line in oracle.tasks[n].history)
                     >= CRASHES_GIVEN_UP for n in oracle.names(job)):
            oracle.report_violation("LOST", job, f"{state} although none of its tasks has "
                                    f"lost {CRASHES_GIVEN_UP} servers")

    async def settle(self):
        """Waits until each accepted job has ended."""
        await self.until_ready()
        self.is_submitting = False
        await asyncio.gather(*self.tasks)
        left, deadline = dict(self.accepted), time.monotonic() + SETTLE_TIMEOUT_S
        while left:
            for job, pool in list(left.items()):
                if await self.has_ended(job, pool):
                    del left[job]
            if left and time.monotonic() > deadline:
                raise AssertionError(f"{len(left)} jobs have not ended after "
                                     f"{SETTLE_TIMEOUT_S} s: {list(left)[:5]}")
            await asyncio.sleep(0.1)

    # Faults.

    async def reset_store(self):
        """Resets all connections to the store for a second, early in the day."""
        self.record("the store resets all connections")
        with self.world.resetting():
            await asyncio.sleep(1)
        await self.until_ready()
        await self.until_work_ends()

    async def until_work_ends(self):
        """Waits until jobs that were submitted from now on have ended."""
        done = sum(t.was_done for t in self.world.oracle.tasks.values())
        await self.until("tasks end", STEP_TIMEOUT_S, lambda: sum(
            t.was_done for t in self.world.oracle.tasks.values()) > done + 30)

    async def cut_leader(self, cuts_cloud):
        self.leader = await self.until("an instance leads", STEP_TIMEOUT_S, lambda: next(
            (e for e in self.entries if e.is_leader()), None))
        self.others = [e for e in self.entries if e is not self.leader]
        self.won_before = {e.name: e.terms_won() for e in self.others}
        self.record(f"the leader is {self.leader.name}")
        self.world.cut(self.leader.zone, cuts_cloud)

    def next_leader_leads(self):
        return any(e.terms_won() > self.won_before[e.name] for e in self.others)

    async def move(self, server, pool):
        """Moves the server's machine, as a leader would order it."""
        body = f'{{"machine": "{server.machine}", "pool": "{pool}"}}'.encode()
        return await self.world.handle("POST", "/machine-move", {}, {}, body)

    async def pause_leader(self, wait_s):
        self.record(f"{self.leader.name} is paused for {wait_s:.1f} s")
        self.leader.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(wait_s)
        self.leader.process.send_signal(signal.SIGCONT)
        self.record(f"{self.leader.name} goes on")

    async def disturb_server(self):
        """Crashes a server on either side; it starts again under its ID."""
        servers = self.world.servers()
        if servers:
            server, offline_s = self.rng.choice(servers), self.rng.choice((0.1, 0.5, 3.5))
            self.record(f"{server.id} of {server.zone} crashes for {offline_s} s")
            await server.crash(offline_s)

    async def disturb(self, until):
        """Faults beside the cut until that time."""
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.5, 3))
            self.tasks.append(asyncio.ensure_future(self.disturb_server()))

    # The days.

    async def idle_servers_move(self):
        """Servers of the far side end the runs that they had at the cut and move to the other
        pool before the former leader stops deciding."""
        self.demand = {"desk": 0, "annex": 0}
        job, body = self.new_job(1, 30, duration_s=1.2)
        if not await self.submit("desk", job, body):
            raise AssertionError("the job was not accepted")
        await self.until("the job runs on the servers of the pool", STEP_TIMEOUT_S, lambda: sum(
            t.split(".")[0] == job for s in self.world.servers() for t, _ in s.runs) >= 20)
        await self.cut_leader(cuts_cloud=False)
        cut_at = time.monotonic()
        far = self.world.servers(is_near=False, pool="desk")
        await self.until("another instance leads", STEP_TIMEOUT_S, self.next_leader_leads)
        # The next leader may have moved some of them itself.
        await self.until("the servers of the far side are idle", STEP_TIMEOUT_S,
                         lambda: all(s.dead or s.is_idle() for s in far))
        self.record(f"{[s.id for s in far]} are idle {time.monotonic() - cut_at:.1f} s "
                    "into the cut")
        for server in far:
            if not server.dead:
                await self.move(server, "annex")
        await asyncio.sleep(max(0.0, cut_at + 10 - time.monotonic()))
        self.world.heal(delivers=True)

    async def random_day(self):
        rng = self.rng
        await self.cut_leader(cuts_cloud=rng.random() < 0.3)
        cut_s, delivers = rng.uniform(10, 14), rng.random() < 0.6
        end = time.monotonic() + cut_s
        faults = []
        if rng.random() < 0.7:
            self.demand = {"desk": 0, "annex": 6}
        if rng.random() < 0.3:
            faults.append(self.pause_leader(rng.uniform(1, 8)))
        if rng.random() < 0.6:
            faults.append(self.disturb(end - 2))
        self.record(f"cut for {cut_s:.1f} s, demand {self.demand}, {len(faults)} more faults")
        await asyncio.gather(*faults)
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        self.world.heal(delivers)
        await self.until_work_ends()

    async def play(self):
        """Seed 0 is the day of issue 52 without chance; the others vary it."""
        await self.start()
        steady = asyncio.ensure_future(self.submit_steadily())
        await self.until_work_ends()
        await self.reset_store()
        await (self.random_day() if self.seed else self.idle_servers_move())
        await self.settle()
        await steady

    def close(self):
        # Tasks of the stand-in that are left are cancelled when the event loop closes.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for entry in self.entries:
            if entry.is_up():
                entry.process.send_signal(signal.SIGCONT)
                entry.kill()
