#!/usr/bin/env python3
"""Demonstrates a deployment of real processes for each customer's example document.

Starts the platform and backend stand-ins and four pollenspoold processes in two
data centres, sends a seeded load, applies a configuration change, kills one entry
instance, runs one move and one maintenance wave, and checks the load tool's oracle.
Usage: demo.py BUILD
"""
import concurrent.futures
import inspect
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = "demo-token"
SEED = 7
LOAD_SECONDS = 18
RATE = 200
TIMEOUT_S = 30
# Two data centres with 25 instances each: the example documents are for about 50.
INSTANCES_EACH = 25
POLL_S = 0.05


class Demo:
    """One customer's deployment."""

    def __init__(self, build, customer, centres, services, wave_pool, spare, number):
        self.build = build
        self.customer = customer
        self.centres = centres
        self.services = services
        self.wave_pool = wave_pool
        self.spare = spare
        self.prefix = f"127.{90 + number}.{1 + os.getpid() % 250}."
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="pollenspool-demo-"))
        self.children = []
        self.entries = []

    def host(self, number, port):
        return f"{self.prefix}{number}:{port}"

    def start(self, name, *command):
        log = open(self.folder / f"{name}.log", "w")
        child = subprocess.Popen([str(c) for c in command], stdout=log, stderr=log)
        self.children.append(child)
        return child

    def start_all(self):
        self.start("platform", self.build / "standin-platform", "--listen", self.host(1, 7000))
        wait_for(lambda: get(self.host(1, 7000), "/v1/instances") is not None)
        post(self.host(1, 7000), "/knobs", {"reboot_ms": 400, "list_lag_ms": 200})
        for index, centre in enumerate(self.centres):
            self.start(f"backend-{centre}", self.build / "standin-backend", "--control",
                       self.host(10 + index, 7000), "--instances", str(INSTANCES_EACH), "--id-prefix", f"{centre}-",
                       "--data-centre", centre, "--work-ms", "15", "--seed", SEED + index,
                       "--register", self.host(1, 7000))
        for index in range(4):
            self.start_entry(index)
        document = ROOT / "examples" / f"{self.customer}.yaml"
        wait_for(lambda: self.tool("apply", document)[0] == 0)
        wait_for(lambda: all(self.ready(i) for i in range(4)))

    def start_entry(self, index):
        path = self.folder / f"entry-{index}.yaml"
        path.write_text(self.settings(index))
        child = self.start(f"entry-{index}", self.build / "pollenspoold", "--config", path)
        if index < len(self.entries):
            self.entries[index] = child
        else:
            self.entries.append(child)

    def settings(self, index):
        lines = [f"name: {self.customer}-{index}", f"data_centre: {self.centre_of(index)}", "listen:"]
        for key, port in (("callers", 8000), ("peers", 8001), ("admin", 8002)):
            lines.append(f'  {key}: "{self.host(20 + index, port)}"')
        lines.append(f'platform: {{address: "{self.host(1, 7000)}"}}')
        lines.append(f"operators: {{token: {TOKEN}}}")
        lines.append(f"seed: {SEED + index}")
        lines.append("timings: {poll_ms: 400, list_lag_ms: 1000}")
        lines.append("log_level: warning")
        lines.append("entries:")
        for peer in range(2 * len(self.centres)):
            lines.append(f'  - {{address: "{self.host(20 + peer, 8001)}", '
                         f"data_centre: {self.centre_of(peer)}}}")
        return "\n".join(lines) + "\n"

    def centre_of(self, index):
        return self.centres[index // 2]

    def ready(self, index):
        status = get(self.host(20 + index, 8002), "/status")
        return (status is not None and len(status["instances"]) == INSTANCES_EACH * len(self.centres)
                and status_code(self.host(20 + index, 8000), "/healthz") == 200)

    def tool(self, *arguments):
        command = [self.build / "pollenspool"]
        for index in range(len(self.entries)):
            command += ["--entry", self.host(20 + index, 8002)]
        command += ["--token", TOKEN, *arguments]
        done = subprocess.run([str(c) for c in command], capture_output=True, text=True)
        return done.returncode, done.stdout + done.stderr

    def start_load(self):
        command = [self.build / "standin-load", "--seed", SEED, "--seconds", LOAD_SECONDS, "--rate", RATE,
                   "--profile", "peaks", "--peak-seconds", "3", "--repeat-unknown", "--repeatable-share", "0.6",
                   "--platform", self.host(1, 7000), "--report", self.folder / "report.json"]
        for index in range(4):
            command += ["--entry", self.host(20 + index, 8000)]
        for index in range(len(self.centres)):
            command += ["--backend-control", self.host(10 + index, 7000)]
        for service in self.services:
            command += ["--service", service]
        return self.start("load", *command)

    def change_document(self):
        text = (ROOT / "examples" / f"{self.customer}.yaml").read_text()
        path = self.folder / "changed.yaml"
        path.write_text(text.replace("max_attempts: 3", "max_attempts: 4"))
        begin = time.monotonic()
        code, output = self.tool("apply", path)
        if code != 0:
            raise SystemExit(f"demo: apply failed: {output}")
        wait_for(lambda: all(
            get(self.host(20 + i, 8002), "/status")["document"]["version"] == 2 for i in range(4)))
        return time.monotonic() - begin

    def move(self):
        begin = time.monotonic()
        code, output = self.tool("move", "1", self.spare, self.wave_pool)
        if code != 0:
            raise SystemExit(f"demo: move failed: {output}")
        wait_for(lambda: all(m["state"] == "done" for m in self.fleet()["moves"]))
        return time.monotonic() - begin

    def wave(self):
        begin = time.monotonic()
        code, output = self.tool("wave", "start", "pool", self.wave_pool, "3")
        if code != 0:
            raise SystemExit(f"demo: wave failed: {output}")
        wait_for(lambda: self.fleet()["waves"] and self.fleet()["waves"][-1]["state"] == "done",
                 lambda: self.fleet())
        return time.monotonic() - begin

    def fleet(self):
        return get(self.host(20, 8002), "/v1/fleet") or {"moves": [{"state": "?"}], "waves": []}

    def run(self):
        self.start_all()
        load = self.start_load()
        in_effect = self.change_document()
        moved = self.move()
        self.entries[3].send_signal(signal.SIGKILL)
        self.entries[3].wait()
        self.start_entry(3)
        rollout = self.wave()
        code = load.wait()
        report = json.loads((self.folder / "report.json").read_text())
        return {"customer": self.customer, "oracle": code, "sent": report["sent"],
                "answered": report["answered"], "refused": sum(report["refused"].values()),
                "unknown": sum(report["unknown"].values()), "lost": report["lost"],
                "ran_twice": report["ran_twice"], "not_run_but_ran": report["not_run_but_ran"],
                "wrong_answer": report["wrong_answer"], "cut_in_flight": report["cut_in_flight"],
                "late_work_on_leaving": report["late_work_on_leaving"],
                "in_force_s": round(in_effect, 2), "move_s": round(moved, 2), "rollout_s": round(rollout, 2)}

    def stop(self):
        for child in self.children:
            if child.poll() is None:
                child.kill()
                child.wait()


def wait_for(holds, seen=lambda: ""):
    """Waits until `holds` is true. On a timeout, the message includes the result of `seen`."""
    end = time.monotonic() + TIMEOUT_S
    while not holds():
        if time.monotonic() > end:
            raise SystemExit(f"demo: condition not met within {TIMEOUT_S} s: "
                             f"{inspect.getsource(holds).strip()} {seen()}")
        time.sleep(POLL_S)


def get(address, path):
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as reply:
            return json.load(reply)
    except (OSError, ValueError):
        return None


def status_code(address, path):
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as reply:
            return reply.status
    except OSError:
        return 0


def post(address, path, body):
    request = urllib.request.Request(f"http://{address}{path}", json.dumps(body).encode(),
                                     {"Content-Type": "application/json"})
    with urllib.request.urlopen(request, timeout=5):
        pass


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve()
    demos = [
        Demo(build, "sramik", ["howrah", "durgapur"], ["crew-desk", "roster-building", "swap-ledger", "site-board"],
             "crew-desk", "sundry", 0),
        Demo(build, "osei", ["accra", "kumasi"], ["wedding", "durbar", "launch", "corporate"],
             "wedding", "admin", 1),
    ]
    try:
        with concurrent.futures.ThreadPoolExecutor() as pool:
            rows = list(pool.map(Demo.run, demos))
    finally:
        for demo in demos:
            demo.stop()
    for key in rows[0]:
        print(f"{key:22}" + "".join(f"{str(row[key]):>14}" for row in rows))
    if all(row["oracle"] == 0 for row in rows):
        print("demo: ok")
        return 0
    print("demo: the oracle found broken rules; logs in " + ", ".join(str(d.folder) for d in demos))
    return 1


if __name__ == "__main__":
    sys.exit(main())
