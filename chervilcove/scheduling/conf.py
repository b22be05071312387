"""Settings of the shipped policy, with one set for each profile."""

from typing import NamedTuple


class PolicySettings(NamedTuple):
    """Limits and weights of the policy.

    They balance waiting time, work lost by preemption, fairness and the time
    that a round takes.

    Attributes:
        size_exponent: Exponent of a gang's size in its score: 0 orders by
            run time alone, 1 by run time times accelerators.
        age_s: Waiting time that halves a job's score, seconds.
        batch_factor: Factor on the score of batch work.
        share_factor: Weight of borrowed accelerators in the score.
        most_examined: Maximum jobs whose places are searched in one round.
        most_started: Maximum gangs that start in one round.
        most_claims: Maximum failed claims of slots in one round, after which
            the other work is served.
        most_moved: Maximum gangs moved out of a data centre in one round.
        run_out_s: A gang that can't be checkpointed stays in a data centre
            out of service if it is expected to end within this time, seconds.
        checkpoint_s: Work lost by a checkpoint and a restart, seconds.
        defragment_after_s: Waiting time after which other work is moved to
            free an adjacent place, seconds.
        defragment_gain: Minimum ratio of the accelerator-seconds of waiting
            that a move saves to the accelerator-seconds that it costs.
        drain_after_s: Waiting time after which a large gang gets a reserved
            place and preempts work that can be checkpointed, seconds.
        starve_limit_s: Waiting time after which a large gang preempts all
            borrowed work that isn't urgent, seconds.
        large_accelerators: Minimum accelerators of a large gang.
        least_run_s: Minimum run time of a borrowing gang before it is moved
            or drained for a gang that isn't urgent, seconds.
    """

    size_exponent: float = 0.0
    age_s: float = 7_200.0
    batch_factor: float = 2.0
    share_factor: float = 0.5
    most_examined: int = 24
    most_started: int = 64
    most_claims: int = 16
    most_moved: int = 16
    run_out_s: float = 60.0
    checkpoint_s: float = 30.0
    defragment_after_s: float = 30.0
    defragment_gain: float = 4.0
    drain_after_s: float = 120.0
    starve_limit_s: float = 3_600.0
    large_accelerators: int = 8
    least_run_s: float = 120.0


# Minimises completion times.
COMPLETION_SETTINGS = PolicySettings()

# Maximises the work done while data centres go out of service and return.
CONTINUITY_SETTINGS = PolicySettings(
    age_s=14_400.0,
    run_out_s=300.0,
    defragment_gain=8.0,
)

# Settings by value of the setting policy.profile.
PROFILES = {
    "completion": COMPLETION_SETTINGS,
    "continuity": CONTINUITY_SETTINGS,
}
