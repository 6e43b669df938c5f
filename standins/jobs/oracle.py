"""Holds what backend servers see against the rules of running tasks.

It knows the jobs that callers have sent and what the servers of the stand-in start,
end and forget; nothing of how the product works. `breaches` lists what was broken.
"""
import collections
import time


class Task:
    def __init__(self):
        self.running = {}        # server id -> run
        self.starts = []         # times of starts
        self.done = []           # done ends that count or may yet: {"server", "at", "noted"}
        self.was_done = False
        self.failed_noted = set()
        self.history = []


class Oracle:
    # A start that was on its way when its job was cancelled, and a stop, take this long
    # at the most while nothing is wrong.
    CANCELLED_START_S = 3.0

    def __init__(self):
        self.tasks = collections.defaultdict(Task)
        self.jobs = {}           # id -> {"steps", "spec", "attempts"}
        self.refused = set()     # jobs of which every attempt was rejected
        self.cancelled = {}      # id -> time of the acknowledgement
        self.breaches = []
        self.calm = False        # no fault is or was near

    def breach(self, rule, task, what):
        lines = "".join(f"\n    {line}" for line in self.tasks[task].history[-12:])
        self.breaches.append(f"{rule}: {task}: {what}{lines}")

    def note(self, task, server, what):
        self.tasks[task].history.append(f"{time.monotonic():.3f} {server.id} {what}")

    def on_job(self, job, body, attempts):
        self.jobs[job] = {"steps": body["steps"], "spec": body.get("spec", ""),
                          "attempts": attempts}

    def on_refused(self, job):
        self.refused.add(job)
        if any(name.startswith(job) and t.starts for name, t in self.tasks.items()):
            self.breach("REFUSED", job, "every attempt was rejected, and it has started")

    def on_cancelled(self, job):
        self.cancelled.setdefault(job, time.monotonic())

    def on_start(self, server, name, run, spec):
        task, job_id, step = self.tasks[name], *self.split(name)[:2]
        self.note(name, server, f"run {run} started")
        job = self.jobs.get(job_id)
        if job is None or job["spec"] != spec:
            self.breach("UNASKED", name, "no caller sent it")
        if job_id in self.refused:
            self.breach("REFUSED", name, "every attempt to hand it in was rejected")
        late = time.monotonic() - self.cancelled.get(job_id, time.monotonic())
        if self.calm and late > self.CANCELLED_START_S:
            self.breach("UNASKED", name, f"started {late:.1f} s after its job was cancelled")
        if task.running:
            self.breach("TWICE", name, f"runs on {sorted(task.running)} already")
        if any(end["noted"] for end in task.done):
            self.breach("TWICE", name, "started after a done end was taken note of")
        if job:
            self.check_step(name, task, job, step)
        task.running[server.id] = run
        task.starts.append(time.monotonic())

    def check_step(self, name, task, job, step):
        spec = job["steps"][step]
        if not spec.get("long-running") and len(task.failed_noted) >= job["attempts"]:
            self.breach("BUDGET", name, "started after all its attempts have failed")
        job_id, _, occurrence, _ = self.split(name)
        for earlier in spec.get("after", []):
            for index in range(job["steps"][earlier]["count"]):
                if not self.is_done(f"{job_id}.{occurrence}.{earlier}.{index}"):
                    self.breach("ORDER", name, f"step {earlier} task {index} has not ended")

    def on_end(self, server, name, run, how):
        self.note(name, server, f"run {run} {how}")
        task = self.tasks[name]
        task.running.pop(server.id, None)
        if how == "done":
            task.was_done = True
            task.done.append({"server": server.id, "at": time.monotonic(), "noted": False})

    def on_noted(self, server, name, run, how):
        """The server was told that it may forget the end."""
        self.note(name, server, f"run {run} {how} forgotten")
        task = self.tasks[name]
        if how == "failed":
            task.failed_noted.add(run)
        for end in task.done if how == "done" else []:
            if end["server"] == server.id:
                end["noted"] = True
                if any(start > end["at"] for start in task.starts):
                    self.breach("TWICE", name, "started after a done end that counts")

    def on_lapse(self, server):
        """Ends that the server had not been told to forget count no longer."""
        for task in self.tasks.values():
            task.done = [e for e in task.done if e["noted"] or e["server"] != server.id]

    def is_done(self, name):
        """Whether a run has ever ended done, whatever became of that end."""
        return self.tasks[name].was_done

    @staticmethod
    def split(name):
        job, occurrence, step, index = name.rsplit(".", 3)
        return job, int(step), int(occurrence), int(index)

    def names(self, job):
        """All tasks of a job that runs once."""
        return [f"{job}.0.{n}.{i}" for n, step in enumerate(self.jobs[job]["steps"])
                for i in range(step["count"])]
