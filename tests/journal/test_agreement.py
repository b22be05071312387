import random
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from chervilcove.journal import conf
from chervilcove.journal import state as states
from tests.journal import world as worlds

NUMBERS = strategies.integers(0, 2**16)
STEPS = 3_000
SEEDS = range(10)


def shrink_bounds():
    """Let a short run reach the bounds of tables and cut snapshots."""
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
        self.world = worlds.Simulation()

    @stateful.rule(who=NUMBERS, kind=NUMBERS, seed=NUMBERS)
    def propose(self, who, kind, seed):
        self.world.propose(who, kind, seed)

    @stateful.rule(who=NUMBERS, amount=NUMBERS)
    def read(self, who, amount):
        self.world.read(who, amount, 0)

    @stateful.rule(kind=NUMBERS, one=NUMBERS, two=NUMBERS, three=NUMBERS)
    def disturb(self, kind, one, two, three):
        self.world.step(kind, one, two, three)

    def teardown(self):
        try:
            self.world.finish()
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


def run_world(seed, steps=STEPS):
    """Drive a world at random; return what happened in it."""
    source = random.Random(seed)
    world = worlds.Simulation()
    for _ in range(steps):
        world.step(*(source.randrange(2**16) for _ in range(4)))
    world.finish()
    return world.counts


class TestAgreement:
    @pytest.fixture(autouse=True)
    def _bounds(self):
        patches = shrink_bounds()
        for patch in patches:
            patch.start()
        yield
        for patch in patches:
            patch.stop()

    @pytest.mark.parametrize("seed", SEEDS)
    def test_replicas_agree_and_no_condition_breaks(self, seed):
        counts = run_world(seed)
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
