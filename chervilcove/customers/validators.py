"""Validators of single values of a configuration.

Each returns an error message, or an empty string for a valid value.
"""

import ipaddress
import math
from typing import Any

from chervilcove.topology import cells
from chervilcove.topology import shapes

MAX_WORKERS = 4_000
MAX_SLOTS_PER_GUARANTEE = 10_000
MAX_PROCESSORS = 4_096
MAX_MEMORY_GB = 65_536
_MAX_NAME_LENGTH = 128


def find_name_error(name: Any) -> str:
    """Check that a name is printable and contains no slash."""
    if not isinstance(name, str) or not name:
        return "name must be a non-empty string"
    if len(name) > _MAX_NAME_LENGTH:
        return f"name is longer than {_MAX_NAME_LENGTH} characters"
    if "/" in name or not name.isprintable():
        return f"name {name!r} contains a slash or a control character"
    return ""


def find_address_error(address: str) -> str:
    """Check that an address has the form "IP:port"."""
    host, colon, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"address {address!r} is not IP:port"
    if not colon or not port.isascii() or not port.isdigit():
        return f"address {address!r} is not IP:port"
    if not 0 < int(port) < 65_536:
        return f"address {address!r} has no valid port"
    return ""


def find_range_error(
    name: str, value: float, minimum: float, maximum: float
) -> str:
    """Check that a number is finite and within its range."""
    if not math.isfinite(value) or not minimum <= value <= maximum:
        return f"{name} is {value}, must be between {minimum} and {maximum}"
    return ""


def find_shape_error(accelerators: int, adjacent: str) -> str:
    """Check that `adjacent` is a level and can hold `accelerators`."""
    if adjacent not in shapes.LEVELS:
        levels = ", ".join(shapes.LEVELS)
        return f"adjacent is {adjacent!r}, must be one of {levels}"
    if accelerators < 1:
        return f"accelerators is {accelerators}, must be at least 1"
    limit = shapes.get_max_accelerators(adjacent)
    if limit is not None and accelerators > limit:
        return (
            f"one {adjacent} has only {limit} accelerators, not {accelerators}"
        )
    return ""


def find_worker_size_error(accelerators: int) -> str:
    """Check the number of accelerators of a worker."""
    if accelerators not in (0, *cells.CELL_SIZES):
        return f"accelerators is {accelerators}, must be one of 0, 1, 2, 4, 8"
    return ""
