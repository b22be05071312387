"""The shipped policy: serves guarantees first, then orders by time saved."""

from chervilcove.core import errors
from chervilcove.scheduling import conf
from chervilcove.scheduling import core
from chervilcove.scheduling import defragmentation
from chervilcove.scheduling import evacuation
from chervilcove.scheduling import finder
from chervilcove.scheduling import maximums
from chervilcove.scheduling import needs
from chervilcove.scheduling import order
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import preemption
from chervilcove.scheduling import quotas
from chervilcove.scheduling import reasons
from chervilcove.scheduling import rounds
from chervilcove.scheduling import search_cache
from chervilcove.scheduling import slot_claims
from chervilcove.scheduling import trials

_MAX_RESERVED = 2
_MAX_RETRIES = 6
_BACKFILL_SHARE = 0.5


class GuaranteePolicy(core.Policy):
    """Keeps guarantees reclaimable and starts whole gangs only.

    Jobs are ordered by the time that serving them saves. The only state of
    the policy is a cache that avoids repeating searches that would fail again.
    """

    def __init__(
        self, *, settings: conf.PolicySettings = conf.COMPLETION_SETTINGS
    ):
        self.settings = settings
        self._cache = search_cache.SearchCache()

    def decide(
        self, *, pool: pools.Pool, queue: list[core.QueuedJob], now: float
    ) -> core.Plan:
        """Return the decisions of the next round."""
        self._cache.begin_round(pool, now)
        round_ = rounds.Round(pool=pool, now=now, settings=self.settings)
        try:
            return _PlanBuilder(round_, queue, self._cache).build()
        finally:
            round_.roll_back()


class _PlanBuilder:
    """Builds the plan of one round."""

    def __init__(
        self,
        round_: rounds.Round,
        queue: list[core.QueuedJob],
        cache: search_cache.SearchCache,
    ):
        self._round = round_
        self._pool = round_.pool
        self._settings = round_.settings
        self._queue = queue
        self._cache = cache
        self._budget = 0
        self._started: set[str] = set()
        self._reserved: dict[str, float] = {}
        self._failed_claims: set[search_cache.Signature] = set()
        self._refusals: list[core.JobRefusal] = []
        self._waits: dict[str, core.Wait] = {}
        self._deferred: list[core.QueuedJob] = []

    def build(self) -> core.Plan:
        """Make all decisions of the round and return the plan."""
        evacuation.evacuate(self._round)
        ready = [job for job in self._queue if self._is_ready(job)]
        ready = order.sort_queue(
            pool=self._pool,
            queue=ready,
            now=self._round.now,
            settings=self._settings,
        )
        self._budget = self._settings.most_examined // 2
        self._serve_claims(ready)
        self._serve_starved(ready)
        for job in ready:
            self._serve(job)
        self._serve_deferred()
        self._started |= trials.place_trials(
            self._round, ready, self._may_start
        )
        return core.Plan(
            placements=tuple(self._round.placements),
            preemptions=tuple(self._round.preemptions),
            refusals=tuple(self._refusals),
            waits=tuple(
                wait
                for job, wait in self._waits.items()
                if job not in self._started
            ),
            is_partial=bool(self._deferred) or self._has_more(),
        )

    def _has_more(self) -> bool:
        """Tell whether the next round may start jobs that found no place.

        A gang started in this round can't be preempted before the next one,
        not even for a job that may claim its places.
        """
        has_borrowed = any(
            not placement.slot for placement in self._round.placements
        )
        return has_borrowed and any(
            wait.reason in (core.Reason.NO_ROOM, core.Reason.FRAGMENTED)
            for job, wait in self._waits.items()
            if job not in self._started
        )

    def _is_ready(self, job: core.QueuedJob) -> bool:
        """Tell whether to search places for `job`.

        If not, its refusal or wait is recorded.
        """
        spec = job.spec
        if self._pool.health.is_unrunnable(spec["id"]):
            workers = self._pool.health.list_failed_workers(spec["id"])
            refusal = errors.refuse(
                errors.Kind.JOB_FAILED,
                f"failed on {', '.join(workers)}, which run other work",
                cause=core.Reason.NEVER_RUNS.value,
                workers=list(workers),
            )
            self._refusals.append(core.JobRefusal(spec["id"], refusal))
            return False
        refusal = self._cache.checker.check(self._pool.configuration, spec)
        if refusal is not None:
            self._refusals.append(core.JobRefusal(spec["id"], refusal))
            return False
        if job.not_before > self._round.now:
            detail = f"attempt {job.attempts} failed"
            self._wait(job, core.Reason.BACK_OFF, detail)
            return False
        return True

    def _serve_claims(self, ready: list[core.QueuedJob]) -> None:
        """Start jobs in their slots before borrowing jobs take the places."""
        for job in ready:
            if len(self._started) >= self._settings.most_started:
                break
            signature = self._get_signature(job)
            is_known = signature in self._cache.failures
            if is_known or signature in self._failed_claims:
                continue
            if not slot_claims.has_slot(self._round, job, signature.need):
                continue
            if not self._is_held_back(job) and self._claim_slot(job, signature):
                self._started.add(job.spec["id"])
            if len(self._failed_claims) >= self._settings.most_claims:
                break
        if self._round.preemptions:
            self._cache.failures.clear()

    def _claim_slot(
        self, job: core.QueuedJob, signature: search_cache.Signature
    ) -> bool:
        if signature in self._failed_claims:
            return False
        if slot_claims.claim_slot(
            self._round, job, signature.need, signature.avoided
        ):
            return True
        self._failed_claims.add(signature)
        return False

    def _serve_starved(self, ready: list[core.QueuedJob]) -> None:
        """Serve the large gangs that wait longest, or reserve their places."""
        starved = [
            job
            for job in ready
            if self._is_starved(job)
            and not maximums.would_exceed(self._pool, job.spec)
        ]
        # Jobs that have run already go last. If they were ordered by
        # submission alone, they would always be served first again.
        starved.sort(key=lambda job: (job.attained > 0, job.submitted_at))
        for job in starved[:_MAX_RESERVED]:
            self._serve(job, is_starved=True)
            if job.spec["id"] in self._started:
                continue
            need = needs.make_need(job.spec)
            rule = preemption.is_preemptible_by_urgent
            avoided = set(self._reserved)
            option = preemption.find_option(self._round, need, rule, avoided)
            if option is not None and not self._is_held_back(job):
                self._reserve(option)

    def _reserve(self, option: preemption.PreemptionOption) -> None:
        """Reserve a place for a starved gang until its victims have ended.

        Only jobs that end well before the place is free may still use it.
        """
        history = self._pool.history
        remaining_s = max(
            (
                history.estimate_remaining_s(
                    gang=self._pool.allocations[job].gang, now=self._round.now
                )
                for job in option.victims
            ),
            default=0.0,
        )
        for place in option.places:
            known = self._reserved.get(place.worker, remaining_s)
            self._reserved[place.worker] = min(known, remaining_s)

    def _list_blocked_workers(self, job: core.QueuedJob) -> set[str]:
        """Return the reserved workers that `job` would occupy too long."""
        if not self._reserved:
            return set()
        remaining_s = order.estimate_remaining_s(self._pool, job)
        return {
            worker
            for worker, free_in_s in self._reserved.items()
            if remaining_s > free_in_s * _BACKFILL_SHARE
        }

    def _is_starved(self, job: core.QueuedJob) -> bool:
        size = job.spec["tasks"] * job.spec["accelerators"]
        waited = self._round.now - job.submitted_at
        is_large = size >= self._settings.large_accelerators
        return is_large and waited >= self._settings.drain_after_s

    def _serve_deferred(self) -> None:
        """Serve the deferred jobs, the least recently examined first."""
        self._budget += self._settings.most_examined // 2
        deferred = self._deferred
        self._deferred = []
        deferred.sort(
            key=lambda j: self._cache.last_examined.get(
                self._get_signature(j), 0
            )
        )
        for job in deferred:
            self._serve(job)

    def _serve(self, job: core.QueuedJob, is_starved: bool = False) -> None:
        """Start `job`, or record why it waits."""
        job_id = job.spec["id"]
        if job_id in self._started:
            return
        if len(self._started) >= self._settings.most_started:
            self._defer(job)
            return
        excess = maximums.describe_excess(self._pool, job.spec)
        if excess:
            self._wait(job, core.Reason.MAXIMUM, excess)
            return
        if quotas.would_exceed(self._pool, job.spec):
            if self._start_within_quota(job):
                self._started.add(job_id)
                return
            team = f"{job.spec['customer']}/{job.spec['team']}"
            self._wait(job, core.Reason.QUOTA, f"team {team}")
            return
        signature = self._get_signature(job)
        reason = self._cache.failures.get(signature)
        if reason is None or is_starved:
            is_urgent = job.spec["urgency"] == core.Urgency.URGENT
            if self._budget <= 0 and not is_urgent:
                self._defer(job)
                return
            reason = self._start(job, signature, is_starved)
            if reason is not None:
                self._cache.record_failure(signature, reason)
        if reason is None:
            self._started.add(job_id)
            self._waits.pop(job_id, None)
            return
        self._wait(job, reason, reasons.describe_need(signature.need))

    def _start_within_quota(self, job: core.QueuedJob) -> bool:
        """Start urgent work of a team whose quota is used up.

        Work of the team that isn't urgent is preempted, the cheapest first.

        Returns:
            Whether the job was started; if not, nothing was preempted.
        """
        if job.spec["urgency"] != core.Urgency.URGENT:
            return False
        victims = quotas.list_preemptible(self._pool, job.spec)
        victims.sort(key=self._round.get_preemption_cost)

        def start() -> bool:
            for allocation in victims:
                if not quotas.would_exceed(self._pool, job.spec):
                    break
                victim = allocation.gang.job
                reason = core.Reason.URGENT_WORK
                self._round.preempt(victim, reason, job.spec["id"])
            if quotas.would_exceed(self._pool, job.spec):
                return False
            return self._start(job, self._get_signature(job), False) is None

        return self._round.run_or_undo(start)

    def _defer(self, job: core.QueuedJob) -> None:
        self._deferred.append(job)
        self._wait(job, core.Reason.BEHIND_OTHERS, "others go first")

    def _start(
        self,
        job: core.QueuedJob,
        signature: search_cache.Signature,
        is_starved: bool,
    ) -> core.Reason | None:
        """Start `job`; return None, or the reason why it can't start."""
        stopped = len(self._round.preemptions)
        is_done = (
            self._claim_slot(job, signature)
            or self._start_free(job, signature)
            or self._start_urgent(job, signature)
            or self._preempt_own_work(job, signature)
            or self._start_by_moving(job, signature, is_starved)
        )
        if len(self._round.preemptions) > stopped:
            # Preempted gangs may free more resources than `job` uses.
            self._cache.failures.clear()
        if is_done:
            return None
        self._budget -= 1
        return reasons.find_wait_reason(
            self._pool, signature.need, signature.avoided
        )

    def _start_free(
        self, job: core.QueuedJob, signature: search_cache.Signature
    ) -> bool:
        excluded = set(signature.avoided)
        if job.spec["urgency"] != core.Urgency.URGENT:
            excluded |= self._list_blocked_workers(job)
        for _ in range(_MAX_RETRIES):
            places = finder.find_free_places(
                self._pool, signature.need, excluded
            )
            if places is None:
                return False
            if self._round.place(job, places):
                return True
            # Non-preemptible work would break a guarantee here.
            excluded |= {place.worker for place in places}
        return False

    def _start_urgent(
        self, job: core.QueuedJob, signature: search_cache.Signature
    ) -> bool:
        if job.spec["urgency"] != core.Urgency.URGENT:
            return False
        avoided = set(signature.avoided)
        for _ in range(_MAX_RETRIES):
            option = preemption.find_option(
                self._round,
                signature.need,
                preemption.is_preemptible_by_urgent,
                avoided,
                is_thorough=True,
            )
            if option is None:
                return False
            if self._place_option(job, option, core.Reason.URGENT_WORK):
                return True
            avoided |= {place.worker for place in option.places}
        return False

    def _preempt_own_work(
        self, job: core.QueuedJob, signature: search_cache.Signature
    ) -> bool:
        is_urgent = job.spec["urgency"] == core.Urgency.URGENT
        return is_urgent and slot_claims.preempt_own_work(
            self._round, job, signature.need, signature.avoided
        )

    def _start_by_moving(
        self,
        job: core.QueuedJob,
        signature: search_cache.Signature,
        is_starved: bool,
    ) -> bool:
        settings = self._settings
        need = signature.need
        waited = self._round.now - job.submitted_at
        if need.total_accelerators < settings.large_accelerators:
            return False
        if is_starved and waited >= settings.starve_limit_s:
            rule = defragmentation.make_starved_rule(self._round, need)
        elif is_starved:
            rule = defragmentation.make_move_rule(self._round, need)
        elif waited >= settings.defragment_after_s:
            option = defragmentation.find_moves(
                self._round,
                need,
                signature.avoided | set(self._reserved),
                settings.drain_after_s,
            )
            return self._place_option(job, option, core.Reason.DEFRAGMENTED)
        else:
            return False
        avoided = signature.avoided | set(self._reserved)
        option = preemption.find_option(
            self._round, need, rule, avoided, is_thorough=True
        )
        return self._place_option(job, option, core.Reason.DEFRAGMENTED)

    def _place_option(
        self,
        job: core.QueuedJob,
        option: preemption.PreemptionOption | None,
        reason: core.Reason,
    ) -> bool:
        return option is not None and self._round.place(
            job, option.places, victims=option.victims, reason=reason
        )

    def _is_held_back(self, job: core.QueuedJob) -> bool:
        """Tell whether a maximum or a quota keeps `job` from starting."""
        return maximums.would_exceed(
            self._pool, job.spec
        ) or quotas.would_exceed(self._pool, job.spec)

    def _may_start(self, job: core.QueuedJob) -> bool:
        """Tell whether `job` waits and is not held back."""
        is_started = job.spec["id"] in self._started
        return not is_started and not self._is_held_back(job)

    def _get_signature(self, job: core.QueuedJob) -> search_cache.Signature:
        job_id = job.spec["id"]
        failed_on = self._pool.health.list_failed_workers(job_id)
        return self._cache.get_signature(job.spec, failed_on)

    def _wait(
        self, job: core.QueuedJob, reason: core.Reason, detail: str
    ) -> None:
        job_id = job.spec["id"]
        self._waits[job_id] = core.Wait(job_id, reason, detail)
