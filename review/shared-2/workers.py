"""Program: the minions of the cases 6 to 10.

They are those of `tests/processes`. A run fails only if the `spec` of its job
says so: {"work_ms": N, "fails_ms": N}, after `fails_ms` of work. They may have
no GPUs, as those in the examples of PROTOCOL.md.

`python3 workers.py --run-folder F --seed N [--stop-ms N] [--gpus N] [layout
options]`
"""

import argparse
import json

from tests.processes import jobs
from tests.processes import layout
from tests.processes import record
from tests.processes import workers


class JobBook(jobs.JobBook):
    """Steps of the jobs, and the runs that fail."""

    def find(self, task, run, spec):
        """Return the work of one run of a task."""
        work = super().find(task, run, spec)
        try:
            fails_s = json.loads(spec)["fails_ms"] / 1000
        except (ValueError, KeyError, TypeError):
            return work
        # A run that fails does so after half of its time.
        return work._replace(seconds=2 * fails_s, fails=True, lasts=False)


def main():
    """Run the minions."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--run-folder", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--stop-ms", type=int, default=900)
    parser.add_argument("--gpus", type=int, default=8)
    layout.add_options(parser)
    options = parser.parse_args()
    workers.CAPACITY = (*workers.CAPACITY[:2], options.gpus)
    workers.Program(
        place=layout.from_options(options),
        recorder=record.Recorder(options.run_folder, "workers"),
        book=JobBook(folder=options.run_folder, fail_share=0.0),
        seed=options.seed,
        stop_s=options.stop_ms / 1000 * 0.8,
    ).run()


if __name__ == "__main__":
    main()
