#!/usr/bin/env python3
"""Stand-in of the users' platform for the entry instance of jobs.

One process plays the metadata store, the service for instances and a number of
backend servers, each on a port of its own, on loopback. It speaks the published
protocol and shares no code with the product. Work is simulated by waiting.

  job_platform.py --servers N --pools a,b --spare N --seed N

It prints one line of JSON with its addresses and serves until it is ended.
GET /faults?store=down|ok|lost|slow|late on the store's port sets how the store
behaves; POST /expect there announces a job, GET /report tells what the backend servers have
seen. The soak runs it
in its own process and injects faults into servers as well.
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
from oracle import Oracle  # noqa: E402

ROW_LIMIT = 500
FEED_HISTORY = 20000
MOVE_S = 0.3
SLOW_STORE_S = 0.25
CAPACITY = {"cpu": 8000, "mem-mb": 16000, "gpu": 0}
TICKETS_VALID_MS = 3000


def now_ms():
    return int(time.monotonic() * 1000)


class Http:
    """A small HTTP/1.1 server: handler(method, path, query, headers, body)."""

    def __init__(self, handler):
        self.handler = handler
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {k.lower(): v.strip() for k, v in
                           (line.split(":", 1) for line in lines[1:] if ":" in line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                reply = await self.handler(method, path, query, headers, body)
                if reply is None:  # the answer is lost
                    break
                status, value = reply
                data = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Store:
    def __init__(self, rng):
        self.rows, self.changes, self.version = {}, [], 1
        self.changed = asyncio.Condition()
        self.mode, self.rng, self.kept_from = "ok", rng, 0
        self.http = Http(self.handle)

    @staticmethod
    def shown(at, row):
        table, part, key = at
        if row is None:
            return {"table": table, "part": part, "key": key, "ver": 0}
        value, ver, gone = row
        out = {"table": table, "part": part, "key": key, "ver": ver}
        return {**out, "tombstone": True} if gone else {**out, "value": value}

    def put(self, at, text):
        """Writes a row as the platform itself does."""
        self.version += 1
        self.write(at, base64.b64encode(text.encode()).decode())

    def write(self, at, value):
        if value is None:
            self.rows.pop(at, None)
            self.changes.append((self.version, at, (None, self.version, True)))
        else:
            self.rows[at] = (value, self.version, False)
            self.changes.append((self.version, at, self.rows[at]))
        del self.changes[:-FEED_HISTORY]
        asyncio.ensure_future(self.wake())

    def forget_history(self):
        self.changes.clear()
        self.kept_from = self.version

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, path, query, headers, body):
        if path == "/faults":
            self.mode = query["store"]
            return 200, {}
        if path == "/report":
            return 200, self.report()
        if path == "/expect":
            expected = json.loads(body)
            self.expect(expected["job"], expected["body"], expected["attempts"])
            return 200, {}
        if self.mode == "down":
            return 503, {}
        if self.mode == "slow":
            await asyncio.sleep(SLOW_STORE_S)
        if path == "/rows-tx":
            if self.mode == "late" and self.rng.random() < 0.3:
                asyncio.ensure_future(self.transact_later(json.loads(body)))
                return None
            reply = self.transact(json.loads(body))
            return None if self.mode == "lost" and self.rng.random() < 0.3 else reply
        if path == "/rows-get":
            return 200, self.get(query)
        if path == "/rows-feed":
            if int(query["after"]) < self.kept_from:
                return 410, {}
            return 200, await self.feed(query)
        return 404, {}

    async def transact_later(self, tx):
        await asyncio.sleep(self.rng.uniform(1, 4))
        self.transact(tx)

    def transact(self, tx):
        def at(e):
            return e["table"], e.get("part", ""), e["key"]
        parts = {e.get("part", "") for kind in tx.values() if isinstance(kind, list) for e in kind}
        if len(parts) > 1 and not tx.get("across"):
            return 400, {}
        wrong = [at(c) for c in tx["precondition"]
                 if (self.rows[at(c)][1] if at(c) in self.rows else 0) != c["ver"]]
        if wrong:
            return 412, {"rows": [self.shown(at(c), self.rows.get(at(c)))
                                  for c in tx["precondition"]]}
        self.version += 1
        for entry in tx["puts"]:
            self.write(at(entry), entry["value"])
        for entry in tx["remove"]:
            if at(entry) in self.rows:
                self.write(at(entry), None)
        return 200, {"ver": self.version, "now-ms": now_ms()}

    def get(self, query):
        keys = sorted(k for k in self.rows if k[0] == query["table"]
                      and k[1] == query.get("part", "") and k[2] >= query.get("from", ""))
        limit = min(ROW_LIMIT, int(query.get("limit", ROW_LIMIT)))
        return {"rows": [self.shown(k, self.rows[k]) for k in keys[:limit]],
                "has-more": len(keys) > limit, "ver": self.version, "now-ms": now_ms()}

    async def feed(self, query):
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        after = int(query["after"])
        while True:
            rows = [self.shown(at, row) for ver, at, row in self.changes
                    if ver > after and at[0] == query["table"]]
            left = end - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, "ver": self.version, "now-ms": now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Server:
    """One life of a backend server."""
    serial = 0

    def __init__(self, world, machine, pool, server_id=None):
        Server.serial += 1
        self.id, self.machine, self.pool, self.world = server_id or f"s-{Server.serial}", machine, pool, world
        self.born = int(time.time() * 1000)
        self.runs, self.ends, self.over = {}, [], {}
        self.fence, self.deadline, self.next_end, self.dead = 0, 0, 1, False
        self.used, self.needs, self.work_left = 0, {}, {}
        # Faults: tasks stand still; starts fail; orders are not answered and carried
        # out late.
        self.hangs, self.fails, self.late = False, False, False
        self.ended = asyncio.Condition()
        self.http, self.address = Http(self.handle), None

    def clock(self):
        return int(time.time() * 1000) - self.born + 1

    async def start(self):
        await self.http.start()
        self.address = await self.world.publish(f"127.0.0.1:{self.http.port}")
        asyncio.ensure_future(self.live())
        self.register()

    def register(self):
        self.world.store.put(("servers", "", self.id), json.dumps({
            "service": self.pool, "addr": self.address, "zone": "z1",
            "state": "ready", "capacity": CAPACITY,
            "labels": ["a", "r1"], "machine": self.machine, "born": self.born, "sequence": 1}))

    async def live(self):
        """Works, and ends everything when the lease runs out."""
        step = 0.02
        while not self.dead:
            await asyncio.sleep(step)
            if self.deadline and self.clock() > self.deadline:
                self.deadline = 0
                self.world.oracle.on_lapse(self)
                for run in list(self.runs):
                    await self.end(run, "lapsed")
            for run in [] if self.hangs else list(self.work_left):
                self.work_left[run] -= step
                if self.work_left[run] <= 0:
                    await self.end(run, "failed" if self.fails else "done")

    async def end(self, run, how):
        if self.runs.pop(run, None) is None or self.dead:
            return
        task, number = run
        self.work_left.pop(run, None)
        self.used -= self.needs.pop(run)
        self.over[task] = max(self.over.get(task, 0), number)
        self.ends.append([self.next_end, task, number, how, ""])
        self.next_end += 1
        self.world.oracle.on_end(self, task, number, how)
        async with self.ended:
            self.ended.notify_all()

    async def handle(self, method, path, query, headers, body):
        if self.dead:
            return None
        if headers.get("x-expected-instance") != self.id:
            return 421, {}
        call = json.loads(body)
        if self.late and path != "/hold" and self.world.rng.random() < 0.5:
            asyncio.ensure_future(self.obey_later(path, call))
            return None
        return await self.obey(path, call)

    async def obey_later(self, path, call):
        await asyncio.sleep(self.world.rng.uniform(2, 6))
        if not self.dead:
            await self.obey(path, call)

    async def obey(self, path, call):
        if call.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = call["fence"]
        if call.get("deadline-ms"):
            self.deadline = max(self.deadline, call["deadline-ms"])
        if path == "/run-start":
            return self.start_run(call)
        if path == "/run-stop":
            run = (call["task"], call["run"])
            self.over[call["task"]] = max(self.over.get(call["task"], 0), call["run"])
            if run in self.runs:
                asyncio.ensure_future(self.later(0.1, run, "stopped"))
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
        if call["run"] <= self.over.get(call["task"], 0):
            return 409, {"clock-ms": self.clock(), "reason": "old"}
        need = self.world.need(call["task"])
        if self.used + need > CAPACITY["cpu"]:
            return 409, {"clock-ms": self.clock(), "reason": "room"}
        ticket = self.world.ticket(call["task"], self)
        if self.world.is_advised and (not ticket or call.get("ticket") != ticket):
            return 409, {"clock-ms": self.clock(), "reason": "ticket"}
        self.runs[run] = self.world.work(call["task"])
        self.needs[run] = need
        self.used += need
        self.world.oracle.on_start(self, call["task"], call["run"], call["spec"])
        if call["spec"] != "lasts":
            self.work_left[run] = self.runs[run]
        return 200, {"clock-ms": self.clock()}

    async def later(self, wait, run, how):
        await asyncio.sleep(wait)
        await self.end(run, how)

    def percent(self, run):
        if run not in self.work_left:
            return 100
        return int(100 * (1 - max(self.work_left[run], 0) / self.runs[run]))

    async def hold(self, call):
        for number, task, run, how, _ in self.ends:
            if number <= call["seen-upto"]:
                self.world.oracle.on_noted(self, task, run, how)
        self.ends = [e for e in self.ends if e[0] > call["seen-upto"]]
        if not self.ends and call.get("wait-ms"):
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), call["wait-ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
        if self.dead:
            return None
        return 200, {"clock-ms": self.clock(), "born": self.born, "ended": self.ends,
                     "running": [[t, n, "", self.percent((t, n)), 0] for t, n in self.runs]}

    def die(self, unregister=True):
        self.dead = True
        for task, run in self.runs:
            self.world.oracle.on_end(self, task, run, "lost")
        self.world.oracle.on_lapse(self)
        if unregister:
            self.unregister()

    def unregister(self):
        if ("servers", "", self.id) in self.world.store.rows:
            self.world.store.version += 1
            self.world.store.write(("servers", "", self.id), None)


class World:
    def __init__(self, options):
        self.rng = random.Random(options.seed)
        self.store = Store(self.rng)
        self.store.report = self.report
        self.store.expect = lambda *job: self.oracle.on_job(*job)
        self.cloud = Http(self.handle)
        self.machines, self.spare = {}, "spare"
        self.pools = options.pools.split(",")
        self.count, self.spares = options.servers, options.spare
        self.oracle, self.advice = Oracle(), Http(self.advise)
        self.is_advised, self.advice_calls = options.advice, 0

    async def publish(self, address):
        """The address under which others reach a server."""
        return address

    def work(self, task):
        return random.Random(task).uniform(0.1, 0.5)

    def need(self, task):
        job, step = self.oracle.split(task)[:2]
        known = self.oracle.jobs.get(job)
        return known["steps"][step].get("cpu", 0) if known else 0

    def ticket(self, task, server):
        """Of a step and one life of a server; a third of the machines gets none."""
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
        return 200, {"good": good, "valid-ms": TICKETS_VALID_MS}

    def report(self):
        tasks = self.oracle.tasks
        return {"starts": {n: len(t.starts) for n, t in tasks.items()},
                "done": sorted(n for n in tasks if self.oracle.is_done(n)),
                "breaches": self.oracle.breaches, "advice_calls": self.advice_calls,
                "running": sorted(n for n, t in tasks.items() if t.running),
                "machines": {m: e["pool"] for m, e in self.machines.items()},
                "upkeep": {m: e["upkeep"] for m, e in self.machines.items()}}

    async def start(self):
        await self.store.http.start()
        await self.cloud.start()
        await self.advice.start()
        for n in range(self.count + self.spares):
            pool = self.pools[n % len(self.pools)] if n < self.count else self.spare
            self.machines[f"m-{n}"] = {"pool": pool, "state": "up", "server": None, "upkeep": 0}
            await self.join(f"m-{n}")

    async def join(self, machine):
        entry = self.machines[machine]
        entry["state"] = "up"
        entry["server"] = None
        if entry["pool"] != self.spare:
            entry["server"] = Server(self, machine, entry["pool"])
            await entry["server"].start()

    async def away(self, machine, state, wait):
        entry = self.machines[machine]
        entry["state"] = state
        if entry["server"]:
            entry["server"].die()
        await asyncio.sleep(wait)
        await self.join(machine)

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
            asyncio.ensure_future(self.away(call["machine"], "moving", MOVE_S))
        else:
            entry["upkeep"] += 1
            asyncio.ensure_future(self.away(call["machine"], "upkeep", MOVE_S))
        return 200, {}


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, default=4)
    parser.add_argument("--spare", type=int, default=2)
    parser.add_argument("--pools", default="desk")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--advice", action="store_true", help="queues need tickets")
    world = World(parser.parse_args())
    await world.start()
    print(json.dumps({"store": f"127.0.0.1:{world.store.http.port}",
                      "cloud": f"127.0.0.1:{world.cloud.port}",
                      "advice": f"127.0.0.1:{world.advice.port}"}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
