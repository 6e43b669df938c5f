"""Clients of the soak test. They submit, resubmit, cancel and query jobs, and check the answers."""
import asyncio
import json
import time

HOST = "jobs.example"
REJECTED = (429, 503)
MAX_SUBMIT_ATTEMPTS = 5
CALL_TIMEOUT_S = 2.0
FINAL = ("completed", "failed", "cancelled")


class Connection:
    """A persistent connection for one call at a time. Reconnects after an error."""

    def __init__(self, address, key):
        self.host, self.port = address.split(":")
        self.key = key
        self.reader = self.writer = None

    async def call(self, method, path, body=None):
        """Returns (status, headers, decoded body); status 0 if there was no answer."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body), CALL_TIMEOUT_S)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError) as error:
            self.close()
            return 0, {}, repr(error)

    async def exchange(self, method, path, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, int(self.port))
        data = json.dumps(body).encode() if body is not None else b""
        key = self.key()
        authorization = f"X-Key: {key}\r\n" if key else ""
        self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: 2000\r\n"
                          f"{authorization}"
                          f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {k.lower(): v.strip() for k, v in
                   (line.split(":", 1) for line in head[1:] if ":" in line)}
        text = await self.reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(head[0].split(" ")[1]), headers, json.loads(text) if text else {}

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


class Connections:
    """A connection pool for one entry instance, with a connection per concurrent call."""

    def __init__(self, address, key):
        """`key` returns the API key to send, or None."""
        self.address, self.key, self.idle = address, key, []

    async def call(self, *what):
        connection = self.idle.pop() if self.idle else Connection(self.address, self.key)
        try:
            return await connection.call(*what)
        finally:
            self.idle.append(connection)


class Client:
    """One client. `jobs` holds the last known state of each accepted job, `unsure` the jobs
    of which it was not told whether they were accepted."""
    # When a job that runs until it is cancelled is cancelled, after its submission.
    LIFETIME_S = (0.5, 6)
    QUERY_INTERVAL_S = 0.2

    def __init__(self, soak, rng, organisation=None):
        self.soak, self.oracle, self.rng = soak, soak.world.oracle, rng
        self.organisation = organisation
        self.entries = [Connections(e.callers, self.key) for e in soak.entries]
        self.jobs, self.unsure, self.follow_tasks = {}, [], []

    def key(self):
        return self.soak.organisations.key_of(self.organisation) if self.organisation else None

    def report_violation(self, rule, job, what):
        self.oracle.report_violation(rule, job, what)

    async def call(self, method, path, body=None):
        return await self.rng.choice(self.entries).call(method, path, body)

    async def run(self):
        while self.soak.is_submitting:
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
            job, body = self.make_job()
            self.oracle.on_job(job, body, self.soak.ATTEMPTS, self.organisation)
            if await self.submit(job, body):
                self.jobs[job] = {"state": "queued", "body": body, "cancelled": False,
                                  "accepted_at": time.monotonic()}
                self.follow_tasks.append(asyncio.ensure_future(self.follow(job)))

    def make_job(self):
        job = f"{self.rng.getrandbits(64):016x}"
        if self.rng.random() < 0.15:
            return job, {"spec": "lasts", "steps": [
                {"count": self.rng.randint(1, 3), "cpu": 500, "mem-mb": 10,
                 "long-running": True, "max-unavailable": 1}]}
        steps = [{"count": self.rng.randint(1, 4), "cpu": self.rng.randint(200, 2000),
                  "mem-mb": 10, "estimate-ms": 300, **({"after": [n - 1]} if n else {})}
                 for n in range(self.rng.randint(1, 3))]
        return job, {"spec": "work", "steps": steps}

    async def submit(self, job, body):
        """Returns whether the job was accepted."""
        all_rejected = True
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            status, headers, _ = await self.call("POST", f"/asks/{job}", body)
            if 200 <= status < 300:
                return True
            if status in REJECTED:
                if "retry-after" not in headers:
                    self.report_violation("RETRY", job, f"{status} without Retry-After")
            elif status in (0, 502, 504):
                all_rejected = False
            else:
                self.report_violation("CONFIG", job, f"submit was answered with unexpected status {status}")
                return False
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        if all_rejected:
            self.oracle.on_refused(job)
        else:
            self.unsure.append(job)
        return False

    async def cancel_unsure(self):
        """Cancels each job of which the client was not told whether it was accepted, since
        such a job may run until then. To be called after the faults."""
        for job in self.unsure:
            status = 0
            while status not in (200, 410):
                status, _, _ = await self.call("DELETE", f"/asks/{job}")
                if status == 200:
                    self.oracle.on_cancelled(job)
                elif status not in (0, 410, 429, 502, 503, 504):
                    return self.report_violation(
                        "CANCEL", job, f"cancel was answered with unexpected status {status}")
                await asyncio.sleep(self.QUERY_INTERVAL_S)

    async def follow(self, job):
        known = self.jobs[job]
        must_cancel = known["body"]["spec"] in ("lasts", "waits")
        cancel_at = time.monotonic() + self.rng.uniform(*self.LIFETIME_S)
        may_cancel = must_cancel or self.rng.random() < 0.1
        while known["state"] not in FINAL:
            await asyncio.sleep(self.QUERY_INTERVAL_S * self.rng.uniform(0.5, 2))
            if may_cancel and time.monotonic() > cancel_at:
                await self.cancel(job)
            await self.query(job)
            if self.rng.random() < 0.02:
                await self.call("POST", f"/asks/{job}", known["body"])

    async def cancel(self, job):
        # The cancellation may take effect even if the call fails.
        self.jobs[job]["cancelled"] = True
        status, _, _ = await self.call("DELETE", f"/asks/{job}")
        if 200 <= status < 300:
            self.oracle.on_cancelled(job)
        elif status not in (0, 410, 502, 503, 504, 429):
            self.report_violation("CANCEL", job, f"cancel was answered with unexpected status {status}")

    async def query(self, job):
        known = self.jobs[job]
        before = known["state"]
        status, _, reply = await self.call("GET", f"/asks/{job}")
        if status in (0, 429, 502, 503, 504):
            return
        if status != 200:
            return self.report_violation("LOST", job,
                               f"the query of an accepted job was answered with status {status}")
        state = reply["state"]
        if before in FINAL and state != before:
            self.report_violation("MIXED", job, f"was {before} and is {state}")
        if state == "completed":
            unfinished = [n for n in self.oracle.names(job) if not self.oracle.is_done(n)]
            if unfinished:
                self.report_violation("MIXED", unfinished[0],
                            "not done, but its job is reported as completed")
        if state == "cancelled" and not known["cancelled"]:
            self.report_violation("LOST", job, "reported as cancelled without a cancel request")
        if state == "failed" and not self.is_out_of_attempts(job):
            self.report_violation("LOST", job, "reported as failed before its attempts were used up")
        known["state"] = state

    def is_out_of_attempts(self, job):
        return any(sum(" failed" in line and "forgotten" not in line
                       for line in self.oracle.tasks[n].history) >= self.soak.ATTEMPTS
                   for n in self.oracle.names(job))
