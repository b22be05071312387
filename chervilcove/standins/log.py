"""Stand-in for the platform's append-only log service.

Published protocol (HTTP):

* `POST /v1/streams/STREAM/records`: the body is one record; the answer is
  `{"offset": N, "time": SECONDS}`.
* `GET /v1/streams/STREAM/records?offset=N&limit=M&wait_ms=W`: msgpack
  `{"first": F, "next": X, "records": [[offset, time, bytes], ...]}`; waits
  up to W milliseconds for a record at N. If `offset` is below `first`, the
  answer has the records from `first`.
* `GET /v1/streams/STREAM`: `{"first": F, "next": X}`.

For tests only:

* `POST /v1/faults`: changes the `Faults` of this stand-in.
* `POST /v1/streams/STREAM/truncate`: `{"first": F}`, deletes the records
  before F.
* `GET /v1/evidence`: `{"evidence": [...]}`, the outcomes of the newest appends.
"""

import collections
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import event

from chervilcove.core import errors
from chervilcove.core import frames
from chervilcove.core import web

EVIDENCE_LIMIT = 100_000
HANG_POLL_INTERVAL_S = 0.02


class Faults(NamedTuple):
    """Faults that the stand-in injects.

    Attributes:
        down: Whether every call is answered by 503.
        append_delay_s: Delay before each append, in seconds.
        lost_answers: Number of further appends that take effect but are not
            answered.
        cut_answers: Number of further appends that take effect and then
            close the connection without an answer.
        refused_appends: Number of further appends that are answered by 503.
        hang: Whether calls wait until this is cleared.
        read_lag_s: Minimum age of the records that reads return, in seconds;
            the first and next offset of a stream are always exact.
    """

    down: bool = False
    append_delay_s: float = 0.0
    lost_answers: int = 0
    cut_answers: int = 0
    refused_appends: int = 0
    hang: bool = False
    read_lag_s: float = 0.0


class AppendEvidence(NamedTuple):
    """Outcome of one append.

    Attributes:
        stream: Name of the stream.
        offset: Offset of the record, -1 if it was not appended.
        outcome: "answered", "lost", "cut" or "refused".
        time: Unix time in seconds.
    """

    stream: str
    offset: int
    outcome: str
    time: float


class _Stream:
    def __init__(self, *, retention: int):
        self.records: collections.deque = collections.deque()
        self.first = 0
        self.next = 0
        self.retention = retention
        self.changed = event.Event()

    def truncate(self, first: int) -> None:
        while self.records and self.first < first:
            self.records.popleft()
            self.first += 1

    def append(self, content: bytes) -> tuple[int, float]:
        offset = self.next
        now = time.time()
        self.records.append((offset, now, content))
        self.next += 1
        while len(self.records) > self.retention:
            self.records.popleft()
            self.first += 1
        changed, self.changed = self.changed, event.Event()
        changed.set()
        return offset, now

    def read(self, offset: int, limit: int, lag_s: float) -> list[tuple]:
        start = max(offset, self.first) - self.first
        stop = min(len(self.records), start + limit)
        visible_until = time.time() - lag_s
        records = (self.records[index] for index in range(start, stop))
        return [one for one in records if not lag_s or one[1] <= visible_until]


class LogService:
    """Serve streams from memory.

    Args:
        host: IP address to listen on.
        port: TCP port, 0 for any free one.
        retention: Maximum number of records kept in each stream.

    Attributes:
        faults: Faults in effect.
        appends: Number of appends by HTTP that took effect.
        evidence: Outcomes of the newest `EVIDENCE_LIMIT` appends by HTTP.
    """

    def __init__(
        self, *, host: str = "127.0.0.1", port: int = 0, retention: int = 10**6
    ):
        self._retention = retention
        self._streams: dict[str, _Stream] = {}
        self.faults = Faults()
        self.appends = 0
        self.evidence: collections.deque[AppendEvidence] = collections.deque(
            maxlen=EVIDENCE_LIMIT
        )
        self._server = web.WebServer(host=host, port=port)
        add = self._server.add_route
        add("POST", "/v1/streams/{stream}/records", self._append)
        add("GET", "/v1/streams/{stream}/records", self._read)
        add("GET", "/v1/streams/{stream}", self._describe)
        add("POST", "/v1/streams/{stream}/truncate", self._truncate)
        add("POST", "/v1/faults", self._set_faults)
        add("GET", "/v1/evidence", self._list_evidence)

    @property
    def address(self) -> str:
        """Return "IP:port"."""
        return f"{self._server.host}:{self._server.port}"

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def list_records(self, stream: str) -> list[tuple[int, float, bytes]]:
        """Return the retained records of `stream`."""
        return list(self._get(stream).records)

    def _get(self, stream: str) -> _Stream:
        if stream not in self._streams:
            self._streams[stream] = _Stream(retention=self._retention)
        return self._streams[stream]

    def append(self, stream: str, content: bytes) -> int:
        """Append one record without HTTP and faults; return its offset."""
        return self._get(stream).append(content)[0]

    def begin(self, stream: str, first: int) -> None:
        """Start an empty stream at offset `first`.

        The records before it count as deleted by the retention.
        """
        empty = self._get(stream)
        empty.first = empty.next = first

    def truncate(self, stream: str, first: int) -> None:
        """Delete the records before offset `first`."""
        self._get(stream).truncate(first)

    def _check_available(self) -> errors.Refusal | None:
        while self.faults.hang:
            gevent.sleep(HANG_POLL_INTERVAL_S)
        if self.faults.down:
            return errors.refuse(
                errors.Kind.LOG_UNAVAILABLE, "log service is down"
            )
        return None

    def _append(self, request: web.WebRequest) -> Any:
        if self.faults.append_delay_s:
            gevent.sleep(self.faults.append_delay_s)
        refusal = self._check_available()
        if refusal is not None:
            return refusal
        name = request.parts["stream"]
        if self._consume_fault("refused_appends"):
            self._record_append(name, -1, "refused")
            return errors.refuse(
                errors.Kind.LOG_UNAVAILABLE, "append was refused"
            )
        offset, now = self._get(name).append(request.body)
        self.appends += 1
        if self._consume_fault("lost_answers"):
            self._record_append(name, offset, "lost")
            gevent.sleep(3600)
        if self._consume_fault("cut_answers"):
            self._record_append(name, offset, "cut")
            raise gevent.GreenletExit
        self._record_append(name, offset, "answered")
        return {"offset": offset, "time": now}

    def _consume_fault(self, fault: str) -> bool:
        remaining = getattr(self.faults, fault)
        if remaining > 0:
            self.faults = self.faults._replace(**{fault: remaining - 1})
        return remaining > 0

    def _record_append(self, stream: str, offset: int, outcome: str) -> None:
        self.evidence.append(
            AppendEvidence(stream, offset, outcome, time.time())
        )

    def _read(self, request: web.WebRequest) -> Any:
        refusal = self._check_available()
        if refusal is not None:
            return refusal
        stream = self._get(request.parts["stream"])
        offset = int(request.query.get("offset", "0"))
        limit = int(request.query.get("limit", "500"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000.0
        if offset >= stream.next and wait_s:
            stream.changed.wait(timeout=wait_s)
        refusal = self._check_available()
        if refusal is not None:
            return refusal
        page = {
            "first": stream.first,
            "next": stream.next,
            "records": stream.read(offset, limit, self.faults.read_lag_s),
        }
        return web.WebResponse(
            200, frames.encode(page), content_type="application/msgpack"
        )

    def _describe(self, request: web.WebRequest) -> Any:
        refusal = self._check_available()
        if refusal is not None:
            return refusal
        stream = self._get(request.parts["stream"])
        return {"first": stream.first, "next": stream.next}

    def _truncate(self, request: web.WebRequest) -> Any:
        value = request.decode()
        if not isinstance(value, dict) or "first" not in value:
            return errors.refuse(
                errors.Kind.MALFORMED, "field first is missing"
            )
        self.truncate(request.parts["stream"], int(value["first"]))
        return {"truncated": True}

    def _list_evidence(self, request: web.WebRequest) -> Any:
        return {"evidence": [one._asdict() for one in self.evidence]}

    def _set_faults(self, request: web.WebRequest) -> Any:
        value = request.decode()
        if errors.is_refusal(value):
            return value
        try:
            self.faults = self.faults._replace(**value)
        except (TypeError, ValueError) as error:
            return errors.refuse(errors.Kind.INVALID_VALUE, str(error))
        return self.faults._asdict()
