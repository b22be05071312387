"""Checks of submitted jobs against the configuration.

The reason of a job refused in a plan is stored in the job's history.
"""

from chervilcove.core import errors
from chervilcove.customers import schema as customers
from chervilcove.customers import validators
from chervilcove.scheduling import core
from chervilcove.scheduling import maximums
from chervilcove.topology import cells
from chervilcove.topology import shapes

MAX_TASKS = 64
MAX_ACCELERATORS = 64
MAX_CACHED_SPECS = 4_096
MAX_RUN_S = 366 * 86_400.0


class SpecChecker:
    """Checks many jobs against one configuration and caches the results.

    Equal jobs are checked once; the cache is cleared when the configuration
    changes or the cache is full.
    """

    def __init__(self):
        self._configuration: customers.Configuration | None = None
        self._cached: dict[tuple, errors.Refusal | None] = {}

    def check(
        self, configuration: customers.Configuration, spec: core.JobSpec
    ) -> errors.Refusal | None:
        """Return the result of `check_spec`, cached if possible."""
        if configuration is not self._configuration:
            self._configuration = configuration
            self._cached = {}
        key = (
            spec["customer"],
            spec["team"],
            spec["urgency"],
            spec["tasks"],
            spec["accelerators"],
            spec["processors"],
            spec["memory_gb"],
            spec["adjacent"],
            tuple(spec["data_centres"]),
        )
        if key not in self._cached:
            if len(self._cached) >= MAX_CACHED_SPECS:
                self._cached = {}
            self._cached[key] = check_spec(configuration, spec)
        return self._cached[key]


def check_spec(
    configuration: customers.Configuration, spec: core.JobSpec
) -> errors.Refusal | None:
    """Return the refusal of a job that can never run, None if it can."""
    refusal = _check_customer(configuration, spec)
    if refusal is None:
        refusal = _check_values(spec)
    if refusal is None:
        refusal = _check_centres(configuration, spec)
    if refusal is None:
        refusal = _check_fit(configuration, spec)
    return refusal


def check_submission(
    configuration: customers.Configuration, spec: core.JobSpec
) -> errors.Refusal | None:
    """Return the refusal of a job that may not be submitted.

    Beyond `check_spec`, a job may not exceed its customer's maximum alone. One
    that was accepted before the maximum was lowered stays queued instead.
    """
    return check_spec(configuration, spec) or maximums.check_spec(
        configuration, spec
    )


def _check_customer(
    configuration: customers.Configuration, spec: core.JobSpec
) -> errors.Refusal | None:
    customer = configuration["customers"].get(spec["customer"])
    if customer is None:
        return errors.refuse(
            errors.Kind.UNKNOWN_CUSTOMER,
            f"customer {spec['customer']!r} does not exist",
        )
    team = find_team(customer, spec["team"])
    if team is None:
        return errors.refuse(
            errors.Kind.UNKNOWN_TEAM,
            f"customer {spec['customer']!r} has no team {spec['team']!r}",
        )
    wanted = spec["tasks"] * spec["accelerators"]
    if wanted > team["quota"]:
        return errors.refuse(
            errors.Kind.IMPOSSIBLE_SHAPE,
            f"{wanted} accelerators are more than the quota of "
            f"{team['quota']} of team {spec['team']!r}",
        )
    return None


def find_team(customer: customers.Customer, name: str) -> customers.Team | None:
    """Return the team called `name`, or None."""
    for team in customer["teams"]:
        if team["name"] == name:
            return team
    return None


def _check_values(spec: core.JobSpec) -> errors.Refusal | None:
    sizes = (0, *cells.CELL_SIZES)
    faults = [
        validators.find_range_error("tasks", spec["tasks"], 1, MAX_TASKS),
        validators.find_range_error(
            "processors", spec["processors"], 0, validators.MAX_PROCESSORS
        ),
        validators.find_range_error(
            "memory_gb", spec["memory_gb"], 0, validators.MAX_MEMORY_GB
        ),
        validators.find_range_error(
            "declared_run_s", spec["declared_run_s"], 0, MAX_RUN_S
        ),
    ]
    if spec["accelerators"] not in sizes:
        faults.append(
            f"accelerators is {spec['accelerators']}, "
            f"allowed are {', '.join(map(str, sizes))}"
        )
    if spec["adjacent"] not in shapes.LEVELS:
        faults.append(
            f"adjacent is {spec['adjacent']!r}, "
            f"allowed are {', '.join(shapes.LEVELS)}"
        )
    if spec["urgency"] not in tuple(core.Urgency):
        faults.append(
            f"urgency is {spec['urgency']!r}, "
            f"allowed are {', '.join(core.Urgency)}"
        )
    for fault in faults:
        if fault:
            return errors.refuse(errors.Kind.INVALID_VALUE, fault)
    return None


def _check_centres(
    configuration: customers.Configuration, spec: core.JobSpec
) -> errors.Refusal | None:
    for centre in spec["data_centres"]:
        if centre not in configuration["data_centres"]:
            return errors.refuse(
                errors.Kind.UNKNOWN_NAME,
                f"data centre {centre!r} does not exist",
            )
    return None


def _check_fit(
    configuration: customers.Configuration, spec: core.JobSpec
) -> errors.Refusal | None:
    total = spec["tasks"] * spec["accelerators"]
    limit = shapes.get_max_accelerators(spec["adjacent"])
    if total > MAX_ACCELERATORS or (limit is not None and total > limit):
        return _refuse_shape(spec, f"allowed are {limit or MAX_ACCELERATORS}")
    task_counts: dict[tuple[str, str], int] = {}
    for worker in configuration["workers"].values():
        centre = worker["data_centre"]
        if spec["data_centres"] and centre not in spec["data_centres"]:
            continue
        place = _get_group(worker, spec)
        task_counts[place] = task_counts.get(place, 0) + _count_tasks(
            worker, spec
        )
    if max(task_counts.values(), default=0) < spec["tasks"]:
        return _refuse_shape(spec, "no allowed place can ever hold them")
    return None


def _get_group(worker: customers.Worker, spec: core.JobSpec) -> tuple[str, str]:
    if spec["adjacent"] == "data_centre":
        return "data_centre", worker["data_centre"]
    if spec["adjacent"] == "rack":
        return "rack", worker["rack"]
    return "worker", worker["name"]


def _count_tasks(worker: customers.Worker, spec: core.JobSpec) -> int:
    """Return how many tasks of `spec` an empty worker holds."""
    count = spec["tasks"]
    if spec["accelerators"]:
        count = min(count, worker["accelerators"] // spec["accelerators"])
    if spec["processors"] > 0:
        count = min(count, int(worker["processors"] / spec["processors"]))
    if spec["memory_gb"] > 0:
        count = min(count, int(worker["memory_gb"] / spec["memory_gb"]))
    return count


def _refuse_shape(spec: core.JobSpec, why: str) -> errors.Refusal:
    places = ", ".join(spec["data_centres"]) or "any data centre"
    return errors.refuse(
        errors.Kind.IMPOSSIBLE_SHAPE,
        f"{spec['tasks']} tasks of {spec['accelerators']} accelerators, "
        f"{spec['processors']} processors and {spec['memory_gb']} GB within "
        f"one {spec['adjacent']} in {places}: {why}",
    )
