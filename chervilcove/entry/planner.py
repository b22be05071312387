"""The planner: proposes rounds of decisions.

Every entry runs one; the entry that the rendezvous hash names proposes, so
that two rounds on the same basis stay rare. While jobs wait it puts why they
wait into the log, a bounded number at a time, so that all entries can
explain; the others take that as its sign of life.
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

IDLE_S = 0.5
PATIENCE_S = 5.0
WAITS_INTERVAL_S = 2.0
WAITS_LIMIT = 100
WAITS_AGE_S = 60.0
PROPOSE_TIMEOUT_S = 30.0
DUTY = "planner"
# Kinds of items after which another plan may be due at once.
WAKING = frozenset(
    {"submit", "cancel", "plan", "ended", "worker_health", "adopt"}
)


class Planner(tasks.Task):
    """Propose plans while this entry has the duty.

    Args:
        replica: The replica.
        policy: Decides.
        rank: Gives this entry's rank for a duty.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        *,
        replica: replicas.Replica,
        policy: scheduling.Policy,
        rank: Callable[[str], int],
        metrics: metric_values.Metrics,
    ):
        super().__init__(name="planner")
        self._replica = replica
        self._policy = policy
        self._duty = failover.FailoverTimer(
            name=DUTY, rank=rank, patience_s=PATIENCE_S
        )
        self._next_waits = 0.0
        self._metrics = metrics
        self._changed = event.Event()
        self.waits: dict[str, scheduling.Wait] = {}
        replica.subscribe(self._receive)

    def run(self) -> None:
        """Plan after each change, and once every `IDLE_S`."""
        while not self.is_stopping:
            self._changed.wait(timeout=IDLE_S)
            self._changed.clear()
            if self._is_due():
                self._plan()
                self._tell_waits()

    def _receive(self, applied: machine.Applied) -> None:
        if any(done.item.kind in WAKING for done in applied.events):
            self._changed.set()

    def _is_due(self) -> bool:
        if not self._replica.is_following:
            return False
        state = self._replica.state
        return self._duty.is_due(
            pending=bool(state.queue or state.active),
            progress=state.core["planned"],
            now=time.monotonic(),
        )

    def _tell_waits(self) -> None:
        """Put reasons that are new, or old enough to fade, into the log."""
        state = self._replica.state
        now = time.monotonic()
        if not (state.queue or state.active) or now < self._next_waits:
            return
        self._next_waits = now + WAITS_INTERVAL_S
        changed = choose_waits(state, self.waits)
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


def choose_waits(
    state: states.State, waits: dict[str, scheduling.Wait]
) -> list[scheduling.Wait]:
    """Return at most `WAITS_LIMIT` reasons that the log does not have."""
    known = state.core["waits"]
    horizon = state.core["time"] - WAITS_AGE_S
    chosen = []
    for name in state.queue:
        wait = waits.get(name)
        if wait is None or len(chosen) == WAITS_LIMIT:
            continue
        note = known.get(name)
        is_same = note is not None and note.reason == wait.reason
        if not is_same or note.time < horizon:
            chosen.append(wait)
    return chosen
