"""Harness of the scripts in review/11 to review/15.

Entry instances run as processes of their own, with the command of deploy/system.toml. The platform
is the project's stand-in (standins/jobs/job_platform.py) in the process of the script; its backend
servers are extended here by what the users' pages say and the stand-in leaves out: leases on a
steady clock and of at most hold-max-ms, heartbeats, crashes that close the connections, restarts,
and a registration that outlives a crash by three heartbeats.

Each case defines `async def scenario(world)`, which returns a list of violations, and calls main().
"""
import asyncio
import base64
import json
import os
import pathlib
import shlex
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "standins/jobs"))
import job_platform  # noqa: E402

HOST = "desk.example"
PREFIX = "/rosters/"
ATTEMPTS = 4
# Attempts of a client after the first one.
RETRIES = 4
HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
HOLD_MAX_MS = 10000
STOP_S = 0.2
# Connections that a server takes: "64 connections each".
CONNECTIONS = 64
# move-s and upkeep-s of the settings.
OFFLINE_S = {"moving": 1.5, "upkeep": 2.0}
HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 100
ZONES = ["howrah", "salt-lake", "durgapur"]

SETTINGS = """node-name: "{name}"
role: "entry"
machine-class: "edge"
serves: ["edge"]
ip: "{ip}"
zone: "{zone}"
region: "bengal"
zones: {{howrah: "bengal", salt-lake: "bengal", durgapur: "bengal"}}
listen-addrs: {{frontend: "{ip}:{callers}", ready-addr: "{ip}:{ready}"}}
internal-ports: [{internal}, {internal}]
bootstrap: true
limits: {{cpu-share: 0.25, cores: 1, memory-mb: 260, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}}
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
bounds: {{stable-window-ms: 3000, ack-ms: 4000, drain-ms: 2000, grace-s: 6, loss-slack-ms: 200,
  config-apply-ms: 2000, back-ms: 250, max-stretch-ms: 5000, recovery-s: 12, hold-max-ms: 10000,
  stop-ms: 400, gang-ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14,
  status_s: 120, far-factor: 3, save-s: 2, restore-ms: 100, notice-ms: 4500, move-s: 1.5,
  upkeep-s: 2, require-fence: false, lease-ms: 3000, thaw-ms: 300, pace-ms: 100, harm-ms: 4000}}
control-mode: "invoke"
advice: "{advice}"
platform: {{addr: "{store}", form: "table", writes-per-s: 800, reads-per-s: 2000, tx-ms: 3.0,
  part-writes-s: 300, row-bytes: 65536, across: true, history-s: 20}}
cloud-api: {{addr: "{cloud}", rate-per-s: 64.0, duty-per-s: 64.0}}
"""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def add(self, who, what):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {who}: {what}\n")
        self.file.flush()


class Oracle:
    """Keeps the runs as the servers see them: what is running, and the history of each task."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.running = {}   # task -> {(server, run)}
        self.runs = {}      # task -> [{"server", "run", "begun", "ended", "how"}]
        self.noted = {}     # task -> [(time, run, how)] ends that seen-upto has reached

    def on_start(self, server, task, run, spec):
        self.record.add(server.id, f"starts {task} run {run}")
        self.running.setdefault(task, set()).add((server.id, run))
        self.runs.setdefault(task, []).append({"server": server.id, "run": run, "how": None,
                                               "begun": time.monotonic(), "ended": None})

    def on_end(self, server, task, run, how):
        self.record.add(server.id, f"ends {task} run {run}: {how}")
        self.running.get(task, set()).discard((server.id, run))
        for entry in self.runs.get(task, []):
            if entry["server"] == server.id and entry["run"] == run and entry["ended"] is None:
                entry["ended"], entry["how"] = time.monotonic(), how

    def on_end_acknowledged(self, server, task, run, how):
        self.record.add(server.id, f"forgets the end of {task} run {run}: {how}")
        self.noted.setdefault(task, []).append((time.monotonic(), run, how))

    def discard_unacknowledged_ends(self, server):
        """The ends that a crashed server had not handed over are lost with it."""

    @staticmethod
    def split(name):
        job, occurrence, step, index = name.rsplit(".", 3)
        return job, int(step), int(occurrence), int(index)


class Silenceable:
    """Wraps the two ends of a connection. Once it is silent, what arrives is not read any more and
    what is written gets lost, and the connection stays open. The owner is the backend server,
    if it is one of its connections."""

    open = set()

    def __init__(self, reader, writer, owner=None):
        self.reader, self.writer, self.is_silent, self.owner = reader, writer, False, owner
        self.transport = writer.transport
        Silenceable.open.add(self)

    @classmethod
    def silence_servers(cls):
        """Silences the open connections to backend servers. Returns their number."""
        connections = [c for c in cls.open if c.owner]
        for connection in connections:
            connection.is_silent = True
        return len(connections)

    async def read(self, data):
        data = await data
        if self.is_silent:
            await asyncio.Event().wait()
        return data

    def readuntil(self, mark):
        return self.read(self.reader.readuntil(mark))

    def readexactly(self, count):
        return self.read(self.reader.readexactly(count))

    def write(self, data):
        if not self.is_silent:
            self.writer.write(data)

    async def drain(self):
        await self.writer.drain()

    def close(self):
        Silenceable.open.discard(self)
        self.writer.close()


class Server(job_platform.BackendServer):
    """One incarnation of a backend server."""

    def __init__(self, world, machine, pool, server_id=None):
        super().__init__(world, machine, pool, server_id)
        self.began = time.monotonic()
        self.connections, self.listener, self.sequence, self.refused = set(), None, 0, 0
        self.serve_http = self.http.serve
        self.http.serve = self.serve

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    async def handle(self, method, path, query, headers, body):
        delay_s = self.world.delay_of(self, path, json.loads(body))
        if delay_s:
            asyncio.ensure_future(self.world.deliver_later(delay_s, self, method, path, headers, body))
            # The caller gives the call up, as it gets no response.
            await asyncio.sleep(60)
            return None
        return await super().handle(method, path, query, headers, body)

    async def serve(self, reader, writer):
        if len(self.connections) >= CONNECTIONS:
            self.refused += 1
            if self.refused in (1, 10, 100, 1000):
                self.world.record.add(self.id, f"has {CONNECTIONS} open connections and has refused "
                                      f"{self.refused}")
            return writer.transport.abort()
        self.connections.add(writer)
        try:
            connection = Silenceable(reader, writer, self)
            await self.serve_http(connection, connection)
        finally:
            self.connections.discard(writer)

    async def start(self):
        port = self.world.ports.get(self.machine, 0)
        self.listener = await asyncio.start_server(self.http.serve, self.world.ip, port)
        port = self.listener.sockets[0].getsockname()[1]
        self.world.ports[self.machine] = port
        self.address = f"{self.world.ip}:{port}"
        self.world.record.add(self.id, f"is up on {self.machine} at {self.address}, born {self.born}")
        asyncio.ensure_future(self.execute_runs())
        asyncio.ensure_future(self.send_heartbeats())

    async def send_heartbeats(self):
        while not self.dead:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self.sequence += 1
        self.heartbeat_at = time.monotonic()
        self.world.store.put(("servers", "", self.id), json.dumps({
            "service": self.pool, "addr": self.address, "zone": self.world.zone(self.machine),
            "version": "1", "slots": 8, "state": "ready", "warmup-left-ms": 0,
            "sequence": self.sequence, "capacity": job_platform.CAPACITY,
            "labels": ["a", self.world.rack(self.machine)], "machine": self.machine,
            "born": self.born}))

    async def execute_order(self, path, call):
        if call.get("deadline-ms"):
            call["deadline-ms"] = min(call["deadline-ms"], self.clock() + HOLD_MAX_MS)
        if path != "/hold":
            self.world.record.add(self.id, f"gets {path} {call['task']} run {call['run']} "
                                  f"fence {call['fence']}")
        reply = await super().execute_order(path, call)
        if path != "/hold" and reply:
            self.world.record.add(self.id, f"answers {path} {call['task']} run {call['run']}: "
                                  f"{reply[0]} {reply[1].get('reason', '')}")
        return reply

    async def end_run_later(self, delay_s, run, outcome):
        await super().end_run_later(STOP_S, run, outcome)

    def close(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        if self.listener:
            self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def crash(self):
        self.world.record.add(self.id, "crashes")
        self.terminate(unregister=False)
        self.close()
        asyncio.ensure_future(self.expire())

    async def expire(self):
        """The platform removes the registration of a silent server."""
        await asyncio.sleep(self.heartbeat_at + SILENT_HEARTBEATS * HEARTBEAT_S - time.monotonic())
        if self.world.machines[self.machine].get("server_id") != self.id:
            self.unregister()


class World(job_platform.SimulatedPlatform):
    """The platform, its backend servers and the entry instances."""

    ip = "127.0.0.1"

    def __init__(self, folder, pools, servers, spare, rack_size=4, has_spare_pool=True,
                 other_services=()):
        options = type("Options", (), {"seed": 1, "pools": pools, "servers": servers,
                                       "spare": spare, "advice": False})
        super().__init__(options)
        for http in (self.store.http, self.cloud, self.advice):
            http.serve = self.silenceable(http.serve)
        self.folder, self.record, self.ports = folder, Record(folder), {}
        self.oracle, self.rack_size = Oracle(self.record), rack_size
        self.has_spare_pool, self.other_services = has_spare_pool, other_services
        self.entries, self.durations, self.next_job = [], {}, 0

    @staticmethod
    def silenceable(serve):
        async def wrapped(reader, writer):
            connection = Silenceable(reader, writer)
            await serve(connection, connection)
        return wrapped

    def zone(self, machine):
        return ZONES[int(machine.split("-")[1]) % len(ZONES)]

    def rack(self, machine):
        return f"r{int(machine.split('-')[1]) // self.rack_size}"

    def duration_s(self, task):
        return self.durations[task.split(".")[0]]

    def report(self):
        return {}

    async def start_machine(self, machine, server_id=None):
        entry = self.machines[machine]
        entry["state"], entry["server"], entry["server_id"] = "up", None, None
        if entry["pool"] != self.spare_pool:
            server = Server(self, machine, entry["pool"], server_id)
            entry["server"], entry["server_id"] = server, server.id
            await server.start()

    async def restart_machine(self, machine, state, offline_s):
        """A move or an upkeep: what runs is terminated at once, and the server leaves."""
        entry = self.machines[machine]
        offline_s = OFFLINE_S[state]
        self.record.add("platform", f"takes {machine} down for {state}")
        server, entry["state"] = entry["server"], state
        if server:
            server.terminate()
            server.close()
        await asyncio.sleep(offline_s)
        await self.start_machine(machine)

    async def crash_machine(self, machine, down_s, keeps_id=False):
        """The server of a machine crashes, and one starts there `down_s` later: another one, or
        the next incarnation of the same."""
        entry = self.machines[machine]
        server_id = entry["server"].id if keeps_id else None
        entry["state"] = "down"
        entry["server"].crash()
        entry["server"], entry["server_id"] = None, None
        await asyncio.sleep(down_s)
        await self.start_machine(machine, server_id)

    def delay_of(self, server, path, call):
        """The time after which a call is carried out that gets no response; 0 for all others.
        A case may override it."""
        return 0

    async def deliver_later(self, delay_s, server, method, path, headers, body):
        """Carries a call out late at the server that is at the address by then."""
        call = json.loads(body)
        self.record.add("network", f"holds {path} {call.get('task')} run {call.get('run')} to "
                        f"{server.id} for {delay_s} s")
        await asyncio.sleep(delay_s)
        now = self.machines[server.machine]["server"]
        if not now:
            return self.record.add("network", "drops the call: nobody is at the address")
        self.record.add("network", f"delivers {path} {call.get('task')} run {call.get('run')} to "
                        f"{now.id}, born {now.born}")
        await job_platform.BackendServer.handle(now, method, path, {}, headers, body)

    async def replace_machine(self, machine, pool, after_s):
        """The server of a machine ends for good, and its address goes to another service."""
        entry = self.machines[machine]
        entry["state"] = "down"
        entry["server"].crash()
        entry["server"], entry["server_id"] = None, None
        await asyncio.sleep(after_s)
        successor = f"m-{len(self.machines)}"
        self.machines[successor] = {"pool": pool, "state": "up", "server": None, "upkeep": 0}
        self.ports[successor] = self.ports[machine]
        await self.start_machine(successor)

    def machine_of(self, task):
        """The machine on which the task runs now, or None."""
        for server_id, _ in self.oracle.running.get(task, ()):
            for machine, entry in self.machines.items():
                if entry["server"] and entry["server"].id == server_id:
                    return machine
        return None

    # The operator.

    def configure(self, services):
        queue = {"name": "rosters", "host": HOST, "prefix": PREFIX, "service": services[0],
                 "attempts": ATTEMPTS, "stretch": 1.6, "slo-ms": 600, "priority": 0}
        self.store.put(("op", "", "config"), json.dumps({
            "version": 1, "routes": [queue], "limits": {},
            "services": [{"name": s, "rejects-overload": True} for s in services]
            + ([{"name": self.spare_pool, "spare": True, "rejects-overload": True}]
               if self.has_spare_pool else [])}))

    # The entry instances.

    async def start_entries(self, count):
        for _ in range(count):
            await self.add_entry()
        await self.until("all entry instances are ready", self.all_ready, 20)

    async def add_entry(self):
        command = next(line for line in (ROOT / "deploy/system.toml").read_text().splitlines()
                       if line.startswith("run = ")).split('"')[1]
        self.entries.append(Entry(self, len(self.entries), shlex.split(command)))
        await self.entries[-1].start()
        return self.entries[-1]

    def leader(self):
        """The running entry instance that leads, or None."""
        leaders = [e for e in self.entries if not e.is_lost and e.is_leader()]
        return leaders[0] if len(leaders) == 1 else None

    async def all_ready(self):
        replies = [await request(e.ready, "GET", "/readyz") for e in self.entries]
        return all(status == 200 for status, _ in replies)

    # Clients.

    async def send(self, entry, method, path, body=None, timeout_s=3.0):
        status, reply = await request(entry.callers, method, path, body, timeout_s,
                                      {"Host": HOST, "X-Deadline-Ms": str(int(timeout_s * 1000))})
        self.record.add("client", f"{method} {path} at {entry.name}: {status} {json.dumps(reply)}")
        return status, reply

    async def submit(self, steps, duration_s, entry=None):
        self.next_job += 1
        job = f"{self.next_job:016x}"
        body = {"spec": f"text of {job}", "steps": steps}
        self.oracle.jobs[job] = {"steps": steps, "spec": body["spec"]}
        self.durations[job] = duration_s
        first = self.entries.index(entry) if entry else 0
        usable = [e for e in self.entries[first:] + self.entries[:first] if not e.is_lost]
        for attempt in range(1 + RETRIES):
            status, _ = await self.send(usable[attempt % len(usable)], "POST", PREFIX + job, body)
            if status == 200:
                return job
            await asyncio.sleep(1)
        raise CannotRun(f"job {job} was not accepted: {status}")

    async def state(self, job):
        for entry in (e for e in self.entries if not e.is_lost):
            status, reply = await self.send(entry, "GET", PREFIX + job)
            if status == 200:
                return reply["state"]
        return None

    async def until(self, what, test, limit_s):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            value = test()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.05)
        raise CannotRun(f"not within {limit_s} s: {what}")


class Entry:
    def __init__(self, world, number, command):
        self.world, self.name = world, f"edge-{ZONES[number % 3]}-{number // 3 + 1}"
        self.command, self.process, self.is_lost = command, None, False
        # An address of its own for each instance, since the command names a fixed metrics port.
        pid = os.getpid()
        for attempt in range(50):
            self.ip = f"127.{40 + (pid + attempt) % 80}.{1 + pid // 80 % 250}.{10 + number}"
            if is_free(self.ip, 9464):
                break
        callers, ready, internal = free_ports(self.ip, 3)
        self.callers, self.ready = f"{self.ip}:{callers}", f"{self.ip}:{ready}"
        self.settings = world.folder_tmp / f"{self.name}.yaml"
        self.settings.write_text(SETTINGS.format(
            name=self.name, ip=self.ip, zone=ZONES[number % 3], callers=callers, ready=ready,
            internal=internal, advice=f"127.0.0.1:{world.advice.port}",
            store=f"127.0.0.1:{world.store.http.port}", cloud=f"127.0.0.1:{world.cloud.port}"))
        self.log = world.folder_tmp / f"{self.name}.log"

    async def start(self):
        self.world.record.add(self.name, "is started")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                     "LANG": "C", "POLLENSPOOL_NODE_FILE": str(self.settings)})

    def is_leader(self):
        events = [line for line in self.log.read_text().splitlines()
                  if '"TermWon"' in line or '"TermLost"' in line or '"TermSeen"' in line]
        return bool(events) and '"TermWon"' in events[-1]

    def lose(self):
        """The machine is lost for good: it falls silent, and its connections stay open."""
        self.world.record.add(self.name, "is lost for good")
        self.is_lost = True
        self.process.send_signal(signal.SIGSTOP)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.world.record.add(self.name, "is killed")
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    """The scenario could not be set up."""


def is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


def free_ports(ip, count):
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


async def request(address, method, path, body=None, timeout_s=3.0, headers=None):
    """Sends one request on a new connection. Returns (status, JSON), or (0, reason)."""
    host, port = address.split(":")
    data = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(data)}",
             "Content-Type: application/json"]
    lines += [f"{k}: {v}" for k, v in {"Host": address, **(headers or {})}.items()]

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            return await reader.read()
        finally:
            writer.close()

    try:
        reply = await asyncio.wait_for(exchange(), timeout_s)
        head, _, content = reply.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), json.loads(content) if content else {}
    except (OSError, asyncio.TimeoutError, ValueError, IndexError) as error:
        return 0, str(error) or type(error).__name__


async def run(folder, scenario, entries, options):
    with tempfile.TemporaryDirectory(prefix="pollenspool-review-") as temporary:
        world = World(folder, **options)
        world.folder_tmp = pathlib.Path(temporary)
        try:
            await world.start()
            world.configure([*options["pools"].split(","), *world.other_services])
            await world.start_entries(entries)
            breaches = await asyncio.wait_for(scenario(world), TIME_LIMIT_S)
        except (CannotRun, asyncio.TimeoutError) as error:
            world.record.add("script", f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            for entry in world.entries:
                await entry.kill()
            if os.environ.get("KEEP_LOGS"):
                for entry in world.entries:
                    target = pathlib.Path(os.environ["KEEP_LOGS"]) / entry.log.name
                    target.write_bytes(entry.log.read_bytes())
        for breach in breaches:
            world.record.add("script", f"broken: {breach}")
            print(f"broken: {breach}")
        world.record.add("script", "broken" if breaches else "held")
        print("broken" if breaches else "held")
        return BROKEN if breaches else HELD


def main(scenario, entries=3, **options):
    folder = pathlib.Path(sys.argv[1]).resolve()
    if not (ROOT / "target/pollenspool-entry").exists():
        print("could not run: target/pollenspool-entry is not built")
        sys.exit(NOT_RUN)
    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(run(folder, scenario, entries, options))
    sys.stdout.flush()
    # The stand-ins still wait for calls; ending the loop would print their cancellations.
    os._exit(code)
