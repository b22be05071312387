"""Dispatcher: one greenlet that owns the queues, budgets and minion views.

Each try runs in its own greenlet and reports its outcome by message.
"""

import heapq
from typing import Any

import gevent
from gevent import pool

from chervilcove.core import clock as clocks
from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.core import metrics as metric_sinks
from chervilcove.core import tasks
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import lifecycle
from chervilcove.requests import links
from chervilcove.requests import messages
from chervilcove.requests import service_registry
from chervilcove.requests import services


class Dispatcher(tasks.Task):
    """Queue requests, send them to minions, retry them where allowed.

    Args:
        entry: Name of this entry, unique among all entries.
        data_centre: Data centre of this entry.
        metrics: Counters of retries and failures by reason.
        clock: Source of monotonic time.
        limits: Limits of request routing.
    """

    def __init__(
        self,
        *,
        entry: str,
        data_centre: str,
        metrics: metric_sinks.Metrics,
        clock: clocks.Clock,
        limits: conf.Limits,
    ):
        super().__init__(name="requests")
        self._metrics = metrics
        self._clock = clock
        self._limits = limits
        self._registry = service_registry.ServiceRegistry(
            entry=entry,
            data_centre=data_centre,
            limits=limits,
            metrics=metrics,
            post=self.post_or_log,
        )
        self._running_tries = pool.Group()
        self._hedge_timers: list[tuple[float, int, messages.HedgeDue]] = []
        self._timer_id = 0
        self._next_tick = 0.0
        self._handlers = {
            messages.Submit: self._handle_submit,
            messages.CheckAdmission: self._handle_check,
            messages.TryEnded: self._handle_try_ended,
            messages.ProbeEnded: self._handle_probe_ended,
            messages.SetMinions: self._handle_set_minions,
            messages.SetServices: self._handle_set_services,
            messages.SetInstances: self._handle_set_instances,
            messages.SetEntries: self._handle_set_entries,
            messages.Describe: self._handle_describe,
        }

    def post_or_log(self, message: Any) -> None:
        """Post a message; the inbox is large enough unless overloaded."""
        if not self.post(message):
            self._metrics.count("requests.inbox_full")
            self.log.error("inbox_full", message=type(message).__name__)

    def stop(self, *, timeout_s: float = 1.0) -> None:
        """Stop the task and close all connections."""
        super().stop(timeout_s=timeout_s)
        self._registry.close()

    def kill_tries(self) -> None:
        """Kill all running tries, as if the process was killed."""
        self._running_tries.kill(block=False)

    def run(self) -> None:
        """Handle messages and check deadlines."""
        while not self.is_stopping:
            message = self.receive(timeout_s=self._get_wait_s())
            if message is not None:
                self._handlers[type(message)](message)
            self._run_timers()

    def _get_wait_s(self) -> float:
        due = self._next_tick
        if self._hedge_timers:
            due = min(due, self._hedge_timers[0][0])
        return max(0.0, due - self._clock.read())

    def _run_timers(self) -> None:
        now = self._clock.read()
        while self._hedge_timers and self._hedge_timers[0][0] <= now:
            self._handle_hedge_due(heapq.heappop(self._hedge_timers)[2])
        if now < self._next_tick:
            return
        is_idle = True
        for state in self._registry.list_service_states():
            for pending in state.queue.pop_expired(now):
                pending.set_result(services.refuse_expired())
            self._dispatch_queued(state)
            self._set_gauges(state)
            is_idle = is_idle and not len(state.queue)
        limits = self._limits
        pause_s = limits.idle_tick_s if is_idle else limits.tick_s
        self._next_tick = now + pause_s

    def _set_gauges(self, state: services.ServiceState) -> None:
        views = state.balancer.list_views()
        in_flight = sum(view.in_flight for view in views)
        name = state.service
        self._metrics.set_gauge(f"requests.in_flight.{name}", in_flight)
        self._metrics.set_gauge(f"requests.queued.{name}", len(state.queue))

    def _handle_check(self, message: messages.CheckAdmission) -> None:
        state = self._registry.get_service_state(message.request.service)
        if errors.is_refusal(state):
            message.reply.set(state)
            return
        now = self._clock.read()
        message.reply.set(state.check_admission(message.request, now=now))

    def _handle_submit(self, message: messages.Submit) -> None:
        pending = message.pending
        state = self._registry.get_service_state(pending.request.service)
        if errors.is_refusal(state):
            pending.set_result(state)
            return
        refusal = state.check_admission(pending.request, now=self._clock.read())
        if refusal is not None:
            pending.set_result(refusal)
            return
        self._enqueue(state, pending)
        self._dispatch_queued(state)

    def _enqueue(
        self, state: services.ServiceState, pending: lifecycle.PendingRequest
    ) -> None:
        due = self._clock.read() + self._limits.tick_s
        self._next_tick = min(self._next_tick, due)
        shed = state.queue.push(pending)
        if shed is not None:
            shed.set_result(services.refuse_queue_full(self._limits.queue))

    def _dispatch_queued(self, state: services.ServiceState) -> None:
        now = self._clock.read()
        while len(state.queue) and state.balancer.has_capacity(now):
            self._send_next(state, now)
        if len(state.queue) and not state.balancer.is_usable(now):
            self._refuse_all(state)

    def _send_next(self, state: services.ServiceState, now: float) -> None:
        pending = state.peek_next(now=now)
        state.queue.remove(pending)
        request = pending.request
        # A try cut short by its deadline cannot be told from one that ran.
        spare_s = 0.0 if request.is_idempotent else self._limits.min_once_s
        if request.deadline <= now + spare_s:
            pending.set_result(services.refuse_expired())
            return
        if state.is_likely_late(request, now=now):
            pending.set_result(_refuse_deadline_too_short())
            return
        view = state.balancer.choose(
            now=now,
            avoided=pending.failed_minions,
            is_idempotent=pending.request.is_idempotent,
        )
        self._start_try(state, pending, view.name)

    def _refuse_all(self, state: services.ServiceState) -> None:
        for pending in state.queue.pop_all():
            pending.set_result(
                errors.refuse(errors.Kind.NO_MINION, "no minion is available")
            )

    def _start_try(
        self,
        state: services.ServiceState,
        pending: lifecycle.PendingRequest,
        name: str,
    ) -> None:
        now = self._clock.read()
        link = self._registry.get_link(state, name)
        timeout_s = state.get_try_timeout_s(
            pending.request, try_count=pending.try_count, now=now
        )
        if not pending.was_sent:
            pending.was_sent = True
            state.retry_budget.add_first_try()
        pending.try_count += 1
        link.view.in_flight += 1
        state.record_try_start(pending.request.customer)
        greenlet = self._running_tries.spawn(
            link.client.send, pending.request, now=now, timeout_s=timeout_s
        )
        pending.running_tries[name] = greenlet
        greenlet.rawlink(
            lambda ended: self.post_or_log(
                messages.TryEnded(
                    state, pending, link, _read_outcome(ended), timeout_s
                )
            )
        )
        if pending.request.is_idempotent and pending.try_count == 1:
            self._schedule_hedge(state, pending, now)

    def _schedule_hedge(
        self,
        state: services.ServiceState,
        pending: lifecycle.PendingRequest,
        now: float,
    ) -> None:
        delay_s = state.get_hedge_delay_s(now)
        if delay_s is None:
            return
        self._timer_id += 1
        due = (now + delay_s, self._timer_id, messages.HedgeDue(state, pending))
        heapq.heappush(self._hedge_timers, due)

    def _handle_try_ended(self, message: messages.TryEnded) -> None:
        state, pending, link, outcome, _ = message
        link.view.in_flight -= 1
        state.record_try_end(pending.request.customer)
        pending.running_tries.pop(link.view.name, None)
        if outcome is not None:
            self._update_minion(state, message)
            self._handle_outcome(state, pending, link, outcome)
        elif not pending.is_done:
            pending.may_have_run = True
            pending.set_result(
                errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "try was cancelled")
            )
        self._dispatch_queued(state)

    def _update_minion(
        self, state: services.ServiceState, message: messages.TryEnded
    ) -> None:
        view, outcome = message.link.view, message.outcome
        now = self._clock.read()
        if outcome.minion_status is not None:
            view.record_status(outcome.minion_status, now=now)
        if outcome.reason == "busy":
            view.record_busy(now=now)
        if not outcome.reason:
            view.record_success()
            state.service_times.add(outcome.elapsed_s, now=now)
            return
        if (
            outcome.ran is error_responses.Ran.NOT_RUN
            and outcome.minion_status is not None
        ):
            return
        self._metrics.count(f"requests.failed.{outcome.reason}")
        if _is_timeout_inconclusive(state, message, now):
            return
        if outcome.reason == errors.Kind.CONNECT_FAILED:
            view.record_unreachable()
        if state.balancer.record_failure(view, now=now):
            self._metrics.count("requests.ejected")
            self.log.warn("minion_ejected", minion=view.name)
        if outcome.minion_status is None:
            message.link.reset_connections()

    def _handle_outcome(
        self,
        state: services.ServiceState,
        pending: lifecycle.PendingRequest,
        link: links.MinionLink,
        outcome: core.Outcome,
    ) -> None:
        if pending.is_done:
            return
        if not errors.is_refusal(outcome.result):
            self._answer(pending, outcome.result)
            return
        if outcome.ran is not error_responses.Ran.NOT_RUN:
            pending.may_have_run = True
        if pending.running_tries:
            return
        pending.failed_minions.add(link.view.name)
        if outcome.reason == "busy":
            self._requeue(state, pending)
            return
        refusal = self._check_retry(state, pending, outcome)
        if refusal is not None:
            pending.set_result(refusal)
            return
        self._metrics.count(f"requests.retried.{outcome.reason}")
        self._enqueue(state, pending)

    def _requeue(
        self, state: services.ServiceState, pending: lifecycle.PendingRequest
    ) -> None:
        """Requeue a request that a minion refused as busy."""
        # Not a retry: costs no retry budget, and busy_pause_s limits the rate.
        pending.try_count -= 1
        if pending.request.deadline <= self._clock.read():
            pending.set_result(services.refuse_expired())
            return
        self._metrics.count("requests.requeued.busy")
        self._enqueue(state, pending)

    def _check_retry(
        self,
        state: services.ServiceState,
        pending: lifecycle.PendingRequest,
        outcome: core.Outcome,
    ) -> errors.Refusal | None:
        now = self._clock.read()
        if pending.may_have_run and not pending.request.is_idempotent:
            return outcome.result
        if pending.request.deadline <= now:
            return services.refuse_expired()
        if pending.try_count >= self._limits.tries:
            return outcome.result
        if not state.retry_budget.try_spend(now):
            return errors.refuse(
                errors.Kind.RETRY_BUDGET_SPENT,
                f"retry budget spent after: {outcome.result.reason}",
                last=outcome.reason,
            )
        return None

    def _answer(
        self, pending: lifecycle.PendingRequest, response: core.Response
    ) -> None:
        pending.set_result(response)
        for greenlet in pending.running_tries.values():
            greenlet.kill(block=False)

    def _handle_hedge_due(self, message: messages.HedgeDue) -> None:
        state, pending = message
        if pending.is_done or len(pending.running_tries) != 1:
            return
        if pending.try_count >= self._limits.tries or len(state.queue):
            return
        now = self._clock.read()
        used = {*pending.failed_minions, *pending.running_tries}
        view = state.balancer.choose(now=now, avoided=used, is_idempotent=True)
        if view is None or view.name in used:
            return
        if view.get_load() >= self._limits.max_hedge_load:
            return
        if not state.retry_budget.try_spend(now):
            return
        self._metrics.count("requests.hedged")
        self._start_try(state, pending, view.name)

    def _handle_probe_ended(self, message: messages.ProbeEnded) -> None:
        self._registry.record_probe(message, now=self._clock.read())

    def _handle_set_minions(self, message: messages.SetMinions) -> None:
        self._registry.set_minions(
            message.service, message.minions, now=self._clock.read()
        )

    def _handle_set_services(self, message: messages.SetServices) -> None:
        self._registry.set_services(message.services, now=self._clock.read())

    def _handle_set_instances(self, message: messages.SetInstances) -> None:
        self._registry.set_instances(message.instances)

    def _handle_set_entries(self, message: messages.SetEntries) -> None:
        self._registry.set_entries(message.names)

    def _handle_describe(self, message: messages.Describe) -> None:
        message.reply.set(self._registry.describe(now=self._clock.read()))


def _read_outcome(greenlet: gevent.Greenlet) -> core.Outcome | None:
    return greenlet.value if isinstance(greenlet.value, core.Outcome) else None


def _is_timeout_inconclusive(
    state: services.ServiceState, message: messages.TryEnded, now: float
) -> bool:
    """Return whether a timeout was too short to count against the minion."""
    timed_out = message.outcome.elapsed_s >= message.timeout_s
    return timed_out and message.timeout_s < state.get_base_timeout_s(now) / 2


def _refuse_deadline_too_short() -> errors.Refusal:
    return errors.refuse(
        errors.Kind.DEADLINE_TOO_SHORT,
        "the time left is shorter than the median service time",
    )
