"""Refusals of calls that this entry can't answer for now."""

from chervilcove.core import errors

MIN_RETRY_AFTER_S = 1  # Retry-After has whole seconds


def refuse_unconfigured() -> errors.Refusal:
    """Return the refusal before the first configuration."""
    return errors.refuse(
        errors.Kind.UNCONFIGURED,
        "no configuration was read yet",
        retry_after_s=MIN_RETRY_AFTER_S,
    )


def refuse_config_behind() -> errors.Refusal:
    """Return the refusal for a configuration that may be outdated."""
    return errors.refuse(
        errors.Kind.STATE_BEHIND,
        "this entry may have missed a newer configuration",
        retry_after_s=MIN_RETRY_AFTER_S,
    )


def refuse_state_behind() -> errors.Refusal:
    """Return the refusal for a job table that may be outdated."""
    return errors.refuse(
        errors.Kind.STATE_BEHIND,
        "this entry has not read the ledger to its end",
        retry_after_s=MIN_RETRY_AFTER_S,
    )
