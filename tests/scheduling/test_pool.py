import random

import pytest

from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools
from chervilcove.topology import cells
from tests.scheduling import utils
from tests.topology import brute_force

CASES = 1_500
STEPS = 8


def make_customers():
    wide = utils.make_guarantee("wide", 16, "rack")
    flat = utils.make_guarantee("flat", 16, "data_centre", at=["n"])
    small = utils.make_guarantee("small", 2, "pair", count=2, at=["s"])
    quad = utils.make_guarantee("quad", 4, "quad", count=1)
    return [
        utils.make_customer("a", wide, small),
        utils.make_customer("b", flat, quad),
    ]


def make_pool(customers=None):
    racks = {"n": [2, 1], "s": [3]}
    customers = make_customers() if customers is None else customers
    return pools.Pool(configuration=utils.make_configuration(racks, customers))


def draw_gang(source, pool, number):
    """Draw a gang on free accelerators that often names a slot.

    Returns:
        The gang, None if a drawn worker has no free cell of its size.
    """
    size = source.choice([0, 1, 2, 4, 8])
    spec = utils.make_spec(
        f"j{number}",
        customer=source.choice(["a", "b"]),
        accelerators=size,
        processors=source.choice([0, 8, 16]) * max(size, 1) / 2,
        idempotent=source.random() < 0.7,
    )
    places = []
    names = list(pool.configuration["workers"])
    for name in source.sample(names, source.choice([1, 1, 2])):
        mask = 0
        if size:
            options = cells.list_cells(pool.get_free_mask(name), size)
            if not options:
                return None
            mask = source.choice(options)
        places.append((name, mask))
    slots = [""] + [
        slot.name
        for slot in pool.bindings.slots.values()
        if slot.customer == spec["customer"]
    ]
    return utils.make_gang(spec, places, slot=source.choice(slots))


def can_reclaim(pool):
    """Tell by brute force whether all unbound slots fit the usable pool.

    Partly bound slots count with the workers that they still lack.
    """
    units = []
    for slot in pool.bindings.slots.values():
        binding = pool.bindings.bound.get(slot.name)
        demand = slot.demand
        if binding is None or not binding.is_usable:
            units.append(demand)
            continue
        rest = demand.size - len(binding.masks)
        worker = next(iter(binding.masks))
        if demand.level == "rack" and rest:
            units.append(("rest", rest, (worker.rack,)))
        if demand.level == "data_centre" and rest:
            units.append((demand.level, rest, (worker.data_centre,)))
    workers = []
    for name in pool.configuration["workers"]:
        if pool.is_usable(name):
            worker = pool.get_worker_state(name)
            workers.append(
                (
                    worker.data_centre,
                    worker.rack,
                    find_bindable_blocks(pool, worker),
                )
            )
    return brute_force.fits_workers(units, workers)


def find_bindable_blocks(pool, worker):
    """Return the sizes of the bindable blocks, derived from gangs alone."""
    mask = cells.FULL_MASK
    extra = 0.0
    for job, part in worker.worker_allocations.items():
        allocation = pool.allocations[job]
        if allocation.in_slot:
            demand = pool.bindings.slots[allocation.gang.slot].demand
            size = demand.size if demand.level == "worker" else 8
            cell = cells.find_enclosing_cell(part.mask, size)
            assert cell
            mask &= ~cell
        elif not allocation.gang.idempotent:
            mask &= ~part.mask
            share = part.mask.bit_count() * worker.processor_share
            extra += max(part.processors - share, 0)
    mask = cells.remove_accelerators(
        mask, int(-(-extra // worker.processor_share))
    )
    counts = cells.count_blocks(mask)
    return tuple(
        size
        for size, count in zip(cells.CELL_SIZES, counts, strict=True)
        for _ in range(count)
    )


def snapshot(pool):
    bindings = pool.bindings
    return (
        {n: (r.free_mask, r.free_processors, r.free_memory, r.bound_mask)
         for n, r in pool._workers.items()},
        bindings.get_supply(),
        bindings.find_unmet(),
        sorted(bindings.bound),
        {k: v for k, v in pool.team_usage.items() if v},
    )  # fmt: skip


class TestReclaimability:
    def test_every_accepted_step_keeps_all_shapes_reclaimable(self):
        accepted = refused = 0
        for case in range(CASES):
            source = random.Random(case)
            pool = make_pool()
            assert can_reclaim(pool)
            for number in range(STEPS):
                before = pool.bindings.find_unmet()
                gang = draw_gang(source, pool, number)
                if gang is None:
                    continue
                pool.add_gang(gang)
                if pool.keeps_guarantees(before):
                    accepted += 1
                    assert can_reclaim(pool), (case, number)
                else:
                    refused += 1
                    pool.remove_gang(gang.job)
                if pool.gangs and source.random() < 0.2:
                    pool.remove_gang(source.choice(list(pool.gangs)))
                    assert can_reclaim(pool), (case, number)
        print(f"accepted {accepted}, refused {refused}")
        assert accepted > CASES
        assert refused > CASES / 4

    def test_borrowed_gangs_put_no_guarantee_at_risk(self):
        pool = make_pool()
        for name in pool.configuration["workers"]:
            spec = utils.make_spec(name, customer="b", processors=64.0)
            pool.add_gang(utils.make_gang(spec, [(name, cells.FULL_MASK)]))
        assert pool.list_guarantees_at_risk() == []

    def test_work_that_may_not_run_twice_counts_as_taken(self):
        pool = make_pool()
        spec = utils.make_spec(idempotent=False, accelerators=0)
        spec["processors"] = 57.0
        for name in ("n-0-0", "s-0-0", "s-0-1"):
            spec["id"] = name
            pool.add_gang(utils.make_gang(spec, [(name, 0)]))
        assert [each.guarantee for each in pool.list_guarantees_at_risk()] == [
            "wide"
        ]

    def test_pinned_work_inside_a_bound_cell_is_a_breach(self):
        pool = make_pool()
        spec = utils.make_spec("a", accelerators=1)
        pool.add_gang(utils.make_gang(spec, [("s-0-0", 1)], slot="a/small/0"))
        before = pool.bindings.find_unmet()
        spec = utils.make_spec("b", accelerators=1, idempotent=False)
        pool.add_gang(utils.make_gang(spec, [("s-0-0", 2)]))
        assert not pool.keeps_guarantees(before)

    def test_gang_that_does_not_fit_its_slot_borrows(self):
        pool = make_pool()
        for number, (places, processors) in enumerate(
            [
                ([("n-0-0", 0b11)], 1.0),  # wrong data centre
                ([("s-0-0", 0b110)], 1.0),  # not within one pair
                ([("s-0-0", 0b11)], 17.0),  # more than the share
                ([("s-0-0", 0b01), ("s-0-1", 0b01)], 1.0),
            ]
        ):
            spec = utils.make_spec(f"j{number}", processors=processors)
            gang = utils.make_gang(spec, places, slot="a/small/0")
            pool.add_gang(gang)
            assert not pool.allocations[gang.job].in_slot
            pool.remove_gang(gang.job)

    def test_lists_guarantees_at_risk_while_a_data_centre_is_out(self):
        pool = make_pool()
        configuration = pool.configuration
        configuration["data_centres"]["s"]["in_service"] = False
        pool.set_configuration(configuration)
        risks = {(r.customer, r.guarantee): r.missing
                 for r in pool.list_guarantees_at_risk()}  # fmt: skip
        assert risks[("a", "small")] == 2
        configuration["data_centres"]["s"]["in_service"] = True
        pool.set_configuration(configuration)
        assert pool.list_guarantees_at_risk() == []

    def test_unhealthy_worker_adds_no_supply(self):
        pool = make_pool()
        for name in ("s-0-0", "s-0-1"):
            pool.set_worker_health(name, False)
        assert pool.list_guarantees_at_risk()
        for name in ("s-0-0", "s-0-1"):
            pool.set_worker_health(name, True)
        assert pool.list_guarantees_at_risk() == []


class TestPool:
    def test_release_restores_the_state_before_allocation(self):
        for case in range(200):
            source = random.Random(case)
            pool = make_pool()
            first = draw_gang(source, pool, 0)
            if first is not None:
                pool.add_gang(first)
            before = snapshot(pool)
            jobs = []
            for number in range(1, 6):
                gang = draw_gang(source, pool, number)
                if gang is not None:
                    pool.allocate(gang)
                    jobs.append(gang.job)
            source.shuffle(jobs)
            for job in jobs:
                pool.release(job)
            assert snapshot(pool) == before

    def test_new_configuration_gives_the_same_state_as_replay(self):
        for case in range(100):
            source = random.Random(case)
            pool = make_pool()
            for number in range(5):
                gang = draw_gang(source, pool, number)
                if gang is not None:
                    pool.add_gang(gang)
            other = make_pool(customers=[])
            for gang in pool.gangs.values():
                other.add_gang(gang)
            other.set_configuration(pool.configuration)
            fresh = make_pool()
            for gang in sorted(pool.gangs.values(), key=lambda g: g.job):
                fresh.add_gang(gang)
            assert snapshot(other) == snapshot(fresh)

    def test_gang_on_a_removed_worker_is_displaced(self):
        pool = make_pool(customers=[])
        spec = utils.make_spec()
        pool.add_gang(utils.make_gang(spec, [("n-0-0", 255), ("n-0-1", 255)]))
        configuration = utils.make_configuration({"n": [1]})
        pool.set_configuration(configuration)
        assert list(pool.displaced) == ["j"]
        assert pool.get_free_mask("n-0-0") == 0
        pool.remove_gang("j")
        assert pool.get_free_mask("n-0-0") == 255


class TestObservations:
    def fail(self, pool, job, worker, kind="kind", now=0.0):
        spec = utils.make_spec(job, kind=kind)
        gang = utils.make_gang(spec, [(worker, 255)])
        pool.observe_end(
            gang=gang, reason=core.Reason.TASK_FAILED, worker=worker, now=now
        )
        return gang

    def complete(self, pool, job, worker, kind="kind", now=100.0):
        spec = utils.make_spec(job, kind=kind)
        gang = utils.make_gang(spec, [(worker, 255)])
        pool.observe_end(
            gang=gang, reason=core.Reason.COMPLETED, worker="", now=now
        )

    def test_worker_that_fails_jobs_of_a_good_kind_goes_on_probation(self):
        pool = make_pool()
        self.complete(pool, "good", "n-0-1")
        for job in "xyz":
            assert pool.is_usable("n-0-0")
            self.fail(pool, job, "n-0-0")
        assert not pool.is_usable("n-0-0")
        assert pool.health.list_trial_workers(599.0) == []
        assert pool.health.list_trial_workers(600.0) == ["n-0-0"]

    def test_failed_trial_doubles_and_completed_trial_ends_probation(self):
        pool = make_pool()
        for job in "xyz":
            self.fail(pool, job, "n-0-0", kind=job)
        self.fail(pool, "trial", "n-0-0", now=700.0)
        assert pool.health.list_trial_workers(1_899.0) == []
        assert pool.health.list_trial_workers(1_900.0) == ["n-0-0"]
        self.complete(pool, "trial", "n-0-0")
        assert pool.is_usable("n-0-0")

    def test_job_that_fails_everywhere_puts_no_worker_on_probation(self):
        pool = make_pool()
        for worker in ("n-0-0", "n-0-1", "s-0-0"):
            assert not pool.health.is_unrunnable("bad")
            self.fail(pool, "bad", worker)
        assert pool.health.is_unrunnable("bad")
        for worker in ("n-0-0", "n-0-1", "s-0-0"):
            assert pool.is_usable(worker)

    def test_failing_jobs_of_one_kind_put_no_worker_on_probation(self):
        pool = make_pool()
        for number in range(9):
            self.fail(pool, f"bad{number}", "n-0-0", kind="bad")
        assert pool.is_usable("n-0-0")

    @pytest.mark.parametrize("declared", [30.0, 60_000.0])
    def test_learns_run_times_in_spite_of_wrong_declarations(self, declared):
        pool = make_pool()
        for number in range(10):
            self.complete(pool, f"j{number}", "n-0-0", now=1_000.0)
        estimate = pool.history.estimate_s(
            customer="a", kind="kind", declared_s=declared
        )
        assert 800 < estimate < 1_300

    def test_loading_dumped_observations_restores_them(self):
        pool = make_pool()
        self.complete(pool, "good", "n-0-1")
        for job in "xyz":
            self.fail(pool, job, "n-0-0")
        pool.set_worker_health("s-0-0", False)
        other = make_pool()
        other.load_observations(pool.dump_observations())
        assert other.dump_observations() == pool.dump_observations()
        assert not other.is_usable("n-0-0")
        assert not other.is_usable("s-0-0")
