"""Soak test of replicas with random steps, run by `make soak-state`."""

import argparse
import collections
import sys
import time

from tests.journal import test_agreement

STEPS = 3_000


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    options = parser.parse_args()
    for patch in test_agreement.shrink_bounds():
        patch.start()
    totals = collections.Counter()
    seed = options.seed
    deadline = time.monotonic() + options.minutes * 60
    while time.monotonic() < deadline:
        print(f"seed={seed}", flush=True)
        totals.update(test_agreement.run_simulation(seed, STEPS))
        totals["steps"] += STEPS
        seed += 1
    print(" ".join(f"{name}={count}" for name, count in totals.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
