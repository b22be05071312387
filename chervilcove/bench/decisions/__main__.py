"""Run one scenario with the given policies and print the tables."""

import argparse
import sys

from chervilcove.bench.decisions import core
from chervilcove.bench.decisions import scenarios
from chervilcove.bench.decisions import tables
from chervilcove.core import errors


def main() -> int:
    """Run the command line; return 0 on success, 2 for invalid input."""
    parser = argparse.ArgumentParser(prog="chervilcove.bench.decisions")
    parser.add_argument("--scenario", required=True)
    parser.add_argument("--policy", action="append", required=True)
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--report")
    options = parser.parse_args()
    scenario = scenarios.load_scenario(options.scenario)
    if errors.is_refusal(scenario):
        print(scenario.reason, file=sys.stderr)
        return 2
    factories = {}
    for name in options.policy:
        factory = core.find_policy(name, scenario)
        if errors.is_refusal(factory):
            print(factory.reason, file=sys.stderr)
            return 2
        factories[name] = factory
    report, _ = core.run_scenario(scenario, factories, options.seed or [1])
    print(tables.format_reports([report]))
    if report["targets"]:
        print(tables.format_verdicts(report["targets"]))
    if options.report:
        core.write_report(options.report, report)
    return 0


if __name__ == "__main__":
    sys.exit(main())
