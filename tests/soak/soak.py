#!/usr/bin/env python3
"""Soak test: random faults around real entry instances, checked from the outside.

  soak.py BUILD_DIR --seed N [--seconds S] [--keep DIR]

Each entry instance is a process. The platform stand-in, the clients and a loopback proxy
for each link run in this process. Faults are injected sequentially and concurrently:
links that are delayed, stalled, cut in one direction or reset; processes that are
killed, paused, terminated or reloaded; a store that is down, slow, loses answers,
applies writes late or forgets its history; backend servers that crash, hang, fail tasks
or execute orders late; new configurations and maintenance waves. With some seeds the
configuration is large and changes in series, and links are narrow. After the faults, every
accepted job must end. Clocks and storage have no faults: an entry instance has no disk,
and only the machine's owner may set the clock.
"""
import argparse
import asyncio
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent), str(HERE.parent.parent / "standins/jobs")]
import jobs_check  # noqa: E402
from organisations import Organisations, RevokedKeyCheck  # noqa: E402
from configuration import (ConfigCheck, ConfigStorms, STORE_RATES, bulk_routes,
                           version_route)  # noqa: E402
from clients import FINAL, Client, HOST  # noqa: E402
from job_platform import BackendServer, SimulatedPlatform  # noqa: E402
from proxy import Link  # noqa: E402
from waiting import WaitingCheck, WaitingClient  # noqa: E402

ENTRY_COUNT = 3
CLIENT_COUNT = 4
SERVER_COUNT, SPARE_COUNT = 4, 2
# Maximum number of concurrent faults.
INJECTOR_COUNT = 3
# Bounds the slowest end of a job after the last fault: the lease of a removed server
# (5 s), the timeout for an earlier leader (10.6 s) and the work itself.
SETTLE_TIMEOUT_S = 60
READY_TIMEOUT_S = 20
# After this time, leases and timeouts of earlier leaders and servers have expired.
QUIET_PERIOD_S = 12


class SoakPlatform(SimulatedPlatform):
    """The platform stand-in with a proxy link in front of each backend server."""

    def __init__(self, seed, is_advised):
        super().__init__(argparse.Namespace(seed=seed, servers=SERVER_COUNT, spare=SPARE_COUNT,
                                            pools="desk", advice=is_advised))
        self.links = {}

    async def publish(self, address):
        link = self.links[address] = await Link(address).start()
        return link.address

    def link_of(self, server):
        return self.links[f"127.0.0.1:{server.http.port}"]

    def servers(self):
        return [e["server"] for e in self.machines.values()
                if e["server"] and e["server"].address and not e["server"].dead]

    def write(self, key, value):
        self.store.put(("op", "", key), json.dumps(value))


class Soak:
    ATTEMPTS = 3

    def __init__(self, build, seed, folder):
        self.build, self.folder = build, folder
        self.rng = random.Random(seed)
        self.world = SoakPlatform(seed, is_advised=seed % 3 == 0)
        self.entries, self.links, self.clients = [], [], []
        self.is_submitting, self.is_injecting = True, True
        self.version, self.changed_at, self.waves = 1, 0.0, 0
        # Every fifth seed has a large configuration.
        self.bulk = bulk_routes() if seed % 5 == 1 else []
        self.injected = []
        self.seed, self.waiting_check, self.key_check = seed, None, None
        self.config_check = None
        # Every second seed has organisations.
        self.organisations = Organisations(random.Random(f"organisations {seed}")) \
            if seed % 2 == 0 else None

    async def start(self):
        await self.world.start()
        self.configure()
        for number in range(ENTRY_COUNT):
            links = {}
            for name, port in (("store", self.world.store.http.port),
                               ("cloud", self.world.cloud.port),
                               ("advice", self.world.advice.port)):
                rate = STORE_RATES[number] if self.bulk and name == "store" else None
                links[name] = await Link(f"127.0.0.1:{port}", rate).start()
            self.links.append(links)
            self.entries.append(jobs_check.Entry(
                self.build, self.folder, number,
                {name: link.address for name, link in links.items()}))
            self.entries[-1].start()
        try:
            await self.until("all entry instances are ready", READY_TIMEOUT_S, self.are_ready)
        except AssertionError as error:
            last = "".join(f"\n{e.name} {'up' if e.is_up() else 'ended'}: {e.last_line()}"
                           for e in self.entries)
            raise AssertionError(f"{error}{last}") from error

    def configure(self):
        self.version += self.rng.randint(1, 3)
        advice = {"advice": {"decide-ms": 5, "each-ms": 1, "valid-ms": 3000}}
        routes = [{"name": "asks", "host": HOST, "prefix": "/asks/", "service": "desk",
                   "attempts": self.ATTEMPTS, "stretch": 2.0, "slo-ms": 600, "priority": 0,
                   **(advice if self.world.is_advised else {})}]
        routes += [{"name": f"more-{n}", "host": HOST, "prefix": f"/more-{n}/",
                    "service": "desk", "attempts": 1, "stretch": 1.0, "slo-ms": 600}
                   for n in range(self.version % 5)]
        routes += [version_route(self.version), *self.bulk]
        organisations = {}
        if self.organisations:
            revoked = self.organisations.change()
            organisations = {"tenants": self.organisations.describe()}
        self.world.write("config", {
            "version": self.version, "routes": routes, **organisations,
            "services": [{"name": "desk", "rejects-overload": True},
                         {"name": "spare", "spare": True}]})
        self.changed_at = time.monotonic()
        if self.organisations:
            self.organisations.revoked.append((time.monotonic(), revoked))
            for name, cap in self.organisations.caps.items():
                self.world.oracle.on_cap(name, cap)

    def any_key(self):
        return self.organisations.key_of(self.organisations.names[0]) \
            if self.organisations else None

    def organisation_of(self, client):
        names = self.organisations.names if self.organisations else [None]
        return names[client % len(names)]

    async def is_ready(self, entry):
        return (await asyncio.to_thread(jobs_check.call, entry.ready, "GET", "/readyz"))[0] == 200

    async def are_ready(self):
        return all([await self.is_ready(e) for e in self.entries])

    async def until(self, what, timeout_s, test):
        deadline = time.monotonic() + timeout_s
        while not await test():
            if time.monotonic() > deadline:
                raise AssertionError(f"timeout after {timeout_s} s: {what}")
            await asyncio.sleep(0.1)

    # Faults. Each is injected, held for `wait` seconds where it has a duration, and
    # removed. Several may be active at a time.

    @staticmethod
    def restart_if_ended(entry):
        """Restarts the entry instance unless another fault has already done so."""
        if entry.process.poll() is not None:
            entry.start()

    async def kill(self, wait):
        entry = self.rng.choice(self.entries)
        if entry.process.poll() is None:
            entry.kill()
            await asyncio.sleep(wait)
            self.restart_if_ended(entry)

    async def kill_all(self, wait):
        down = [e for e in self.entries if e.process.poll() is None]
        for entry in down:
            entry.kill()
        await asyncio.sleep(wait / 3)
        for entry in down:
            self.restart_if_ended(entry)

    async def pause(self, wait):
        process = self.rng.choice(self.entries).process
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(wait)
            process.send_signal(signal.SIGCONT)

    async def terminate(self, wait):
        entry = self.rng.choice(self.entries)
        process = entry.process
        if process.poll() is None:
            entry.is_terminating = True
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                await asyncio.sleep(0.05)
            entry.is_terminating = False
            self.restart_if_ended(entry)

    async def reload(self, wait):
        process = self.rng.choice(self.entries).process
        if process.poll() is None:
            process.send_signal(signal.SIGHUP)

    async def fault_link(self, link, wait):
        mode = self.rng.choice(("delay", "silent", "drop-answers", "reset"))
        link.set(mode, self.rng.uniform(0.02, 0.6))
        await asyncio.sleep(wait)
        link.set("ok")

    async def fault_entry_link(self, wait):
        links = self.rng.choice(self.links)
        await self.fault_link(self.rng.choice((links["store"], links["store"], links["cloud"],
                                               links["advice"])), wait)

    async def fault_server_link(self, wait):
        servers = self.world.servers()
        if servers:
            await self.fault_link(self.world.link_of(self.rng.choice(servers)), wait)

    async def isolate_entry(self, wait):
        """Stalls all outgoing links of one entry instance."""
        links = self.rng.choice(self.links)
        for link in links.values():
            link.set("silent")
        await asyncio.sleep(wait)
        for link in links.values():
            link.set("ok")

    async def fault_store(self, wait):
        self.world.store.mode = self.rng.choice(("down", "slow", "lost", "late"))
        await asyncio.sleep(wait)
        self.world.store.mode = "ok"

    async def forget_history(self, wait):
        self.world.store.forget_history()

    async def fault_server(self, wait):
        servers = self.world.servers()
        if not servers:
            return
        server = self.rng.choice(servers)
        fault = self.rng.choice(("hangs", "fails", "late"))
        setattr(server, fault, True)
        await asyncio.sleep(wait)
        setattr(server, fault, False)

    async def crash_server(self, wait):
        servers = self.world.servers()
        if not servers:
            return
        server = self.rng.choice(servers)
        entry = self.world.machines[server.machine]
        server.terminate(unregister=False)
        self.world.link_of(server).set(self.rng.choice(("silent", "reset")))
        # The server either restarts at another address under its old ID, or its
        # registration is removed, as after missed heartbeats, and a new server with another
        # ID starts.
        await asyncio.sleep(wait)
        if entry["server"] is not server:
            return
        keeps_id = self.rng.random() < 0.5
        if not keeps_id:
            server.unregister()
        entry["server"] = BackendServer(self.world, server.machine, entry["pool"],
                                 server.id if keeps_id else None)
        await entry["server"].start()

    async def change_config(self, wait):
        for _ in range(self.rng.randint(1, 4)):
            self.configure()
            await asyncio.sleep(0.2)

    async def start_wave(self, wait):
        self.waves += 1
        machines = sorted(self.world.machines)
        self.world.write(f"wave/{self.waves}", {
            "wave": self.waves, "complete-by-s": 15, "cap": 2,
            "machines": self.rng.sample(machines, self.rng.randint(1, len(machines)))})

    FAULTS = (kill, kill, kill_all, pause, pause, terminate, reload, fault_entry_link,
              fault_entry_link, fault_server_link, fault_server_link, isolate_entry, fault_store,
              fault_store, forget_history, fault_server, fault_server, crash_server,
              crash_server, change_config, start_wave)

    async def inject(self):
        while self.is_injecting:
            await asyncio.sleep(self.rng.uniform(0.1, 2.5))
            fault = self.rng.choice(self.FAULTS)
            self.injected.append(f"{time.monotonic():.3f} {fault.__name__}")
            await fault(self, self.rng.uniform(0.2, 4))

    async def silence_open_connections(self):
        """From time to time all open connections to the servers fall silent, and at times those
        of an entry instance to the platform."""
        rng = random.Random(f"forgotten {self.seed}")
        while self.is_injecting:
            await asyncio.sleep(rng.uniform(1, 5))
            for server in self.world.servers():
                self.world.link_of(server).silence_open_connections()
            if rng.random() < 0.3:
                for link in rng.choice(self.links).values():
                    link.silence_open_connections()
            self.injected.append(f"{time.monotonic():.3f} silence_open_connections")

    async def end_faults(self, injectors):
        self.is_injecting = self.is_submitting = False
        await asyncio.gather(*injectors)
        self.world.store.mode = "ok"

    def unfinished(self):
        """Returns the accepted jobs that have not ended."""
        return [job for client in self.clients for job, known in client.jobs.items()
                if known["state"] not in FINAL]

    async def settle(self):
        await self.until("all entry instances are ready", READY_TIMEOUT_S, self.are_ready)

        async def all_jobs_ended():
            return not self.unfinished()
        try:
            await self.until("all jobs have ended", SETTLE_TIMEOUT_S, all_jobs_ended)
        except AssertionError as error:
            raise AssertionError(f"{error}: {self.unfinished()[:5]}") from None
        await asyncio.gather(*(f for client in self.clients for f in client.follow_tasks))
        await asyncio.wait_for(
            asyncio.gather(*(client.cancel_unsure() for client in self.clients)),
            SETTLE_TIMEOUT_S)
        if self.has_waiting_jobs() and not self.waiting_check.judged:
            raise AssertionError("no instance in touch gave the number of waiting jobs")
        await asyncio.sleep(QUIET_PERIOD_S)
        for name, task in self.world.oracle.tasks.items():
            if task.running:
                self.world.oracle.report_violation("UNASKED", name, "still runs after its job has ended")

    def has_waiting_jobs(self):
        """Whether some jobs wait until they are cancelled. While there are any, no machine
        leaves the pool, so most seeds have none."""
        return self.seed % 3 == 1

    async def run_soak(self, seconds):
        await self.start()
        self.clients = [Client(self, random.Random(self.rng.random()), self.organisation_of(n))
                        for n in range(CLIENT_COUNT)]
        if self.has_waiting_jobs():
            self.clients.append(WaitingClient(self, random.Random(f"waiting {self.seed}"),
                                              self.organisation_of(0)))
        self.waiting_check = WaitingCheck(self)
        asker = asyncio.ensure_future(self.waiting_check.run())
        self.key_check = RevokedKeyCheck(self, self.waiting_check.in_touch)
        prober = asyncio.ensure_future(self.key_check.run()) if self.organisations else None
        self.config_check = ConfigCheck(self, self.waiting_check.in_touch)
        config_asker = asyncio.ensure_future(self.config_check.run())
        callers = [asyncio.ensure_future(c.run()) for c in self.clients]
        injectors = [asyncio.ensure_future(self.inject()) for _ in range(INJECTOR_COUNT)]
        injectors.append(asyncio.ensure_future(self.silence_open_connections()))
        if self.bulk:
            injectors.append(asyncio.ensure_future(
                ConfigStorms(self, random.Random(f"storms {self.seed}")).run()))
        await asyncio.sleep(seconds)
        await self.end_faults(injectors)
        await asyncio.gather(*callers)
        await self.settle()
        self.waiting_check.stop()
        self.key_check.stop()
        self.config_check.stop()
        await asker
        await config_asker
        if prober:
            await prober
        jobs = sum(len(c.jobs) for c in self.clients)
        states = [k["state"] for c in self.clients for k in c.jobs.values()]
        return (f"{jobs} jobs accepted, {states.count('completed')} completed, "
                f"{states.count('cancelled')} cancelled, {states.count('failed')} failed; "
                f"{len(self.injected)} faults, {self.waiting_check.judged} counts of waiting "
                f"jobs, {self.key_check.judged} answers to revoked keys and "
                f"{self.config_check.judged} answers by the newest configuration checked")

    def close(self):
        # Pending tasks of the stand-in are cancelled when the event loop closes; their
        # exceptions are not reported.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for check in (self.waiting_check, self.key_check, self.config_check):
            if check:
                check.stop()
        for entry in self.entries:
            if entry.process and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.kill()


async def run_soak(options, folder):
    soak = Soak(pathlib.Path(options.build).resolve(), options.seed, folder)
    failure = None
    try:
        result = await soak.run_soak(options.seconds)
    except AssertionError as error:
        failure = str(error)
    finally:
        soak.close()
    breaches = soak.world.oracle.breaches
    if not failure and not breaches:
        print(f"soak: ok seed {options.seed}: {result}")
        return 0
    for line in ([failure] if failure else []) + breaches[:10]:
        print(f"soak: FAILED seed {options.seed}: {line}")
    print("faults: " + "; ".join(soak.injected))
    return 1


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15, help="duration of the fault injection")
    parser.add_argument("--keep", help="folder for the logs of the entry instances")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        kept = pathlib.Path(options.keep or folder)
        kept.mkdir(parents=True, exist_ok=True)
        sys.exit(asyncio.run(run_soak(options, kept)))


if __name__ == "__main__":
    main()
