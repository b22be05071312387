"""Checks that a named test fails if a safety mechanism is turned off."""

import pytest

from chervilcove.journal import client
from chervilcove.journal import jobs
from chervilcove.journal import machine
from chervilcove.journal import marks
from chervilcove.journal import placements
from chervilcove.journal import snapshots
from tests.journal import test_agreement
from tests.journal import test_machine
from tests.journal import test_replica
from tests.journal import test_snapshots

system = test_replica.system

SIMULATION_SEEDS = range(10)


def run_simulations():
    for seed in SIMULATION_SEEDS:
        test_agreement.run_simulation(seed)


class TestReplay:
    def test_without_dropping_copies(self, monkeypatch):
        monkeypatch.setattr(machine, "_record_sequence", lambda *_: None)
        checks = test_machine.TestIdentity()
        with pytest.raises(AssertionError):
            checks.test_a_second_copy_changes_nothing()

    def test_without_the_basis_check(self, monkeypatch):
        monkeypatch.setattr(jobs, "_is_current", lambda *_: True)
        checks = test_machine.TestPlacements()
        with pytest.raises(AssertionError):
            checks.test_a_plan_on_an_old_basis_is_void()

    def test_without_the_check_of_free_accelerators(self, monkeypatch):
        monkeypatch.setattr(placements, "_are_free", lambda *_: True)
        with pytest.raises(AssertionError, match="accelerator held twice"):
            run_simulations()

    def test_without_ending_jobs_that_must_not_run_twice(self, monkeypatch):
        monkeypatch.setattr(jobs, "_choose_event", lambda *_: "requeue")
        with pytest.raises(AssertionError):
            run_simulations()


class TestSnapshots:
    def test_without_the_digest_of_a_snapshot(self, monkeypatch):
        monkeypatch.setattr(snapshots, "_has_digest", lambda *_: True)
        checks = test_snapshots.TestAssembly()
        with pytest.raises(AssertionError):
            checks.test_a_wrong_digest_is_ignored()

    def test_without_gap_detection(self, system, monkeypatch):
        monkeypatch.setattr(client, "count_lapsed_records", lambda *_: 0)
        checks = test_replica.TestSnapshots()
        with pytest.raises(AssertionError):
            checks.test_a_replica_behind_the_retention_reloads(
                system, monkeypatch
            )

    def test_without_comparing_digests(self, system, monkeypatch):
        monkeypatch.setattr(marks, "has_divergence", lambda *_: False)
        checks = test_replica.TestSnapshots()
        with pytest.raises(AssertionError):
            checks.test_a_replica_that_diverged_starts_again(
                system, monkeypatch
            )
