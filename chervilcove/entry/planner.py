"""Task that proposes scheduling plans.

Every entry runs one, but only the entry that is first in the rendezvous hash
proposes, which keeps two plans on the same basis rare. While jobs wait it
also appends the reasons to the log, a bounded number per record, so that
every entry can explain a wait. The other entries take these records as a
sign that the first one is running.
"""

from collections.abc import Callable
import time

from gevent import event

from chervilcove.core import errors
from chervilcove.core import metrics as metric_values
from chervilcove.core import tasks
from chervilcove.journal import machine
from chervilcove.journal import records
from chervilcove.journal import replica as replicas
from chervilcove.journal import state as states
from chervilcove.membership import failover
from chervilcove.scheduling import core as scheduling

MAX_PLAN_INTERVAL_S = 0.5
TAKEOVER_DELAY_S = 5.0
WAIT_REASONS_INTERVAL_S = 2.0
MAX_WAIT_REASONS_PER_RECORD = 100
WAIT_REASON_REFRESH_S = 60.0
PROPOSE_TIMEOUT_S = 30.0
FAILOVER_KEY = "planner"
# Items of these kinds can make another plan possible at once.
REPLAN_ITEM_KINDS = frozenset(
    {"submit", "cancel", "plan", "ended", "worker_health", "adopt"}
)


class Planner(tasks.Task):
    """Propose plans whenever this entry is due to act.

    Args:
        replica: Replica that commits the proposals and holds the state.
        policy: Scheduling policy that makes the plans.
        get_rank: Returns this entry's rank for a key, 0 for the first.
        metrics: Receiver of counters.

    Attributes:
        waits: Reasons of waits in the latest plan, by job.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        policy: scheduling.Policy,
        get_rank: Callable[[str], int],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="planner")
        self._replica = replica
        self._policy = policy
        self._failover_timer = failover.FailoverTimer(
            key=FAILOVER_KEY,
            get_rank=get_rank,
            takeover_delay_s=TAKEOVER_DELAY_S,
        )
        self._wait_reasons_due_at = 0.0
        self._metrics = metrics
        self._changed = event.Event()
        self.waits: dict[str, scheduling.Wait] = {}
        replica.subscribe(self._handle_applied)

    def run(self) -> None:
        """Plan after each change, and at least every `MAX_PLAN_INTERVAL_S`."""
        while not self.is_stopping:
            self._changed.wait(timeout=MAX_PLAN_INTERVAL_S)
            self._changed.clear()
            if self._is_due():
                self._plan()
                self._publish_wait_reasons()

    def _handle_applied(self, applied: machine.AppliedRecord) -> None:
        if any(done.item.kind in REPLAN_ITEM_KINDS for done in applied.events):
            self._changed.set()

    def _is_due(self) -> bool:
        if not self._replica.is_following:
            return False
        state = self._replica.state
        return self._failover_timer.is_due(
            pending=bool(state.queue or state.active),
            progress=state.core["planned"],
            now=time.monotonic(),
        )

    def _publish_wait_reasons(self) -> None:
        """Append wait reasons that are new or due for a refresh to the log."""
        state = self._replica.state
        now = time.monotonic()
        if not (state.queue or state.active) or now < self._wait_reasons_due_at:
            return
        self._wait_reasons_due_at = now + WAIT_REASONS_INTERVAL_S
        changed = choose_waits_to_publish(state, self.waits)
        self._propose("waits", records.Waits(changed=changed))

    def _plan(self) -> None:
        state = self._replica.state
        now = state.core["time"]
        queue = [job for job in state.list_queue() if job.not_before <= now]
        plan = self._policy.decide(pool=state.pool, queue=queue, now=now)
        self.waits = {wait.job: wait for wait in plan.waits}
        if plan.is_empty:
            return
        body = records.PlanItem(
            basis=state.core["basis"],
            config_offset=state.core["config_offset"],
            placements=list(plan.placements),
            preemptions=list(plan.preemptions),
            refusals=list(plan.refusals),
        )
        self._propose("plan", body)

    def _propose(self, kind: str, body) -> None:
        outcomes = self._replica.propose(
            [records.Item(kind, body)], timeout_s=PROPOSE_TIMEOUT_S
        )
        outcome = outcomes if errors.is_refusal(outcomes) else outcomes[0]
        if errors.is_refusal(outcome):
            self._metrics.count(f"planner.refused.{kind}.{outcome.kind.value}")


def choose_waits_to_publish(
    state: states.State, waits: dict[str, scheduling.Wait]
) -> list[scheduling.Wait]:
    """Return at most `MAX_WAIT_REASONS_PER_RECORD` waits to append to the log.

    A wait is due if its reason differs from the one in the log, or if the one
    in the log is older than `WAIT_REASON_REFRESH_S`.
    """
    known = state.core["waits"]
    oldest_valid_time = state.core["time"] - WAIT_REASON_REFRESH_S
    chosen = []
    for name in state.queue:
        wait = waits.get(name)
        if wait is None or len(chosen) == MAX_WAIT_REASONS_PER_RECORD:
            continue
        note = known.get(name)
        is_same = note is not None and note.reason == wait.reason
        if not is_same or note.time < oldest_valid_time:
            chosen.append(wait)
    return chosen
