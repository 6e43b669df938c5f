#!/usr/bin/env python3
"""Checks how leaders use the connections of backend servers, with real processes.

  connections_check.py BUILD_DIR

First, leaders are lost for good one after the other, and their connections stay open at the
servers, which accept few. Then all open connections to the servers fall silent.
"""
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import jobs_check  # noqa: E402

# Connections that a server accepts. Six leaders with two each leave room for the next.
CONNECTION_LIMIT = 16
LOSSES = 6
# Tasks of a job, which are more than one server can start at the same time.
TASKS = 24
# Longer than a lease, which lasts 5 s.
WATCHED_S = 7


class ConnectionsCheck(jobs_check.Check):
    def __init__(self, build, folder):
        super().__init__(build, 1, folder, ["--connections", str(CONNECTION_LIMIT)])
        self.build, self.folder = build, folder
        # Entry instances that are stopped for good, with their connections open.
        self.lost = []

    def runs_of(self, job):
        return [n for n in self.report()["running"] if n.startswith(job)]

    def lose_leader(self):
        """The leader's machine falls silent for good, and another instance is started."""
        leader = self.leader()
        leader.process.send_signal(signal.SIGSTOP)
        self.entries.remove(leader)
        self.lost.append(leader)
        entry = jobs_check.Entry(self.build, self.folder, len(self.entries) + len(self.lost),
                                 self.platform)
        entry.start()
        self.entries.append(entry)
        self.until("the new instance is ready", lambda: self.is_ready(entry))

    def work(self):
        usable = next(e for e in self.entries if not e.is_leader())
        self.wait_for(self.submit(steps=1, width=TASKS, entry=usable), "completed")

    def lost_leaders(self):
        long_running = self.submit(steps=1, width=2, spec="lasts", long_running=True)
        self.until("the long-running tasks run", lambda: len(self.runs_of(long_running)) == 2)
        for _ in range(LOSSES):
            self.work()
            self.lose_leader()
        self.work()
        self.until("the long-running tasks run again", lambda: len(self.runs_of(long_running)) == 2)
        refused = self.report()["connections_refused"]
        assert refused == 0, f"servers have refused {refused} connections"
        return long_running

    def silent_connections(self, long_running):
        tasks = self.runs_of(long_running)
        self.work()
        before = {n: self.report()["starts"][n] for n in tasks}
        jobs_check.call(self.platform["store"], "GET", "/faults?connections=silent")
        end = time.monotonic() + WATCHED_S
        while time.monotonic() < end:
            report = self.report()
            after = {n: report["starts"][n] for n in tasks}
            assert after == before and set(tasks) <= set(report["running"]), (
                f"tasks were lost with silent connections: {before}, {after}")
            time.sleep(0.1)
        self.work()

    def run(self):
        try:
            self.start_all()
            self.silent_connections(self.lost_leaders())
            breaches = self.report()["breaches"]
            assert not breaches, breaches
        finally:
            for entry in self.entries + self.lost:
                if entry.is_up():
                    entry.kill()
            self.standin.kill()
            self.standin.wait()


def main():
    with tempfile.TemporaryDirectory() as folder:
        check = ConnectionsCheck(pathlib.Path(sys.argv[1]).resolve(), pathlib.Path(folder))
        check.run()
    print("ok")


if __name__ == "__main__":
    main()
