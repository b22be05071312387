"""Judge of a recorded run, by what workers, the store and callers saw.

`python -m tests.processes.judge FOLDER` prints the breaks of the rules in
RULES.md that a soak can show, with all runs concerned, and how much there was
to judge. It ends with exit code 1 if there is a break.

Each rule is a function of a history and tells in its docstring what it doesn't
judge. Where a rule holds only for machines in touch or with no disturbance
near, it is judged only where the record shows that for certain. In touch asks
for undisturbed sender, store and worker from `contact_s` before: a fault
without an end lasts on, and one whose target names no worker, entry or zone
concerns all. A fault that holds up calls must not be said to have ended before
the last of them was carried out, unless their lines say that they were late.
A lease that lapses must be recorded also where nothing runs.
"""

import argparse
import pathlib
import sys

from tests.processes import breaks
from tests.processes import history as histories
from tests.processes import outcomes
from tests.processes import record
from tests.processes import starts
from tests.processes import twice

RULES = (
    twice.find_overlaps,
    twice.find_starts_after_done,
    twice.find_starts_after_note,
    starts.find_overfull_workers,
    starts.find_starts_beyond_budget,
    starts.find_starts_out_of_order,
    starts.find_unasked_starts,
    starts.find_runs_after_cancel,
    starts.find_starts_on_draining,
    starts.find_starts_of_refused,
    outcomes.find_lone_members,
    outcomes.find_forgotten_jobs,
    outcomes.find_wrong_ends,
    outcomes.find_idle_jobs,
)


def judge(history):
    """Return all breaks in the order of their times."""
    found = [each for rule in RULES for each in rule(history)]
    return sorted(found, key=lambda each: each.at)


def summarize(history):
    """Return counts that tell how much there was to judge."""
    runs = history.runs
    return {
        "seed": history.seed,
        "starts": len(runs),
        "late": sum(run.is_late for run in runs),
        "by_sender_in_touch": sum(history.is_in_touch(run) for run in runs),
        "done_and_noted": sum(
            run.how == "done" and run.is_noted for run in runs
        ),
        "jobs": len(history.jobs),
        "cancelled": sum(
            job.find_answer("delete") <= history.last
            for job in history.jobs.values()
        ),
        "epochs": len({claim["epoch"] for claim in history.claims}),
    }


def main(arguments=None):
    parser = argparse.ArgumentParser(prog="python -m tests.processes.judge")
    parser.add_argument("folder", type=pathlib.Path)
    options = parser.parse_args(arguments)
    if not options.folder.is_dir():
        parser.error(f"{options.folder} is no folder")
    history = histories.History(record.read_folder(options.folder))
    found = judge(history)
    for each in found:
        print(breaks.describe(each, history))
    counts = summarize(history) | {"breaks": len(found)}
    print(" ".join(f"{name}={value}" for name, value in counts.items()))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
