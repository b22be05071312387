"""Checks of a job before it is added to the replicated state."""

import msgspec

from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.journal import state as states
from chervilcove.scheduling import core as scheduling


def check_submit(
    state: states.State, spec: scheduling.JobSpec
) -> str | errors.Refusal | None:
    """Return what a submission is answered without a new job.

    Returns:
        The id of the earlier job with the same key and content, a refusal, or
        None if the job is new and can run.
    """
    core = state.core
    known = core["keys"].get(f"{spec['customer']}/{spec['key']}")
    if known is not None:
        if digest_spec(core["jobs"][known]["spec"]) == digest_spec(spec):
            return known
        return errors.refuse(
            errors.Kind.DUPLICATE_KEY,
            f"key {spec['key']!r} was used for job {known}",
            job=known,
        )
    if spec["id"] in core["jobs"]:
        return errors.refuse(
            errors.Kind.INVALID_VALUE, f"job id {spec['id']!r} exists already"
        )
    return _check_limits(state, spec) or state.check_spec(spec)


def _check_limits(
    state: states.State, spec: scheduling.JobSpec
) -> errors.Refusal | None:
    unfinished = len(state.queue) + len(state.active)
    if unfinished >= states.UNFINISHED_JOBS_LIMIT:
        return errors.refuse(
            errors.Kind.QUEUE_FULL, f"{unfinished} jobs are unfinished"
        )
    size = len(msgspec.msgpack.encode(spec.get("payload")))
    if size > states.PAYLOAD_BYTES:
        return errors.refuse(
            errors.Kind.TOO_LARGE,
            f"payload of {size} bytes, {states.PAYLOAD_BYTES} allowed",
        )
    return None


def digest_spec(spec: scheduling.JobSpec) -> str:
    """Return a digest of `spec` without the job id."""
    content = {name: value for name, value in spec.items() if name != "id"}
    return identifiers.digest(msgspec.json.encode(content, order="sorted"))
