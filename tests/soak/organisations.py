"""Organisations of the soak test: their keys, caps, and the check of revoked keys."""
import asyncio
import time

from clients import Connections

# The largest task of a client needs 2,000 thousandths of a core.
CAP_RANGE = (2500, 9000)
ORGANISATION_COUNT = 3
# A revoked key has to be refused by an instance in touch after this time.
APPLIED_AFTER_S = 3.0
PROBE_INTERVAL_S = 0.25


class Organisations:
    """The organisations of the configuration. Each has a key that its clients use, and one
    that is replaced now and then."""

    def __init__(self, rng):
        self.rng, self.serial = rng, 0
        self.names = [f"organisation-{n}" for n in range(ORGANISATION_COUNT)]
        self.temporary_keys = {name: self.new_key() for name in self.names}
        self.caps = {}
        self.revoked = []  # (time of the acknowledged configuration, key)

    def new_key(self):
        self.serial += 1
        return f"temporary-{self.serial}"

    @staticmethod
    def key_of(name):
        return f"key-of-{name}"

    def change(self):
        """Draws new caps and replaces one of the temporary keys. Returns the revoked key."""
        self.caps = {name: self.rng.randint(*CAP_RANGE) for name in self.names}
        name = self.rng.choice(self.names)
        revoked, self.temporary_keys[name] = self.temporary_keys[name], self.new_key()
        return revoked

    def describe(self):
        """The organisations as the configuration lists them."""
        return [{"name": name, "api-keys": [self.key_of(name), self.temporary_keys[name]],
                 "weight": 100, "cap": {"cpu": self.caps[name]}} for name in self.names]


class RevokedKeyCheck:
    """Asks each instance with the latest revoked key until stop() is called."""

    def __init__(self, soak, in_touch):
        self.soak, self.in_touch = soak, in_touch
        self.entries = [Connections(e.callers, self.key) for e in soak.entries]
        self.probe, self.judged, self.is_running = None, 0, True

    def stop(self):
        self.is_running = False

    def key(self):
        return self.probe

    async def run(self):
        while self.is_running:
            await asyncio.sleep(PROBE_INTERVAL_S)
            due = [key for at, key in self.soak.organisations.revoked
                   if time.monotonic() > at + APPLIED_AFTER_S]
            if due:
                self.probe = due[-1]
                await asyncio.gather(*(self.ask(n) for n in range(len(self.entries))))

    async def ask(self, number):
        status, _, _ = await self.entries[number].call("GET", "/asks/")
        if status == 0 or not self.in_touch.is_in_touch(number):
            return
        self.judged += 1
        if status == 200:
            self.soak.world.oracle.report_violation(
                "CONFIG", self.probe, f"entry-{number} accepts this key although it is revoked")
