"""What the jobs that wait longest are waiting for, for the log."""

from collections.abc import Callable
from collections.abc import Iterable

from chervilcove.core import logs
from chervilcove.dispatch import resources as room_values
from chervilcove.jobs import configuration
from chervilcove.jobs import table

EXPLAIN_AFTER_MS = 3_000  # the users' rules allow 3 s with nothing running
MOST_EXPLAINED = 3  # jobs explained each sweep; bounds the log


class KeptRoom:
    """Log when room begins to be kept for urgent work, changes and ends.

    Only its size is news: the workers that are kept change with each task
    that ends.

    Args:
        log: Where to write.

    Attributes:
        placed: The room that is kept, None for none.
    """

    def __init__(self, *, log: logs.Log):
        self._log = log
        self.placed: room_values.Allocation | None = None

    def note(
        self, placed: room_values.Allocation | None, *, arrivals: int
    ) -> None:
        """Take what a round kept.

        Args:
            placed: The room, None for none.
            arrivals: Urgent jobs that the decision rests on.
        """
        before, self.placed = self.placed, placed
        if _measure(before) == _measure(placed):
            return
        if placed is None:
            self._log.info("room_released", arrivals=arrivals)
            return
        self._log.info(
            "room_kept",
            tasks=len(placed.workers),
            need=",".join(str(each) for each in placed.need),
            workers=",".join(sorted(set(placed.workers))),
            arrivals=arrivals,
        )


def _measure(placed: room_values.Allocation | None) -> tuple | None:
    return placed and (placed.need, len(placed.workers))


def explain(
    *,
    log: logs.Log,
    jobs: Iterable[table.Job],
    runs: Iterable[table.UnitKey],
    rooms: room_values.FleetResources,
    get_queue: Callable[[table.Job], configuration.Queue],
    kept: room_values.Allocation | None,
    now_ms: int,
) -> None:
    """Log the longest waits, and the room that there is.

    Args:
        log: Where to write.
        jobs: Jobs that have not ended.
        runs: Units that hold room.
        rooms: Room on workers.
        get_queue: Returns the queue of a job.
        kept: Room that is kept for urgent work.
        now_ms: Unix milliseconds.
    """
    found = []
    for job in jobs:
        since_ms = max(job.submission.accepted_ms, job.spec.first_due_ms)
        if now_ms - since_ms < EXPLAIN_AFTER_MS or job.active:
            continue
        turn = next(job.list_turns(now_ms), None)
        if turn is not None:
            found.append((now_ms - since_ms, job, turn))
    found.sort(key=lambda wait: -wait[0])
    for waited_ms, job, (occurrence, number) in found[:MOST_EXPLAINED]:
        step = job.spec.steps[number]
        candidates = rooms.list_open(get_queue(job).service, step.label)
        log.info(
            "job_waits",
            job=job.id,
            turn=f"{occurrence}.{number}",
            waited_ms=waited_ms,
            state=job.get_state().value,
            count=step.count,
            gang=step.is_gang,
            same_rack=step.same_rack,
            data_rack=step.data_rack,
            need=",".join(str(each) for each in step.need),
            runs=sum(key.job == job.id for key in runs),
            open_workers=len(candidates),
            fitting_workers=sum(room.fits(step.need) for room in candidates),
            free_accelerators=sum(room.accelerators for room in candidates),
            kept_workers=len(set(kept.workers)) if kept else 0,
            workers=len(rooms.by_worker),
        )
