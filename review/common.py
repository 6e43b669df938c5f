"""Harness of the review's scripts: entry instances as processes of their own, and stand-ins of
the platform, the backend servers and the network in the process of the script.

The platform is the project's stand-in (standins/jobs/job_platform.py). The backend servers
extend it by what the pages say and it leaves out: leases of at most hold-max-ms on a clock that
starts anew with each start, heartbeats, and a restart under the same ID and address.
"""
import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import random
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.dont_write_bytecode = True
sys.path[:0] = [str(ROOT / "standins/jobs")]
import job_platform  # noqa: E402
from job_platform import BackendServer, SimulatedPlatform  # noqa: E402

HOST = "jobs.example"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10000
ATTEMPTS = 4
ZONES = ["salt-lake", "howrah", "durgapur"]
# Of the 120 s that a script may take, for all but start and end.
SCRIPT_S = 100
BROKEN, HELD, NOT_RUN = 1, 0, 2


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.began, self.file = time.monotonic(), open(folder / "record.txt", "w")

    def add(self, who, what):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {who}: {what}\n")
        self.file.flush()


class Link:
    """A loopback proxy. While it is cut, nothing passes in either direction; bytes of
    connections that were open during the cut are lost, and these are reset when it heals."""

    def __init__(self, port):
        self.target_port, self.is_cut, self.writers = port, False, set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        self.is_cut = True

    def heal(self):
        self.is_cut = False
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        if self.is_cut:
            return
        try:
            target = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            self.writers.discard(writer)
            return writer.transport.abort()
        self.writers.add(target[1])
        await asyncio.gather(self.pump(reader, target[1]), self.pump(target[0], writer))

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.is_cut:
                    return
                writer.write(data)
                await writer.drain()
            if not self.is_cut:
                writer.close()
        except OSError:
            if not self.is_cut:
                writer.transport.abort()


class Minion(BackendServer):
    """A backend server. `crash` and `revive` end and start its incarnations."""

    def __init__(self, world, machine, pool, server_id=None):
        super().__init__(world, machine, pool, server_id)
        self.link, self.server, self.connections = None, None, set()
        self.sequence, self.holds = 0, 0
        self.zone = world.zone_of(machine)
        self.began = time.monotonic()
        self.http.serve = self.track(self.http.serve)

    def track(self, serve):
        async def tracked(reader, writer):
            self.connections.add(writer)
            try:
                await serve(reader, writer)
            finally:
                self.connections.discard(writer)
        return tracked

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.http.serve, "127.0.0.1", port)
        self.http.port = self.server.sockets[0].getsockname()[1]
        if self.link is None:
            self.link = await Link(self.http.port).start()
        self.address = self.link.address
        self.world.record.add(self.id, f"begins, born {self.born}")
        asyncio.ensure_future(self.execute_runs())
        asyncio.ensure_future(self.send_heartbeats())

    async def send_heartbeats(self):
        while not self.dead:
            self.sequence += 1
            self.world.store.put(("servers", "", self.id), json.dumps({
                "service": self.pool, "addr": self.address, "zone": self.zone, "version": "1",
                "slots": 8, "state": "ready", "warmup-left-ms": 0,
                "capacity": job_platform.CAPACITY, "labels": ["a", "r1"],
                "machine": self.machine, "born": self.born, "sequence": self.sequence}))
            await asyncio.sleep(HEARTBEAT_S)

    async def execute_order(self, path, call):
        asked = dict(call)
        if call.get("deadline-ms"):
            call["deadline-ms"] = min(call["deadline-ms"], self.clock() + HOLD_MAX_MS)
        if path == "/hold" and self.holds == 0:
            self.world.record.add(self.id, f"gets its first /hold at {self.clock()} ms of its "
                                  f"clock, lease until {asked.get('deadline-ms')}")
        self.holds += path == "/hold"
        if path != "/hold":
            self.world.record.add(self.id, f"gets {path} {call['task']} run {call['run']} "
                                  f"fence {call['fence']}")
        run = (call.get("task"), call.get("run"))
        if path == "/run-stop" and run in self.runs and call["fence"] >= self.fence:
            self.world.on_stop(call["task"])
        return await super().execute_order(path, call)

    async def end_run(self, run, outcome):
        if outcome == "done" and run[0].split(".")[0] in self.world.fails:
            self.world.fails.remove(run[0].split(".")[0])
            outcome = "failed"
        if run in self.runs:
            self.world.record.add(self.id, f"run {run[1]} of {run[0]} ends {outcome}")
        await super().end_run(run, outcome)

    def start_run(self, call):
        self.world.stopping.discard(call["task"])
        return super().start_run(call)

    def crash(self):
        """The process dies: what it runs ends, and its connections are reset."""
        self.world.record.add(self.id, f"crashes with {[t for t, _ in self.runs]}")
        self.terminate(unregister=False)
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def revive(self):
        """Starts again under the same ID and address, and knows nothing of before."""
        again = Minion(self.world, self.machine, self.pool, self.id)
        again.link = self.link
        self.world.machines[self.machine]["server"] = again
        await again.start(self.http.port)
        return again


class World(SimulatedPlatform):
    def __init__(self, record, servers, pools):
        super().__init__(argparse.Namespace(seed=1, servers=servers, spare=1, pools=pools,
                                            advice=False))
        self.record, self.durations = record, {}
        self.long_tasks, self.stops, self.stopping = set(), [], set()
        self.fails = set()  # jobs of which each task fails once, at the end of its first run

    @staticmethod
    def zone_of(machine):
        """With two pools, the machines of the second one begin in the zone of the first entry
        instance, and those of the first one in another zone."""
        return ZONES[1 - int(machine.split("-")[1]) % 2]

    def duration_s(self, task):
        if task in self.long_tasks:
            return 25.0
        return self.durations.get(task.split(".")[0], 0.3)

    async def start_machine(self, machine):
        entry = self.machines[machine]
        entry["state"], entry["server"] = "up", None
        if entry["pool"] != self.spare_pool:
            entry["server"] = Minion(self, machine, entry["pool"])
            await entry["server"].start()

    def on_stop(self, task):
        """Notes that a run at work is stopped, and which others of its step such an order has
        ended and not at work again."""
        step = task.rsplit(".", 1)[0]
        away = sorted(t for t in self.stopping if t != task and t.startswith(step + "."))
        self.stops.append((task, away))
        self.stopping.add(task)

    def minions(self):
        return [e["server"] for e in self.machines.values()
                if e["server"] and not e["server"].dead]

    def running(self, job):
        """The minions that run a task of the job."""
        return [m for m in self.minions() if any(t.startswith(job) for t, _ in m.runs)]

    def configure(self, version=3, queues=("asks", "more"), service="desk"):
        """Puts a version in force in which each of the queues has its route."""
        self.record.add("operator", f"version {version}: the queues {list(queues)} are served "
                        f"by {service}")
        self.store.put(("op", "", "config"), json.dumps({
            "version": version, "limits": {}, "routes": [
                {"name": name, "host": HOST, "prefix": f"/{name}/", "service": service,
                 "attempts": ATTEMPTS, "stretch": 2.0, "slo-ms": 600, "priority": 0,
                 "no-auth": True} for name in queues],
            "services": [*({"name": p, "rejects-overload": True} for p in self.pools),
                         {"name": "spare", "rejects-overload": True, "spare": True}]}))


def free_ports(address, count):
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((address, 0))
        return [probe.getsockname()[1] for probe in probes]


class Entry:
    """An entry instance, started as deploy/system.toml says. Its links to the platform are
    proxies, which a script can cut."""

    def __init__(self, world, folder, number, links):
        self.name, self.world, self.process = f"edge-{number}", world, None
        self.links, zone = links, ZONES[number % len(ZONES)]
        self.own_ends, self.is_stopped = 0, False
        pid = os.getpid()
        ip = f"127.{64 + pid // 250 % 128}.{1 + pid % 250}.{10 + number}"
        self.callers, self.ready, control = (f"{ip}:{port}" for port in free_ports(ip, 3))
        self.log, self.settings = folder / f"{self.name}.out", folder / f"{self.name}.yaml"
        self.settings.write_text(json.dumps({
            "node-name": self.name, "role": "entry", "machine-class": "edge", "serves": ["edge"],
            "ip": ip, "zone": zone, "region": "bengal",
            "zones": {name: "bengal" for name in ZONES},
            "listen-addrs": {"frontend": self.callers, "ready-addr": self.ready,
                             "control": control},
            "internal-ports": [7060, 7075], "seeds": [], "bootstrap": True,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                          "advice", "upkeep", "sharing"],
            "bounds": {"stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
                       "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
                       "config-apply-ms": 2000, "back-ms": 250, "max-stretch-ms": 5000,
                       "recovery-s": 12, "hold-max-ms": HOLD_MAX_MS, "stop-ms": 400,
                       "gang-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
                       "early_ms": 250, "finish_s": 14, "status_s": 120, "far-factor": 3,
                       "save-s": 2, "restore-ms": 100, "notice-ms": 4500, "move-s": 1.5,
                       "upkeep-s": 2, "require-fence": False, "lease-ms": 3000},
            "control-mode": "invoke", "advice": f"127.0.0.1:{world.advice.port}",
            "platform": {"addr": links["store"].address, "form": "table",
                         "writes-per-s": 800, "reads-per-s": 2000, "row-bytes": 65536,
                         "across": True, "history-s": 20},
            "cloud-api": {"addr": links["cloud"].address, "rate-per-s": 64.0,
                          "duties": [], "duty-per-s": 64.0}}))

    async def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["POLLENSPOOL_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "target/pollenspool-entry", "--metrics-port", "9464", cwd=ROOT,
                env=environment, stdout=log, stderr=log)
        self.world.record.add(self.name, "begins")

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    def is_leader(self):
        """Whether its latest event about the election is that it won a term."""
        events = [line for line in self.log.read_text().splitlines()
                  if '"TermWon"' in line or '"TermLost"' in line or '"TermSeen"' in line]
        return bool(events) and '"TermWon"' in events[-1]

    async def restart(self):
        """SIGTERM, and a new start once the process has ended."""
        self.world.record.add(self.name, "gets SIGTERM")
        self.process.terminate()
        await self.process.wait()
        await self.start()

    async def kill(self):
        """Ends the process for good."""
        self.is_stopped = True
        if self.is_up():
            self.process.kill()
            await self.process.wait()

    async def keep_up(self):
        """Starts the process again after a short delay whenever it ends, as the platform does."""
        while True:
            code = await self.process.wait()
            if self.is_stopped:
                return
            self.own_ends += 1
            self.world.record.add(self.name, f"ends by itself with {code}")
            await asyncio.sleep(0.5)
            await self.start()


async def exchange(address, method, path, body=b"", timeout_s=3.0):
    """Sends a request and returns (status, decoded body), or (0, reason) without an answer."""
    writer = None

    async def run():
        nonlocal writer
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: "
                     f"{int(timeout_s * 1000)}\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = next((int(line.split(":")[1]) for line in head.lower().split("\r\n")
                       if line.startswith("content-length")), 0)
        text = await reader.readexactly(length)
        return int(head.split()[1]), json.loads(text or b"{}")
    try:
        return await asyncio.wait_for(run(), timeout_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        return 0, type(error).__name__
    finally:
        if writer:
            writer.close()


class Client:
    def __init__(self, world, entries, seed=1):
        self.world, self.entries, self.rng = world, entries, random.Random(seed)

    def new_job(self):
        return f"{self.rng.getrandbits(64):016x}"

    def declare(self, job, body, duration_s):
        self.world.durations[job] = duration_s
        self.world.oracle.on_job(job, body, ATTEMPTS)

    async def call(self, entry, method, path, body=b"", timeout_s=3.0):
        reply = await exchange(entry.callers, method, path, body, timeout_s)
        self.world.record.add("client", f"{method} {path} at {entry.name} -> {reply}")
        return reply

    async def submit(self, job, body, duration_s, queue="asks"):
        """Submits the job, at one entry instance after the other; returns the last status."""
        self.declare(job, body, duration_s)
        for entry in (self.entries * 2)[:5]:
            status, _ = await self.call(entry, "POST", f"/{queue}/{job}", json.dumps(body).encode())
            if status not in (0, 502, 503, 504):
                break
            await asyncio.sleep(0.3)
        return status

    async def state(self, job, queue="asks", entry=None):
        up = [e for e in self.entries if e.is_up()]
        status, reply = await self.call(entry or up[0], "GET", f"/{queue}/{job}")
        return reply["state"] if status == 200 else status


async def until(what, timeout_s, test):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = test()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        await asyncio.sleep(0.05)
    raise AssertionError(f"after {timeout_s} s not yet: {what}")


async def are_ready(entries):
    return all([(await exchange(e.ready, "GET", "/readyz", timeout_s=1))[0] == 200
                for e in entries])


async def play(script, folder, servers, entries, pools):
    """Starts everything, runs the script and ends everything. Returns the exit code."""
    record = Record(folder)
    started = []
    with tempfile.TemporaryDirectory() as temporary:
        try:
            world = World(record, servers, pools)
            await world.start()
            world.configure()
            for number in range(entries):
                links = {"store": await Link(world.store.http.port).start(),
                         "cloud": await Link(world.cloud.port).start()}
                started.append(Entry(world, pathlib.Path(temporary), number, links))
                await started[-1].start()
                # The first one leads, so that a script knows its zone.
                if number == 0:
                    await until("the first entry instance leads", 10, started[0].is_leader)
            await until("all entry instances are ready", 10, lambda: are_ready(started))
            await asyncio.sleep(3)
            code = await asyncio.wait_for(script(world, started, Client(world, started)),
                                          SCRIPT_S)
        except (AssertionError, OSError, asyncio.TimeoutError) as error:
            record.add("script", f"could not run: {type(error).__name__} {error}")
            code = NOT_RUN
        finally:
            if os.environ.get("KEEP"):
                for entry in started:
                    (pathlib.Path(os.environ["KEEP"]) / f"{entry.name}.out").write_bytes(
                        entry.log.read_bytes() if entry.log.exists() else b"")
            for entry in started:
                await entry.kill()
    record.add("script", ["the rule held", "the rule was broken", "could not run"][code])
    return code


def main(script, folder, servers, entries, pools="desk"):
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(lambda loop, context: None)
    code = loop.run_until_complete(play(script, pathlib.Path(folder), servers, entries, pools))
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code], flush=True)
    os._exit(code)
