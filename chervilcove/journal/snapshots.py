"""Encoding, decoding and reading of snapshots.

A snapshot is the state after a mark. It is written to a stream of its own in
chunks that are compressed separately, so that neither writing nor reading
blocks other greenlets for long. Each chunk holds its mark, the digest of the
whole content and its index. Reading therefore ignores copies and the chunks of
an incomplete snapshot or of one with a wrong digest.
"""

from typing import NamedTuple
from typing import TypedDict
import zlib

import msgspec

from chervilcove.core import errors
from chervilcove.core import frames
from chervilcove.core import identifiers
from chervilcove.journal import client
from chervilcove.journal import conf
from chervilcove.journal import records

_COMPRESSION_LEVEL = 1


class Chunk(TypedDict):
    """One part of a snapshot, as stored.

    Attributes:
        mark: Offset of the mark.
        digest: Digest of the whole content.
        index: Index of the part, from 0.
        count: Number of parts.
        content: The part, compressed by zlib.
    """

    mark: int
    digest: str
    index: int
    count: int
    content: bytes


class Snapshot(NamedTuple):
    """A whole snapshot.

    Attributes:
        mark: Offset of the mark, the last record that the state includes.
        digest: Digest of the content.
        content: The state as returned by `State.dump`.
    """

    mark: int
    digest: str
    content: bytes


class Assembly:
    """Collects chunks and assembles snapshots from them.

    Attributes:
        ignored: Number of malformed chunks and of snapshots with a wrong
            digest.
    """

    def __init__(self):
        self._parts: dict[tuple[int, str, int], dict[int, bytes]] = {}
        self.ignored = 0

    def add(self, content: bytes) -> None:
        """Add the content of one record of the stream of snapshots."""
        value = frames.decode(content)
        try:
            chunk = msgspec.convert(value, Chunk)
        except msgspec.ValidationError:
            self.ignored += 1
            return
        key = (chunk["mark"], chunk["digest"], chunk["count"])
        self._parts.setdefault(key, {})[chunk["index"]] = chunk["content"]

    def find_newest(
        self, excluded: frozenset[tuple[int, str]] = frozenset()
    ) -> Snapshot | None:
        """Return the newest whole snapshot whose content has its digest.

        Args:
            excluded: Snapshots to ignore, each as mark and digest.

        Returns:
            The snapshot, None if there is none.
        """
        for key in sorted(self._parts, reverse=True):
            mark, digest, count = key
            parts = self._parts[key]
            if (mark, digest) in excluded or len(parts) < count:
                continue
            content = _decompress(parts, count)
            if _has_digest(content, digest):
                return Snapshot(mark, digest, content)
            del self._parts[key]
            self.ignored += 1
        return None


def split(content: bytes) -> list[bytes]:
    """Split `content` into uncompressed parts of at most `CHUNK_BYTES`."""
    step = conf.CHUNK_BYTES
    return [
        content[start : start + step]
        for start in range(0, max(len(content), 1), step)
    ]


def encode_chunk(
    *, mark: int, digest: str, index: int, count: int, part: bytes
) -> bytes:
    """Encode one record of the stream of snapshots; compresses `part`."""
    return frames.encode(
        Chunk(
            mark=mark,
            digest=digest,
            index=index,
            count=count,
            content=zlib.compress(part, _COMPRESSION_LEVEL),
        )
    )


def read_newest(
    log_client: client.LogClient,
    *,
    excluded: frozenset[tuple[int, str]] = frozenset(),
) -> Snapshot | errors.Refusal | None:
    """Return the newest whole snapshot in the log.

    The stream is read backwards page by page, so that older snapshots are not
    read.

    Args:
        log_client: Client of the log service.
        excluded: Snapshots to ignore, each as mark and digest.

    Returns:
        The snapshot, None if there is none; or the refusal of the client.
    """
    head = log_client.read_head(records.SNAPSHOTS)
    if errors.is_refusal(head):
        return head
    assembly = Assembly()
    stop = head.next
    while stop > head.first:
        start = max(head.first, stop - conf.CHUNKS_PER_READ)
        page = log_client.read(
            records.SNAPSHOTS, offset=start, limit=stop - start
        )
        if errors.is_refusal(page):
            return page
        for record in page.records:
            assembly.add(record.content)
        found = assembly.find_newest(excluded)
        if found is not None:
            return found
        stop = start
    return None


def _has_digest(content: bytes, digest: str) -> bool:
    return identifiers.digest(content) == digest


def _decompress(parts: dict[int, bytes], count: int) -> bytes:
    try:
        return b"".join(zlib.decompress(parts[index]) for index in range(count))
    except (KeyError, zlib.error):
        return b""
