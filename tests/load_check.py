#!/usr/bin/env python3
"""Checks the load tool and its oracle with faulty entry instances.

Usage: load_check.py BUILD [CHECK...]
"""
import contextlib
import http.server
import json
import os
import re
import subprocess
import tempfile
import threading
import xml.etree.ElementTree

from standin_tools import Process, call, equal, post, run_checks, started, wait_for

VIOLATIONS = ("ran_twice", "not_run_but_ran", "wrong_answer", "cut_in_flight",
              "late_work_on_leaving")


class Entry(http.server.ThreadingHTTPServer):
    """A fake entry instance; `serve` answers each request."""
    request_queue_size = 256

    def __init__(self, backend, serve):
        super().__init__(("127.0.0.1", 0), Handler)
        self.backend = backend
        self.serve = serve
        self.lock = threading.Lock()
        self.seen = {}
        self.held = None
        self.thread = threading.Thread(target=self.serve_forever, args=(0.01,))
        self.thread.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_port}"

    def handle_error(self, request, client_address):
        pass

    def close(self):
        self.shutdown()
        self.thread.join()
        self.server_close()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_GET(self):
        if self.path == "/healthz":
            self.answer(200, {}, b"ok")
            return
        self.do_POST()

    def do_POST(self):
        self.body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.key = self.headers["Idempotency-Key"]
        with self.server.lock:
            self.count = self.server.seen[self.key] = self.server.seen.get(self.key, 0) + 1
        self.server.serve(self)

    def run(self):
        headers = {"Pollenspool-Request-Id": self.key,
                   "Pollenspool-Repeatable": self.headers["Pollenspool-Repeatable"]}
        return call(self.server.backend, self.command, self.path, self.body, headers)

    def answer(self, status, headers, body):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def send_answer(self, reply, body=None):
        self.answer(reply.status, {"Pollenspool-Outcome": "answer"},
                    (reply.body if body is None else body).encode())

    def send_outcome(self, status, outcome, reason):
        self.answer(status, {"Pollenspool-Outcome": outcome, "Pollenspool-Reason": reason}, b"{}")


def answer_correctly(entry):
    entry.send_answer(entry.run())


class Bench:
    """A backend and a platform stand-in, for load runs through a fake entry instance."""

    def __init__(self, build, backend, platform):
        self.build = build
        self.control = backend.addresses["control"]
        self.backend = backend.addresses["b1"]
        self.platform = platform.addresses["platform"]

    def load(self, serve, *flags, code, rate=150, seconds=0.6, work_ms=1,
             evidence=True):
        """Runs the load tool against a fake entry instance and returns the report."""
        entry = Entry(self.backend, serve)
        with tempfile.TemporaryDirectory() as folder, contextlib.closing(entry):
            report = os.path.join(folder, "report.json")
            sources = ["--backend-control", self.control, "--platform", self.platform]
            done = subprocess.run(
                [f"{self.build}/standin-load", "--entry", entry.address, "--service", "s",
                 "--rate", str(rate), "--seconds", str(seconds), "--work-ms", str(work_ms),
                 "--report", report, *(sources if evidence else []), *map(str, flags)],
                stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
            equal(done.returncode, code, done.stdout)
            with open(report, encoding="utf-8") as file:
                return json.load(file)


@contextlib.contextmanager
def bench(build):
    platform = Process(build, "standin-platform")
    backend = Process(build, "standin-backend", "--instances", 1, "--id-prefix", "b",
                      "--register", platform.addresses["platform"], roles=2)
    with started(backend, platform):
        at = platform.addresses["platform"]
        wait_for(lambda: json.loads(call(at, "GET", "/v1/instances").body)["instances"], "listed")
        yield Bench(build, backend, platform)


def expect_only_violation(report, name):
    """Checks that the oracle has found exactly the named violation."""
    found = {violation for violation in VIOLATIONS if report[violation]}
    equal(found, {name}, json.dumps(report["examples"]))
    equal(report["oracle_holds"], False, "verdict")


def a_correct_entry_passes(build):
    with bench(build) as at:
        report = at.load(answer_correctly, "--seed", 5, code=0)
        equal([report[violation] for violation in VIOLATIONS], [0] * 5, "breaches")
        equal(report["sent"] > 50 and report["answered"] == report["sent"], True, "all answered")
        equal(report["seed"], 5, "seed")
        equal(sum(s["goodput"] for s in report["per_second"]), report["sent"], "series")
        equal(sum(c["count"] for c in report["start_latency_ms"].values()), report["sent"],
              "started")
        again = at.load(answer_correctly, "--seed", 5, code=0)
        equal(again["sent"], report["sent"], "the same seed gives the same load")
        unchecked = at.load(answer_correctly, code=0, evidence=False)
        equal((unchecked["ran_twice"], unchecked["late_work_on_leaving"]), (None, None),
              "no verdict without evidence")


def duplicate_runs_are_caught(build):
    def run_twice(entry):
        entry.run()
        answer_correctly(entry)

    with bench(build) as at:
        expect_only_violation(at.load(run_twice, code=3), "ran_twice")
        report = at.load(run_twice, "--repeatable-share", 1, code=0)
        equal(report["repeatable_ran_again"], report["sent"], "allowed")


def a_false_not_run_is_caught(build):
    def report_not_run(entry):
        entry.run()
        entry.send_outcome(503, "not-run", "queue_full")

    with bench(build) as at:
        report = at.load(report_not_run, code=3)
        expect_only_violation(report, "not_run_but_ran")
        equal(report["not_run_but_ran"], report["refused"]["queue_full"], "each of them")


def a_not_run_after_an_unknown_run_is_caught(build):
    def report_not_run_on_repeat(entry):
        if entry.count == 1:
            entry.run()
            entry.send_outcome(504, "unknown", "backend_timeout")
        else:
            entry.send_outcome(503, "not-run", "queue_full")

    with bench(build) as at:
        report = at.load(report_not_run_on_repeat, "--repeat-unknown", code=3)
        expect_only_violation(report, "not_run_but_ran")
        equal(report["attempts"], 2 * report["sent"], "repeated")


def a_true_not_run_passes(build):
    with bench(build) as at:
        report = at.load(lambda entry: entry.send_outcome(429, "not-run", "quota_exceeded"), code=0)
        equal(report["refused"], {"quota_exceeded": report["sent"]}, "refused")


def swapped_answers_are_caught(build):
    def swap_answers(entry):
        reply = entry.run()
        with entry.server.lock:
            other, entry.server.held = entry.server.held, reply.body
        entry.send_answer(reply, other)

    with bench(build) as at:
        expect_only_violation(at.load(swap_answers, code=3), "wrong_answer")


def altered_answers_are_caught(build):
    def body_change(change):
        def serve(entry):
            reply = entry.run()
            entry.send_answer(reply, json.dumps(change(json.loads(reply.body))))
        return serve

    def truncated(entry):
        reply = entry.run()
        entry.send_answer(reply, reply.body[:-5])

    def wrong_request_id(entry):
        reply = entry.run()
        entry.answer(200, {"Pollenspool-Outcome": "answer", "Pollenspool-Request-Id": "other"},
                     reply.body.encode())

    def without_content_length(entry):
        reply = entry.run()
        entry.wfile.write(b"HTTP/1.1 200 OK\r\nPollenspool-Outcome: answer\r\n\r\n"
                          + reply.body.encode())
        entry.close_connection = True

    faulty_entries = [body_change(lambda body: {**body, "echo": "0" * 16}),
                      body_change(lambda body: {**body, "request_id": "other"}),
                      body_change(lambda body: {**body, "run": max(1, body["run"] - 1)}),
                      truncated, wrong_request_id, without_content_length]
    with bench(build) as at:
        # An earlier run must exist, so that its number can replace that of the first run.
        call(at.backend, "POST", "/x", "x", {"Pollenspool-Request-Id": "other"})
        for faulty in faulty_entries:
            expect_only_violation(at.load(faulty, rate=50, code=3), "wrong_answer")


def repeats_keep_their_key(build):
    attempts = []

    def fail_first_attempts(entry):
        attempts.append((entry.key, int(entry.headers["Pollenspool-Attempt"])))
        if entry.count == 1:
            entry.close_connection = True  # Closes the connection without a reply.
        elif entry.count == 2:
            entry.send_outcome(502, "unknown", "peer_connection_lost")
        else:
            answer_correctly(entry)

    with bench(build) as at:
        report = at.load(fail_first_attempts, "--repeat-unknown", code=0)
        equal((report["answered"], report["lost"]), (report["sent"], 0), "answered in the end")
        numbers = {}
        for key, number in attempts:
            numbers.setdefault(key, []).append(number)
        equal(set(map(tuple, numbers.values())), {(1, 2, 3)}, "attempt numbers")
        attempts.clear()
        report = at.load(fail_first_attempts, code=0)
        equal((report["lost"], report["attempts"]), (report["sent"], report["sent"]),
              "not repeated unless asked")
        equal(report["lost_reasons"], {"connection_lost": report["sent"]}, "why")


def answers_without_an_outcome_are_lost(build):
    with bench(build) as at:
        report = at.load(lambda entry: entry.answer(404, {}, b"{}"), code=0)
        equal(report["lost_reasons"], {"no_outcome_status_404": report["sent"]}, "unlabelled")
        report = at.load(lambda entry: entry.send_outcome(504, "unknown", "backend_timeout"),
                         code=0)
        equal(report["unknown"], {"backend_timeout": report["sent"]}, "unknown")


def requests_cut_by_a_reboot_are_caught(build):
    def reboot_while_running(at, entry):
        if entry.count == 1 and len(entry.server.seen) == 3:
            post(at.platform, "/v1/instances/b1/reboot", {"token": "r"}, 202)
        try:
            entry.run()
        except OSError:
            pass
        entry.send_outcome(504, "unknown", "backend_connection_lost")

    with bench(build) as at:
        post(at.platform, "/knobs", {"leaving_ms": 300, "reboot_ms": 100})
        report = at.load(lambda entry: reboot_while_running(at, entry), work_ms=600, code=3)
        expect_only_violation(report, "cut_in_flight")
        # 8 requests run; requests that wait for a slot are in flight as well.
        equal(report["cut_in_flight"] > 8, True, "waiting requests count as in flight")


def late_work_is_caught(build):
    with bench(build) as at:
        post(at.platform, "/instances/b1/state", {"state": "leaving"})
        report = at.load(answer_correctly, "--leaving-grace-ms", 300, rate=50, code=3)
        expect_only_violation(report, "late_work_on_leaving")
        equal(report["late_work_on_leaving"] < report["sent"], True, "but not within the grace")
        post(at.platform, "/instances/b1/state", {"state": "live"})
        at.load(answer_correctly, "--leaving-grace-ms", 0, code=0)


def unreachable_entries_are_skipped(build):
    with bench(build) as at:
        # The port of a closed entry instance refuses connections.
        unreachable = Entry(at.backend, answer_correctly)
        unreachable.close()
        report = at.load(answer_correctly, "--entry", unreachable.address, code=0)
        equal((report["answered"], report["attempts"]), (report["sent"], report["sent"]), "one")
        done = subprocess.run([f"{build}/standin-load", "--entry", unreachable.address,
                               "--service", "s", "--wait-ms", "200"], capture_output=True, text=True)
        equal(done.returncode, 2, done.stderr)


def missing_evidence_is_not_a_pass(build):
    with bench(build) as at:
        unreachable = Entry(at.backend, answer_correctly)
        unreachable.close()
        report = at.load(answer_correctly, "--backend-control", unreachable.address, code=4)
        equal(len(report["evidence_missing"]), 2, "runs and stats")
        equal(report["oracle_holds"], False, "no verdict")


def extra_fields_are_merged(build):
    with bench(build) as at, tempfile.TemporaryDirectory() as folder:
        extra = os.path.join(folder, "extra.json")
        with open(extra, "w", encoding="utf-8") as file:
            json.dump({"moves": 3, "wrong_answer": 7, "ran_twice": 7}, file)
        report = at.load(answer_correctly, "--extra", extra, code=0)
        equal((report["moves"], report["buffer_cost"], report["wrong_answer"]), (3, None, 0),
              "measured ones stay")


def peaks_alternate_between_services(build):
    with bench(build) as at:
        report = at.load(lambda entry: entry.send_outcome(503, "not-run", "x"), "--service", "t",
                         "--profile", "peaks", "--peak-seconds", 1, seconds=2, rate=80, code=0)
        first, second = (entry["sent"] for entry in report["per_second"][:2])
        sent = {name: counts["sent"] for name, counts in report["by_service"].items()}
        # Each second has 200 requests of one service and 2 of the other on average.
        equal(all(120 < n < 280 for n in (first, second, *sent.values())), True,
              f"{first} {second} {sent}")


def the_page_shows_the_report(build):
    with bench(build) as at, tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "page.html")
        report = at.load(lambda entry: entry.send_outcome(503, "not-run", "<b>&full"), "--service",
                         "a<script>", "--html", path, "--profile", "peaks", "--peak-seconds", 1,
                         seconds=3, code=0)
        with open(path, encoding="utf-8") as file:
            page = file.read()
        charts = [xml.etree.ElementTree.fromstring(svg)
                  for svg in re.findall(r"<svg.*?</svg>", page, re.S)]
        equal(len(charts), 2, "charts")
        lines = charts[0].findall("{*}polyline")
        seconds = len(report["per_second"])
        equal([len(line.get("points").split()) for line in lines], [seconds] * 5, "a point each")
        equal(charts[1].findall("{*}polyline"), [], "nothing was answered")
        sent = [float(point.split(",")[1]) for point in lines[0].get("points").split()]
        equal(sent.index(min(sent)),
              max(range(seconds), key=lambda i: report["per_second"][i]["sent"]), "the peak")
        equal(re.findall(r"<script|<b>&full|src=|href=|@import|url\(", page), [],
              "escaped, and nothing from outside")
        equal("refused: &lt;b&gt;&amp;full" in page and "The oracle holds." in page, True, "text")


CHECKS = [a_correct_entry_passes, duplicate_runs_are_caught, a_false_not_run_is_caught,
          a_not_run_after_an_unknown_run_is_caught, a_true_not_run_passes,
          swapped_answers_are_caught, altered_answers_are_caught, repeats_keep_their_key,
          answers_without_an_outcome_are_lost, requests_cut_by_a_reboot_are_caught,
          late_work_is_caught, unreachable_entries_are_skipped,
          missing_evidence_is_not_a_pass, extra_fields_are_merged,
          peaks_alternate_between_services, the_page_shows_the_report]

if __name__ == "__main__":
    run_checks(CHECKS)
