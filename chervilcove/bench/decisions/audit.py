"""Count violations of the scheduling conditions in the record of a run.

The audit doesn't rely on the policy: it uses the places that each run held on
the simulated workers, and what each customer ran and waited for.
"""

import collections
from collections.abc import Iterator
import math

from chervilcove.bench.decisions import reclaims
from chervilcove.bench.decisions import record as records
from chervilcove.scheduling import core

OUT_GRACE_S = 3.0
_SLACK = 1e-6
_BLOCK_SIZES = {"accelerator": 1, "pair": 2, "quad": 4, "worker": 8}
CONDITIONS = (
    "partial_gang",
    "wrong_place",
    "double_booking",
    "over_commit",
    "out_data_centre_start",
    "reclaim_late",
    "run_twice",
    "slot_preempted",
    "quota_exceeded",
)


def count_violations(
    record: records.Record, reclaim_audit: reclaims.ReclaimAudit
) -> dict[str, int]:
    """Return the number of violations of each condition."""
    started = [run for run in record.runs if run.started_at is not None]
    return {
        "partial_gang": sum(_is_partial(record, run) for run in started),
        "wrong_place": sum(_is_misplaced(record, run) for run in started),
        "double_booking": _count_double_bookings(started),
        "over_commit": _count_over_commits(record, started),
        "out_data_centre_start": _count_out_of_service_starts(record, started),
        "reclaim_late": reclaim_audit.late,
        "run_twice": _count_repeated_runs(started),
        "slot_preempted": len(reclaim_audit.preempted_guaranteed),
        "quota_exceeded": _count_quota_excesses(record),
    }


def _is_partial(record: records.Record, run: records.Run) -> bool:
    spec = record.jobs[run.job].spec
    sizes = [place.mask.bit_count() for place in run.gang.places]
    return sizes != [spec["accelerators"]] * spec["tasks"]


def _is_misplaced(record: records.Record, run: records.Run) -> bool:
    """Return whether a gang violates its adjacency or its data centres."""
    spec = record.jobs[run.job].spec
    pool_state = find_pool_state(record, run.placed_at)
    workers = pool_state.configuration["workers"]
    places = [
        (workers[place.worker], place)
        for place in run.gang.places
        if place.worker in workers
    ]
    centres = {worker["data_centre"] for worker, _ in places}
    if spec["data_centres"] and not centres <= set(spec["data_centres"]):
        return True
    if not places or not spec["accelerators"]:
        return False
    level = spec["adjacent"]
    if level == "data_centre":
        return len(centres) > 1
    if level == "rack":
        return len({worker["rack"] for worker, _ in places}) > 1
    if len({worker["name"] for worker, _ in places}) > 1:
        return True
    size = _BLOCK_SIZES[level]
    combined_mask = 0
    for _, place in places:
        combined_mask |= place.mask
    first = (combined_mask & -combined_mask).bit_length() - 1
    return combined_mask >> (first - first % size) >= 1 << size


def find_pool_state(record: records.Record, at: float) -> records.PoolState:
    """Return the pool state in effect at the time `at`."""
    found = record.pool_states[0]
    for pool_state in record.pool_states:
        if pool_state.at > at:
            break
        found = pool_state
    return found


def _list_occupations(
    runs: list[records.Run],
) -> dict[str, list[tuple[float, float, core.TaskPlace, records.Run]]]:
    by_worker = collections.defaultdict(list)
    for run in runs:
        for place in run.gang.places:
            by_worker[place.worker].append(
                (run.started_at, run.released_at, place, run)
            )
    for occupations in by_worker.values():
        occupations.sort(key=lambda item: (item[0], item[1], item[3].job))
    return by_worker


def _iterate_overlaps(occupations: list) -> Iterator[tuple]:
    """Yield each occupation with the earlier ones still held at its start."""
    held: list = []
    for occupation in occupations:
        begins = occupation[0]
        held = [item for item in held if item[1] > begins + _SLACK]
        yield occupation, held
        held.append(occupation)


def _count_double_bookings(runs: list[records.Run]) -> int:
    count = 0
    for occupations in _list_occupations(runs).values():
        for occupation, held in _iterate_overlaps(occupations):
            mask = occupation[2].mask
            count += any(item[2].mask & mask for item in held)
    return count


def _count_over_commits(record: records.Record, runs: list[records.Run]) -> int:
    workers = {}
    for pool_state in record.pool_states:
        workers.update(pool_state.configuration["workers"])
    count = 0
    for name, occupations in _list_occupations(runs).items():
        worker = workers[name]
        for occupation, held in _iterate_overlaps(occupations):
            gangs = [item[3].gang for item in (*held, occupation)]
            processors = sum(gang.processors for gang in gangs)
            memory_gb = sum(gang.memory_gb for gang in gangs)
            count += (
                processors > worker["processors"] + _SLACK
                or memory_gb > worker["memory_gb"] + _SLACK
            )
    return count


def _count_out_of_service_starts(
    record: records.Record, runs: list[records.Run]
) -> int:
    count = 0
    for run in runs:
        pool_state = find_pool_state(record, run.started_at - OUT_GRACE_S)
        now = find_pool_state(record, run.started_at)
        count += bool(
            _list_out_of_service_centres(pool_state, run)
            & _list_out_of_service_centres(now, run)
        )
    return count


def _list_out_of_service_centres(
    pool_state: records.PoolState, run: records.Run
) -> set[str]:
    configuration = pool_state.configuration
    names = {
        configuration["workers"][place.worker]["data_centre"]
        for place in run.gang.places
        if place.worker in configuration["workers"]
    }
    return {
        name
        for name in names
        if not configuration["data_centres"][name]["in_service"]
    }


def _count_repeated_runs(runs: list[records.Run]) -> int:
    """Count starts of non-idempotent jobs that repeat earlier work."""
    count = 0
    last: dict[str, records.Run] = {}
    for run in sorted(runs, key=lambda run: run.started_at):
        if run.gang.idempotent:
            continue
        earlier = last.get(run.job)
        if earlier is not None:
            worked_s = earlier.stopped_at - earlier.started_at
            count += earlier.kept_s < worked_s - _SLACK
        last[run.job] = run
    return count


def _count_quota_excesses(record: records.Record) -> int:
    """Count placements that took a team over its quota."""
    steps = [(run.stopped_at, 0, run) for run in record.runs]
    steps += [(run.placed_at, 1, run) for run in record.runs]
    steps.sort(key=lambda step: (step[0], step[1], step[2].job))
    held: collections.Counter[tuple[str, str]] = collections.Counter()
    count = 0
    for at, order, run in steps:
        key = (run.gang.customer, run.gang.team)
        if order == 0:
            held[key] -= run.accelerators
            continue
        held[key] += run.accelerators
        quota = _find_quota(find_pool_state(record, at), key)
        count += bool(run.accelerators) and held[key] > quota
    return count


def _find_quota(pool_state: records.PoolState, key: tuple[str, str]) -> float:
    """Return the quota of a team, infinite if the team is not listed."""
    customer = pool_state.configuration["customers"].get(key[0])
    teams = customer["teams"] if customer else []
    for team in teams:
        if team["name"] == key[1]:
            return team["quota"]
    return math.inf
