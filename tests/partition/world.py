"""A stand-in of the platform in three data centres, of which one can be cut off.

It extends the project's stand-in (standins/jobs/job_platform.py): each data centre reaches the
store, the instance service and each backend server by a link of its own, servers keep their
address when they start again under their ID, and a server's registration goes after three
missed heartbeats, also if the server is only cut off.
"""
import argparse
import asyncio
import base64
import contextlib
import json
import random
import time

from job_platform import CAPACITY, BackendServer, Http, SimulatedPlatform
from proxy import Link

ZONES = ("z0", "z1", "z2")
POOLS = ("desk", "annex")
HOST = "jobs.example"
ATTEMPTS = 4
SERVER_COUNT, SPARE_COUNT = 12, 3
HEARTBEAT_S = 1.0
MISSED_HEARTBEATS = 3
# As hold-max-ms of the entry instances.
MAX_LEASE_MS = 10000


class CutLink(Link):
    """A link that holds what it is given during a cut and delivers or discards it then."""

    def __init__(self, target):
        super().__init__(target)
        self.discards = 0

    def cut(self):
        self.set("silent")

    def heal(self, delivers):
        if not delivers:
            self.discards += 1
            self.set("reset")
        self.set("ok")

    async def serve(self, reader, writer):
        discards = self.discards
        await self.unblocked.wait()
        if discards != self.discards:
            return writer.transport.abort()
        await super().serve(reader, writer)


class StoreOfZone:
    """The store as one data centre sees it: servers are registered at the addresses of the
    links by which the data centre reaches them."""

    def __init__(self, world, zone):
        self.world, self.zone, self.http = world, zone, Http(self.handle)

    async def handle(self, *request):
        reply = await self.world.store.handle(*request)
        if reply is None or not isinstance(reply[1], dict) or "rows" not in reply[1]:
            return reply
        return reply[0], {**reply[1], "rows": [self.translate(r) for r in reply[1]["rows"]]}

    def translate(self, row):
        if row["table"] != "servers" or not row.get("value"):
            return row
        value = json.loads(base64.b64decode(row["value"]))
        value["addr"] = self.world.hosts[value["addr"]].links[self.zone].address
        return {**row, "value": base64.b64encode(json.dumps(value).encode()).decode()}


class Host:
    """Address of a server ID. It passes each call on to the incarnation that runs now."""

    def __init__(self, zone):
        self.zone, self.server, self.links = zone, None, {}
        self.http = Http(self.handle)

    async def handle(self, *request):
        return await self.server.handle(*request)

    async def start(self, cut_zone):
        await self.http.start()
        for zone in ZONES:
            self.links[zone] = await CutLink(f"127.0.0.1:{self.http.port}").start()
            if (zone == cut_zone) != (self.zone == cut_zone):
                self.links[zone].cut()


class Server(BackendServer):
    """One incarnation of a backend server that sends heartbeats."""

    def __init__(self, world, machine, pool, server_id=None):
        super().__init__(world, machine, pool, server_id)
        self.zone, self.sequence = world.zone_of(machine), 0

    async def start(self):
        self.address = self.id
        if self.id not in self.world.hosts:
            host = Host(self.zone)
            await host.start(self.world.cut_zone)
            self.world.hosts[self.id] = host
        self.world.hosts[self.id].server = self
        asyncio.ensure_future(self.execute_runs())
        asyncio.ensure_future(self.send_heartbeats())

    async def send_heartbeats(self):
        last = time.monotonic()
        while not self.dead:
            if self.zone != self.world.cut_zone:
                self.register()
                last = time.monotonic()
            elif time.monotonic() > last + MISSED_HEARTBEATS * HEARTBEAT_S:
                self.unregister()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self.sequence += 1
        self.world.store.put(("servers", "", self.id), json.dumps({
            "service": self.pool, "addr": self.address, "zone": self.zone, "state": "ready",
            "capacity": CAPACITY, "labels": ["a", "r1"], "machine": self.machine,
            "born": self.born, "sequence": self.sequence}))

    async def execute_order(self, path, call):
        if call.get("deadline-ms"):
            call["deadline-ms"] = min(call["deadline-ms"], self.clock() + MAX_LEASE_MS)
        return await super().execute_order(path, call)

    def is_idle(self):
        """Whether no run is left, and each end has been acknowledged."""
        return not self.dead and not self.runs and not self.unacknowledged_ends

    async def crash(self, offline_s):
        """The process ends and starts again under its ID; its entry may go in between."""
        self.terminate(unregister=False)
        await asyncio.sleep(offline_s)
        entry = self.world.machines[self.machine]
        if offline_s > MISSED_HEARTBEATS * HEARTBEAT_S:
            self.unregister()
        if entry["server"] is self and entry["state"] == "up":
            entry["server"] = Server(self.world, self.machine, self.pool, self.id)
            await entry["server"].start()


class World(SimulatedPlatform):
    def __init__(self, seed, record):
        super().__init__(argparse.Namespace(seed=seed, servers=SERVER_COUNT, spare=SPARE_COUNT,
                                            pools=",".join(POOLS), advice=False))
        self.record, self.hosts, self.entry_links = record, {}, {}
        self.cut_zone, self.is_cloud_cut, self.moved = None, False, []
        self.seed, self.fixed_durations_s = seed, {}

    @staticmethod
    def zone_of(machine):
        return ZONES[int(machine.split("-")[1]) % len(ZONES)]

    def duration_s(self, task):
        fixed = self.fixed_durations_s.get(task.split(".")[0])
        return fixed or random.Random(f"{self.seed} {task}").uniform(0.2, 1.5)

    async def start(self):
        await super().start()
        self.configure()
        for zone in ZONES:
            store = StoreOfZone(self, zone)
            await store.http.start()
            self.entry_links[zone] = {
                name: await CutLink(f"127.0.0.1:{port}").start() for name, port in
                (("store", store.http.port), ("cloud", self.cloud.port),
                 ("advice", self.advice.port))}

    async def start_machine(self, machine):
        entry = self.machines[machine]
        entry["state"], entry["server"] = "up", None
        if entry["pool"] != self.spare_pool:
            entry["server"] = Server(self, machine, entry["pool"])
            await entry["server"].start()

    async def handle(self, method, path, query, headers, body):
        status, value = await super().handle(method, path, query, headers, body)
        for listed in value.get("machines", []):
            listed["zone"] = self.zone_of(listed["machine"])
        if path == "/machine-move":
            self.moved.append(json.loads(body)["machine"])
            self.record(f"move {body.decode()} -> {status} {value}")
        return status, value

    def configure(self):
        queue = {"host": HOST, "attempts": ATTEMPTS, "stretch": 2.0, "slo-ms": 600,
                 "priority": 0, "no-auth": True}
        self.store.put(("op", "", "config"), json.dumps({
            "version": 3, "routes": [{**queue, "name": pool, "prefix": f"/{pool}/",
                                      "service": pool} for pool in POOLS],
            "services": [*({"name": pool, "rejects-overload": True} for pool in POOLS),
                         {"name": self.spare_pool, "spare": True}]}))

    def servers(self, is_near=None, pool=None):
        """The servers that run, of the cut data centre, of the others (is_near) or of all."""
        return [e["server"] for e in self.machines.values()
                if e["server"] and not e["server"].dead and e["state"] == "up"
                and is_near in (None, e["server"].zone == self.cut_zone)
                and pool in (None, e["server"].pool)]

    def crossing_links(self, zone):
        """The links between the servers of the zone and the entry instances of the others."""
        return [link for host in self.hosts.values() for other, link in host.links.items()
                if (other == zone) != (host.zone == zone)]

    def reset_store_links(self, is_reset):
        for links in self.entry_links.values():
            links["store"].set("reset" if is_reset else "ok")

    def cut(self, zone, cuts_cloud):
        self.record(f"cuts {zone} off, cloud API {'too' if cuts_cloud else 'reachable'}")
        self.cut_zone, self.is_cloud_cut = zone, cuts_cloud
        own = self.entry_links[zone]
        for link in [own["store"], *([own["cloud"]] if cuts_cloud else []),
                     *self.crossing_links(zone)]:
            link.cut()

    def heal(self, delivers):
        self.record(f"heals, orders held are {'delivered' if delivers else 'lost'}")
        zone, self.cut_zone = self.cut_zone, None
        own = self.entry_links[zone]
        for link in [own["store"], *([own["cloud"]] if self.is_cloud_cut else []),
                     *self.crossing_links(zone)]:
            link.heal(delivers)

    @contextlib.contextmanager
    def resetting(self):
        """Resets all connections to the store and refuses new ones."""
        self.reset_store_links(True)
        try:
            yield
        finally:
            self.reset_store_links(False)
