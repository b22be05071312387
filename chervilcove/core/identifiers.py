"""Identifiers, digests and rendezvous hashing."""

from collections.abc import Iterable
import uuid

import xxhash


def create_id(prefix: str) -> str:
    """Return a random identifier of the form "prefix-" and 16 hex digits."""
    return f"{prefix}-{uuid.uuid4().hex[:16]}"


def digest(content: bytes) -> str:
    """Return the 128-bit XXH3 digest of `content` in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(content)


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` by descending rendezvous weight for `key`.

    This is rendezvous (highest random weight) hashing, Thaler and
    Ravishankar, 1996. If a member leaves, only its own keys move to others.
    """

    def weigh(member: str) -> tuple[int, str]:
        weight = xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())
        return weight, member

    return sorted(members, key=weigh, reverse=True)
