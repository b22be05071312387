"""Validation of a whole configuration: values, references, duplicates.

The messages are part of the replicated state, see `notes`.
"""

from collections.abc import Iterator
from typing import Any

from chervilcove.core import errors
from chervilcove.customers import schema
from chervilcove.customers import validators
from chervilcove.topology import cells

_MAX_MINION_SLOTS = 65_536
_MAX_QUOTA = 1_000_000
_MAX_WEIGHT = 1_000_000.0
# A maximum above what the largest pool holds is most probably a mistake.
_LARGEST_MAXIMUM = schema.Maximum(
    processors=validators.MAX_WORKERS * validators.MAX_PROCESSORS,
    memory_gb=validators.MAX_WORKERS * validators.MAX_MEMORY_GB,
    accelerators=validators.MAX_WORKERS * cells.ACCELERATORS_PER_WORKER,
)


def check_configuration(
    configuration: schema.Configuration,
) -> errors.Refusal | None:
    """Return the refusal for the first error of `configuration`, or None."""
    for list_errors in (
        _list_name_errors,
        _list_worker_errors,
        _list_customer_errors,
        _list_service_errors,
    ):
        for kind, error in list_errors(configuration):
            return errors.refuse(kind, error)
    return None


_Errors = Iterator[tuple[errors.Kind, str]]
_INVALID = errors.Kind.INVALID_VALUE
_UNKNOWN = errors.Kind.UNKNOWN_NAME


def _list_name_errors(configuration: schema.Configuration) -> _Errors:
    for section in ("data_centres", "workers", "customers", "services"):
        for name in configuration[section]:  # type: ignore[literal-required]
            error = validators.find_name_error(name)
            if error:
                yield _INVALID, f"{section}: {error}"
    for centre in configuration["data_centres"].values():
        error = validators.find_name_error(centre["region"])
        if error:
            yield _INVALID, f"data_centre {centre['name']!r}: region: {error}"


def _list_worker_errors(configuration: schema.Configuration) -> _Errors:
    if len(configuration["workers"]) > validators.MAX_WORKERS:
        yield (
            _INVALID,
            f"more than {validators.MAX_WORKERS} workers",
        )
    rack_centres: dict[str, str] = {}
    for worker in configuration["workers"].values():
        title = f"worker {worker['name']!r}"
        centre = worker["data_centre"]
        if centre not in configuration["data_centres"]:
            yield _UNKNOWN, f"{title}: data centre {centre!r} does not exist"
        if rack_centres.setdefault(worker["rack"], centre) != centre:
            yield (
                _INVALID,
                f"{title}: rack {worker['rack']!r} is elsewhere",
            )
        for error in (
            validators.find_name_error(worker["rack"]),
            validators.find_address_error(worker["address"]),
            validators.find_worker_size_error(worker["accelerators"]),
            validators.find_range_error(
                "processors", worker["processors"], 1, validators.MAX_PROCESSORS
            ),
            validators.find_range_error(
                "memory_gb", worker["memory_gb"], 1, validators.MAX_MEMORY_GB
            ),
        ):
            if error:
                yield _INVALID, f"{title}: {error}"


def _list_customer_errors(configuration: schema.Configuration) -> _Errors:
    for customer in configuration["customers"].values():
        title = f"customer {customer['name']!r}"
        weight = customer["weight"]
        error = validators.find_range_error("weight", weight, 0, _MAX_WEIGHT)
        if error or not weight:
            yield (
                _INVALID,
                f"{title}: {error or 'weight must be above 0'}",
            )
        for field in ("guarantees", "teams"):
            error = _find_duplicate_error(customer[field])  # type: ignore[literal-required]
            if error:
                yield _INVALID, f"{title}: {field}: {error}"
        for team in customer["teams"]:
            error = validators.find_name_error(team["name"])
            error = error or validators.find_range_error(
                "quota", team["quota"], 0, _MAX_QUOTA
            )
            if error:
                yield _INVALID, f"{title}: team {team['name']!r}: {error}"
        for field, value in customer.get("maximum", {}).items():
            error = validators.find_range_error(
                field,
                value,  # type: ignore[arg-type]
                0,
                _LARGEST_MAXIMUM[field],  # type: ignore[literal-required]
            )
            if error:
                yield _INVALID, f"{title}: maximum: {error}"
        for guarantee in customer["guarantees"]:
            for kind, error in _list_guarantee_errors(configuration, guarantee):
                name = guarantee["name"]
                yield kind, f"{title}: guarantee {name!r}: {error}"


def _list_guarantee_errors(
    configuration: schema.Configuration, guarantee: schema.Guarantee
) -> _Errors:
    for error in (
        validators.find_name_error(guarantee["name"]),
        validators.find_shape_error(
            guarantee["accelerators"], guarantee["adjacent"]
        ),
        validators.find_range_error(
            "count", guarantee["count"], 0, validators.MAX_SLOTS_PER_GUARANTEE
        ),
    ):
        if error:
            yield _INVALID, error
    for centre in guarantee["data_centres"]:
        if centre not in configuration["data_centres"]:
            yield _UNKNOWN, f"data centre {centre!r} does not exist"


def _list_service_errors(configuration: schema.Configuration) -> _Errors:
    for service in configuration["services"].values():
        title = f"service {service['name']!r}"
        error = _find_duplicate_error(service["minions"])
        if error:
            yield _INVALID, f"{title}: minions: {error}"
        for minion in service["minions"]:
            name = f"{title}: minion {minion['name']!r}"
            centre = minion["data_centre"]
            if centre not in configuration["data_centres"]:
                yield _UNKNOWN, f"{name}: data centre {centre!r} does not exist"
            for error in (
                validators.find_name_error(minion["name"]),
                validators.find_address_error(minion["address"]),
                validators.find_range_error(
                    "slots", minion["slots"], 0, _MAX_MINION_SLOTS
                ),
                validators.find_range_error(
                    "connections", minion["connections"], 0, _MAX_MINION_SLOTS
                ),
            ):
                if error:
                    yield _INVALID, f"{name}: {error}"


def _find_duplicate_error(items: Any) -> str:
    names = set()
    for item in items:
        if item["name"] in names:
            return f"{item['name']!r} is named twice"
        names.add(item["name"])
    return ""
