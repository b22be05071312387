"""Keyed topics of the store, each with one partition in use."""

import collections
import time

REPEATS = 5  # appends of a producer whose answers are kept
PAGE_KEYS = 500


class ConflictError(Exception):
    """An append that is refused with status 409 or 412."""

    def __init__(self, status, **answer):
        super().__init__(answer)
        self.status = status
        self.answer = answer


class _Producer:
    def __init__(self, epoch, sequence):
        self.epoch = epoch
        self.next = sequence
        self.answers = collections.OrderedDict()


class Topic:
    """Records of one partition.

    Attributes:
        first: Offset of the first record that is kept.
        end: Offset of the next record.
        busy_until: When the appends that wait now will have been executed.
    """

    def __init__(self):
        self.first = 0
        self.busy_until = 0.0
        self.newest = {}  # key: (offset, value)
        self._records = collections.deque()  # (time, key, value)
        self._producers = {}

    @property
    def end(self):
        return self.first + len(self._records)

    def append(self, items, *, at=None, producer=None, epoch=0, sequence=0):
        """Append all items or raise `ConflictError`; return the answer."""
        known = self._producers.get(producer)
        if producer is not None and known is not None:
            if epoch < known.epoch:
                raise ConflictError(409, reason="fenced")
            if epoch == known.epoch:
                if sequence in known.answers:
                    return known.answers[sequence]
                if items and sequence != known.next:
                    raise ConflictError(409, reason="seq", seq=known.next)
        if at is not None and at != self.end:
            raise ConflictError(412, end_offset=self.end)
        if producer is not None and (known is None or epoch > known.epoch):
            known = self._producers[producer] = _Producer(epoch, sequence)
        answer = {"offset": self.end, "end_offset": self.end + len(items)}
        self.put(items)
        if producer is not None and items:
            known.next = sequence + 1
            known.answers[sequence] = answer
            while len(known.answers) > REPEATS:
                known.answers.popitem(last=False)
        return answer

    def put(self, items):
        """Append items without conditions."""
        for key, value in items:
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
            self._records.append((time.monotonic(), key, value))

    def read(self, offset, most_bytes):
        """Return records from an offset, about `most_bytes` of them."""
        found, size = [], 0
        for index in range(offset - self.first, len(self._records)):
            _, key, value = self._records[index]
            found.append((key, value))
            size += len(key) + len(value)
            if size > most_bytes:
                break
        return found

    def read_newest(self, after):
        """Return a page of (key, offset, value), and whether there are more."""
        keys = sorted(key for key in self.newest if key > after)
        page = [(key, *self.newest[key]) for key in keys[:PAGE_KEYS]]
        return page, len(keys) > PAGE_KEYS

    def trim(self, before_offset):
        """Delete the records before an offset."""
        while self._records and self.first < before_offset:
            self._records.popleft()
            self.first += 1

    def expire(self, keep_s):
        """Delete the records that are older than `keep_s`."""
        limit = time.monotonic() - keep_s
        while self._records and self._records[0][0] < limit:
            self._records.popleft()
            self.first += 1


def decode_items(body):
    """Return the keys and values of an append to a keyed topic."""
    items, position = [], 0
    while position < len(body):
        size = int.from_bytes(body[position : position + 4], "big")
        content = body[position + 4 : position + 4 + size]
        key_end = 1 + content[0]
        items.append((content[1:key_end].decode(), content[key_end:]))
        position += 4 + size
    return items


def encode_items(items):
    """Return keys and values in the format of reads."""
    parts = []
    for key, value in items:
        content = bytes([len(key.encode())]) + key.encode() + value
        parts += [len(content).to_bytes(4, "big"), content]
    return b"".join(parts)
