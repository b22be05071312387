"""HTTP header fields of requests: names, parsing and validation."""

from collections.abc import Mapping
import re

from chervilcove.core import errors
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.scheduling import core as scheduling

CONTENT_DIGEST = "X-Content-Digest"
CUSTOMER = "X-Customer"
DEADLINE_MS = "X-Deadline-Ms"
ENTRY = "X-Entry"
IDEMPOTENT = "X-Idempotent"
INCARNATION = "X-Incarnation"
MINION_LOAD = "X-Minion-Load"
MINION_STATE = "X-Minion-State"
RAN = "X-Ran"
REPLAYED = "X-Replayed"
REQUEST_ID = "X-Request-Id"
REQUEST_KEY = "X-Request-Key"
SERVICE = "X-Service"
URGENCY = "X-Urgency"

MAX_NAME_LENGTH = 200
# Claims are stored under customer/service/key, so only keys may contain "/".
_NAME = re.compile(rf"[\x21-\x2e\x30-\x7e]{{1,{MAX_NAME_LENGTH}}}")
_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_NAME_LENGTH}}}")
_MEDIA_TYPE = re.compile(r"[\x20-\x7e]{0,200}")
_MILLISECONDS = re.compile(r"[0-9]{1,9}")
_BOOLEANS = {"true": True, "false": False}


def read_request(
    fields: Mapping[str, str], body: bytes, *, limits: conf.Limits, now: float
) -> core.Request | errors.Refusal:
    """Return the request in an HTTP message, or a refusal if it is invalid.

    Args:
        fields: Header fields, with names in lower case.
        body: The complete body.
        limits: Limits of sizes and deadlines.
        now: Monotonic time at which the request arrived, in seconds.
    """
    if len(body) > limits.max_body_bytes:
        return errors.refuse(
            errors.Kind.TOO_LARGE,
            f"body of {len(body)} bytes, {limits.max_body_bytes} allowed",
        )
    customer = _read_name(fields, CUSTOMER)
    if errors.is_refusal(customer):
        return customer
    service = _read_name(fields, SERVICE)
    if errors.is_refusal(service):
        return service
    is_idempotent = _read_choice(fields, IDEMPOTENT, _BOOLEANS, False)
    if errors.is_refusal(is_idempotent):
        return is_idempotent
    key = _read_key(fields, is_idempotent)
    if errors.is_refusal(key):
        return key
    urgencies = {urgency.value: urgency for urgency in scheduling.Urgency}
    urgency = _read_choice(
        fields, URGENCY, urgencies, scheduling.Urgency.NORMAL
    )
    if errors.is_refusal(urgency):
        return urgency
    time_left_s = _read_time_left(fields, limits)
    if errors.is_refusal(time_left_s):
        return time_left_s
    content_type = fields.get("content-type", "")
    if not _MEDIA_TYPE.fullmatch(content_type):
        return _refuse_value("Content-Type", content_type, "a media type")
    return core.Request(
        customer=customer,
        service=service,
        key=key,
        is_idempotent=is_idempotent,
        urgency=urgency,
        deadline=now + time_left_s,
        body=body,
        content_type=content_type or "application/octet-stream",
    )


def read_minion_status(fields: Mapping[str, str]) -> core.MinionStatus | None:
    """Return the status in a minion's answer, None if absent or invalid."""
    busy, _, slots = fields.get(MINION_LOAD.lower(), "").partition("/")
    incarnation = fields.get(INCARNATION.lower(), "")
    numbers = (busy, slots, incarnation)
    if not all(text.isascii() and text.isdigit() for text in numbers):
        return None
    return core.MinionStatus(
        is_leaving=fields.get(MINION_STATE.lower()) == "leaving",
        busy=int(busy),
        slots=int(slots),
        incarnation=int(incarnation),
    )


def _read_name(fields: Mapping[str, str], name: str) -> str | errors.Refusal:
    text = fields.get(name.lower(), "")
    if _NAME.fullmatch(text):
        return text
    return _refuse_value(
        name,
        text,
        f"1 to {MAX_NAME_LENGTH} printable ASCII characters without /",
    )


def _read_key(
    fields: Mapping[str, str], is_idempotent: bool
) -> str | errors.Refusal:
    text = fields.get(REQUEST_KEY.lower(), "")
    if _KEY.fullmatch(text):
        return text
    if text:
        return _refuse_value(
            REQUEST_KEY,
            text,
            f"1 to {MAX_NAME_LENGTH} printable ASCII characters",
        )
    if is_idempotent:
        return ""
    return errors.refuse(
        errors.Kind.KEY_REQUIRED,
        f"{REQUEST_KEY} is required unless {IDEMPOTENT} is true",
    )


def _read_choice(
    fields: Mapping[str, str], name: str, choices: dict, default: object
):
    text = fields.get(name.lower(), "")
    if not text:
        return default
    if text in choices:
        return choices[text]
    return _refuse_value(name, text, f"one of {', '.join(choices)}")


def _read_time_left(
    fields: Mapping[str, str], limits: conf.Limits
) -> float | errors.Refusal:
    text = fields.get(DEADLINE_MS.lower(), "")
    if not text:
        return limits.default_deadline_s
    longest_ms = int(limits.max_deadline_s * 1000)
    if _MILLISECONDS.fullmatch(text) and 0 < int(text) <= longest_ms:
        return int(text) / 1000.0
    return _refuse_value(DEADLINE_MS, text, f"1 to {longest_ms}")


def _refuse_value(name: str, text: str, allowed: str) -> errors.Refusal:
    shown = text[:MAX_NAME_LENGTH]
    return errors.refuse(
        errors.Kind.INVALID_VALUE,
        f"{name} is {shown!r}, allowed: {allowed}",
        field=name,
    )
