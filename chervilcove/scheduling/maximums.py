"""Maximums of customers: which jobs may start, and which are held back.

The load that this answers: one customer submits more than it may have running
while others wait too. What would exceed its maximum waits, and the work of
others goes ahead of it.

A gang counts as a whole, from its placement until its end is certain, also
while it is being stopped. Stopping work of the customer therefore makes no
room at once, and nothing is preempted for work that the maximum holds back.
"""

from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.customers import schema as customers
from chervilcove.scheduling import core
from chervilcove.scheduling import pool as pools
from chervilcove.scheduling import usage as usages
from chervilcove.scheduling import worker_states


def get_limits(customer: customers.Customer) -> usages.Usage:
    """Return the maximum of `customer`, 0 where a resource has no limit."""
    maximum = customer.get("maximum")
    if maximum is None:
        return usages.NO_USAGE
    return usages.Usage(
        maximum["processors"] * worker_states.MILLIUNITS_PER_UNIT,
        maximum["memory_gb"] * worker_states.MILLIUNITS_PER_UNIT,
        maximum["accelerators"],
    )


def would_exceed(pool: pools.Pool, spec: core.JobSpec) -> bool:
    """Tell whether starting `spec` would exceed its customer's maximum."""
    return bool(describe_excess(pool, spec))


def describe_excess(pool: pools.Pool, spec: core.JobSpec) -> str:
    """Return in words which limits starting `spec` would exceed, if any.

    A customer without a maximum, or one that was withdrawn, has no limits.
    """
    name = spec["customer"]
    customer = pool.configuration["customers"].get(name)
    if customer is None or "maximum" not in customer:
        return ""
    parts = [
        f"{_format_amount(excess.field, excess.used)} of "
        f"{_format_amount(excess.field, excess.limit)} {excess.field} in use, "
        f"{_format_amount(excess.field, excess.needed)} needed"
        for excess in _list_excesses(customer, pool.usage.get(name), spec)
    ]
    return f"customer {name}: {'; '.join(parts)}" if parts else ""


def check_spec(
    configuration: customers.Configuration, spec: core.JobSpec
) -> errors.Refusal | None:
    """Return the refusal of a job that alone exceeds its customer's maximum.

    Args:
        configuration: The configuration in force.
        spec: The job; its customer exists and its values are valid.
    """
    name = spec["customer"]
    customer = configuration["customers"][name]
    parts = [
        f"{_format_amount(excess.field, excess.needed)} {excess.field} are "
        f"more than {_format_amount(excess.field, excess.limit)}"
        for excess in _list_excesses(customer, usages.NO_USAGE, spec)
    ]
    if not parts:
        return None
    return errors.refuse(
        errors.Kind.EXCEEDS_MAXIMUM,
        f"maximum of customer {name!r}: {'; '.join(parts)}",
        maximum=dict(customer["maximum"]),
    )


class _Excess(NamedTuple):
    """A limit that a start would exceed, in the units of `usage.Usage`."""

    field: str
    used: int
    limit: int
    needed: int


def _list_excesses(
    customer: customers.Customer, used: usages.Usage, spec: core.JobSpec
) -> list[_Excess]:
    """Return the limits that starting `spec` would exceed.

    A resource that the job doesn't need never holds it back, not even if a
    lowered maximum is exceeded already.
    """
    return [
        _Excess(field, has, most, wanted)
        for field, has, most, wanted in zip(
            usages.Usage._fields,
            used,
            get_limits(customer),
            usages.measure_spec(spec),
            strict=True,
        )
        if most and wanted and has + wanted > most
    ]


def _format_amount(field: str, amount: int) -> str:
    if field == "accelerators":
        return str(amount)
    return f"{amount / worker_states.MILLIUNITS_PER_UNIT:g}"
