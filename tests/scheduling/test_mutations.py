"""Checks that tests fail when a mechanism of the scheduling core is disabled.

Each mutation replaces one function. The named test must then fail, which
shows that it covers the mechanism.
"""

import pytest

from chervilcove.scheduling import bindings
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import preemption
from chervilcove.scheduling import rounds
from chervilcove.scheduling import worker_states
from tests.scheduling import test_policy
from tests.scheduling import test_pool


def return_true(*args, **kwargs):
    return True


def return_zero(*args, **kwargs):
    return 0


MUTATIONS = [
    (
        "reclaim check",
        (pools.Pool, "keeps_guarantees", return_true),
        test_pool.TestReclaimability,
        "test_every_accepted_step_keeps_all_shapes_reclaimable",
    ),
    (
        "reclaim check in the policy",
        (pools.Pool, "keeps_guarantees", return_true),
        test_policy.TestGuarantees,
        "test_work_that_may_not_run_twice_leaves_slots_their_place",
    ),
    (
        "cells bound twice",
        (worker_states.WorkerState, "count_conflicts", return_zero),
        test_pool.TestReclaimability,
        "test_pinned_work_inside_a_bound_cell_is_a_breach",
    ),
    (
        "accelerators stranded by pinned work",
        (worker_states.WorkerState, "count_stranded", return_zero),
        test_pool.TestReclaimability,
        "test_work_that_may_not_run_twice_counts_as_taken",
    ),
    (
        "resource share that limits the gangs of a slot",
        (bindings.Bindings, "_fits_resource_share", return_true),
        test_pool.TestReclaimability,
        "test_gang_that_does_not_fit_its_slot_borrows",
    ),
    (
        "non-preemptible gangs are never victims",
        (preemption, "is_preemptible_by_urgent", return_true),
        test_policy.TestGuarantees,
        "test_no_plan_breaks_what_could_be_reclaimed",
    ),
    (
        "undo of refused placements",
        (rounds.Round, "_undo_to", lambda self, mark: None),
        test_policy.TestGuarantees,
        "test_no_plan_breaks_what_could_be_reclaimed",
    ),
]


class TestMutations:
    @pytest.mark.parametrize(
        ("mechanism", "patch", "subject", "check"),
        MUTATIONS,
        ids=[mutation[0] for mutation in MUTATIONS],
    )
    def test_check_fails_without_the_mechanism(
        self, monkeypatch, mechanism, patch, subject, check
    ):
        target, name, replacement = patch
        monkeypatch.setattr(target, name, replacement)
        with pytest.raises((AssertionError, KeyError)):
            getattr(subject(), check)()
