"""Types of the fields in JSON documents that others write.

Decoding checks their ranges, so that no later use of a value can fail: JSON
sets no limit to numbers, but clocks, sockets and msgpack do.
"""

import ipaddress
from typing import Annotated

import msgspec

MAX_INTEGER = 2**53  # exact in all JSON implementations (RFC 8259, section 6)

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Number = Annotated[float, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


def is_ip_address(text: str) -> bool:
    """Return whether `text` is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def is_token(text: str) -> bool:
    """Return whether `text` can stand in a header field and a log line."""
    return (
        bool(text) and text.isascii() and text.isprintable() and " " not in text
    )
