#!/usr/bin/env python3
"""Simulates the users' platform for tests of an entry instance that runs jobs.

One process serves the metadata store, the instance service, the adviser and a number of
backend servers, each on its own loopback port. It implements the published protocol and
shares no code with the product. Tasks are simulated by timers.

  job_platform.py --servers N --pools a,b --spare N --seed N

It prints one line of JSON with its addresses and serves until it is terminated.
On the store's port, GET /faults?store=down|ok|lost|slow|late|no-config sets the fault mode of the
store ("no-config": the operators' table is unavailable), GET /faults?runs=ok|hang|fail-once that of
the runs ("fail-once": the first run of each task that ends fails), GET /faults?crash=MACHINE ends the
backend server of a machine, on which another one starts a second later, GET
/faults?connections=silent silences the open connections to all backend servers, POST /expect declares a job, and
GET /report returns what the backend servers have observed. The soak test imports this module and
injects faults into the backend servers.
"""
import argparse
import asyncio
import base64
import json
import pathlib
import random
import sys
import time
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from http_server import Http  # noqa: E402
from oracle import Oracle  # noqa: E402

# Limits of the published protocol.
ROW_LIMIT = 500
PAGE_BYTES = 1_000_000
ROW_BYTES = 65536
TRANSACTION_ENTRIES = 100
TRANSACTION_BYTES = 1_000_000
END_LIMIT = 500
MAX_FEED_CHANGES = 20000
MACHINE_OFFLINE_S = 0.3
CRASH_OFFLINE_S = 1
# Connections that a backend server accepts.
CONNECTION_LIMIT = 64
SLOW_STORE_S = 0.25
CAPACITY = {"cpu": 8000, "mem-mb": 16000, "gpu": 0}
TICKET_LIFETIME_MS = 3000


def now_ms():
    return int(time.monotonic() * 1000)


class Store:
    def __init__(self, rng):
        self.rows, self.changes, self.version = {}, [], 1
        self.changed = asyncio.Condition()
        self.mode, self.rng, self.oldest_feed_version = "ok", rng, 0
        self.refusals = 0
        self.http = Http(self.handle)

    @staticmethod
    def row_json(row_key, row):
        table, partition, key = row_key
        if row is None:
            return {"table": table, "part": partition, "key": key, "ver": 0}
        value, version, is_deleted = row
        out = {"table": table, "part": partition, "key": key, "ver": version}
        return {**out, "tombstone": True} if is_deleted else {**out, "value": value}

    def put(self, row_key, text):
        """Writes a row on behalf of the platform, without a client's transaction."""
        self.version += 1
        self.write(row_key, base64.b64encode(text.encode()).decode())

    def write(self, row_key, value):
        """Writes a row at the current version; a value of None deletes it."""
        if value is None:
            self.rows.pop(row_key, None)
            self.changes.append((self.version, row_key, (None, self.version, True)))
        else:
            self.rows[row_key] = (value, self.version, False)
            self.changes.append((self.version, row_key, self.rows[row_key]))
        del self.changes[:-MAX_FEED_CHANGES]
        asyncio.ensure_future(self.notify_readers())

    def forget_history(self):
        """Discards the change feed, so that reads from an older version fail with 410."""
        self.changes.clear()
        self.oldest_feed_version = self.version

    async def notify_readers(self):
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, path, query, headers, body):
        if path == "/faults":
            self.mode = query.get("store", self.mode)
            if "runs" in query:
                self.set_run_faults(query["runs"])
            if query.get("connections") == "silent":
                self.silence_backends()
            if "crash" in query:
                asyncio.ensure_future(self.crash(query["crash"]))
            return 200, {}
        if path == "/report":
            return 200, self.report()
        if path == "/expect":
            expected = json.loads(body)
            self.expect(expected["job"], expected["body"], expected["attempts"])
            return 200, {}
        if self.mode == "down":
            return 503, {}
        if self.mode == "no-config" and query.get("table") == "op":
            return 503, {}
        if self.mode == "slow":
            await asyncio.sleep(SLOW_STORE_S)
        if path == "/rows-tx":
            if not self.is_within_limits(body):
                self.refusals += 1
                return 400, {}
            if self.mode == "late" and self.rng.random() < 0.3:
                asyncio.ensure_future(self.transact_later(json.loads(body)))
                return None
            reply = self.transact(json.loads(body))
            return None if self.mode == "lost" and self.rng.random() < 0.3 else reply
        if path == "/rows-get":
            return 200, self.get(query)
        if path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    @staticmethod
    def is_within_limits(body):
        tx = json.loads(body)
        entries = sum(len(tx.get(kind, ())) for kind in ("precondition", "puts", "remove"))
        return (entries <= TRANSACTION_ENTRIES and len(body) <= TRANSACTION_BYTES
                and all(len(base64.b64decode(e["value"])) <= ROW_BYTES for e in tx["puts"]))

    async def transact_later(self, tx):
        await asyncio.sleep(self.rng.uniform(1, 4))
        self.transact(tx)

    def transact(self, tx):
        def row_key(entry):
            return entry["table"], entry.get("part", ""), entry["key"]
        partitions = {entry.get("part", "") for entries in tx.values()
                      if isinstance(entries, list) for entry in entries}
        if len(partitions) > 1 and not tx.get("across"):
            return 400, {}
        failed = [row_key(c) for c in tx["precondition"]
                  if (self.rows[row_key(c)][1] if row_key(c) in self.rows else 0) != c["ver"]]
        if failed:
            return 412, {"rows": [self.row_json(row_key(c), self.rows.get(row_key(c)))
                                  for c in tx["precondition"]]}
        self.version += 1
        for entry in tx["puts"]:
            self.write(row_key(entry), entry["value"])
        for entry in tx["remove"]:
            if row_key(entry) in self.rows:
                self.write(row_key(entry), None)
        return 200, {"ver": self.version, "now-ms": now_ms()}

    def get(self, query):
        keys = sorted(k for k in self.rows if k[0] == query["table"]
                      and k[1] == query.get("part", "") and k[2] >= query.get("from", ""))
        limit = min(ROW_LIMIT, int(query.get("limit", ROW_LIMIT)))
        rows, size = [], 0
        for key in keys[:limit]:
            size += len(self.rows[key][0])
            if rows and size > PAGE_BYTES:
                break
            rows.append(self.row_json(key, self.rows[key]))
        return {"rows": rows, "has-more": len(keys) > len(rows), "ver": self.version,
                "now-ms": now_ms()}

    async def feed(self, query):
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        after = int(query["after"])
        while True:
            if after < self.oldest_feed_version:
                return 410, {}
            rows = [self.row_json(row_key, row) for version, row_key, row in self.changes
                    if version > after and row_key[0] == query["table"]]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0:
                return 200, {"rows": rows, "ver": self.version, "now-ms": now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining_s)
                except asyncio.TimeoutError:
                    pass


class BackendServer:
    """One incarnation of a simulated backend server."""
    serial = 0

    def __init__(self, world, machine, pool, server_id=None):
        BackendServer.serial += 1
        self.id, self.machine, self.pool, self.world = server_id or f"s-{BackendServer.serial}", machine, pool, world
        self.born = int(time.time() * 1000)
        self.runs, self.unacknowledged_ends, self.last_ended_run = {}, [], {}
        self.fence, self.deadline, self.next_end_number, self.dead = 0, 0, 1, False
        self.used_cpu, self.cpu_by_run, self.remaining_s = 0, {}, {}
        # Faults: hangs stops the progress of tasks; fails ends tasks as failed; late loses the
        # replies of half of the orders and executes these orders some seconds later.
        self.hangs, self.fails, self.late = False, False, False
        self.end_recorded = asyncio.Condition()
        self.http, self.address = Http(self.handle, world.connection_limit), None

    def clock(self):
        """Milliseconds since the start of this incarnation, from 1."""
        return int(time.time() * 1000) - self.born + 1

    async def start(self):
        await self.http.start()
        self.address = await self.world.publish(f"127.0.0.1:{self.http.port}")
        asyncio.ensure_future(self.execute_runs())
        self.register()

    def register(self):
        self.world.store.put(("servers", "", self.id), json.dumps({
            "service": self.pool, "addr": self.address, "zone": "z1",
            "state": "ready", "capacity": CAPACITY,
            "labels": ["a", "r1"], "machine": self.machine, "born": self.born, "sequence": 1}))

    async def execute_runs(self):
        """Advances the runs and ends all of them when the lease expires."""
        tick_s = 0.02
        while not self.dead:
            await asyncio.sleep(tick_s)
            if self.deadline and self.clock() > self.deadline:
                self.deadline = 0
                self.world.oracle.discard_unacknowledged_ends(self)
                for run in list(self.runs):
                    await self.end_run(run, "lapsed")
            hangs = self.hangs or self.world.run_faults == "hang"
            for run in [] if hangs else list(self.remaining_s):
                self.remaining_s[run] -= tick_s
                if self.remaining_s[run] <= 0:
                    fails = self.fails or self.world.consume_failure(run[0])
                    await self.end_run(run, "failed" if fails else "done")

    async def end_run(self, run, outcome):
        if self.runs.pop(run, None) is None or self.dead:
            return
        task, number = run
        self.remaining_s.pop(run, None)
        self.used_cpu -= self.cpu_by_run.pop(run)
        self.last_ended_run[task] = max(self.last_ended_run.get(task, 0), number)
        self.unacknowledged_ends.append([self.next_end_number, task, number, outcome, ""])
        self.next_end_number += 1
        self.world.oracle.on_end(self, task, number, outcome)
        async with self.end_recorded:
            self.end_recorded.notify_all()

    async def handle(self, method, path, query, headers, body):
        if self.dead:
            return None
        if headers.get("x-expected-instance") != self.id:
            return 421, {}
        call = json.loads(body)
        if self.late and path != "/hold" and self.world.rng.random() < 0.5:
            asyncio.ensure_future(self.execute_order_later(path, call))
            return None
        return await self.execute_order(path, call)

    async def execute_order_later(self, path, call):
        await asyncio.sleep(self.world.rng.uniform(2, 6))
        if not self.dead:
            await self.execute_order(path, call)

    async def execute_order(self, path, call):
        if call.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = call["fence"]
        if call.get("deadline-ms"):
            self.deadline = max(self.deadline, call["deadline-ms"])
        if path == "/run-start":
            return self.start_run(call)
        if path == "/run-stop":
            run = (call["task"], call["run"])
            self.last_ended_run[call["task"]] = max(
                self.last_ended_run.get(call["task"], 0), call["run"])
            if run in self.runs:
                asyncio.ensure_future(self.end_run_later(0.1, run, "stopped"))
            return 200, {"clock-ms": self.clock()}
        if path == "/hold":
            return await self.hold(call)
        return 200, {"clock-ms": self.clock()}

    def start_run(self, call):
        run = (call["task"], call["run"])
        if call["deadline-ms"] <= self.clock():
            return 409, {"clock-ms": self.clock(), "reason": "late"}
        if run in self.runs:
            return 200, {"clock-ms": self.clock()}
        if call["run"] <= self.last_ended_run.get(call["task"], 0):
            return 409, {"clock-ms": self.clock(), "reason": "old"}
        required_cpu = self.world.required_cpu(call["task"])
        if self.used_cpu + required_cpu > CAPACITY["cpu"]:
            return 409, {"clock-ms": self.clock(), "reason": "room"}
        ticket = self.world.ticket(call["task"], self)
        if self.world.is_advised and (not ticket or call.get("ticket") != ticket):
            return 409, {"clock-ms": self.clock(), "reason": "ticket"}
        self.runs[run] = self.world.duration_s(call["task"])
        self.cpu_by_run[run] = required_cpu
        self.used_cpu += required_cpu
        self.world.oracle.on_start(self, call["task"], call["run"], call["spec"])
        if call["spec"] != "lasts":
            self.remaining_s[run] = self.runs[run]
        return 200, {"clock-ms": self.clock()}

    async def end_run_later(self, delay_s, run, outcome):
        await asyncio.sleep(delay_s)
        await self.end_run(run, outcome)

    def percent(self, run):
        """Progress of a run in percent of its duration; 100 for a long-running task."""
        if run not in self.remaining_s:
            return 100
        return int(100 * (1 - max(self.remaining_s[run], 0) / self.runs[run]))

    async def hold(self, call):
        for number, task, run, outcome, _ in self.unacknowledged_ends:
            if number <= call["seen-upto"]:
                self.world.oracle.on_end_acknowledged(self, task, run, outcome)
        self.unacknowledged_ends = [e for e in self.unacknowledged_ends
                                    if e[0] > call["seen-upto"]]
        if not self.unacknowledged_ends and call.get("wait-ms"):
            async with self.end_recorded:
                try:
                    await asyncio.wait_for(self.end_recorded.wait(), call["wait-ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
        if self.dead:
            return None
        return 200, {"clock-ms": self.clock(), "born": self.born,
                     "ended": self.unacknowledged_ends[:END_LIMIT],
                     "running": [[t, n, "", self.percent((t, n)), 0] for t, n in self.runs]}

    def terminate(self, unregister=True):
        """Ends this incarnation together with its runs and its unacknowledged run ends."""
        self.dead = True
        for task, run in self.runs:
            self.world.oracle.on_end(self, task, run, "lost")
        self.world.oracle.discard_unacknowledged_ends(self)
        if unregister:
            self.unregister()

    def unregister(self):
        if ("servers", "", self.id) in self.world.store.rows:
            self.world.store.version += 1
            self.world.store.write(("servers", "", self.id), None)


class SimulatedPlatform:
    def __init__(self, options):
        self.rng = random.Random(options.seed)
        self.store = Store(self.rng)
        self.connection_limit = getattr(options, "connections", CONNECTION_LIMIT)
        self.store.report = self.report
        self.store.silence_backends = self.silence_backends
        self.store.set_run_faults = self.set_run_faults
        self.store.crash = lambda machine: self.restart_machine(machine, "down", CRASH_OFFLINE_S)
        self.store.expect = lambda *job: self.oracle.on_job(*job)
        self.cloud = Http(self.handle)
        self.machines, self.spare_pool = {}, "spare"
        self.pools = options.pools.split(",")
        self.server_count, self.spare_count = options.servers, options.spare
        self.oracle, self.advice = Oracle(), Http(self.advise)
        self.set_run_faults("ok")
        self.is_advised, self.advice_calls = options.advice, 0

    def set_run_faults(self, mode):
        self.run_faults, self.failed_once = mode, set()

    def consume_failure(self, task):
        """Returns whether the run of the task that ends now fails; once for each task."""
        fails = self.run_faults == "fail-once" and task not in self.failed_once
        self.failed_once.add(task)
        return fails

    async def publish(self, address):
        """Returns the address at which clients reach the server.

        A test overrides it to route the connections through a proxy.
        """
        return address

    def duration_s(self, task):
        """Duration of a task in seconds, the same for each of its runs."""
        return random.Random(task).uniform(0.1, 0.5)

    def required_cpu(self, task):
        """CPU that the task requires, in the unit of CAPACITY; 0 for an unknown job."""
        job, step = self.oracle.split(task)[:2]
        known = self.oracle.jobs.get(job)
        return known["steps"][step].get("cpu", 0) if known else 0

    def ticket(self, task, server):
        """Ticket of a step for one incarnation of a server; None for a third of the machines."""
        step = task.rsplit(".", 1)[0]
        chance = random.Random(step)
        number = int(server.machine.split("-")[1])
        if (number + chance.randrange(3)) % 3 == 0:
            return None
        return f"{chance.getrandbits(32):x}-{server.id}-{server.born}"

    async def advise(self, method, path, query, headers, body):
        call = json.loads(body)
        self.advice_calls += 1
        await asyncio.sleep(0.005 + 0.001 * len(call["workers"]))
        servers = {e["server"].id: e["server"] for e in self.machines.values() if e["server"]}
        good = [[i, t] for i in call["workers"]
                if i in servers and (t := self.ticket(call["step"] + ".0", servers[i]))]
        return 200, {"good": good, "valid-ms": TICKET_LIFETIME_MS}

    def backends(self):
        return [(m, e["server"]) for m, e in self.machines.items() if e["server"]]

    def silence_backends(self):
        for _, server in self.backends():
            server.http.silence_open_connections()

    def report(self):
        tasks = self.oracle.tasks
        return {"starts": {n: len(t.starts) for n, t in tasks.items()},
                "done": sorted(n for n in tasks if self.oracle.is_done(n)),
                "breaches": self.oracle.breaches, "refusals": self.store.refusals, "advice_calls": self.advice_calls,
                "running": sorted(n for n, t in tasks.items() if t.running),
                "connections": {m: len(s.http.open) for m, s in self.backends()},
                "connections_refused": sum(s.http.refused for _, s in self.backends()),
                "runs": {m: len(e["server"].runs) for m, e in self.machines.items() if e["server"]},
                "machines": {m: e["pool"] for m, e in self.machines.items()},
                "upkeep": {m: e["upkeep"] for m, e in self.machines.items()}}

    async def start(self):
        await self.store.http.start()
        await self.cloud.start()
        await self.advice.start()
        for n in range(self.server_count + self.spare_count):
            pool = self.pools[n % len(self.pools)] if n < self.server_count else self.spare_pool
            self.machines[f"m-{n}"] = {"pool": pool, "state": "up", "server": None, "upkeep": 0}
            await self.start_machine(f"m-{n}")

    async def start_machine(self, machine):
        """Marks the machine as up and starts a server on it unless it is in the spare pool."""
        entry = self.machines[machine]
        entry["state"] = "up"
        entry["server"] = None
        if entry["pool"] != self.spare_pool:
            entry["server"] = BackendServer(self, machine, entry["pool"])
            await entry["server"].start()

    async def restart_machine(self, machine, state, offline_s):
        """Takes the machine offline in the given state and starts it again."""
        entry = self.machines[machine]
        entry["state"] = state
        if entry["server"]:
            entry["server"].terminate()
        await asyncio.sleep(offline_s)
        await self.start_machine(machine)

    async def handle(self, method, path, query, headers, body):
        if path == "/machines":
            return 200, {"next-token": None, "machines": [
                {"machine": m, "pool": e["pool"], "state": e["state"], "zone": "z1",
                 "labels": ["a", "r1"], "capacity": CAPACITY,
                 **({"id": e["server"].id} if e["server"] else {})}
                for m, e in self.machines.items()]}
        call = json.loads(body)
        entry = self.machines.get(call["machine"])
        if entry is None:
            return 400, {}
        if path == "/machine-move" and entry["pool"] == call["pool"]:
            return 200, {}
        if entry["state"] != "up":
            return 409, {"reason": "busy"}
        if path == "/machine-move":
            entry["pool"] = call["pool"]
            asyncio.ensure_future(self.restart_machine(call["machine"], "moving",
                                                       MACHINE_OFFLINE_S))
        else:
            entry["upkeep"] += 1
            asyncio.ensure_future(self.restart_machine(call["machine"], "upkeep",
                                                       MACHINE_OFFLINE_S))
        return 200, {}


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, default=4)
    parser.add_argument("--spare", type=int, default=2)
    parser.add_argument("--pools", default="desk")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--connections", type=int, default=CONNECTION_LIMIT,
                        help="connections that a backend server accepts")
    parser.add_argument("--advice", action="store_true",
                        help="queues require tickets from the adviser")
    world = SimulatedPlatform(parser.parse_args())
    await world.start()
    print(json.dumps({"store": f"127.0.0.1:{world.store.http.port}",
                      "cloud": f"127.0.0.1:{world.cloud.port}",
                      "advice": f"127.0.0.1:{world.advice.port}"}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
