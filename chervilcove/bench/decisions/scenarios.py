"""Load scenario files, validate references and build configurations."""

import pathlib
from typing import Any

import json5

from chervilcove.bench.decisions import keys
from chervilcove.core import errors
from chervilcove.customers import notes
from chervilcove.customers import schema as customers

WORKER_ACCELERATORS = 8
_MAX_BASE_DEPTH = 4
_LEVEL_SIZES = {"accelerator": 1, "pair": 2, "quad": 4, "worker": 8}


def load_scenario(path: str) -> dict[str, Any] | errors.Refusal:
    """Load the scenario at `path`, or return a refusal with all faults."""
    value = _load_with_base(pathlib.Path(path), _MAX_BASE_DEPTH)
    if errors.is_refusal(value):
        return value
    return read_scenario(value, origin=path)


def _load_with_base(path: pathlib.Path, depth: int) -> Any:
    """Return the content of a file merged over that of its base file."""
    value = _load_file(path)
    if not isinstance(value, dict) or "base" not in value:
        return value
    name = value.pop("base")
    if not isinstance(name, str) or not name or depth == 0:
        return errors.refuse(
            errors.Kind.INVALID_VALUE,
            f"{path}: base: found {name!r}, allowed is the path of a file "
            f"relative to this one, at most {_MAX_BASE_DEPTH} deep",
        )
    base = _load_with_base(path.parent / name, depth - 1)
    if errors.is_refusal(base):
        return base
    if not isinstance(base, dict):
        return errors.refuse(
            errors.Kind.INVALID_VALUE, f"{path}: base: {name} is not an object"
        )
    return {**base, **value}


def _load_file(path: pathlib.Path) -> Any:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return errors.refuse(
            errors.Kind.NOT_FOUND, f"{path}: cannot be read: {error}"
        )
    try:
        return json5.loads(text)
    except (ValueError, RecursionError) as error:
        return errors.refuse(
            errors.Kind.MALFORMED, f"{path}: not JSON with comments: {error}"
        )


def read_scenario(
    value: Any, *, origin: str = "scenario"
) -> dict[str, Any] | errors.Refusal:
    """Validate `value` and fill in defaults, or refuse with all faults.

    `origin` prefixes each fault in the reason of the refusal.
    """
    faults: list[str] = []
    scenario = keys.SCENARIO("", value, faults)
    if not faults:
        if scenario["platform"] is None:
            scenario["platform"] = keys.PLATFORM("platform", {}, faults)
        faults.extend(_list_reference_faults(scenario))
    if faults:
        return errors.refuse(
            errors.Kind.INVALID_VALUE,
            "\n".join(f"{origin}: {fault}" for fault in faults),
            faults=faults,
        )
    return scenario


def build_configuration(scenario: dict[str, Any]) -> customers.Configuration:
    """Return the configuration in effect at the start."""
    configuration = customers.create_configuration()
    pool = scenario["pool"]
    for centre in pool["data_centres"]:
        configuration["data_centres"][centre["name"]] = customers.DataCentre(
            name=centre["name"], region=centre["region"], in_service=True
        )
        for number, size in enumerate(centre["racks"], start=1):
            _add_rack(configuration, pool, centre["name"], number, size)
    for customer in scenario["customers"]:
        configuration["customers"][customer["name"]] = customer
    return configuration


def _add_rack(
    configuration: customers.Configuration,
    pool: dict[str, Any],
    centre: str,
    number: int,
    size: int,
) -> None:
    slug = centre.lower().replace(" ", "-")
    rack = f"{slug}-r{number}"
    for position in range(1, size + 1):
        name = f"{rack}-w{position}"
        configuration["workers"][name] = customers.Worker(
            name=name,
            data_centre=centre,
            rack=rack,
            address=f"127.0.0.1:{len(configuration['workers']) + 1}",
            processors=pool["processors"],
            memory_gb=pool["memory_gb"],
            accelerators=WORKER_ACCELERATORS,
        )


def _list_reference_faults(scenario: dict[str, Any]) -> list[str]:
    """Return the faults of names and values that other keys restrict."""
    faults: list[str] = []
    _check_unique(scenario, faults)
    configuration = build_configuration(scenario)
    for section in ("customers", "arrivals"):
        for index, item in enumerate(scenario[section]):
            path = f"{section}[{index}]"
            if section == "arrivals":
                _check_job(
                    f"{path}", item, item["teams"], configuration, faults
                )
                continue
            for number, guarantee in enumerate(item["guarantees"]):
                _check_names(
                    f"{path}.guarantees[{number}].data_centres",
                    guarantee["data_centres"],
                    configuration["data_centres"],
                    faults,
                )
                _check_size(f"{path}.guarantees[{number}]", guarantee, faults)
    for index, event in enumerate(scenario["events"]):
        _check_event(f"events[{index}]", event, configuration, faults)
    _check_notes(scenario, configuration, faults)
    _check_jobs(scenario, faults)
    return faults


def _check_size(
    path: str, guarantee: dict[str, Any], faults: list[str]
) -> None:
    size = _LEVEL_SIZES.get(guarantee["adjacent"])
    if size is not None and guarantee["accelerators"] > size:
        faults.append(
            f"{path}.accelerators: found {guarantee['accelerators']}, "
            f"allowed are at most {size} adjacent in a {guarantee['adjacent']}"
        )


def _check_jobs(scenario: dict[str, Any], faults: list[str]) -> None:
    """Check that job ids are unique and that cancellations name a job."""
    submitted: set[str] = set()
    for index, event in enumerate(scenario["events"]):
        if event["kind"] != "submit":
            continue
        if event["job"]["id"] in submitted:
            faults.append(
                f"events[{index}].job.id: found {event['job']['id']!r} again, "
                "allowed is an id of its own"
            )
        submitted.add(event["job"]["id"])
    for index, event in enumerate(scenario["events"]):
        if event["kind"] == "cancel" and event["job"] not in submitted:
            faults.append(
                f"events[{index}].job: found {event['job']!r}, "
                "allowed is the id of a submitted job"
            )


def _check_unique(scenario: dict[str, Any], faults: list[str]) -> None:
    """Check that names are unique within each list."""
    lists = {
        "pool.data_centres": scenario["pool"]["data_centres"],
        "customers": scenario["customers"],
    }
    for index, customer in enumerate(scenario["customers"]):
        lists[f"customers[{index}].teams"] = customer["teams"]
        lists[f"customers[{index}].guarantees"] = customer["guarantees"]
    for path, items in lists.items():
        names = [item["name"] for item in items]
        for name in sorted({name for name in names if names.count(name) > 1}):
            faults.append(
                f"{path}: found {name!r} twice, names have to be unique"
            )


def _check_job(
    path: str,
    job: dict[str, Any],
    teams: list[str],
    configuration: customers.Configuration,
    faults: list[str],
) -> None:
    known = configuration["customers"]
    _check_names(f"{path}.customer", [job["customer"]], known, faults)
    if job["customer"] in known:
        allowed = [team["name"] for team in known[job["customer"]]["teams"]]
        _check_names(f"{path}.teams", teams, allowed, faults)
    _check_names(
        f"{path}.data_centres",
        job["data_centres"],
        configuration["data_centres"],
        faults,
    )


def _check_event(
    path: str,
    event: dict[str, Any],
    configuration: customers.Configuration,
    faults: list[str],
) -> None:
    racks = {worker["rack"] for worker in configuration["workers"].values()}
    if event["kind"] == "submit":
        job = event["job"]
        _check_job(f"{path}.job", job, [job["team"]], configuration, faults)
    if "data_centre" in event:
        _check_names(
            f"{path}.data_centre",
            [event["data_centre"]],
            configuration["data_centres"],
            faults,
        )
    if "rack" in event:
        _check_names(f"{path}.rack", [event["rack"]], sorted(racks), faults)
    if "workers" in event:
        _check_names(
            f"{path}.workers",
            event["workers"],
            configuration["workers"],
            faults,
        )
    if event.get("customer"):
        _check_names(
            f"{path}.customer",
            [event["customer"]],
            configuration["customers"],
            faults,
        )


def _check_notes(
    scenario: dict[str, Any],
    configuration: customers.Configuration,
    faults: list[str],
) -> None:
    """Apply the release notes in order of time and report invalid ones."""
    events = list(enumerate(scenario["events"]))
    events.sort(key=lambda item: item[1]["at_s"])
    for index, event in events:
        if event["kind"] != "note":
            continue
        outcome = apply_note_event(configuration, event)
        if errors.is_refusal(outcome):
            faults.append(f"events[{index}]: {outcome.reason}")
        else:
            configuration = outcome


def apply_note_event(
    configuration: customers.Configuration, event: dict[str, Any]
) -> customers.Configuration | errors.Refusal:
    """Return the configuration after a `note` event, or a refusal."""
    note = customers.Note(
        id=f"note-{event['at_s']:g}",
        author="bench",
        base_revision=configuration["revision"],
        added=event.get("added", []),
        changed=event.get("changed", []),
        withdrawn=event.get("withdrawn", []),
    )
    return notes.apply_note(configuration, note)


def _check_names(
    path: str, found: list[str], allowed: Any, faults: list[str]
) -> None:
    for name in found:
        if name not in allowed:
            listed = ", ".join(list(allowed)[:12])
            more = ", ..." if len(allowed) > 12 else ""
            faults.append(
                f"{path}: found {name!r}, allowed is one of {listed}{more}"
            )
