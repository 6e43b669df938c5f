#!/usr/bin/env python3
"""Benchmark of the request path with real processes: request_path.py [BUILD]

Compares load sent through the entry instances with the same load sent directly to
the backend servers: added latency, and goodput and start latency of urgent requests
at 1/20, 1 and 5 times the mean rate and at saturation. Also measures CPU, memory
and peer traffic of an idle entry instance. Ratios compare results of the same run.
"""
import json
import pathlib
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

from demo import Demo, get, wait_for  # noqa: E402

INSTANCES = 8
WORK_MS = 50
SLOTS = 8
POOL_INSTANCES = 4
CAPACITY_PER_S = POOL_INSTANCES * SLOTS * 1000 / WORK_MS
MEAN_PER_S = CAPACITY_PER_S * 0.6
IDLE_SECONDS = 15
CONFIGURATION = """customer: bench
data_centres: [{name: a, region: r}]
pools:
  - {name: work, instances: 4, promised: 2, availability_budget: 1}
  - {name: rest, instances: 4, promised: 1, availability_budget: 1, spare: true}
services:
  - {name: work, pool: work, class: normal, timeout_ms: 3000}
"""


class Bench(Demo):
    """One data centre with two entry instances and load on one of its two pools."""

    def __init__(self, build):
        super().__init__(build, "bench", ["a"], ["work"], "work", "rest", 5)

    def settings(self, index):
        return super().settings(index).replace("poll_ms: 400, ", "")

    def start_all(self):
        self.start("platform", self.build / "standin-platform", "--listen", self.host(1, 7000))
        wait_for(lambda: get(self.host(1, 7000), "/v1/instances") is not None)
        self.start("backend", self.build / "standin-backend", "--control", self.host(10, 7000),
                   "--instances", INSTANCES, "--id-prefix", "a-", "--data-centre", "a",
                   "--work-ms", WORK_MS, "--register", self.host(1, 7000))
        wait_for(lambda: len(get(self.host(1, 7000), "/v1/instances")["instances"]) == INSTANCES)
        for index in range(2):
            self.start_entry(index)
        path = self.folder / "document.yaml"
        path.write_text(CONFIGURATION)
        wait_for(lambda: self.tool("apply", path)[0] == 0)
        wait_for(lambda: all(len((get(self.host(20 + i, 8002), "/status") or {"instances": []})["instances"])
                             == INSTANCES for i in range(2)))

    def load(self, name, rate, seconds, direct):
        report = self.folder / f"{name}.json"
        command = [self.build / "standin-load", "--seed", 11, "--seconds", seconds, "--rate", rate,
                   "--service", "work", "--class-mix", "0.2,0.6,0.2", "--repeatable-share", "1",
                   "--deadline-ms", "3000", "--max-in-flight", "4000", "--report", report,
                   "--backend-control", self.host(10, 7000)]
        if direct:
            command.append("--direct")
        for address in self.pool_addresses() if direct else [self.host(20 + i, 8000) for i in range(2)]:
            command += ["--entry", address]
        self.start(name, *command).wait()
        return json.loads(report.read_text())

    def pool_addresses(self):
        pool = {row["id"] for row in get(self.host(20, 8002), "/status")["instances"] if row["pool"] == "work"}
        return [i["address"] for i in get(self.host(1, 7000), "/v1/instances")["instances"] if i["id"] in pool]

    def usage(self):
        with urllib.request.urlopen(f"http://{self.host(20, 8002)}/metrics", timeout=5) as reply:
            lines = reply.read().decode().splitlines()
        metric_names = ("pollenspool_cpu_seconds_total", "pollenspool_resident_bytes",
                        "pollenspool_peer_wire_bytes_out_total", "pollenspool_peer_wire_bytes_in_total")
        return {line.split()[0]: float(line.split()[1]) for line in lines if line.split()[0] in metric_names}

    def print_idle_cost(self):
        before = self.usage()
        begin = time.monotonic()
        time.sleep(IDLE_SECONDS)
        after = self.usage()
        elapsed = time.monotonic() - begin
        rate = {key: (after[key] - before[key]) / elapsed for key in before}
        peers = rate["pollenspool_peer_wire_bytes_out_total"] + rate["pollenspool_peer_wire_bytes_in_total"]
        print(f"idle entry instance: {100 * rate['pollenspool_cpu_seconds_total']:.2f}% of a core, "
              f"{after['pollenspool_resident_bytes'] / 2**20:.1f} MB, "
              f"{peers / 1024:.2f} KB/s with peers (platform reads not counted)")


def print_report(name, report, seconds):
    urgent = report["start_latency_ms"].get("urgent", {})
    normal = report["latency_ms"].get("normal", {})
    good = report["answered_ok"] / seconds
    print(f"{name:28} sent {report['sent']:6} good/s {good:7.1f} refused {sum(report['refused'].values()):6} "
          f"unknown {sum(report['unknown'].values()):5} lost {report['lost']:4} p50 {normal.get('p50')} "
          f"p99 {normal.get('p99')} ms, urgent start p99 {urgent.get('p99')} ms, "
          f"send lag {report['max_send_lag_ms']} ms")
    return good


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ROOT / "build").resolve()
    bench = Bench(build)
    seconds = 6
    try:
        bench.start_all()
        bench.print_idle_cost()
        print(f"capacity of the pool {CAPACITY_PER_S:.0f}/s, mean {MEAN_PER_S:.0f}/s, seed 11, {seconds} s each")
        goodput_per_s = {}
        for name, rate in (("1/20 of the mean", MEAN_PER_S / 20), ("mean", MEAN_PER_S),
                           ("saturation", CAPACITY_PER_S * 1.1), ("5 times the mean", MEAN_PER_S * 5)):
            for route, direct in (("direct", True), ("entry", False)):
                report = bench.load(f"{route}-{int(rate)}", int(rate), seconds, direct)
                goodput_per_s[name, route] = print_report(f"{name}, {route}", report, seconds)
        for route in ("direct", "entry"):
            ratio = goodput_per_s["5 times the mean", route] / goodput_per_s["saturation", route]
            print(f"goodput at 5 times the mean over that at saturation, {route}: {ratio:.2f}")
    finally:
        bench.stop()


if __name__ == "__main__":
    main()
