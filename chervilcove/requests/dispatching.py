"""The dispatcher: one greenlet that owns queues, budgets and views.

Each try runs in a greenlet of its own and reports back by message.
"""

import heapq
from typing import Any

import gevent
from gevent import pool

from chervilcove.core import answers
from chervilcove.core import clock as clocks
from chervilcove.core import errors
from chervilcove.core import metrics as metric_sinks
from chervilcove.core import tasks
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import directories
from chervilcove.requests import flights
from chervilcove.requests import lanes
from chervilcove.requests import links
from chervilcove.requests import messages


class Dispatcher(tasks.Task):
    """Queue flights, send them to minions, retry what may be retried.

    Args:
        entry: Name of this entry, unique among all.
        data_centre: Data centre of this entry.
        metrics: Counters of retry and failure reasons.
        clock: Source of time.
        limits: Bounds.
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
        self._directory = directories.Directory(
            entry=entry,
            data_centre=data_centre,
            limits=limits,
            metrics=metrics,
            post=self.post_always,
        )
        self._tries = pool.Group()
        self._timers: list[tuple[float, int, messages.HedgeDue]] = []
        self._timer_count = 0
        self._next_tick = 0.0
        self._takers = {
            messages.Submit: self._take_submit,
            messages.Check: self._take_check,
            messages.TryEnded: self._take_try_ended,
            messages.Probed: self._take_probed,
            messages.SetMinions: self._take_set_minions,
            messages.SetServices: self._take_set_services,
            messages.SetInstances: self._take_set_instances,
            messages.SetEntries: self._take_set_entries,
            messages.Describe: self._take_describe,
        }

    def post_always(self, message: Any) -> None:
        """Post a message that must not be lost; the inbox outsizes them."""
        if not self.post(message):
            self._metrics.count("requests.inbox_full")
            self.log.error("inbox_full", message=type(message).__name__)

    def stop(self, *, timeout_s: float = 1.0) -> None:
        """End the task and close all connections."""
        super().stop(timeout_s=timeout_s)
        self._directory.close()

    def kill_tries(self) -> None:
        """Cut all tries, as the end of the process would."""
        self._tries.kill(block=False)

    def run(self) -> None:
        """Take messages, look at deadlines."""
        while not self.is_stopping:
            message = self.receive(timeout_s=self._get_wait())
            if message is not None:
                self._takers[type(message)](message)
            self._run_timers()

    def _get_wait(self) -> float:
        due = self._next_tick
        if self._timers:
            due = min(due, self._timers[0][0])
        return max(0.0, due - self._clock.read())

    def _run_timers(self) -> None:
        now = self._clock.read()
        while self._timers and self._timers[0][0] <= now:
            self._take_hedge_due(heapq.heappop(self._timers)[2])
        if now < self._next_tick:
            return
        is_idle = True
        for lane in self._directory.list_lanes():
            for flight in lane.queue.pop_expired(now):
                flight.finish(lanes.refuse_expired())
            self._fill(lane)
            self._gauge(lane)
            is_idle = is_idle and not len(lane.queue)
        limits = self._limits
        pause_s = limits.idle_tick_s if is_idle else limits.tick_s
        self._next_tick = now + pause_s

    def _gauge(self, lane: lanes.Lane) -> None:
        views = lane.balancer.list_views()
        in_flight = sum(view.in_flight for view in views)
        name = lane.service
        self._metrics.set_gauge(f"requests.in_flight.{name}", in_flight)
        self._metrics.set_gauge(f"requests.queued.{name}", len(lane.queue))

    def _take_check(self, message: messages.Check) -> None:
        lane = self._directory.get_lane(message.request.service)
        if errors.is_refusal(lane):
            message.reply.set(lane)
            return
        now = self._clock.read()
        message.reply.set(lane.check(message.request, now=now))

    def _take_submit(self, message: messages.Submit) -> None:
        flight = message.flight
        lane = self._directory.get_lane(flight.request.service)
        if errors.is_refusal(lane):
            flight.finish(lane)
            return
        refusal = lane.check(flight.request, now=self._clock.read())
        if refusal is not None:
            flight.finish(refusal)
            return
        self._push(lane, flight)
        self._fill(lane)

    def _push(self, lane: lanes.Lane, flight: flights.Flight) -> None:
        due = self._clock.read() + self._limits.tick_s
        self._next_tick = min(self._next_tick, due)
        shed = lane.queue.push(flight)
        if shed is not None:
            shed.finish(lanes.refuse_full(self._limits.queue))

    def _fill(self, lane: lanes.Lane) -> None:
        now = self._clock.read()
        while len(lane.queue) and lane.balancer.has_room(now):
            self._send_next(lane, now)
        if len(lane.queue) and not lane.balancer.is_usable(now):
            self._refuse_all(lane)

    def _send_next(self, lane: lanes.Lane, now: float) -> None:
        flight = lane.peek_next(now=now)
        lane.queue.remove(flight)
        request = flight.request
        # A try cut short by its deadline could not be told from one that ran.
        spare_s = 0.0 if request.is_idempotent else self._limits.min_once_s
        if request.deadline <= now + spare_s:
            flight.finish(lanes.refuse_expired())
            return
        if lane.is_hopeless(request, now=now):
            flight.finish(_refuse_hopeless())
            return
        view = lane.balancer.choose(
            now=now,
            avoided=flight.avoided,
            is_idempotent=flight.request.is_idempotent,
        )
        self._start_try(lane, flight, view.name)

    def _refuse_all(self, lane: lanes.Lane) -> None:
        for flight in lane.queue.pop_all():
            flight.finish(
                errors.refuse(errors.Kind.NO_MINION, "no minion is live")
            )

    def _start_try(
        self, lane: lanes.Lane, flight: flights.Flight, name: str
    ) -> None:
        now = self._clock.read()
        link = self._directory.get_link(lane, name)
        timeout_s = lane.get_try_timeout(
            flight.request, tries=flight.tries, now=now
        )
        if not flight.was_sent:
            flight.was_sent = True
            lane.budget.add_first_try()
        flight.tries += 1
        link.view.in_flight += 1
        lane.note_start(flight.request.customer)
        greenlet = self._tries.spawn(
            link.exchange.send, flight.request, now=now, timeout_s=timeout_s
        )
        flight.live[name] = greenlet
        greenlet.rawlink(
            lambda ended: self.post_always(
                messages.TryEnded(
                    lane, flight, link, _read_outcome(ended), timeout_s
                )
            )
        )
        if flight.request.is_idempotent and flight.tries == 1:
            self._plan_hedge(lane, flight, now)

    def _plan_hedge(
        self, lane: lanes.Lane, flight: flights.Flight, now: float
    ) -> None:
        delay_s = lane.get_hedge_delay(now)
        if delay_s is None:
            return
        self._timer_count += 1
        timer = (
            now + delay_s,
            self._timer_count,
            messages.HedgeDue(lane, flight),
        )
        heapq.heappush(self._timers, timer)

    def _take_try_ended(self, message: messages.TryEnded) -> None:
        lane, flight, link, outcome, _ = message
        link.view.in_flight -= 1
        lane.note_end(flight.request.customer)
        flight.live.pop(link.view.name, None)
        if outcome is not None:
            self._judge_minion(lane, message)
            self._judge_flight(lane, flight, link, outcome)
        elif not flight.is_done:
            flight.may_have_run = True
            flight.finish(
                errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "the try was ended")
            )
        self._fill(lane)

    def _judge_minion(
        self, lane: lanes.Lane, message: messages.TryEnded
    ) -> None:
        view, outcome = message.link.view, message.outcome
        now = self._clock.read()
        if outcome.minion_status is not None:
            view.hear(outcome.minion_status, now=now)
        if outcome.reason == "busy":
            view.hear_full(now=now)
        if not outcome.reason:
            view.note_success()
            lane.times.add(outcome.elapsed_s, now=now)
            return
        if (
            outcome.ran is answers.Ran.NOT_RUN
            and outcome.minion_status is not None
        ):
            return
        self._metrics.count(f"requests.failed.{outcome.reason}")
        if _is_unfair(lane, message, now):
            return
        if outcome.reason == errors.Kind.CONNECT_FAILED:
            view.note_miss()
        if lane.balancer.note_failure(view, now=now):
            self._metrics.count("requests.ejected")
            self.log.warn("minion_ejected", minion=view.name)
        if outcome.minion_status is None:
            message.link.distrust_connections()

    def _judge_flight(
        self,
        lane: lanes.Lane,
        flight: flights.Flight,
        link: links.Link,
        outcome: core.Outcome,
    ) -> None:
        if flight.is_done:
            return
        if not errors.is_refusal(outcome.result):
            self._finish(flight, outcome.result)
            return
        if outcome.ran is not answers.Ran.NOT_RUN:
            flight.may_have_run = True
        if flight.live:
            return
        flight.avoided.add(link.view.name)
        if outcome.reason == "busy":
            self._requeue(lane, flight)
            return
        refusal = self._check_retry(lane, flight, outcome)
        if refusal is not None:
            flight.finish(refusal)
            return
        self._metrics.count(f"requests.retried.{outcome.reason}")
        self._push(lane, flight)

    def _requeue(self, lane: lanes.Lane, flight: flights.Flight) -> None:
        """Queue a flight again that found no free slot.

        That is waiting, not a retry: it takes nothing from the budget, and
        the pause of the busy minion bounds it.
        """
        flight.tries -= 1
        if flight.request.deadline <= self._clock.read():
            flight.finish(lanes.refuse_expired())
            return
        self._metrics.count("requests.requeued.busy")
        self._push(lane, flight)

    def _check_retry(
        self,
        lane: lanes.Lane,
        flight: flights.Flight,
        outcome: core.Outcome,
    ) -> errors.Refusal | None:
        now = self._clock.read()
        if flight.may_have_run and not flight.request.is_idempotent:
            return outcome.result
        if flight.request.deadline <= now:
            return lanes.refuse_expired()
        if flight.tries >= self._limits.tries:
            return outcome.result
        if not lane.budget.take(now):
            return errors.refuse(
                errors.Kind.RETRY_BUDGET_SPENT,
                f"no retry left after: {outcome.result.reason}",
                last=outcome.reason,
            )
        return None

    def _finish(self, flight: flights.Flight, response: core.Response) -> None:
        flight.finish(response)
        for greenlet in flight.live.values():
            greenlet.kill(block=False)

    def _take_hedge_due(self, message: messages.HedgeDue) -> None:
        lane, flight = message
        if flight.is_done or len(flight.live) != 1:
            return
        if flight.tries >= self._limits.tries or len(lane.queue):
            return
        now = self._clock.read()
        used = {*flight.avoided, *flight.live}
        view = lane.balancer.choose(now=now, avoided=used, is_idempotent=True)
        if view is None or view.name in used:
            return
        if view.get_load() >= self._limits.max_hedge_load:
            return
        if not lane.budget.take(now):
            return
        self._metrics.count("requests.hedged")
        self._start_try(lane, flight, view.name)

    def _take_probed(self, message: messages.Probed) -> None:
        self._directory.hear_probe(message, now=self._clock.read())

    def _take_set_minions(self, message: messages.SetMinions) -> None:
        self._directory.set_minions(
            message.service, message.minions, now=self._clock.read()
        )

    def _take_set_services(self, message: messages.SetServices) -> None:
        self._directory.set_services(message.services, now=self._clock.read())

    def _take_set_instances(self, message: messages.SetInstances) -> None:
        self._directory.set_instances(message.instances)

    def _take_set_entries(self, message: messages.SetEntries) -> None:
        self._directory.set_entries(message.names)

    def _take_describe(self, message: messages.Describe) -> None:
        message.reply.set(self._directory.describe(now=self._clock.read()))


def _read_outcome(greenlet: gevent.Greenlet) -> core.Outcome | None:
    return greenlet.value if isinstance(greenlet.value, core.Outcome) else None


def _is_unfair(
    lane: lanes.Lane, message: messages.TryEnded, now: float
) -> bool:
    """Tell whether the try had too little time to judge the minion by."""
    timed_out = message.outcome.elapsed_s >= message.timeout_s
    return timed_out and message.timeout_s < lane.get_patience(now) / 2


def _refuse_hopeless() -> errors.Refusal:
    return errors.refuse(
        errors.Kind.DEADLINE_TOO_SHORT,
        "the time left is shorter than the usual service time",
    )
