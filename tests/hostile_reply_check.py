#!/usr/bin/env python3
"""Sends replies without end, and large ones, to a real entry instance.

  hostile_reply_check.py BUILD_DIR

The stand-in of the platform runs in this process. In turn its backend servers and its store
answer with what a hostile or broken peer may send. The entry instance has to live, to stay
within its memory and its descriptors, and to serve a request when the peers behave again.
"""
import asyncio
import contextvars
import json
import pathlib
import resource
import subprocess
import sys
import tempfile
import threading
import time
import types

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "standins/jobs"))
import job_platform  # noqa: E402
from jobs_check import HOST, Entry, call  # noqa: E402

TIMEOUT_S = 30
DESCRIPTORS = 512
# The usual machine of the deployments has 160 MB. A quarter stays for callers.
MAX_RSS_KB = 120 * 1024
CALLERS = 64
# What one hostile connection sends at most, and how many of them are open at most.
FLOOD_BYTES = 32 << 20
MAX_FLOODS = 24
LARGE_BODY_BYTES = 7 << 20
CHUNKED = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
# What is sent first, and what is repeated then.
ENDLESS = {
    "trailers": (CHUNKED + b"2\r\n{}\r\n0\r\n", b"X-More: 0123\r\n" * 4096),
    "extension": (CHUNKED + b"2;more=", b"x" * 65536),
    "header": (b"HTTP/1.1 200 X\r\n", b"X-More: 0123\r\n" * 4096),
    "tiny-chunks": (CHUNKED, b"1\r\n \r\n" * 10000),
}

# Bodies just within the limit that are never complete: start, part, number of parts.
LARGE = {
    "large": (b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % (LARGE_BODY_BYTES + 1),
              b"x" * 65536, LARGE_BODY_BYTES // 65536),
    "large-chunked": (CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n",
                      LARGE_BODY_BYTES // 65536),
}


class HostileHttp(job_platform.Http):
    """Answers as the hostile mode of its kind of peer says; as the stand-in if there is none."""
    current_writer = contextvars.ContextVar("current_writer")
    # Set by the thread of the check: the peer ("Store" or "BackendServer"), and how it answers.
    hostile_peer, mode = None, None
    open_floods, ended_floods = 0, 0

    async def serve(self, reader, writer):
        self.current_writer.set(writer)
        await super().serve(reader, writer)

    def __init__(self, handler, limit=None):
        async def handle(method, path, query, headers, body):
            kind = type(handler.__self__).__name__
            if kind != HostileHttp.hostile_peer or path in ("/report", "/expect"):
                return await handler(method, path, query, headers, body)
            if HostileHttp.open_floods >= MAX_FLOODS and HostileHttp.mode in ENDLESS:
                return 503, {}
            HostileHttp.open_floods += 1
            try:
                await self.answer_hostile(self.current_writer.get())
            finally:
                HostileHttp.open_floods -= 1
                HostileHttp.ended_floods += 1
            return None
        super().__init__(handle, limit)

    @staticmethod
    async def answer_hostile(writer):
        if HostileHttp.mode in LARGE:
            start, part, count = LARGE[HostileHttp.mode]
            writer.write(start + part * count)
            await writer.drain()
            # The rest never comes.
            while not writer.transport.is_closing() and HostileHttp.mode in LARGE:
                await asyncio.sleep(0.05)
            return
        start, part = ENDLESS[HostileHttp.mode]
        writer.write(start)
        for _ in range(FLOOD_BYTES // len(part)):
            writer.write(part)
            await writer.drain()


class Platform:
    """The stand-in, on an event loop of its own thread."""

    def __init__(self):
        job_platform.Http = HostileHttp
        self.world = job_platform.SimulatedPlatform(types.SimpleNamespace(
            servers=4, spare=0, pools="desk", seed=1, advice=False))
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(self.start(), self.loop).result()
        self.addresses = {"store": f"127.0.0.1:{self.world.store.http.port}",
                          "cloud": f"127.0.0.1:{self.world.cloud.port}",
                          "advice": f"127.0.0.1:{self.world.advice.port}"}

    async def start(self):
        await self.world.start()
        self.world.store.put(("op", "", "config"), json.dumps({
            "version": 3, "tenants": [],
            "routes": [{"name": "asks", "host": HOST, "prefix": "/asks/", "service": "desk",
                        "attempts": 3, "stretch": 2.0, "slo-ms": 600, "no-auth": True}],
            "services": [{"name": "desk"}, {"name": "spare", "spare": True}]}))

    def expect(self, job, body):
        async def add():
            self.world.oracle.on_job(job, body, 3)
        asyncio.run_coroutine_threadsafe(add(), self.loop).result()


class LimitedEntry(Entry):
    """An entry instance with few descriptors."""

    def start(self):
        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.program, stdout=log, stderr=log,
                                            preexec_fn=limit)

    def peak_kb(self):
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.split("VmHWM:")[1].split()[0])

    def descriptors(self):
        return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))


def until(what, test):
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if result := test():
            return result
        time.sleep(0.02)
    raise AssertionError(f"timeout after {TIMEOUT_S} s: {what}")


class Check:
    def __init__(self, build, folder):
        self.platform = Platform()
        self.entry = LimitedEntry(build, folder, 0, self.platform.addresses)
        self.jobs = 0

    def submit(self, width):
        """Submits a job and returns its ID once it is accepted."""
        self.jobs += 1
        job = f"{self.jobs:016x}"
        body = {"spec": "work", "steps": [{"count": width, "cpu": 1000, "mem-mb": 100,
                                           "estimate-ms": 300}]}
        self.platform.expect(job, body)
        until("a job is accepted", lambda: self.is_alive() and call(
            self.entry.callers, "POST", f"/asks/{job}", body)[0] == 200)
        return job

    def is_alive(self):
        assert self.entry.is_up(), f"the process ended with {self.entry.process.returncode}"
        return True

    def until_ready(self):
        until("it is ready",
              lambda: self.is_alive() and call(self.entry.ready, "GET", "/")[0] == 200)

    def wait_completed(self, job):
        until(f"job {job} is completed", lambda: self.is_alive() and call(
            self.entry.callers, "GET", f"/asks/{job}") == (200, {"state": "completed"}))

    def ask_without_end(self, stopped):
        """Many callers at once, whose requests the store answers."""
        def ask():
            while not stopped.is_set():
                call(self.entry.callers, "GET", "/asks/00000000000000bb")
        threads = [threading.Thread(target=ask) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        return threads

    def play(self, peer, mode, replies):
        """Lets the peer send that many hostile replies. Returns (peak RSS in KB, descriptors)."""
        self.entry.start()
        self.until_ready()
        job = self.submit(width=24)
        stopped, descriptors = threading.Event(), []
        HostileHttp.ended_floods = 0
        HostileHttp.hostile_peer, HostileHttp.mode = peer, mode
        callers = self.ask_without_end(stopped) if peer == "Store" else []

        def has_had_enough():
            self.is_alive()
            descriptors.append(self.entry.descriptors())
            return HostileHttp.ended_floods >= replies
        try:
            until("the hostile replies have ended", has_had_enough)
        finally:
            HostileHttp.hostile_peer = HostileHttp.mode = None
            stopped.set()
            for caller in callers:
                caller.join()
        self.wait_completed(job)
        self.wait_completed(self.submit(width=1))
        assert not self.platform.world.oracle.breaches, self.platform.world.oracle.breaches
        peak = self.entry.peak_kb()
        self.entry.kill()
        return peak, max(descriptors)

    def run(self, only):
        failures = 0
        for peer in ("BackendServer", "Store"):
            for mode in (*ENDLESS, *LARGE):
                if only and f"{peer}.{mode}" not in only:
                    continue
                try:
                    peak, descriptors = self.play(peer, mode, 40 if peer == "Store" else 16)
                    fails = peak > MAX_RSS_KB or descriptors > DESCRIPTORS
                    print(f"{'FAIL' if fails else 'ok'} {peer}.{mode}: peak {peak} KB of "
                          f"{MAX_RSS_KB}, {descriptors} descriptors of {DESCRIPTORS}", flush=True)
                except AssertionError as error:
                    fails = True
                    print(f"FAIL {peer}.{mode}: {error}\n{self.entry.log.read_text()[-2000:]}",
                          flush=True)
                    self.close()
                failures += fails
        return failures

    def close(self):
        if self.entry.process and self.entry.is_up():
            self.entry.kill()


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve()
    with tempfile.TemporaryDirectory() as folder:
        check = Check(build, pathlib.Path(folder))
        try:
            failures = check.run(sys.argv[2:])
        finally:
            check.close()
    print("hostile_reply_check: " + ("ok" if not failures else f"{failures} failed"))
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
