"""Program: minions with tasks that share, and with tasks that always fail.

The stand-in of the project (`tests/processes/workers.py`) with what PROTOCOL.md
says of sharing: `POST /pace`, the fifth entry of each row of `running`, and the
progress of tasks that fill at their pace. The tail of the serving tasks is set
by the control command `tail`. A task whose `spec` has `fails` ends `failed` by
its own fault on any minion, after half of its time: in each run, or in those
that it lists.
"""

import argparse
import json
import time

from tests.processes import fleet
from tests.processes import jobs
from tests.processes import layout
from tests.processes import record
from tests.processes import workers


class Book(jobs.JobBook):
    """What the tasks do; some fail wherever they run."""

    def find(self, task, run, spec):
        """Return the work of one run of a task."""
        work = super().find(task, run, spec)
        try:
            fails = json.loads(spec).get("fails", False)
        except (ValueError, AttributeError):
            fails = False
        is_failure = run in fails if isinstance(fails, list) else bool(fails)
        return work._replace(fails=is_failure)


class SharingFleet(fleet.Fleet):
    """Minions whose filling tasks advance at their pace."""

    def __init__(self, *, find_step, **options):
        super().__init__(**options)
        self._find_step = find_step
        self.tail_ms = 0

    def set_pace(self, worker, *, task, number, percent, at):
        """Let a task work at a share from now on."""
        run = worker.runs.get((task, number))
        if run is not None:
            self._work_on(run, at)
            run.pace = percent

    def list_runs(self, worker, *, at):
        """Return the rows of `running` and of `ended_runs`."""
        running, ended = super().list_runs(worker, at=at)
        for row in running:
            step = self._find_step(row[0])
            run = worker.runs[row[0], row[1]]
            if step.get("fill_count"):
                self._work_on(run, at)
                row[3] = int(100 * run.worked_s / run.work.seconds)
                row[4] = step["cpu"] * run.pace // 100
            elif step.get("target_ms"):
                row[4] = self.tail_ms
            else:
                row[4] = step.get("cpu", 0)
        return running, ended

    @staticmethod
    def _work_on(run, at):
        if not hasattr(run, "pace"):
            run.pace, run.worked_s, run.worked_at = 100, 0.0, run.began
        run.worked_s += max(0.0, at - run.worked_at) * run.pace / 100
        run.worked_at = at


class SharingProgram(workers.Program):
    """Serve all minions."""

    def __init__(self, *, recorder, book, stop_s, **options):
        super().__init__(recorder=recorder, book=book, stop_s=stop_s, **options)
        self._fleet = SharingFleet(
            find_step=self._find_step,
            write=recorder.write,
            on_change=self._note_change,
            stop_s=stop_s,
        )
        self._control._commands["tail"] = self._set_tail

    def _find_step(self, task):
        job, _, step, _ = task.split(".")
        steps = self._book._steps.get(job, [])
        return steps[int(step)] if int(step) < len(steps) else {}

    def _set_tail(self, ms):
        self._fleet.tail_ms = ms

    def _handle(self, call):
        if call.path != "/pace":
            return super()._handle(call)
        number = int(call.key.partition(":")[2])
        worker = self._workers[number]
        body = json.loads(call.body)
        with self._fleet.lock:
            now = time.monotonic()
            self._fleet.advance(now)
            if not worker.is_up:
                return None
            expected = call.headers.get("x-chervilcove-expect-instance")
            if expected != worker.id:
                return 421, {}
            if body.get("fence", 0) < worker.fence:
                return self._refuse(worker, now, "fence")
            worker.fence = body.get("fence", 0)
            self._fleet.set_pace(
                worker,
                task=body["task"],
                number=body["run"],
                percent=body["pct"],
                at=now,
            )
            self._record.write(
                "pace",
                at=now,
                worker=worker.id,
                task=body["task"],
                run=body["run"],
                pct=body["pct"],
            )
            return 200, self._describe(worker, now)


def main():
    """Serve all minions until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--run-folder", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--stop-ms", type=int, default=400)
    layout.add_options(parser)
    options = parser.parse_args()
    SharingProgram(
        place=layout.from_options(options),
        recorder=record.Recorder(options.run_folder, "workers"),
        book=Book(folder=options.run_folder, fail_share=0.0),
        seed=options.seed,
        stop_s=options.stop_ms / 1000 * 0.8,
    ).run()


if __name__ == "__main__":
    main()
