"""Mechanisms of the scheduling core, turned off: a named check must fail."""

import pytest

from chervilcove.scheduling import bindings
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import preemption
from chervilcove.scheduling import rooms
from chervilcove.scheduling import rounds
from tests.scheduling import test_policy
from tests.scheduling import test_pool


def say_yes(*args, **kwargs):
    return True


def say_zero(*args, **kwargs):
    return 0


MUTATIONS = [
    (
        "reclaim check",
        (pools.Pool, "keeps_guarantees", say_yes),
        test_pool.TestReclaimability,
        "test_every_accepted_step_keeps_all_shapes_reclaimable",
    ),
    (
        "reclaim check in the policy",
        (pools.Pool, "keeps_guarantees", say_yes),
        test_policy.TestGuarantees,
        "test_work_that_may_not_run_twice_leaves_slots_their_place",
    ),
    (
        "cells counted on twice",
        (rooms.Room, "count_conflicts", say_zero),
        test_pool.TestReclaimability,
        "test_pinned_work_inside_a_bound_cell_is_a_breach",
    ),
    (
        "share of processors kept for pinned work",
        (rooms.Room, "count_stranded", say_zero),
        test_pool.TestReclaimability,
        "test_work_that_may_not_run_twice_counts_as_taken",
    ),
    (
        "share that a slot's gangs must keep to",
        (bindings.Bindings, "_fits_resource_share", say_yes),
        test_pool.TestReclaimability,
        "test_gang_that_does_not_fit_its_slot_borrows",
    ),
    (
        "firm gangs stay",
        (preemption, "is_preemptible_by_urgent", say_yes),
        test_policy.TestGuarantees,
        "test_no_plan_breaks_what_could_be_reclaimed",
    ),
    (
        "nothing held twice",
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
        owner, name, replacement = patch
        monkeypatch.setattr(owner, name, replacement)
        with pytest.raises((AssertionError, KeyError)):
            getattr(subject(), check)()
