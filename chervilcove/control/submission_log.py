"""Descriptions of submitted jobs, for the log."""

import msgspec

from chervilcove.jobs import specs

MAX_LOGGED_STEPS_BYTES = 1_000  # about ten steps; longer ones are left out


def encode_steps(spec: specs.JobSpec) -> str:
    """Return the steps as JSON for the log, which days are replayed from.

    Returns:
        The steps, empty if they are longer than MAX_LOGGED_STEPS_BYTES.
    """
    encoded = msgspec.json.encode(spec.steps)
    return encoded.decode() if len(encoded) <= MAX_LOGGED_STEPS_BYTES else ""


def describe_shape(spec: specs.JobSpec) -> str:
    """Return the special properties of a job, for the log."""
    marks = [f"x{spec.occurrences}"] if spec.is_scheduled else []
    for name in (
        "is_gang",
        "same_rack",
        "is_checkpointed",
        "may_duplicate",
        "is_lasting",
        "is_filler",
        "label",
        "data_rack",
        "most_per_worker",
        "target_ms",
        "after",
    ):
        if any(getattr(step, name) for step in spec.steps):
            marks.append(name.removeprefix("is_"))
    return ",".join(marks) or "plain"
