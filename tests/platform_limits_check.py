#!/usr/bin/env python3
"""Runs jobs on real entry instances that meet the limits of the platform.

  platform_limits_check.py BUILD_DIR [--seed N]

Checks with the stand-in of the platform: more ends than one list holds, while the leader
changes; more progress than one row holds; a job that is too large; and a job that is
cancelled before it is stored.
"""
import http.client
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from jobs_check import Check, call, main  # noqa: E402

LARGE_JOB_TASKS = 2000
LIST_JOB_TASKS = 1500
TASK = {"cpu": 3, "mem-mb": 4, "estimate-ms": 300}


class LimitsCheck(Check):
    def submit_wide(self, tasks):
        """Submits a job of one step whose tasks all run on one server."""
        job = f"{self.random.getrandbits(64):016x}"
        body = {"spec": "work", "steps": [{"count": tasks, **TASK}]}
        self.expect(job, body)
        status, reply = call(self.entries[0].callers, "POST", f"/asks/{job}", body)
        assert status == 200, (status, reply)
        return job

    def run_all(self, tasks):
        """Lets tasks stand still and returns a job of which all tasks run."""
        call(self.platform["store"], "GET", "/faults?runs=hang")
        job = self.submit_wide(tasks)
        self.until("all tasks run", lambda: sum(
            t.startswith(job) for t in self.report()["running"]) == tasks)
        return job

    def metric(self, entry, name):
        """The value of a metric without labels. Log lines may be dropped in a burst."""
        connection = http.client.HTTPConnection(entry.metrics, timeout=5)
        connection.request("GET", "/metrics")
        lines = connection.getresponse().read().decode().splitlines()
        return next(float(line.split()[1]) for line in lines if line.startswith(name + " "))

    # A list holds 500 ends. The next leader took the runs that it left out for lost.
    def starts_no_task_again_whose_end_is_held_back(self):
        job = self.run_all(LIST_JOB_TASKS)
        leader = self.leader()
        leader.kill()
        call(self.platform["store"], "GET", "/faults?runs=ok")
        self.until("all tasks have ended", lambda: not self.report()["running"])
        leader.start()
        self.wait_for(job, "completed")
        starts = self.report()["starts"]
        again = [t for t, count in starts.items() if t.startswith(job) and count > 1]
        assert not again, (len(again), again[:5])

    # The crashes of all tasks took more than the store accepts in a row. The job and others
    # of its partition never went on.
    def records_more_than_one_row_holds(self):
        job = self.run_all(LARGE_JOB_TASKS)
        busiest = max(self.report()["runs"].items(), key=lambda e: e[1])[0]
        call(self.platform["store"], "GET", f"/faults?crash={busiest}")
        others = [self.submit(steps=1, width=1) for _ in range(100)]
        self.until("its tasks run again", lambda: sum(
            t.startswith(job) for t in self.report()["running"]) > LARGE_JOB_TASKS / 2)
        leader = self.leader()
        assert self.metric(leader, "pollenspool_pages_written_total") > 0
        leader.kill()
        call(self.platform["store"], "GET", "/faults?runs=ok")
        leader.start()
        for one in [job, *others]:
            self.wait_for(one, "completed")
        assert self.report()["refusals"] == 0, self.report()["refusals"]

    def refuses_a_job_that_no_row_holds(self):
        body = {"spec": "x", "steps": [{"count": 1, "required-label": "l" * 200}] * 400}
        entry = self.entries[0].callers
        status, reply = call(entry, "POST", "/asks/00000000000000ab", body)
        assert status == 400 and "65536" in reply["field"], (status, reply)
        assert call(entry, "GET", "/asks/00000000000000ab")[0] == 410

    # The store carried a submission out after its job had been cancelled with "no such job".
    def a_cancelled_id_is_not_stored_later(self):
        body = {"spec": "work", "steps": [{"count": 1, **TASK}]}
        first, second = self.entries[0].callers, self.entries[1].callers
        assert call(first, "DELETE", "/asks/00000000000000ac")[0] == 410
        for entry in (first, second):
            status, reply = call(entry, "POST", "/asks/00000000000000ac", body)
            assert status == 409 and reply["reason"] == "cancelled", (status, reply)
            assert call(entry, "GET", "/asks/00000000000000ac")[0] == 410
            assert call(entry, "DELETE", "/asks/00000000000000ac")[0] == 410

    def limits_cancellations_of_unknown_ids(self):
        statuses = [call(self.entries[2].callers, "DELETE", f"/asks/{n:016x}")[0]
                    for n in range(0xb000, 0xb000 + 400)]
        assert statuses.count(410) >= 200 and 429 in statuses, statuses.count(410)
        job = self.submit(steps=1)
        assert call(self.entries[2].callers, "DELETE", f"/asks/{job}")[0] == 200

    STEPS = (refuses_a_job_that_no_row_holds, a_cancelled_id_is_not_stored_later,
             limits_cancellations_of_unknown_ids,
             starts_no_task_again_whose_end_is_held_back, records_more_than_one_row_holds)


if __name__ == "__main__":
    main(LimitsCheck, "platform_limits_check")
