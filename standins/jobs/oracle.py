"""Checks what the backend servers observe against the rules for running tasks.

The oracle knows the jobs that callers have submitted and the runs that the simulated
servers start, end and discard. It knows nothing about the implementation of the product.
`breaches` lists the violations of the rules.
"""
import collections
import time


class Task:
    def __init__(self):
        self.running = {}        # server id -> run
        self.starts = []         # times of the starts, time.monotonic()
        # Ends with "done" that are or may become final: {"server", "at", "noted"}.
        self.done = []
        self.was_done = False
        self.acknowledged_failures = set()
        self.history = []


class Oracle:
    # Without faults, a start that was in flight when its job was cancelled arrives within
    # this time, and so does a stop.
    CANCELLED_START_S = 3.0
    # An order that a server carries out late was given at most this long before, and its
    # leader may not have read the latest configuration.
    LATE_ORDER_S = 10.0

    def __init__(self):
        self.tasks = collections.defaultdict(Task)
        self.jobs = {}           # id -> {"steps", "spec", "attempts"}
        self.refused = set()     # jobs whose every submission was rejected
        self.cancelled = {}      # id -> time at which the cancellation was acknowledged
        self.caps = collections.defaultdict(list)  # organisation -> [(time, cap)]
        self.breaches = []
        self.calm = False        # no fault is active or was active recently

    def report_violation(self, rule, task, what):
        lines = "".join(f"\n    {line}" for line in self.tasks[task].history[-12:])
        self.breaches.append(f"{rule}: {task}: {what}{lines}")

    def append_history(self, task, server, what):
        self.tasks[task].history.append(f"{time.monotonic():.3f} {server.id} {what}")

    def on_job(self, job, body, attempts, organisation=None):
        self.jobs[job] = {"steps": body["steps"], "spec": body.get("spec", ""),
                          "attempts": attempts, "organisation": organisation}

    def on_cap(self, organisation, cap):
        """The organisation may have `cap` thousandths of a core running from now on."""
        self.caps[organisation].append((time.monotonic(), cap))

    def check_cap(self, name, job, step):
        """Counts what the job's organisation has running, with the task that has started."""
        caps = self.caps.get(job["organisation"])
        if not caps:
            return
        # Orders may be carried out late, so that earlier caps hold for a while.
        first = max((n for n, (at, _) in enumerate(caps)
                     if at < time.monotonic() - self.LATE_ORDER_S), default=0)
        limit = max(cap for _, cap in caps[first:])
        running = 0
        for other, task in self.tasks.items():
            if task.running and self.split(other)[0] in self.jobs:
                owner = self.jobs[self.split(other)[0]]
                if owner["organisation"] == job["organisation"]:
                    running += owner["steps"][self.split(other)[1]]["cpu"] * len(task.running)
        if running > limit * 1.1 + job["steps"][step]["cpu"]:
            self.report_violation("QUOTA", name, f"started with {running} of {limit} thousandths "
                                  f"of a core running for {job['organisation']}")

    def on_refused(self, job):
        self.refused.add(job)
        if any(name.startswith(job) and t.starts for name, t in self.tasks.items()):
            self.report_violation("REFUSED", job, "started although every submission was rejected")

    def on_cancelled(self, job):
        self.cancelled.setdefault(job, time.monotonic())

    def on_start(self, server, name, run, spec):
        task, job_id, step = self.tasks[name], *self.split(name)[:2]
        self.append_history(name, server, f"run {run} started")
        job = self.jobs.get(job_id)
        if job is None or job["spec"] != spec:
            self.report_violation("UNASKED", name, "started although no caller sent it")
        if job_id in self.refused:
            self.report_violation("REFUSED", name, "started although each attempt to submit it was rejected")
        late = time.monotonic() - self.cancelled.get(job_id, time.monotonic())
        if self.calm and late > self.CANCELLED_START_S:
            self.report_violation("UNASKED", name, f"started {late:.1f} s after its job was cancelled")
        if task.running:
            self.report_violation("TWICE", name, f"started although it runs on {sorted(task.running)}")
        if any(end["noted"] for end in task.done):
            self.report_violation("TWICE", name, "started after an end as done was acknowledged")
        if job:
            self.check_step(name, task, job, step)
        task.running[server.id] = run
        task.starts.append(time.monotonic())
        if job:
            self.check_cap(name, job, step)

    def check_step(self, name, task, job, step):
        spec = job["steps"][step]
        if not spec.get("long-running") and len(task.acknowledged_failures) >= job["attempts"]:
            self.report_violation("BUDGET", name, "started after all of its attempts had failed")
        job_id, _, occurrence, _ = self.split(name)
        for earlier in spec.get("after", []):
            for index in range(job["steps"][earlier]["count"]):
                if not self.is_done(f"{job_id}.{occurrence}.{earlier}.{index}"):
                    self.report_violation("ORDER", name,
                                f"started before step {earlier} task {index} has ended")

    def on_end(self, server, name, run, outcome):
        self.append_history(name, server, f"run {run} {outcome}")
        task = self.tasks[name]
        task.running.pop(server.id, None)
        if outcome == "done":
            task.was_done = True
            task.done.append({"server": server.id, "at": time.monotonic(), "noted": False})

    def on_end_acknowledged(self, server, name, run, outcome):
        """The server was told that it may discard the end."""
        self.append_history(name, server, f"run {run} {outcome} forgotten")
        task = self.tasks[name]
        if outcome == "failed":
            task.acknowledged_failures.add(run)
        for end in task.done if outcome == "done" else []:
            if end["server"] == server.id:
                end["noted"] = True
                if any(start > end["at"] for start in task.starts):
                    self.report_violation("TWICE", name, "started after an end as done became final")

    def discard_unacknowledged_ends(self, server):
        """Discards the ends of the server that were not acknowledged: they are not final."""
        for task in self.tasks.values():
            task.done = [e for e in task.done if e["noted"] or e["server"] != server.id]

    def is_done(self, name):
        """Whether a run has ever ended with "done", even if that end was lost."""
        return self.tasks[name].was_done

    @staticmethod
    def split(name):
        job, occurrence, step, index = name.rsplit(".", 3)
        return job, int(step), int(occurrence), int(index)

    def names(self, job):
        """The names of all tasks of a job with a single occurrence."""
        return [f"{job}.0.{n}.{i}" for n, step in enumerate(self.jobs[job]["steps"])
                for i in range(step["count"])]
