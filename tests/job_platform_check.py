#!/usr/bin/env python3
"""Checks the store of the platform stand-in that the soak test uses: job_platform_check.py"""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins/jobs"))
from job_platform import Store  # noqa: E402


# Turns of the event loop after which a call of the feed waits for a change.
TURNS = 10


async def ask_feed(store, after):
    """Starts a call of the feed and returns it once it waits."""
    query = {"table": "live", "after": str(after), "wait-ms": "300"}
    feed = asyncio.ensure_future(store.handle("GET", "/rows-feed", query, {}, b""))
    for _ in range(TURNS):
        await asyncio.sleep(0)
    return feed


async def feed_reports_a_change_to_a_waiting_call():
    store = Store(random.Random(1))
    feed = await ask_feed(store, store.version)
    store.put(("live", "", "a"), "1")
    status, reply = await feed
    assert status == 200 and [row["key"] for row in reply["rows"]] == ["a"], (status, reply)


# The history was dropped just after a change, before a waiting call had read it. The call
# was answered with the newest version and without the change.
async def feed_loses_no_change_when_the_history_is_dropped():
    store = Store(random.Random(1))
    store.put(("live", "", "a"), "1")
    feed = await ask_feed(store, store.version)
    store.version += 1
    store.write(("live", "", "a"), None)
    store.forget_history()
    status, reply = await feed
    assert status == 410, (status, reply)


def main():
    for check in (feed_reports_a_change_to_a_waiting_call,
                  feed_loses_no_change_when_the_history_is_dropped):
        asyncio.run(check())
        print(f"ok {check.__name__}")
    print("job_platform_check: ok")


if __name__ == "__main__":
    main()
