"""Limits of the ports of an entry in a fleet."""

from chervilcove.core import errors
from chervilcove.core import web
from chervilcove.core import web_limits
from chervilcove.jobs import configuration

# Entries send each other records of up to 2 MB together.
PEER_BODY_BYTES = 4 * 1024 * 1024
# Requests to the port for readiness checks have no bodies.
READY_BODY_BYTES = 16_384
# A job to be explained comes with the names of its queue and customer.
EXPLAIN_FRAME_BYTES = 16_384
OPERATOR_BODY_BYTES = (
    configuration.DEFAULT_LIMITS.max_body_bytes + EXPLAIN_FRAME_BYTES
)


def check_body_size(
    size: int, limits: configuration.RequestLimits
) -> errors.Refusal | None:
    """Return a refusal if a job of `size` bytes is too large, or None."""
    if size <= limits.max_body_bytes:
        return None
    return errors.refuse(
        errors.Kind.TOO_LARGE,
        f"body of {size} bytes, {limits.max_body_bytes} allowed",
    )


def apply_operator_limits(
    server: web.WebServer, limits: configuration.RequestLimits
) -> None:
    """Let the port of operators take the bodies that callers may send."""
    size = limits.max_body_bytes + EXPLAIN_FRAME_BYTES
    server.set_limits(server.limits._replace(max_body_bytes=size))


def apply_limits(
    server: web.WebServer, limits: configuration.RequestLimits
) -> None:
    """Apply the limits of a configuration to the port of callers."""
    idle_s = limits.idle_timeout_ms / 1000
    server.set_limits(
        web_limits.Limits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=idle_s,
            keep_s=idle_s,
        )
    )
