import random
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from chervilcove.journal import conf
from chervilcove.journal import state as states
from tests.journal import simulation as simulations

NUMBERS = strategies.integers(0, 2**16)
STEPS = 3_000
SEEDS = range(10)


def shrink_bounds():
    """Lower limits so that a short run reaches them and splits snapshots."""
    return (
        mock.patch.object(states, "FINISHED_JOBS_LIMIT", 6),
        mock.patch.object(states, "CLAIMS_LIMIT", 5),
        mock.patch.object(states, "HISTORY_LIMIT", 8),
        mock.patch.object(conf, "CHUNK_BYTES", 2_000),
    )


class ReplicaMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.patches = shrink_bounds()
        for patch in self.patches:
            patch.start()
        self.simulation = simulations.Simulation()

    @stateful.rule(who=NUMBERS, kind=NUMBERS, seed=NUMBERS)
    def propose(self, who, kind, seed):
        self.simulation.propose(who, kind, seed)

    @stateful.rule(who=NUMBERS, amount=NUMBERS)
    def read(self, who, amount):
        self.simulation.read(who, amount, 0)

    @stateful.rule(kind=NUMBERS, one=NUMBERS, two=NUMBERS, three=NUMBERS)
    def disturb(self, kind, one, two, three):
        self.simulation.step(kind, one, two, three)

    def teardown(self):
        try:
            self.simulation.finish()
        finally:
            for patch in self.patches:
                patch.stop()


ReplicaMachine.TestCase.settings = hypothesis.settings(
    max_examples=20,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

TestReplicaMachine = ReplicaMachine.TestCase


def run_simulation(seed, steps=STEPS):
    """Drive a simulation at random; return its counts."""
    source = random.Random(seed)
    simulation = simulations.Simulation()
    for _ in range(steps):
        simulation.step(*(source.randrange(2**16) for _ in range(4)))
    simulation.finish()
    return simulation.counts


class TestAgreement:
    @pytest.fixture(autouse=True)
    def _limits(self):
        patches = shrink_bounds()
        for patch in patches:
            patch.start()
        yield
        for patch in patches:
            patch.stop()

    @pytest.mark.parametrize("seed", SEEDS)
    def test_replicas_agree_and_no_invariant_breaks(self, seed):
        counts = run_simulation(seed)
        seen = {what for what, count in counts.items() if count}
        assert seen >= {
            "adopt",
            "claim",
            "claim_end",
            "delayed",
            "ended",
            "placements",
            "restored",
            "started",
            "twice",
            "void plan",
        }
