import random

import pytest

from chervilcove.core import errors
from chervilcove.scheduling import conf
from chervilcove.scheduling import core
from chervilcove.scheduling import policy
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import rounds
from tests.scheduling import utils

Reason = core.Reason
LATE = 100_000.0


def make_pool(*customers, racks=None, **sizes):
    racks = racks or {"n": [2], "s": [2]}
    return pools.Pool(
        configuration=utils.make_configuration(racks, customers, **sizes)
    )


def fill(pool, names=None, **fields):
    """Fill workers with one borrowing gang of customer b each."""
    fields = {"customer": "b", "processors": 8.0} | fields
    for name in names or pool.configuration["workers"]:
        spec = utils.make_spec(f"fill-{name}", **fields)
        pool.add_gang(utils.make_gang(spec, [(name, 255)]))


def decide(pool, *queue, now=0.0, settings=conf.COMPLETION_SETTINGS):
    policy_ = policy.GuaranteePolicy(settings=settings)
    version = pool.version
    plan = policy_.decide(pool=pool, queue=list(queue), now=now)
    assert pool.version == version
    return plan


def apply_plan(pool, plan, queue, now):
    """Apply a plan as the replicated state does; return the stopped gangs."""
    stopped = []
    jobs = {job.spec["id"]: job for job in queue}
    for preemption in plan.preemptions:
        stopped.append(pool.remove_gang(preemption.job))
    for placement in plan.placements:
        job = jobs[placement.job]
        for place in placement.places:
            assert pool.is_usable(place.worker)
            free = pool.get_free_mask(place.worker)
            assert free & place.mask == place.mask
        gang = rounds.make_gang(job, placement.places, placement.slot, now)
        pool.add_gang(gang)
        assert not placement.slot or pool.allocations[gang.job].in_slot
    for name in pool.configuration["workers"]:
        assert pool.get_free_processors(name) >= 0
        assert pool.get_free_memory_gb(name) >= 0
    return stopped


def get_reasons(plan):
    return {wait.job: wait.reason for wait in plan.waits}


A = utils.make_customer("a", utils.make_guarantee("g", 8, "worker", 2))
B = utils.make_customer("b")


class TestGuarantees:
    def test_guaranteed_work_preempts_borrowers_in_its_slots(self):
        pool = make_pool(A, B)
        fill(pool)
        queue = [utils.make_queued(f"j{n}") for n in range(3)]
        plan = decide(pool, *queue)
        assert [p.slot for p in plan.placements] == ["a/g/0", "a/g/1"]
        assert {p.reason for p in plan.preemptions} == {Reason.RECLAIMED}
        assert len(plan.preemptions) == 2
        assert get_reasons(plan) == {"j2": Reason.NO_ROOM}

    def test_urgent_borrowers_of_one_round_leave_slots_free(self):
        pool = make_pool(A, B, racks={"n": [2]})
        queue = [
            utils.make_queued(f"u{n}", urgency="urgent", customer="b")
            for n in range(2)
        ]
        queue += [utils.make_queued(f"j{n}") for n in range(2)]
        plan = decide(pool, *queue)
        assert [p.slot for p in plan.placements] == ["a/g/0", "a/g/1"]

    def test_never_preempts_a_gang_in_its_slot(self):
        pool = make_pool(A, B, racks={"n": [2]})
        for number, name in enumerate(pool.configuration["workers"]):
            spec = utils.make_spec(f"own{number}")
            gang = utils.make_gang(spec, [(name, 255)], slot=f"a/g/{number}")
            pool.add_gang(gang)
        urgent = utils.make_queued("u", urgency="urgent", customer="b")
        plan = decide(pool, urgent)
        assert plan.is_empty

    def test_never_preempts_work_that_may_not_run_twice(self):
        pool = make_pool(B)
        fill(pool, idempotent=False)
        plan = decide(pool, utils.make_queued("u", urgency="urgent",
                                              customer="b"))  # fmt: skip
        assert plan.is_empty

    def test_work_that_may_not_run_twice_leaves_slots_their_place(self):
        pool = make_pool(A, B)
        queue = [
            utils.make_queued(f"j{n}", customer="b", idempotent=False)
            for n in range(4)
        ]
        plan = decide(pool, *queue)
        assert len(plan.placements) == 2
        assert set(get_reasons(plan).values()) == {Reason.RESERVED}

    def test_binds_a_slot_where_the_other_slots_still_fit(self):
        wide = utils.make_guarantee("wide", 16, "rack")
        customer = utils.make_customer(
            "a", utils.make_guarantee("g", 1, "pair")
        )
        pool = make_pool(
            customer, utils.make_customer("b", wide), racks={"n": [2, 1]}
        )
        # The free cell in the rack of two workers fits best, but the guarantee
        # of 16 accelerators needs both workers of that rack.
        spec = utils.make_spec("x", customer="b", accelerators=4)
        pool.add_gang(utils.make_gang(spec, [("n-0-0", 15)]))
        plan = decide(pool, utils.make_queued("j", accelerators=1))
        (placement,) = plan.placements
        assert placement.slot == "a/g/0"
        assert placement.places[0].worker == "n-1-0"

    def test_gangs_share_the_workers_of_one_slot(self):
        customer = utils.make_customer(
            "a", utils.make_guarantee("g", 16, "rack")
        )
        pool = make_pool(customer, B)
        fill(pool)
        queue = [utils.make_queued(f"j{n}") for n in range(2)]
        plan = decide(pool, *queue)
        assert [p.slot for p in plan.placements] == ["a/g/0", "a/g/0"]
        apply_plan(pool, plan, queue, 0.0)
        assert len({pool.get_worker_state(p.places[0].worker).rack
                    for p in plan.placements}) == 1  # fmt: skip

    def test_no_plan_breaks_what_could_be_reclaimed(self):
        for seed in range(40):
            run_random_rounds(seed)


def run_random_rounds(seed):
    """Apply plans to a small pool while jobs arrive and end at random.

    Data centres also go out of service and return. After each plan no
    guarantee may have more unmet shapes than before, unless a data centre
    was evacuated, and no gang that may not run twice may be preempted.
    """
    source = random.Random(seed)
    pool = make_pool(
        utils.make_customer(
            "a",
            utils.make_guarantee("w", 16, "rack"),
            utils.make_guarantee("p", 2, "pair", count=2),
        ),
        utils.make_customer(
            "b", utils.make_guarantee("d", 16, "data_centre", at=["n", "s"])
        ),
        racks={"n": [2, 1], "s": [3]},
    )
    policy_ = policy.GuaranteePolicy()
    queue = {}
    for step in range(25):
        now = step * 200.0
        job = draw_job(source, f"j{step}", now)
        queue[job.spec["id"]] = job
        if pool.gangs and source.random() < 0.4:
            pool.remove_gang(source.choice(sorted(pool.gangs)))
        if source.random() < 0.1:
            configuration = pool.configuration
            centre = configuration["data_centres"][source.choice("ns")]
            centre["in_service"] = not centre["in_service"]
            pool.set_configuration(configuration)
        before = pool.bindings.find_unmet()
        plan = policy_.decide(pool=pool, queue=list(queue.values()), now=now)
        assert pool.bindings.find_unmet() == before
        kept = {g.job for g in pool.gangs.values() if not g.idempotent}
        assert not kept & {p.job for p in plan.preemptions}
        stopped = apply_plan(pool, plan, queue.values(), now)
        if not any(p.reason == Reason.DATA_CENTRE_OUT
                   for p in plan.preemptions):  # fmt: skip
            assert pool.keeps_guarantees(before), (seed, step)
        for placement in plan.placements:
            del queue[placement.job]
        for gang in stopped:
            again = draw_job(source, gang.job, now)
            queue[gang.job] = again._replace(attempts=gang.attempt)


def draw_job(source, name, now):
    size = source.choice([0, 1, 2, 4, 8, 8])
    return utils.make_queued(
        name,
        at=now,
        customer=source.choice("ab"),
        urgency=source.choice(list(core.Urgency)),
        tasks=source.choice([1, 1, 2]),
        accelerators=size,
        processors=float(source.choice([1, 8])) * max(size, 1),
        adjacent=source.choice(["rack", "data_centre"]),
        idempotent=source.random() < 0.8,
        checkpointable=source.random() < 0.5,
    )


class TestUrgentWork:
    def test_preempts_the_cheapest_gang(self):
        pool = make_pool(B)
        fill(pool, checkpointable=False)
        fill(pool, ["s-0-0"], checkpointable=True)
        urgent = utils.make_queued("u", urgency="urgent", customer="b")
        plan = decide(pool, urgent, now=9_000.0)
        assert [(p.job, p.reason, p.beneficiary) for p in plan.preemptions] == [
            ("fill-s-0-0", Reason.URGENT_WORK, "u")
        ]

    def test_replaces_its_customers_own_work_in_a_slot(self):
        pool = make_pool(A, racks={"n": [2]})
        for number, name in enumerate(pool.configuration["workers"]):
            spec = utils.make_spec(f"own{number}", checkpointable=number > 0)
            gang = utils.make_gang(spec, [(name, 255)], slot=f"a/g/{number}")
            pool.add_gang(gang)
        plan = decide(pool, utils.make_queued("u", urgency="urgent"), now=900.0)
        assert {p.job for p in plan.preemptions} <= {"own0", "own1"}
        (placement,) = plan.placements
        assert placement.slot in ("a/g/0", "a/g/1")

    def test_preempts_work_of_its_team_to_stay_within_the_quota(self):
        pool = make_pool(utils.make_customer("a", quota=16))
        fill(pool, ["n-0-0", "n-0-1"], customer="a")
        plan = decide(pool, utils.make_queued("u", urgency="urgent"))
        assert len(plan.preemptions) == 1
        assert [p.job for p in plan.placements] == ["u"]

    def test_preempts_nothing_for_the_quota_if_it_cannot_start(self):
        pool = make_pool(utils.make_customer("a", quota=16), B)
        fill(pool, ["n-0-0"], customer="a", checkpointable=False)
        fill(pool, ["n-0-1", "s-0-0", "s-0-1"], idempotent=False)
        urgent = utils.make_queued("u", urgency="urgent", tasks=2,
                                   adjacent="rack")  # fmt: skip
        plan = decide(pool, urgent)
        assert plan.is_empty
        assert get_reasons(plan) == {"u": Reason.QUOTA}

    def test_does_not_preempt_urgent_work_of_others(self):
        pool = make_pool(B)
        fill(pool, urgency="urgent")
        plan = decide(pool, utils.make_queued("u", urgency="urgent",
                                              customer="b"))  # fmt: skip
        assert plan.is_empty

    def test_preempts_a_gang_on_several_workers_once(self):
        pool = make_pool(B)
        spec = utils.make_spec("wide", customer="b")
        pool.add_gang(utils.make_gang(spec, [("n-0-0", 255), ("n-0-1", 255)]))
        fill(pool, ["s-0-0", "s-0-1"], idempotent=False)
        urgent = utils.make_queued(
            "u", urgency="urgent", customer="b", tasks=2, adjacent="rack"
        )
        plan = decide(pool, urgent)
        assert [p.job for p in plan.preemptions] == ["wide"]
        assert len(plan.placements[0].places) == 2

    def test_finds_the_only_preemptible_rack_among_many(self):
        pool = make_pool(B, racks={"n": [2] * 40})
        names = list(pool.configuration["workers"])
        fill(pool, names[:-2], idempotent=False)
        fill(pool, names[-2:])
        urgent = utils.make_queued(
            "u", urgency="urgent", customer="b", tasks=2, adjacent="rack"
        )
        plan = decide(pool, urgent)
        assert {p.worker for p in plan.placements[0].places} == set(names[-2:])

    def test_preempts_for_processors_and_memory_too(self):
        pool = make_pool(B, racks={"n": [1]})
        for number in range(4):
            spec = utils.make_spec(
                f"p{number}", customer="b", accelerators=0, processors=16.0
            )
            pool.add_gang(utils.make_gang(spec, [("n-0-0", 0)]))
        urgent = utils.make_queued(
            "u", urgency="urgent", customer="b", accelerators=1, processors=20.0
        )
        plan = decide(pool, urgent)
        assert len(plan.preemptions) == 2


class TestOrder:
    def test_urgent_then_short_work_goes_first(self):
        pool = make_pool(B, racks={"n": [2]})
        fields = {"customer": "b"}
        plan = decide(
            pool,
            utils.make_queued("long", declared_run_s=9_000.0, **fields),
            utils.make_queued("short", declared_run_s=60.0, **fields),
            utils.make_queued(
                "urgent", urgency="urgent", declared_run_s=9_000.0, **fields
            ),
        )
        assert [p.job for p in plan.placements] == ["urgent", "short"]

    def test_learned_run_time_replaces_the_declared_one(self):
        pool = make_pool(B, racks={"n": [1]})
        for number in range(5):
            spec = utils.make_spec(
                f"x{number}", kind="misdeclared", customer="b"
            )
            gang = utils.make_gang(spec, [("n-0-0", 255)])
            pool.observe_end(
                gang=gang, reason=Reason.COMPLETED, worker="", now=9_000.0
            )
        plan = decide(
            pool,
            utils.make_queued(
                "misdeclared",
                kind="misdeclared",
                declared_run_s=90.0,
                customer="b",
            ),
            utils.make_queued("accurate", declared_run_s=900.0, customer="b"),
        )
        assert [p.job for p in plan.placements] == ["accurate"]

    def test_customer_that_borrows_less_goes_first(self):
        pool = make_pool(
            utils.make_customer("a"),
            utils.make_customer("b"),
            racks={"n": [4]},
        )
        fill(pool, ["n-0-0", "n-0-1", "n-0-2"])
        plan = decide(
            pool,
            utils.make_queued("more", customer="b"),
            utils.make_queued("less", customer="a"),
        )
        assert [p.job for p in plan.placements] == ["less"]

    def test_team_beyond_its_quota_waits(self):
        pool = make_pool(utils.make_customer("a", quota=8))
        queue = [utils.make_queued("j1"), utils.make_queued("j2")]
        plan = decide(pool, *queue)
        assert [p.job for p in plan.placements] == ["j1"]
        assert get_reasons(plan) == {"j2": Reason.QUOTA}


class TestLargeGangs:
    def make_fragmented_pool(self, **fields):
        """Occupy one accelerator of every worker with borrowing gangs."""
        pool = make_pool(B, racks={"n": [2], "s": [1]})
        for name in pool.configuration["workers"]:
            spec = utils.make_spec(
                f"x{name}", customer="b", accelerators=1, **fields
            )
            pool.add_gang(utils.make_gang(spec, [(name, 1)]))
        return pool

    def make_large_job(self):
        return utils.make_queued("wide", customer="b", tasks=2, adjacent="rack")

    def test_waits_as_fragmented_if_free_accelerators_are_not_adjacent(self):
        plan = decide(self.make_fragmented_pool(), self.make_large_job())
        assert get_reasons(plan) == {"wide": Reason.FRAGMENTED}

    def test_moves_checkpointable_work_that_has_another_place(self):
        pool = make_pool(B, racks={"n": [2], "s": [1]})
        spec = utils.make_spec("small", customer="b", accelerators=1)
        pool.add_gang(utils.make_gang(spec, [("n-0-0", 1)]))
        spec = utils.make_spec("other", customer="b", accelerators=1)
        pool.add_gang(utils.make_gang(spec, [("s-0-0", 1)]))
        plan = decide(pool, self.make_large_job(), now=1_000.0)
        assert [(p.job, p.reason) for p in plan.preemptions] == [
            ("small", Reason.DEFRAGMENTED)
        ]

    def test_moves_nothing_if_the_loss_exceeds_the_gain(self):
        pool = self.make_fragmented_pool(checkpointable=False)
        now = conf.COMPLETION_SETTINGS.drain_after_s - 1.0
        plan = decide(pool, self.make_large_job(), now=now)
        assert plan.preemptions == ()

    def test_starved_gang_starts_within_the_starvation_limit(self):
        pool = self.make_fragmented_pool()
        fill(pool, ["s-0-0"], accelerators=1, customer="b")
        now = (
            conf.COMPLETION_SETTINGS.starve_limit_s
            + conf.COMPLETION_SETTINGS.least_run_s
        )
        plan = decide(pool, self.make_large_job(), now=now)
        assert [p.job for p in plan.placements] == ["wide"]

    def test_other_jobs_do_not_use_the_place_reserved_for_it(self):
        pool = self.make_fragmented_pool(checkpointable=False)
        queue = [self.make_large_job()] + [
            utils.make_queued(
                f"j{n}", at=400.0, customer="b", accelerators=4, tasks=1
            )
            for n in range(3)
        ]
        plan = decide(pool, *queue, now=400.0)
        workers = {p.places[0].worker for p in plan.placements}
        assert workers == {"s-0-0"}
        assert get_reasons(plan)["j2"] == Reason.RESERVED


class TestDataCentreOut:
    def take_out(self, pool, *names, is_out=True):
        configuration = pool.configuration
        for name in names:
            centre = configuration["data_centres"][name]
            centre["in_service"] = not is_out
        pool.set_configuration(configuration)

    def test_moves_guaranteed_then_urgent_then_longest_running_work(self):
        pool = make_pool(A, B, racks={"n": [4], "s": [4]})
        for job, worker, since, urgency, slot in (
            ("young", "n-0-0", 900.0, "normal", ""),
            ("old", "n-0-1", 0.0, "normal", ""),
            ("urgent", "n-0-2", 900.0, "urgent", ""),
            ("own", "n-0-3", 900.0, "normal", "a/g/0"),
        ):
            spec = utils.make_spec(job, urgency=urgency)
            pool.add_gang(
                utils.make_gang(spec, [(worker, 255)], slot=slot, since=since)
            )
        self.take_out(pool, "n")
        plan = decide(pool, now=1_000.0)
        jobs = [p.job for p in plan.preemptions]
        assert jobs == ["own", "urgent", "old", "young"]
        assert {p.reason for p in plan.preemptions} == {Reason.DATA_CENTRE_OUT}

    def test_moves_no_more_than_most_moved_in_one_round(self):
        pool = make_pool(B, racks={"n": [8] * 4, "s": [1]})
        fill(pool, [n for n in pool.configuration["workers"] if n[0] == "n"])
        self.take_out(pool, "n")
        plan = decide(pool, now=1_000.0)
        assert len(plan.preemptions) == conf.COMPLETION_SETTINGS.most_moved

    def test_starts_nothing_there_and_gives_the_reason(self):
        pool = make_pool(B)
        self.take_out(pool, "n")
        queue = [
            utils.make_queued("j", customer="b", data_centres=["n"]),
            utils.make_queued("k", customer="b"),
        ]
        plan = decide(pool, *queue)
        assert [p.places[0].worker[0] for p in plan.placements] == ["s"]
        assert get_reasons(plan) == {"j": Reason.DATA_CENTRE_OUT}

    def test_work_that_may_not_run_twice_stays_until_it_ends(self):
        pool = make_pool(B)
        fill(pool, ["n-0-0"], idempotent=False)
        self.take_out(pool, "n")
        assert decide(pool, now=9_000.0).is_empty

    def test_work_without_checkpoints_stays_if_it_is_about_to_end(self):
        pool = make_pool(B)
        for number in range(5):
            spec = utils.make_spec(f"x{number}", customer="b")
            gang = utils.make_gang(spec, [("n-0-0", 255)])
            pool.observe_end(
                gang=gang, reason=Reason.COMPLETED, worker="", now=1_000.0
            )
        fill(pool, ["n-0-0"], checkpointable=False)
        self.take_out(pool, "n")
        assert decide(pool, now=980.0).is_empty
        assert len(decide(pool, now=500.0).preemptions) == 1

    def test_return_to_service_moves_nothing_back(self):
        pool = make_pool(A, B)
        self.take_out(pool, "n")
        fill(pool, ["s-0-0", "s-0-1"])
        self.take_out(pool, "n", is_out=False)
        assert decide(pool, now=5_000.0).is_empty

    def test_second_data_centre_goes_out_while_the_first_is_out(self):
        pool = make_pool(A, B, racks={"n": [2], "s": [2], "w": [2]})
        self.take_out(pool, "n")
        spec = utils.make_spec("own")
        pool.add_gang(utils.make_gang(spec, [("s-0-0", 255)], slot="a/g/0"))
        self.take_out(pool, "s")
        queue = [utils.make_queued("own")]
        plan = decide(pool, now=10.0)
        apply_plan(pool, plan, [], 10.0)
        plan = decide(pool, *queue, now=10.0)
        (placement,) = plan.placements
        assert placement.slot == "a/g/0"
        assert placement.places[0].worker[0] == "w"


class TestFailingJobsAndWorkers:
    @pytest.mark.parametrize(
        ("fields", "kind"),
        [
            ({"customer": "gone"}, errors.Kind.UNKNOWN_CUSTOMER),
            ({"team": "gone"}, errors.Kind.UNKNOWN_TEAM),
            (
                {"tasks": 3, "adjacent": "rack"},
                errors.Kind.IMPOSSIBLE_SHAPE,
            ),
        ],
    )
    def test_ends_jobs_that_the_configuration_no_longer_allows(
        self, fields, kind
    ):
        queued = utils.make_queued("j", **({"customer": "b"} | fields))
        plan = decide(make_pool(B), queued)
        assert [r.refusal.kind for r in plan.refusals] == [kind]

    def fail(self, pool, job, worker, kind="kind"):
        spec = utils.make_spec(job, kind=kind, customer="b")
        pool.observe_end(
            gang=utils.make_gang(spec, [(worker, 255)]),
            reason=Reason.TASK_FAILED,
            worker=worker,
            now=0.0,
        )

    def test_ends_a_job_that_fails_on_three_workers(self):
        pool = make_pool(B)
        for worker in ("n-0-0", "n-0-1", "s-0-0"):
            self.fail(pool, "bad", worker)
        plan = decide(pool, utils.make_queued("bad", customer="b"))
        (refusal,) = plan.refusals
        assert refusal.refusal.detail["cause"] == Reason.NEVER_RUNS

    def test_tries_a_failed_job_on_another_worker(self):
        pool = make_pool(B, racks={"n": [2]})
        self.fail(pool, "j", "n-0-0")
        plan = decide(pool, utils.make_queued("j", customer="b"))
        assert plan.placements[0].places[0].worker == "n-0-1"

    def test_waits_for_the_back_off(self):
        queued = utils.make_queued("j", customer="b", not_before=5.0)
        plan = decide(make_pool(B), queued)
        assert get_reasons(plan) == {"j": Reason.BACK_OFF}

    def test_worker_gets_one_trial_when_its_probation_time_is_over(self):
        pool = make_pool(B, racks={"n": [1]})
        for job in "xyz":
            self.fail(pool, job, "n-0-0", kind=job)
        queue = [
            utils.make_queued("u", customer="b", urgency="urgent"),
            utils.make_queued("j", customer="b", accelerators=1),
            utils.make_queued("k", customer="b", accelerators=1),
        ]
        assert decide(pool, *queue, now=599.0).placements == ()
        plan = decide(pool, *queue, now=600.0)
        assert [p.job for p in plan.placements] == ["j"]


class TestBursts:
    def run_all_rounds(self, pool, queue, now=0.0):
        """Apply rounds until a complete plan changes nothing.

        Returns:
            The jobs still queued, by name, and the last plan.
        """
        policy_ = policy.GuaranteePolicy()
        jobs = {job.spec["id"]: job for job in queue}
        queue = dict(jobs)
        count = 0
        while True:
            plan = policy_.decide(
                pool=pool, queue=list(queue.values()), now=now
            )
            for gang in apply_plan(pool, plan, queue.values(), now):
                queue[gang.job] = jobs[gang.job]
            for placement in plan.placements:
                del queue[placement.job]
            count += 1
            assert count < 200
            if plan.is_empty and not plan.is_partial:
                return queue, plan

    def test_burst_of_small_jobs_fills_the_pool(self):
        pool = make_pool(B, racks={"n": [6], "s": [8]})
        queue = [
            utils.make_queued(f"j{n}", customer="b", accelerators=1)
            for n in range(500)
        ]
        left, plan = self.run_all_rounds(pool, queue)
        assert len(left) == 500 - 14 * 8
        assert set(get_reasons(plan)) == set(left)

    def test_burst_of_different_jobs_examines_all_of_them(self):
        pool = make_pool(B, racks={"n": [2]})
        queue = [
            utils.make_queued(f"j{n}", customer="b", processors=60.0 + n / 100)
            for n in range(200)
        ]
        queue.append(
            utils.make_queued("last", customer="b", accelerators=0,
                              declared_run_s=1e6, processors=1.0)
        )  # fmt: skip
        left, _ = self.run_all_rounds(pool, queue)
        assert "last" not in left

    def test_burst_of_large_gangs_starts_whole_ones_only(self):
        pool = make_pool(B, racks={"n": [6], "s": [8]})
        queue = [
            utils.make_queued(f"j{n}", customer="b", tasks=4, adjacent="rack")
            for n in range(20)
        ]
        left, _ = self.run_all_rounds(pool, queue)
        assert len(left) == 17
        for gang in pool.gangs.values():
            assert len(gang.places) == 4
            racks = {pool.get_worker_state(p.worker).rack for p in gang.places}
            assert len(racks) == 1

    def test_cancelling_all_jobs_frees_all_resources(self):
        pool = make_pool(A, B, racks={"n": [6], "s": [8]})
        queue = [
            utils.make_queued(f"j{n}", customer="ab"[n % 2], accelerators=2)
            for n in range(100)
        ]
        self.run_all_rounds(pool, queue)
        for job in list(pool.gangs):
            pool.remove_gang(job)
        assert pool.list_guarantees_at_risk() == []
        left, _ = self.run_all_rounds(pool, queue)
        assert len(left) == 100 - 14 * 4
