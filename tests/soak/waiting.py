"""Checks the number of waiting jobs that entry instances give to callers."""
import asyncio
import pathlib
import time

from clients import Client, Connections

# An instance is judged only if it has run without faults for this time, and so have its
# links and the store.
TOUCH_S = 4.0
# A job that has waited for this time has to be counted.
COUNTED_AFTER_S = 5.0
SAMPLE_INTERVAL_S = 0.05
# The stand-in of the store runs in this process. If a sample is later than this, the store
# did not answer meanwhile.
MAX_SAMPLE_DELAY_S = 0.5
ASK_INTERVAL_S = 0.1


class WaitingClient(Client):
    """Submits jobs that no server may run, and cancels them."""
    LIFETIME_S = (8, 14)
    QUERY_INTERVAL_S = 1.0

    def make_job(self):
        return f"{self.rng.getrandbits(64):016x}", {"spec": "waits", "steps": [
            {"count": 1, "cpu": 500, "mem-mb": 10, "required-label": "none"}]}


class InTouch:
    """Since when each entry instance has been in touch, by samples of the faults."""

    def __init__(self, soak):
        self.soak = soak
        self.last_states = [None] * len(soak.entries)
        self.since = [time.monotonic()] * len(soak.entries)
        self.sampled_at = time.monotonic()

    def state(self, number):
        """None while a fault is active. Otherwise it changes with each fault without a
        duration."""
        entry, store = self.soak.entries[number], self.soak.world.store
        links_ok = all(link.mode == "ok" for link in self.soak.links[number].values())
        if not entry.is_up() or entry.is_terminating or store.mode != "ok" or not links_ok:
            return None
        stat = pathlib.Path(f"/proc/{entry.process.pid}/stat").read_text()
        if stat.rpartition(")")[2].split()[0] in "TtZX":
            return None
        return entry.process.pid, store.oldest_feed_version

    def sample(self):
        now = time.monotonic()
        is_late = now > self.sampled_at + SAMPLE_INTERVAL_S + MAX_SAMPLE_DELAY_S
        self.sampled_at = now
        for number, last in enumerate(self.last_states):
            state = self.state(number)
            if is_late or state is None or state != last:
                self.since[number] = now
            self.last_states[number] = state

    def is_in_touch(self, number):
        self.sample()
        return time.monotonic() >= self.since[number] + TOUCH_S


class WaitingCheck:
    """Asks each instance for the number of waiting jobs until stop() is called."""

    def __init__(self, soak):
        self.soak, self.oracle = soak, soak.world.oracle
        self.entries = [Connections(e.callers, soak.any_key) for e in soak.entries]
        self.in_touch = InTouch(soak)
        self.judged, self.is_running = 0, True

    def stop(self):
        self.is_running = False

    def waiting(self, before):
        """The jobs that were accepted before that time and have neither begun nor may have
        been cancelled."""
        return [job for client in self.soak.clients for job, known in client.jobs.items()
                if known["accepted_at"] < before and not known["cancelled"]
                and not any(self.oracle.tasks[n].starts for n in self.oracle.names(job))]

    async def run(self):
        await asyncio.gather(self.sample_often(),
                             *(self.ask_often(n) for n in range(len(self.entries))))

    async def sample_often(self):
        while self.is_running:
            self.in_touch.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def ask_often(self, number):
        while self.is_running:
            await self.ask(number)
            await asyncio.sleep(ASK_INTERVAL_S)

    async def ask(self, number):
        before = time.monotonic() - COUNTED_AFTER_S
        status, _, reply = await self.entries[number].call("GET", "/asks/")
        if status != 200 or not self.in_touch.is_in_touch(number):
            return
        waiting = self.waiting(before)
        self.judged += bool(waiting)
        if 2 * reply["waiting"] < len(waiting):
            self.oracle.report_violation(
                "MIXED", waiting[0], f"entry-{number} tells that {reply['waiting']} jobs wait; "
                f"{len(waiting)} have waited for {COUNTED_AFTER_S} s")
