#!/usr/bin/env python3
"""Runs jobs on real entry instances with a stand-in of the platform.

  jobs_check.py BUILD_DIR [--seed N]

Checks the behaviour that callers and backend servers observe: a job from submission to
completion, a repeated submission, a cancellation, a leader killed while jobs run, a
restart of all processes, a store outage, a maintenance wave, a clean shutdown and reloads.
The stand-in records each task that runs twice.
"""
import base64
import contextlib
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT_S = 30
ATTEMPTS = 3
CALLER_COUNT = 8
HOST = "jobs.example"


def own_address():
    """Returns a loopback address that concurrent checks do not use, and that is not the
    source address of connections, so that a free port on it stays free."""
    pid = os.getpid()
    return f"127.{64 + pid // 250 % 128}.{1 + pid % 250}.250"


def free_ports(address, count):
    """Returns different ports that are free on the address."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((address, 0))
        return [probe.getsockname()[1] for probe in probes]


def call(address, method, path, body=None, headers=None, timeout=5):
    """Returns (status, decoded body), or (0, reason) if there was no answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, json.dumps(body) if body is not None else None,
                           {"Host": HOST, **(headers or {})})
        reply = connection.getresponse()
        text = reply.read()
        return reply.status, json.loads(text) if text else {}
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error)
    finally:
        connection.close()


class Entry:
    def __init__(self, build, folder, number, platform):
        self.name = f"entry-{number}"
        address = own_address()
        self.callers, self.ready, self.metrics = (
            f"{address}:{port}" for port in free_ports(address, 3))
        self.settings = folder / f"{self.name}.yaml"
        self.settings.write_text(f"""
node-name: "{self.name}"
zone: "z1"
ip: "{address}"
listen-addrs: {{frontend: "{self.callers}", ready-addr: "{self.ready}"}}
internal-ports: [{self.metrics.split(":")[1]}]
limits: {{cpu-share: 0.5}}
bounds: {{hold-max-ms: 10000, grace-s: 3, lease-ms: 500, move-s: 0.3, upkeep-s: 0.3}}
platform: {{addr: "{platform['store']}"}}
cloud-api: {{addr: "{platform['cloud']}"}}
advice: "{platform['advice']}"
""")
        self.program = [str(build / "pollenspool-entry"), "--config", str(self.settings)]
        self.log = folder / f"{self.name}.log"
        self.process = None
        # Whether SIGTERM was sent and the process has not ended yet.
        self.is_terminating = False

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.program, stdout=log, stderr=log)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def last_line(self):
        """Returns the last line of its log, or an empty text."""
        return (self.log.read_text().splitlines() or [""])[-1]

    def is_leader(self):
        """Returns whether its latest leadership event is TermWon."""
        events = [line for line in self.log.read_text().splitlines()
                  if '"TermWon"' in line or '"TermLost"' in line or '"TermSeen"' in line]
        return bool(events) and '"TermWon"' in events[-1]


class Check:
    def __init__(self, build, seed, folder, standin_options=()):
        self.random = random.Random(seed)
        self.tool = str(build / "pollenspool")
        self.standin = subprocess.Popen(
            [sys.executable, str(ROOT / "standins/jobs/job_platform.py"), "--seed", str(seed),
             *standin_options],
            stdout=subprocess.PIPE, text=True)
        self.platform = json.loads(self.standin.stdout.readline())
        self.entries = [Entry(build, folder, n, self.platform) for n in range(3)]
        self.put_config(3, [], [])

    def put_config(self, version, routes, organisations):
        asks = {"name": "asks", "host": HOST, "prefix": "/asks/", "service": "desk",
                "attempts": ATTEMPTS, "stretch": 2.0, "slo-ms": 600, "priority": 0,
                "no-auth": True}
        self.put_row("op", "config", {
            "version": version, "routes": [asks, *routes], "tenants": organisations,
            "services": [{"name": "desk", "rejects-overload": True},
                         {"name": "spare", "spare": True}]})

    def put_row(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        status, _ = call(self.platform["store"], "POST", "/rows-tx", {
            "precondition": [], "remove": [],
            "puts": [{"table": table, "part": "", "key": key, "value": text}]})
        assert status == 200, status

    def until(self, what, test):
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            if result := test():
                return result
            time.sleep(0.05)
        raise AssertionError(f"timeout after {TIMEOUT_S} s: {what}")

    def report(self):
        return call(self.platform["store"], "GET", "/report")[1]

    def is_ready(self, entry):
        return call(entry.ready, "GET", "/readyz")[0] == 200

    def start_all(self):
        for entry in self.entries:
            entry.start()
        self.until("all entry instances are ready", lambda: all(map(self.is_ready, self.entries)))

    def submit(self, steps=2, width=3, spec="work", long_running=False, entry=None, queue="asks"):
        job = f"{self.random.getrandbits(64):016x}"
        body = {"spec": spec, "steps": [
            {"count": width, "cpu": 1000, "mem-mb": 100, "estimate-ms": 300,
             **({"after": [n - 1]} if n else {}),
             **({"long-running": True, "max-unavailable": 1} if long_running else {})}
            for n in range(steps)]}
        entry = entry or self.random.choice(self.entries)
        self.expect(job, body)
        status, reply = call(entry.callers, "POST", f"/{queue}/{job}", body)
        assert status == 200, (status, reply)
        return job

    def expect(self, job, body):
        """Registers the job with the stand-in, which reports unregistered jobs as violations."""
        status, _ = call(self.platform["store"], "POST", "/expect",
                         {"job": job, "body": body, "attempts": ATTEMPTS})
        assert status == 200, status

    def state(self, job, entry=None):
        status, reply = call((entry or self.entries[0]).callers, "GET", f"/asks/{job}")
        return reply["state"] if status == 200 else status

    def wait_for(self, job, state):
        self.until(f"{job} is {state}",
                   lambda: any(self.state(job, e) == state for e in self.entries))

    def leader(self):
        self.until("an entry instance leads", lambda: any(e.is_leader() for e in self.entries))
        return next(e for e in self.entries if e.is_leader())

    def completes_a_job(self):
        job = self.submit()
        self.wait_for(job, "completed")
        assert all(self.state(job, e) == "completed" for e in self.entries)
        done = [t for t in self.report()["done"] if t.startswith(job)]
        assert len(done) == 6, done

    def rejects_invalid_requests(self):
        entry = self.entries[0].callers
        assert call(entry, "POST", "/asks/0123456789abcdef", {"steps": []})[0] == 400
        assert call(entry, "POST", "/asks/short", {"steps": [{"count": 1}]})[0] == 400
        assert call(entry, "GET", "/asks/0123456789abcdef")[0] == 410
        assert call(entry, "GET", "/other/")[0] == 404
        assert call(entry, "GET", "/asks/")[1]["waiting"] >= 0

    def runs_a_resubmitted_job_once(self):
        job = self.submit()
        body = {"spec": "work", "steps": [{"count": 3, "cpu": 1000, "estimate-ms": 300}]}
        for entry in self.entries:
            assert call(entry.callers, "POST", f"/asks/{job}", body)[0] == 200
        self.wait_for(job, "completed")

    def cancels_a_job(self):
        job = self.submit(steps=1, spec="lasts", long_running=True)
        self.until("its tasks run",
                   lambda: sum(t.startswith(job) for t in self.report()["running"]) == 3)
        assert call(self.entries[1].callers, "DELETE", f"/asks/{job}")[0] == 200
        assert self.state(job) == "cancelled"
        self.until("its tasks are stopped",
                   lambda: not any(t.startswith(job) for t in self.report()["running"]))

    def survives_a_killed_leader(self):
        jobs = [self.submit(steps=3) for _ in range(6)]
        leader = self.leader()
        leader.kill()
        for job in jobs:
            self.wait_for(job, "completed")
        leader.start()
        self.until("it is ready again", lambda: self.is_ready(leader))

    def survives_the_loss_of_all_entries(self):
        jobs = [self.submit(steps=3) for _ in range(6)]
        for entry in self.entries:
            entry.kill()
        self.start_all()
        for job in jobs:
            self.wait_for(job, "completed")

    def survives_a_store_outage(self):
        jobs = [self.submit(steps=3) for _ in range(4)]
        call(self.platform["store"], "GET", "/faults?store=down")
        self.until("it is not ready", lambda: not self.is_ready(self.entries[0]))
        status, _ = call(self.entries[0].callers, "POST", "/asks/00000000000000aa",
                         {"steps": [{"count": 1}]})
        assert status == 503, status
        call(self.platform["store"], "GET", "/faults?store=ok")
        for job in jobs:
            self.wait_for(job, "completed")
        assert self.state("00000000000000aa") == 410

    def survives_lost_answers(self):
        call(self.platform["store"], "GET", "/faults?store=lost")
        jobs = []
        for _ in range(6):
            job = f"{self.random.getrandbits(64):016x}"
            body = {"spec": "work", "steps": [{"count": 2, "cpu": 500, "estimate-ms": 300}]}
            self.expect(job, body)
            self.until("a submit is answered", lambda: call(
                self.random.choice(self.entries).callers, "POST", f"/asks/{job}", body)[0] == 200)
            jobs.append(job)
        call(self.platform["store"], "GET", "/faults?store=ok")
        for job in jobs:
            self.wait_for(job, "completed")

    def completes_a_wave(self):
        machines = sorted(self.report()["machines"])
        self.put_row("op", "wave/1", {"wave": 1, "machines": machines, "complete-by-s": 20,
                                      "cap": 2})
        def is_complete():
            rows = call(self.platform["store"], "GET",
                        "/rows-get?table=status&part=&from=wave/1")[1]["rows"]
            return any(b"completed" in base64.b64decode(r["value"]) for r in rows)
        self.until("the wave is complete", is_complete)
        assert all(self.report()["upkeep"].values()), self.report()["upkeep"]

    def stops_cleanly(self):
        leader = self.leader()
        leader.process.send_signal(signal.SIGTERM)
        job = self.submit(entry=next(e for e in self.entries if e is not leader))
        assert leader.process.wait(timeout=TIMEOUT_S) == 0
        self.wait_for(job, "completed")

    def answers_all_requests_before_it_stops(self):
        # With a slow store and callers that sent requests until the end, a stopping process
        # ran into its timeout and dropped the requests in flight.
        entry = next(e for e in self.entries if e.is_up())
        answers = []

        def ask():
            while entry.is_up():
                answers.append(call(entry.callers, "GET", "/asks/00000000000000bb")[0])

        call(self.platform["store"], "GET", "/faults?store=slow")
        callers = [threading.Thread(target=ask) for _ in range(CALLER_COUNT)]
        for caller in callers:
            caller.start()
        self.until("callers are answered", lambda: answers.count(410) >= CALLER_COUNT)
        entry.process.send_signal(signal.SIGTERM)
        status = entry.process.wait(timeout=TIMEOUT_S)
        for caller in callers:
            caller.join()
        call(self.platform["store"], "GET", "/faults?store=ok")
        assert status == 0, status
        end = json.loads(entry.log.read_text().splitlines()[-1])
        assert end["name"] == "DaemonStopped", end
        assert end["requests_in_flight"] == "0", end
        entry.start()
        self.until("it is ready again", lambda: self.is_ready(entry))

    def authorizes_organisations(self):
        keyed = [{"name": "keyed", "host": HOST, "prefix": "/keyed/", "service": "desk",
                  "attempts": ATTEMPTS, "stretch": 2.0, "slo-ms": 600}]
        school = {"name": "school", "api-keys": ["key-1", "key-2"], "weight": 50,
                  "cap": {"cpu": 1000}}
        other = {"name": "other", "api-keys": ["key-3"], "weight": 50}
        job = f"{self.random.getrandbits(64):016x}"
        body = {"spec": "work", "steps": [{"count": 3, "cpu": 1000, "estimate-ms": 300}]}
        large = {"spec": "work", "steps": [{"count": 1, "cpu": 1001}]}

        def ask(method, key, content=None, entry=self.entries[0], path=f"/keyed/{job}"):
            headers = {"X-Key": key} if key else {}
            return call(entry.callers, method, path, content, headers)

        def until_all_answer(key, status):
            self.until(f"all instances answer {status}", lambda: all(
                ask("GET", key, entry=e, path="/keyed/")[0] == status for e in self.entries))

        self.put_config(4, keyed, [school, other])
        until_all_answer("key-1", 200)
        self.expect(job, body)
        assert ask("POST", None, body)[0] == 401
        assert ask("POST", "key-9", body)[0] == 401
        assert ask("POST", "key-1", large) == (429, {"reason": "exceeds_cap"})
        assert ask("POST", "key-1", body)[0] == 200
        for method in ("GET", "DELETE", "POST"):
            assert ask(method, "key-3", body if method == "POST" else None)[0] == 403
        self.until("the job is completed under its cap", lambda: ask(
            "GET", "key-2", entry=self.entries[1])[1].get("state") == "completed")
        self.put_config(5, keyed, [{**school, "api-keys": ["key-2"]}, other])
        until_all_answer("key-1", 401)
        # A revoked key must not be in force again after a restart.
        self.entries[2].kill()
        self.entries[2].start()
        self.until("it is ready again", lambda: self.is_ready(self.entries[2]))
        assert ask("GET", "key-1", entry=self.entries[2])[0] == 401
        assert ask("GET", "key-2", entry=self.entries[2])[0] == 200
        for entry in self.entries:
            assert not any(f"key-{n}" in entry.log.read_text() for n in (1, 2, 3)), entry.name

    def does_not_deny_queues_while_its_configuration_is_old(self):
        """An instance that cannot read the configuration answered 404 for a new queue, which
        callers take for final."""
        entry = self.entries[0]
        assert call(entry.callers, "GET", "/new/")[0] == 404
        call(self.platform["store"], "GET", "/faults?store=no-config")
        self.until("a new queue is not denied", lambda: call(
            entry.callers, "GET", "/new/") == (503, {"reason": "old_configuration"}))
        assert not self.is_ready(entry)
        # Queues that it knows are served: without a store for changes there may be none.
        assert call(entry.callers, "GET", "/asks/")[0] == 200
        call(self.platform["store"], "GET", "/faults?store=ok")
        self.until("it is ready again", lambda: self.is_ready(entry))
        assert call(entry.callers, "GET", "/new/")[0] == 404
        assert '"ConfigOutdated"' in entry.log.read_text()

    def keeps_the_rules_of_a_removed_queue(self):
        """A leader that never knew the queue gave a job up at its first failed run."""
        more = {"name": "more", "host": HOST, "prefix": "/more/", "service": "desk",
                "attempts": ATTEMPTS, "stretch": 2.0, "slo-ms": 600, "no-auth": True}

        def until_all_answer(status):
            self.until(f"all instances answer {status}", lambda: all(
                call(e.callers, "GET", "/more/")[0] == status for e in self.entries))

        self.put_config(6, [more], [])
        until_all_answer(200)
        call(self.platform["store"], "GET", "/faults?runs=hang")
        job = self.submit(steps=1, width=2, queue="more")
        self.until("its tasks run", lambda: sum(
            task.startswith(job) for task in self.report()["running"]) == 2)
        self.put_config(7, [], [])
        until_all_answer(404)
        for entry in self.entries:
            entry.kill()
        self.start_all()
        call(self.platform["store"], "GET", "/faults?runs=fail-once")
        self.until("both tasks are done", lambda: sum(
            task.startswith(job) for task in self.report()["done"]) == 2)
        call(self.platform["store"], "GET", "/faults?runs=ok")
        self.put_config(8, [more], [])
        until_all_answer(200)
        self.until("the job is completed", lambda: call(
            self.entries[0].callers, "GET", f"/more/{job}") == (200, {"state": "completed"}))

    def shows_metrics(self):
        entry = next(e for e in self.entries if e.process.poll() is None)
        connection = http.client.HTTPConnection(entry.metrics, timeout=5)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        assert "pollenspool_jobs_accepted_total" in text, text[:300]

    def shows_operators_the_queues(self):
        job = self.submit(steps=1, spec="lasts", long_running=True)
        self.wait_for(job, "running")
        for entry in self.entries:
            def tool(*arguments):
                return subprocess.run([self.tool, "--entry", entry.metrics, *arguments],
                                      capture_output=True, text=True, timeout=TIMEOUT_S)
            shown = tool("queues", "--json")
            assert shown.returncode == 0, shown
            queues = {q["queue"]: q for q in json.loads(shown.stdout)["queues"]}
            assert queues["asks"]["running"] >= 1, queues
            shown = tool("job", job)
            assert shown.returncode == 0 and "waits: it does not wait" in shown.stdout, shown
        assert call(self.entries[0].callers, "DELETE", f"/asks/{job}")[0] == 200

    def survives_a_reload_while_it_starts(self):
        # A SIGHUP that arrived before the event loop handled signals ended the process. The
        # settings are a pipe, so that the process waits for them while it is signalled.
        entry = self.entries[0]
        pipe = entry.settings.with_suffix(".pipe")
        os.mkfifo(pipe)
        process = subprocess.Popen([entry.program[0], "--check", "--config", str(pipe)])

        def open_pipe():
            try:
                return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:  # The process does not read the pipe yet.
                return None

        try:
            writer = self.until("it reads its settings", open_pipe)
            process.send_signal(signal.SIGHUP)
            os.write(writer, entry.settings.read_bytes())
            os.close(writer)
            assert process.wait(timeout=TIMEOUT_S) == 0, process.returncode
        finally:
            process.kill()
            process.wait()

    def applies_changed_settings(self):
        entry = next(e for e in self.entries if e.is_up())
        for port in ("1", self.platform["cloud"].split(":")[1]):
            text = entry.settings.read_text()
            old = text.split('cloud-api: {addr: "')[1].split('"')[0]
            entry.settings.write_text(text.replace(f'cloud-api: {{addr: "{old}"',
                                                   f'cloud-api: {{addr: "127.0.0.1:{port}"'))
            if port != "1":  # Port 1 checks that a change is detected without a signal.
                entry.process.send_signal(signal.SIGHUP)
            self.until("the change is in effect", lambda: any(
                '"SettingsReloaded"' in line and f'"127.0.0.1:{port}"' in line
                for line in entry.log.read_text().splitlines()))
        entry.settings.write_text("no settings")
        self.until("the invalid settings are rejected",
                   lambda: "SettingsRejected" in entry.log.read_text())
        assert self.is_ready(entry)

    STEPS = (completes_a_job, rejects_invalid_requests, runs_a_resubmitted_job_once, cancels_a_job,
             shows_operators_the_queues,
             survives_a_killed_leader, survives_the_loss_of_all_entries,
             survives_a_store_outage, survives_lost_answers, completes_a_wave,
             authorizes_organisations, does_not_deny_queues_while_its_configuration_is_old,
             keeps_the_rules_of_a_removed_queue, stops_cleanly, answers_all_requests_before_it_stops, shows_metrics,
             survives_a_reload_while_it_starts, applies_changed_settings)

    def run(self):
        self.start_all()
        for step in self.STEPS:
            step(self)
            breaches = self.report()["breaches"]
            assert not breaches, (step.__name__, breaches)
            print(f"ok {step.__name__}", flush=True)

    def close(self):
        for child in [self.standin] + [e.process for e in self.entries if e.process]:
            if child.poll() is None:
                child.kill()
                child.wait()


def main(check_type=Check, name="jobs_check"):
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve()
    seed = int(sys.argv[sys.argv.index("--seed") + 1]) if "--seed" in sys.argv else 1
    with tempfile.TemporaryDirectory() as folder:
        check = check_type(build, seed, pathlib.Path(folder))
        try:
            check.run()
        except BaseException:
            for entry in check.entries:
                if entry.log.exists():
                    print(f"--- {entry.name}\n{entry.log.read_text()[-3000:]}")
            raise
        finally:
            check.close()
    print(f"{name}: ok")


if __name__ == "__main__":
    main()
