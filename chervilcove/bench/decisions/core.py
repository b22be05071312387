"""Run scenarios with every policy on the same seeds; build the report."""

from collections.abc import Callable
import functools
import importlib
import json
import pathlib
from typing import Any

from chervilcove.bench.decisions import harness
from chervilcove.bench.decisions import measures
from chervilcove.bench.decisions import plots
from chervilcove.bench.decisions import reclaims
from chervilcove.bench.decisions import scenarios
from chervilcove.bench.decisions import tables
from chervilcove.bench.decisions import targets
from chervilcove.bench.decisions import work
from chervilcove.core import clock as clocks
from chervilcove.core import errors
from chervilcove.scheduling import baselines
from chervilcove.scheduling import core

SCENARIO_DIRECTORY = "bench/scenarios"
_SCALE_PREFIX = "scale-"


def build_policy_factories(
    scenario: dict[str, Any],
) -> dict[str, Callable[[], core.Policy]]:
    """Map policy names, as given on the command line, to policy factories."""
    factories: dict[str, Callable[[], core.Policy]] = {
        "fifo-first-fit": baselines.FifoFirstFit,
        "backfill-best-fit": baselines.BackfillBestFit,
    }
    try:
        policy = importlib.import_module("chervilcove.scheduling.policy")
        conf = importlib.import_module("chervilcove.scheduling.conf")
    except ModuleNotFoundError:
        return factories
    settings = (
        conf.COMPLETION_SETTINGS
        if scenario["weighs"] == "completion"
        else conf.CONTINUITY_SETTINGS
    )
    factories[targets.SHIPPED_POLICY] = functools.partial(
        policy.GuaranteePolicy, settings=settings
    )
    return factories


def find_policy(
    name: str, scenario: dict[str, Any]
) -> Callable[[], core.Policy] | errors.Refusal:
    """Return the factory of the policy `name`, or a refusal if unknown."""
    factories = build_policy_factories(scenario)
    if name not in factories:
        return errors.refuse(
            errors.Kind.UNKNOWN_NAME,
            f"unknown policy {name!r}, known are {', '.join(factories)}",
        )
    return factories[name]


def list_scenario_files(directory: str = SCENARIO_DIRECTORY) -> list[str]:
    """Return the paths of the scenario files in `directory`, sorted."""
    return sorted(str(path) for path in pathlib.Path(directory).glob("*.jsonc"))


def run_trial(
    scenario: dict[str, Any], factory: Callable[[], core.Policy], seed: int
) -> measures.Trial:
    """Run one policy on one seed.

    If the scenario has outages, also run its twin: the same jobs and events
    without the outages.
    """
    record = _run(scenario, factory, seed, False)
    twin = None
    if work.find_outage_window(scenario) is not None:
        twin = _run(scenario, factory, seed, True)
    return measures.Trial(seed, record, reclaims.audit_reclaims(record), twin)


def _run(
    scenario: dict[str, Any],
    factory: Callable[[], core.Policy],
    seed: int,
    without_outages: bool,
):
    return harness.Harness(
        scenario=scenario,
        policy=factory(),
        seed=seed,
        without_outages=without_outages,
    ).run()


def run_scenario(
    scenario: dict[str, Any],
    factories: dict[str, Callable[[], core.Policy]],
    seeds: list[int],
    progress: Callable[[str], None] = lambda line: None,
) -> tuple[dict[str, Any], dict[str, list[measures.Trial]]]:
    """Run every policy on every seed.

    Returns:
        The report of the scenario, and the trials by policy name.
    """
    trials: dict[str, list[measures.Trial]] = {name: [] for name in factories}
    for seed in seeds:
        for name, factory in factories.items():
            progress(f"{scenario['name']} seed={seed} policy={name}")
            trials[name].append(run_trial(scenario, factory, seed))
    policies = {
        name: measures.summarise(scenario, done)
        for name, done in trials.items()
    }
    report = {
        "scenario": scenario["name"],
        "about": scenario["about"],
        "workers": len(scenarios.build_configuration(scenario)["workers"]),
        "seeds": seeds,
        "policies": policies,
        "targets": [
            verdict._asdict()
            for verdict in targets.evaluate_targets(scenario, policies)
        ],
    }
    return report, trials


def write_report(path: str, report: dict[str, Any]) -> None:
    """Write `report` as JSON to `path`."""
    target = pathlib.Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(json.dumps(report, indent=2) + "\n", encoding="utf-8")


def run_all(
    *,
    directory: str,
    seeds: list[int],
    report_path: str,
    plot_path: str,
    write: Callable[[str], None],
) -> bool:
    """Run all scenario files; print the tables, write the report and page.

    All files are checked before the first scenario runs.

    Returns:
        False if a file is invalid or the directory has none.
    """
    loaded = [
        scenarios.load_scenario(path) for path in list_scenario_files(directory)
    ]
    faults = [item.reason for item in loaded if errors.is_refusal(item)]
    if faults or not loaded:
        for fault in faults or [f"{directory}: contains no *.jsonc file"]:
            write(fault)
        return False
    page = plots.Page()
    reports = []
    stopwatch = clocks.SystemClock()
    for scenario in loaded:
        began = stopwatch.read()
        factories = build_policy_factories(scenario)
        report, trials = run_scenario(scenario, factories, seeds)
        spent_s = stopwatch.read() - began
        write(f"{scenario['name']} ({spent_s:.0f} s): {scenario['about']}")
        page.add_scenario(scenario, report, trials)
        reports.append(report)
    verdicts = [verdict for report in reports for verdict in report["targets"]]
    overall = targets.evaluate_overall(
        [targets.Verdict(**verdict) for verdict in verdicts]
    )
    verdicts.extend(verdict._asdict() for verdict in overall)
    verdicts.extend(_evaluate_scaling(reports))
    write(tables.format_reports(reports))
    write("")
    write(tables.format_verdicts(verdicts))
    missed = sum(verdict["passed"] is False for verdict in verdicts)
    measured = sum(verdict["passed"] is not None for verdict in verdicts)
    write(f"targets: {measured - missed} of {measured} met, {missed} missed")
    write_report(
        report_path,
        {"seeds": seeds, "scenarios": reports, "targets": verdicts},
    )
    page.write(plot_path)
    write(f"report: {report_path}  page: {plot_path}")
    return True


def _evaluate_scaling(reports: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Compare the scenarios that differ only in the number of workers."""
    by_size = {
        report["workers"]: report["policies"][targets.SHIPPED_POLICY]
        for report in reports
        if report["scenario"].startswith(_SCALE_PREFIX)
        and targets.SHIPPED_POLICY in report["policies"]
    }
    return [verdict._asdict() for verdict in targets.evaluate_growth(by_size)]
