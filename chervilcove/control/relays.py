"""Relay: entries hand the records of their callers to the owner.

The ledger executes the appends to its partition one after the other. When it is
80 times slower than usual, these are six a second. With an append of each of 97
entries under way, the queue grew until the ledger refused all of them, the
owner's heartbeats too. The owner therefore appends for all entries, and one
append holds what came in during the one before. An entry that can't reach the
owner appends on its own: records of callers may be stored twice.
"""

from collections.abc import Callable
import time

import msgspec

from chervilcove.control import owner_writer
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import metrics as metric_values
from chervilcove.core import traffic as traffic_values
from chervilcove.core import web
from chervilcove.jobs import records

PATH = "/v1/records"
CONNECT_TIMEOUT_S = 0.25
MAX_WAIT_S = 1.2  # for the owner's append, which may wait for the one before
ANSWER_MARGIN_S = 0.1  # between the owner's answer and the end of the call
MAX_CONNECTIONS = 4
# After a call that failed, the entry appends on its own for this time.
AVOID_OWNER_S = 2.0
CALLER_KINDS = (
    records.Kind.JOB,
    records.Kind.CANCEL,
    records.Kind.EARLY_CANCEL,
    records.Kind.ENTRY,
)

Items = list[tuple[str, bytes]]

_decoder = msgspec.msgpack.Decoder(Items)


class RecordRelay:
    """Append records through the owner, wherever it is.

    Args:
        server: Server for the calls of other entries.
        get_writer: Returns the writer of the owner in this process, or None.
        find_owner: Returns the address (host, port) of an owner elsewhere;
            None if there is none, or if it isn't heard.
        metrics: Metrics of this entry.
        traffic: Counts what the entry sends and receives.
    """

    def __init__(
        self,
        *,
        server: web.WebServer,
        get_writer: Callable[[], owner_writer.OwnerWriter | None],
        find_owner: Callable[[], tuple[str, int] | None],
        metrics: metric_values.Metrics,
        traffic: traffic_values.Traffic,
    ):
        self._traffic = traffic
        self._get_writer = get_writer
        self._find_owner = find_owner
        self._metrics = metrics
        self._peer: http.HttpPeer | None = None
        self._peer_address: tuple[str, int] | None = None
        self._avoid_until = 0.0  # monotonic seconds
        server.add_route("POST", PATH, self._handle_append)

    def append(
        self, items: Items, *, timeout_s: float
    ) -> errors.Refusal | None:
        """Append records of callers, and wait until they are stored.

        Returns:
            None once they are stored; `OUTCOME_UNKNOWN` if they may be, now or
            later; `CONNECT_FAILED` if they certainly never will be, so that
            this entry has to append them.
        """
        writer = self._get_writer()
        if writer is not None:
            outcome = writer.write(items, timeout_s=timeout_s)
        else:
            outcome = self._call_owner(items, timeout_s)
        kind = outcome.kind.value if errors.is_refusal(outcome) else "stored"
        self._metrics.count(f"ledger.relayed.{kind}")
        if errors.is_refusal(outcome) and (
            outcome.kind is not errors.Kind.OUTCOME_UNKNOWN
        ):
            return outcome._replace(kind=errors.Kind.CONNECT_FAILED)
        return outcome

    def _call_owner(
        self, items: Items, timeout_s: float
    ) -> errors.Refusal | None:
        address = self._find_owner()
        if address is None or time.monotonic() < self._avoid_until:
            return errors.refuse(
                errors.Kind.CONNECT_FAILED, "no owner can be reached"
            )
        wait_s = min(MAX_WAIT_S, timeout_s)
        reply = self._get_peer(address).call(
            "POST",
            f"{PATH}?timeout_ms={int(wait_s * 1000)}",
            body=msgspec.msgpack.encode(items),
            timeout_s=wait_s + ANSWER_MARGIN_S,
            name="owner_relay",
        )
        outcome = reply if errors.is_refusal(reply) else http.read_reply(reply)
        if not errors.is_refusal(outcome):
            return None
        if outcome.kind is not errors.Kind.LOG_UNAVAILABLE:
            self._avoid_until = time.monotonic() + AVOID_OWNER_S
        if outcome.kind is errors.Kind.BAD_ANSWER:
            return outcome._replace(kind=errors.Kind.OUTCOME_UNKNOWN)
        return outcome

    def _get_peer(self, address: tuple[str, int]) -> http.HttpPeer:
        if self._peer is None or address != self._peer_address:
            if self._peer is not None:
                self._peer.close()
            host, port = address
            self._peer_address = address
            self._peer = http.HttpPeer(
                host=host,
                port=port,
                connections=MAX_CONNECTIONS,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                traffic=self._traffic,
            )
            self._avoid_until = 0.0
        return self._peer

    def _handle_append(
        self, request: web.WebRequest
    ) -> dict[str, bool] | errors.Refusal:
        """Append the records of another entry."""
        try:
            items = _decoder.decode(request.body)
            timeout_s = int(request.query.get("timeout_ms", "0")) / 1000
        except (ValueError, msgspec.MsgspecError) as error:
            return errors.refuse(errors.Kind.MALFORMED, str(error))
        for key, value in items:
            record = records.decode(key, value)
            if errors.is_refusal(record):
                return record
            if record.kind not in CALLER_KINDS or not value:
                return errors.refuse(
                    errors.Kind.INVALID_VALUE,
                    f"record {key} is not one of a caller",
                )
        writer = self._get_writer()
        if writer is None:
            return errors.refuse(
                errors.Kind.PEER_REFUSED, "this entry is not the owner"
            )
        if not items:
            return {"stored": True}
        outcome = writer.write(items, timeout_s=min(MAX_WAIT_S, timeout_s))
        return outcome if errors.is_refusal(outcome) else {"stored": True}


def parse_owner(entry: str) -> tuple[str, int] | None:
    """Return the address in the identity "NAME@HOST:PORT" of an entry.

    Returns:
        None if it has no valid port: the entry takes no records of others.
    """
    _, _, address = entry.rpartition("@")
    host, colon, digits = address.rpartition(":")
    try:
        port = int(digits)
    except ValueError:
        return None
    return (host, port) if colon and 0 < port < 2**16 else None
