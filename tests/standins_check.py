#!/usr/bin/env python3
"""Checks the platform, backend and proxy stand-ins: standins_check.py BUILD [CHECK...]"""
import concurrent.futures
import contextlib
import http.client
import time

from standin_tools import (Process, call, connect, equal, get, post, raises, read_all,
                           run_checks, started, wait_for)

LOST = (ConnectionError, http.client.HTTPException)


@contextlib.contextmanager
def platform(build):
    process = Process(build, "standin-platform")
    with started(process):
        yield process.addresses["platform"]


class Backend:
    def __init__(self, process):
        self.control = process.addresses["control"]
        self.at = {role: where for role, where in process.addresses.items() if role != "control"}

    def knobs(self, instance, **knobs):
        post(self.control, "/control", {"instance": instance, "knobs": knobs})

    def runs(self, since=0):
        return get(self.control, f"/runs?since={since}")["runs"]

    def stats(self, instance):
        listed = get(self.control, "/stats")["instances"]
        return next(entry for entry in listed if entry["id"] == instance)


@contextlib.contextmanager
def backend(build, instances=1, *args):
    process = Process(build, "standin-backend", "--instances", instances, "--id-prefix", "b",
                      *args, roles=instances + 1)
    with started(process):
        yield Backend(process)


def transact(address, token="", checks=(), writes=(), expected=200):
    body = {"token": token, "checks": [{"key": k, "revision": r} for k, r in checks],
            "writes": [{"key": k, "value": v} if v is not None else {"key": k, "delete": True}
                       for k, v in writes]}
    return post(address, "/v1/table/transact", body, expected)


def table_is_transactional(build):
    with platform(build) as at:
        equal(transact(at, checks=[("a", 0)], writes=[("a", "1"), ("b", "2")]), {"revision": 1},
              "first")
        refused = transact(at, checks=[("a", 1), ("b", 0)], writes=[("a", "x")], expected=409)
        equal(refused, {"conflicts": [{"key": "b", "revision": 1, "value": "2"}]}, "conflict")
        equal(post(at, "/v1/table/read", {"keys": ["a", "nothing"]}),
              {"revision": 1, "rows": [{"key": "a", "value": "1", "revision": 1}]}, "unwritten")
        transact(at, checks=[("b", 1)], writes=[("b", None)])
        transact(at, checks=[("b", 0)], writes=[("c/1", "3")])
        equal([row["key"] for row in get(at, "/v1/table/scan?prefix=")["rows"]], ["a", "c/1"],
              "scan")
        equal(get(at, "/v1/table/changes?since=1&prefix=b&prefix=c%2F"),
              {"revision": 3, "rows": [{"key": "b", "revision": 2, "deleted": True},
                                       {"key": "c/1", "value": "3", "revision": 3}]}, "changes")
        equal(call(at, "POST", "/v1/table/transact", "{").status, 400, "broken JSON")


def tokens_and_lost_replies(build):
    with platform(build) as at:
        post(at, "/knobs", {"lose_replies": 1})
        raises(LOST, lambda: transact(at, "t1", [("a", 0)], [("a", "1")]), "a lost reply")
        equal(transact(at, "t1", [("a", 0)], [("a", "1")]), {"revision": 1}, "repeat")
        first = transact(at, "t2", [("a", 0)], [("a", "2")], expected=409)
        transact(at, "", [("a", 1)], [("a", None)])
        equal(transact(at, "t2", [("a", 0)], [("a", "2")], expected=409), first, "same conflict")


def outages_and_failures(build):
    with platform(build) as at:
        post(at, "/knobs", {"outage": True})
        raises(LOST, lambda: get(at, "/v1/instances"), "an outage")
        post(at, "/knobs", {"outage": False, "fail_next": 1})
        equal(call(at, "GET", "/v1/instances").status, 503, "failure")
        equal(call(at, "GET", "/v1/instances").status, 200, "after the failure")
        post(at, "/knobs", {"delay_ms": 200})
        begun = time.monotonic()
        get(at, "/v1/instances")
        equal(time.monotonic() - begun >= 0.2, True, "delayed")
        equal(call(at, "POST", "/knobs", '{"bogus": 1}').status, 400, "unknown knob")


def objects_are_immutable(build):
    with platform(build) as at:
        equal(call(at, "GET", "/v1/objects/x").status, 404, "absent")
        equal(call(at, "PUT", "/v1/objects/x", "first").status, 201, "new")
        equal(call(at, "PUT", "/v1/objects/x", "second").status, 200, "again")
        equal(call(at, "GET", "/v1/objects/x").body, "first", "content")


def states(address, path="/v1/instances"):
    return {entry["id"]: (entry["state"], entry["epoch"])
            for entry in get(address, path)["instances"]}


def list_lags_behind_truth(build):
    with platform(build) as at:
        post(at, "/instances", {"instances": [
            {"id": "x", "data_centre": "d", "rack": "r", "address": "127.0.0.1:1"}]})
        wait_for(lambda: states(at) == {"x": ("live", 1)}, "listed")
        post(at, "/knobs", {"list_lag_ms": 60000})
        post(at, "/instances/x/state", {"state": "leaving"})
        equal(states(at), {}, "no entry is old enough to be listed")
        truth = [(c["state"], c["epoch"]) for c in get(at, "/truth")["changes"]]
        equal(truth, [("live", 1), ("leaving", 2)], "truth")
        post(at, "/knobs", {"list_lag_ms": 0})
        equal(states(at), {"x": ("leaving", 2)}, "without the lag")


def reboot_stops_the_backend(build):
    platform_process = Process(build, "standin-platform")
    at = platform_process.addresses["platform"]
    backend_process = Process(build, "standin-backend", "--instances", 2, "--id-prefix", "b",
                              "--register", at, roles=3)
    fleet = Backend(backend_process)
    with started(backend_process, platform_process), \
            concurrent.futures.ThreadPoolExecutor() as pool:
        wait_for(lambda: len(states(at)) == 2, "registered")
        post(at, "/knobs", {"reboot_ms": 300, "leaving_ms": 10, "no_return": ["b2"]})
        fleet.knobs("b1", fail_all=True)
        fleet.knobs("b2", hang=True)
        in_flight = pool.submit(call, fleet.at["b2"], "POST", "/work", "x")
        wait_for(fleet.runs, "a run")
        for _ in range(2):
            post(at, "/v1/instances/b1/reboot", {"token": "r1"}, 202)
            post(at, "/v1/instances/b2/reboot", {"token": "r2"}, 202)
        equal(isinstance(in_flight.exception(), LOST), True, "cut in flight")
        wait_for(lambda: states(at)["b1"] == ("gone", 3), "gone")
        raises(ConnectionRefusedError, lambda: connect(fleet.at["b1"]), "refused while away")
        wait_for(lambda: states(at)["b1"] == ("live", 4), "back")
        equal(call(fleet.at["b1"], "GET", "/x").status, 500, "still fails after the reboot")
        equal(states(at)["b2"], ("gone", 3), "does not come back")
        equal([(r["instance"], r["outcome"]) for r in fleet.runs()],
              [("b2", "cut"), ("b1", "answered")], "runs")
        equal(get(at, "/stats")["reboots"], 2, "one reboot per token")


def slots_and_connections_are_enforced(build):
    with backend(build, 1, "--slots", 2, "--connections", 4) as fleet:
        request = b"GET /x?work_ms=0 HTTP/1.1\r\nHost: b\r\n\r\n"
        fleet.knobs("b1", hang=True)
        open_streams = [connect(fleet.at["b1"]) for _ in range(4)]
        for stream in open_streams:
            stream.sendall(request)
        wait_for(lambda: fleet.stats("b1")["waiting"] == 2, "two wait")
        equal(len(fleet.runs()), 2, "two run")
        raises(ConnectionRefusedError, lambda: connect(fleet.at["b1"]), "the fifth connection")
        open_streams[2].close()
        wait_for(lambda: fleet.stats("b1")["waiting"] == 1,
                 "a client disconnects while in the queue")
        connect(fleet.at["b1"]).close()
        fleet.knobs("b1", hang=False)
        for stream in (open_streams[0], open_streams[1], open_streams[3]):
            equal(stream.recv(15), b"HTTP/1.1 200 OK", "answer")
            stream.close()
        equal(len(fleet.runs()), 3, "the disconnected client's request never ran")


def backend_answers_and_records(build):
    with backend(build, 2) as fleet:
        reply = call(fleet.at["b2"], "POST", "/x?work_ms=30", "hallo",
                     {"Pollenspool-Request-Id": "q1", "Pollenspool-Service": "s"})
        equal(reply.json(), {"request_id": "q1", "instance": "b2", "run": 1,
                             "echo": "0583de9d267b89d8"}, "answer")
        equal(reply.headers["Pollenspool-Request-Id"], "q1", "header")
        run = fleet.runs()[0]
        equal((run["request_id"], run["service"], run["repeatable"], run["outcome"]),
              ("q1", "s", False, "answered"), "run")
        equal(run["end_ms"] - run["start_ms"] >= 29, True, "ran for work_ms")
        equal(fleet.runs(1), [], "since")
        equal(call(fleet.at["b1"], "GET", "/health").status, 200, "healthy")


def count_answers(data):
    return data.count(b"HTTP/1.1 200 OK")


def exchange(address, keep_alive):
    """Sends one request on a plain socket and reads until the peer closes."""
    with connect(address) as stream:
        connection = "keep-alive" if keep_alive else "close"
        stream.sendall(f"GET /x?work_ms=0 HTTP/1.1\r\nConnection: {connection}\r\n\r\n".encode())
        return read_all(stream)


def backend_faults(build):
    with backend(build, 1) as fleet:
        at = fleet.at["b1"]
        fleet.knobs("*", truncate=1)
        raises(http.client.IncompleteRead, lambda: call(at, "GET", "/x"), "truncated")
        equal(call(at, "GET", "/x").status, 200, "only one is cut")
        fleet.knobs("b1", double=True)
        equal(count_answers(exchange(at, False)[0]), 2, "doubled")
        fleet.knobs("b1", double=False, close_idle=True)
        equal(count_answers(exchange(at, True)[0]), 1, "closed after the answer")
        fleet.knobs("b1", close_idle=False, fail_all=True)
        equal(call(at, "GET", "/x").status, 500, "failed")
        before = len(fleet.runs())
        fleet.knobs("b1", fail_all=False, refuse_all=True)
        refused = call(at, "GET", "/x")
        equal((refused.status, refused.headers["Pollenspool-Not-Run"]), (503, "1"), "refused")
        equal(len(fleet.runs()), before, "refused ones do not run")
        fleet.knobs("b1", refuse_all=False, late_ms=300)
        begun = time.monotonic()
        call(at, "GET", "/x?work_ms=0")
        equal(time.monotonic() - begun >= 0.3, True, "late")
        fleet.knobs("b1", late_ms=0, down=True)
        raises(ConnectionRefusedError, lambda: connect(at), "down")
        fleet.knobs("b1", down=False)
        equal(call(at, "GET", "/x").status, 200, "up again")
        equal(call(fleet.control, "POST", "/control",
                   '{"instance": "b1", "knobs": {"bogus": 1}}').status, 400, "unknown knob")


def clients_that_disconnect_while_hanging(build):
    with backend(build, 1) as fleet:
        fleet.knobs("b1", hang=True)
        raises(TimeoutError, lambda: call(fleet.at["b1"], "GET", "/x", timeout=0.2), "hang")
        equal(fleet.runs()[0]["outcome"], "running", "keeps its slot")
        fleet.knobs("b1", hang=False)
        wait_for(lambda: fleet.runs()[0]["outcome"] == "abandoned", "abandoned")


class Proxied:
    """A backend behind a proxy of one route."""

    def __init__(self, proxy, fleet):
        self.control = proxy.addresses["control"]
        self.at = proxy.addresses["route-0"]
        self.fleet = fleet

    def faults(self, **faults):
        post(self.control, "/faults", {"route": 0, **faults})

    def links(self):
        return get(self.control, "/routes")["routes"][0]["connections"]


@contextlib.contextmanager
def proxied(build):
    with backend(build, 1) as fleet:
        proxy = Process(build, "standin-proxy", "--route", "127.0.0.1:0=" + fleet.at["b1"],
                        roles=2)
        with started(proxy):
            yield Proxied(proxy, fleet)


def proxy_passes_and_delays(build):
    with proxied(build) as route:
        body = "x" * 3_000_000
        equal(call(route.at, "POST", "/x?work_ms=0", body).status, 200, "a large request")
        wait_for(lambda: route.links() == 0, "ended with its connections")
        route.faults(delay_ms=100)
        begun = time.monotonic()
        equal(call(route.at, "GET", "/x?work_ms=0").status, 200, "delayed")
        equal(time.monotonic() - begun >= 0.2, True, "each way")


def proxy_drops_one_way(build):
    with proxied(build) as route:
        route.faults(drop_up=True)
        raises(TimeoutError, lambda: call(route.at, "GET", "/x", timeout=0.2), "up")
        equal(route.fleet.runs(), [], "nothing came")
        route.faults(drop_up=False, drop_down=True)
        with connect(route.at) as stream:
            stream.sendall(b"GET /x?work_ms=0 HTTP/1.1\r\n\r\n")
            wait_for(lambda: any(r["outcome"] == "answered" for r in route.fleet.runs()), "ran")
            stream.settimeout(0.2)
            raises(TimeoutError, lambda: stream.recv(1), "down")
            stream.settimeout(20)
            wait_for(lambda: get(route.control, "/routes")["routes"][0]["connections"] == 1, "one")
            route.faults(clear=True)
            equal(read_all(stream), (b"", True), "reset, not a gap in the data")
        equal(call(route.at, "GET", "/x").status, 200, "cleared")


def proxy_freezes(build):
    with proxied(build) as route, connect(route.at) as old:
        old.sendall(b"GET /x?work_ms=0 HTTP/1.1\r\n")
        route.faults(freeze=True)
        old.sendall(b"\r\n")
        with connect(route.at) as new:
            new.sendall(b"GET /x?work_ms=0 HTTP/1.1\r\n\r\n")
            new.settimeout(0.2)
            raises(TimeoutError, lambda: new.recv(1), "frozen")
            new.settimeout(20)
            equal(route.fleet.runs(), [], "nothing came through")
            route.faults(freeze=False)
            for stream in (old, new):
                equal(stream.recv(15), b"HTTP/1.1 200 OK", "resumes without loss")


def proxy_freezes_what_is_delayed(build):
    with proxied(build) as route, connect(route.at) as stream:
        wait_for(lambda: route.links() == 1, "linked")
        route.faults(delay_ms=200)
        stream.sendall(b"GET /x?work_ms=0 HTTP/1.1\r\n\r\n")
        route.faults(freeze=True)
        stream.settimeout(0.6)
        raises(TimeoutError, lambda: stream.recv(1), "frozen")
        equal(route.fleet.runs(), [], "held beyond its delay")
        stream.settimeout(20)
        route.faults(clear=True)
        equal(stream.recv(15), b"HTTP/1.1 200 OK", "goes on")


def proxy_refuses_and_cuts(build):
    with proxied(build) as route, connect(route.at) as stream:
        wait_for(lambda: route.links() == 1, "linked")
        route.faults(refuse=True)
        raises(ConnectionRefusedError, lambda: connect(route.at), "refused")
        stream.sendall(b"GET /x?work_ms=0 HTTP/1.1\r\n\r\n")
        equal(stream.recv(15), b"HTTP/1.1 200 OK", "old connections go on")
        route.faults(refuse=False, cut=True)
        equal(read_all(stream)[1], True, "cut by a reset")
        raises(ConnectionRefusedError, lambda: connect(route.at), "refused while cut")
        route.faults(cut=False, reset_new=True)
        raises(ConnectionResetError, lambda: connect(route.at).recv(1), "reset when new")
        wait_for(lambda: get(route.control, "/routes")["routes"][0]["accepted"] == 2, "accepted")
        route.faults(clear=True)
        equal(call(route.at, "GET", "/x").status, 200, "works after the faults are cleared")


def proxy_truncates_and_doubles(build):
    with proxied(build) as route:
        route.faults(truncate_after=20)
        equal(exchange(route.at, True), (b"HTTP/1.1 200 OK\r\nCon", True), "truncated")
        route.faults(clear=True, duplicate=True)
        equal(count_answers(exchange(route.at, False)[0]), 2, "doubled")
        equal(call(route.control, "POST", "/faults", '{"bogus": 1}').status, 400, "unknown fault")
        equal(call(route.control, "POST", "/faults", '{"route": 1}').status, 400, "unknown route")


if __name__ == "__main__":
    run_checks([table_is_transactional, tokens_and_lost_replies, outages_and_failures,
                objects_are_immutable, list_lags_behind_truth, reboot_stops_the_backend,
                slots_and_connections_are_enforced, backend_answers_and_records, backend_faults,
                clients_that_disconnect_while_hanging, proxy_passes_and_delays, proxy_drops_one_way,
                proxy_freezes, proxy_freezes_what_is_delayed, proxy_refuses_and_cuts, proxy_truncates_and_doubles])
