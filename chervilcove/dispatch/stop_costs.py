"""What a stop costs a task that saves checkpoints.

Under full load, urgent work stops a thousand tasks in half a minute. Those
that have just saved a checkpoint lose almost nothing, others seconds of work.
Time since the last checkpoint and time to restore tell them apart.
"""

from typing import NamedTuple


class CheckpointTimes(NamedTuple):
    """How often tasks save a checkpoint, and how long they resume from it.

    Attributes:
        save_s: Seconds of work between two checkpoints, 0 if unknown.
        restore_s: Seconds that a task takes to resume.
    """

    save_s: float = 0.0
    restore_s: float = 0.0


def estimate_lost_s(
    times: CheckpointTimes, *, run_s: float, since_save_s: float | None
) -> float | None:
    """Return the seconds that a run with checkpoints loses if it stops now.

    A checkpoint becomes known only with the next lease reply, so that the time
    since the newest known one may exceed that between two checkpoints.

    Args:
        times: Times of the deployment.
        run_s: Seconds for which the run has been going.
        since_save_s: Seconds since a new checkpoint became known; None if none
            did in this run.

    Returns:
        None if the deployment states no time between checkpoints.
    """
    if not times.save_s:
        return None
    unsaved_s = run_s if since_save_s is None else min(run_s, since_save_s)
    return min(max(0.0, unsaved_s), times.save_s) + times.restore_s
