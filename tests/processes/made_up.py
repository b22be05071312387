"""Made-up records for tests of the judge."""

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
SINGLE = ({"count": 1, "cpu": 1_000, "mem_mb": 100, "gpu": 1},)


class Story:
    """Events of a made-up run: two workers, two entries and one job.

    Args:
        steps: Steps of the job.
        bounds: Changes of the bounds.
        guards: Whether the workers refuse what does not fit.
    """

    def __init__(self, *, steps=SINGLE, bounds=None, guards=False):
        self._events = []
        self._number = 0
        self.add(0.0, "plan", seed=7, bounds=bounds or {})
        for number, zone in enumerate(["z0", "z1"]):
            self.add(0.0, "entry_up", entry=f"e{number}", pid=1, boot=1)
            self.worker_up(0.0, f"w{number}", zone=zone, guards=guards)
        self.add(0.0, "claim", epoch=1, entry="e0", offset=0)
        self.job(JOB, steps)

    @property
    def events(self):
        """Return the events in the order of their times."""
        return sorted(self._events, key=lambda event: event["at"])

    def add(self, at, kind, **fields):
        self._events.append({"at": at, "kind": kind, **fields})

    def worker_up(self, at, worker, life=1, zone="z0", **fields):
        size = {"cpu": 4_000, "mem_mb": 4_000, "gpu": 4}
        self.add(
            at,
            "worker_up",
            worker=worker,
            life=life,
            zone=zone,
            **{**size, **fields},
        )

    def job(self, job, steps, at=1.0):
        """Submit a job that is accepted 0.1 s later."""
        self.add(at, "job", job=job, queue="/batch/", steps=list(steps))
        self.answer(at + 0.1, "submit", "queued", job=job)

    def answer(self, at, call, state="", *, job=JOB, status=200, entry="e0"):
        self.add(
            at,
            "answer",
            job=job,
            entry=entry,
            call=call,
            status=status,
            state=state,
        )

    def order(self, at, worker, run=1, path="run-start", **fields):
        entry = fields.get("entry", "e0")
        content = {
            "life": 1,
            "entry": entry,
            "fence": {"e0": 1, "e1": 2}[entry],
            "task": TASK,
            "fate": "normal",
            "refused": "",
        }
        self.add(
            at,
            "order",
            worker=worker,
            path=path,
            run=run,
            **{**content, **fields},
        )

    def start(self, at, worker, run=1, *, entry="e0", **fields):
        """Start a task by an order 0.01 s earlier."""
        place = {
            "task": fields.pop("task", TASK),
            "life": fields.pop("life", 1),
        }
        self.order(at - 0.01, worker, run, entry=entry, **place)
        content = {
            "fence": {"e0": 1, "e1": 2}[entry],
            "late": False,
            "gang": False,
            **place,
            **fields,
        }
        self.add(at, "start", worker=worker, run=run, **content)

    def end(self, at, worker, run=1, how="done", *, task=TASK, life=1):
        """End a run; return the number of the end."""
        self._number += 1
        self.add(
            at,
            "end",
            worker=worker,
            life=life,
            task=task,
            run=run,
            how=how,
            number=self._number,
        )
        return self._number

    def note(self, at, worker, *numbers, life=1):
        self.add(
            at, "ends_noted", worker=worker, life=life, numbers=list(numbers)
        )

    def run(self, begin, end, worker, run=1, how="done", **fields):
        """Add a run whose end is noted 0.1 s later."""
        self.start(begin, worker, run, **fields)
        place = {
            name: fields[name] for name in ("task", "life") if name in fields
        }
        number = self.end(end, worker, run, how, **place)
        self.note(end + 0.1, worker, number, life=place.get("life", 1))

    def lapse(self, at, worker, life=1):
        self.add(at, "lease_lapsed", worker=worker, life=life)

    def fault(self, begin, end, target, name="cut"):
        self.add(begin, "fault", name=name, target=target, phase="begin")
        if end is not None:
            self.add(end, "fault", name=name, target=target, phase="end")
