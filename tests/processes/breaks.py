"""Breaks of rules, and how they are printed."""

import math
from typing import NamedTuple


class Break(NamedTuple):
    """Break of a rule.

    Attributes:
        rule: Name of the rule.
        at: When it was broken.
        text: What happened.
        runs: Runs that are concerned.
    """

    rule: str
    at: float
    text: str
    runs: tuple = ()


def describe(found, history):
    """Return lines by which a person can trace a break."""
    lines = [
        f"{found.rule} at {_format(found.at)} seed {history.seed}: {found.text}"
    ]
    lines.extend(f"    {_describe_run(run, history)}" for run in found.runs)
    return "\n".join(lines)


def _describe_run(run, history):
    zone = history.workers.get(run.place, {}).get("zone", "?")
    epochs = [
        f"epoch {claim['epoch']} claimed by {claim['entry']}"
        for claim in history.claims
        if claim["epoch"] == run.fence and not claim.get("resigned")
    ]
    parts = [
        f"{run.task} run {run.number} on {run.worker} life {run.life} ({zone})",
        f"fence {run.fence}",
        *epochs[:1],
        f"start {_format(run.start)}" + (" late" if run.is_late else ""),
        f"end {_format(run.end)} {run.how}".strip(),
        f"noted {_format(run.noted)}",
    ]
    parts.extend(
        f"{order['path']} {_format(order['at'])} by {order['entry']}"
        f" fence {order.get('fence', 0)} {order.get('fate', 'normal')}"
        f" {order.get('refused') or ''}".rstrip()
        for order in run.orders
    )
    return ", ".join(parts)


def _format(at):
    return "never" if math.isinf(at) else f"{at:.3f}"
