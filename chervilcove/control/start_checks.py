"""Whether a worker may get tasks, and whether a start may still be sent.

Between the decision to start a task and each send of its start, the start waits
for its record, for a place among many others, or for the answer to an earlier
try. Meanwhile the worker may drain or leave, or its data centre be evacuated.

Not checked here: an owner that was replaced sends nothing more, as its commands
end with it, and a worker refuses a start with a lapsed ticket.
"""

from collections.abc import Callable
import time

from chervilcove.control import interfaces
from chervilcove.control import runs
from chervilcove.control import sessions
from chervilcove.dispatch import health as health_values
from chervilcove.dispatch import resources as resource_values

# From the first start of a gang on. Members wait 3 s for the others, in which
# they must also be stopped if one of these can't start.
GANG_START_S = 2.0


def find_departure(
    report: interfaces.WorkerReport | None, evacuated: frozenset[str]
) -> str:
    """Return why a worker gets no more tasks in this life, empty if it may.

    Args:
        report: Newest report of the worker, None if it is not listed.
        evacuated: Data centres that get no tasks.
    """
    if report is None:
        return "the worker is no longer listed"
    if report.is_draining:
        return "the worker drains"
    if report.data_centre in evacuated:
        return "the data centre is evacuated"
    return ""


def is_schedulable(
    *,
    report: interfaces.WorkerReport | None,
    session: sessions.Session,
    life: int,
    evacuated: frozenset[str],
    is_quarantined: bool,
) -> bool:
    """Return whether a worker may get new tasks.

    Args:
        report: Newest report of the worker, None if it is not listed.
        session: Session with the worker.
        life: Process of the worker that the tasks are meant for.
        evacuated: Data centres that get no tasks.
        is_quarantined: Whether the worker is in quarantine.
    """
    return (
        not find_departure(report, evacuated)
        and session.are_runs_known
        and session.life == life
        and not is_quarantined
    )


class StartChecks:
    """Decide before each send whether a start may still be sent.

    Args:
        worker_sessions: Sessions with the workers, by id.
        get_report: Returns the newest report of a worker, None if it is not
            listed.
        resources: Resources of the workers.
        health: Health of the workers.
        get_evacuated: Returns the data centres that get no tasks.
    """

    def __init__(
        self,
        *,
        worker_sessions: dict[str, sessions.Session],
        get_report: Callable[[str], interfaces.WorkerReport | None],
        resources: resource_values.FleetResources,
        health: health_values.WorkerHealth,
        get_evacuated: Callable[[], frozenset[str]],
    ):
        self._sessions = worker_sessions
        self._get_report = get_report
        self._resources = resources
        self._health = health
        self._get_evacuated = get_evacuated

    def find_obstacle(
        self, run: runs.Run, member: runs.Member, *, may_be_there: bool
    ) -> str:
        """Return why a start may not be sent now, empty if it may.

        A start that the worker may have carried out is repeated even if the
        worker would get no new tasks for its faults: its answer tells whether
        the task is there.

        Args:
            run: The run.
            member: Task to start.
            may_be_there: Whether an earlier try may have been carried out.
        """
        worker = member.place.worker
        session = self._sessions.get(worker)
        if run.stop_reason:
            return run.stop_reason
        if session is None or session.life != member.place.life:
            return "the worker has restarted or left"
        departure = find_departure(
            self._get_report(worker), self._get_evacuated()
        )
        if departure:
            return departure
        room = self._resources.by_worker[worker]
        if any(
            free < 0 and needed
            for free, needed in zip(room.free, member.placed.need, strict=True)
        ):
            return "the room was taken"
        if may_be_there:
            return ""
        if not session.are_runs_known:
            return "the worker does not answer"
        if self._health.is_quarantined(worker, time.monotonic()):
            return "the worker is in quarantine"
        return ""


def get_gang_time_left_s(run: runs.Run) -> float:
    """Return for how long the starts of a gang may still be sent, seconds."""
    return run.started + GANG_START_S - time.monotonic()
