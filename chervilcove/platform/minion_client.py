"""HTTP client of one minion, which the control plane calls a worker."""

from typing import Any
from typing import Literal

import msgspec

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import traffic as traffic_values
from chervilcove.platform import fields
from chervilcove.platform import store

CONNECTIONS = 10  # one lease renewal and a burst of concurrent starts
CONNECT_TIMEOUT_S = 0.4  # the network latency is milliseconds
# Time that a call keeps for its answer; with more time than usual, the attempt
# to connect may take the rest.
ANSWER_TIME_S = 0.3
MAX_LISTED_ENDS = 500  # that a minion returns at a time
# Refusal kind for each reason with which a minion refuses a request.
_KINDS_BY_REASON = {
    "fence": errors.Kind.FENCED,
    "old": errors.Kind.STALE_REVISION,
    "late": errors.Kind.DEADLINE_EXCEEDED,
    "room": errors.Kind.QUEUE_FULL,
    "ticket": errors.Kind.GONE,
}
# Names of the calls in the counters of traffic.
_CALL_NAMES = {
    "/run-start": "worker_start",
    "/run-stop": "worker_stop",
    "/pace": "worker_pace",
    "/hold": "worker_renewal",
}


class _CommandResponse(msgspec.Struct):
    """Response to a command, or a refusal, which has a `reason`."""

    clock_ms: fields.Integer = 0
    reason: str = ""


class _RunningRow(msgspec.Struct, array_like=True):
    """Row of a lease response about a running task."""

    task: str
    run: fields.Count
    saved: str
    percent: fields.Number
    load: fields.Number | None = None


class _EndedRow(msgspec.Struct, array_like=True):
    """Row of a lease response about the end of a run."""

    number: fields.Count
    task: str
    run: fields.Count
    how: Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
    saved: str = ""


class _LeaseResponse(msgspec.Struct):
    """Response to a lease renewal.

    Attributes:
        clock_ms: Clock of the minion in milliseconds.
        running: Tasks that run there.
        ended_runs: Ends that are not acknowledged yet.
        born: Unix milliseconds of the start of the minion's process, 0 if
            unknown.
    """

    clock_ms: fields.Integer
    running: list[_RunningRow]
    ended_runs: list[_EndedRow]
    born: fields.Count = 0


class MinionClient(interfaces.WorkerClient):
    """Send commands and lease renewals to one minion.

    Args:
        report: Newest report of the minion about itself.
        traffic: Counts the bytes of the calls, None for nothing.
    """

    def __init__(
        self,
        *,
        report: interfaces.WorkerReport,
        traffic: traffic_values.Traffic | None = None,
    ):
        self._peer = http.HttpPeer(
            host=report.host,
            port=report.port,
            connections=CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            traffic=traffic,
        )
        self._headers = {
            "Content-Type": "application/json",
            "X-Chervilcove-Expect-Instance": report.id,
        }

    def start(
        self,
        command: interfaces.RunCommand,
        details: interfaces.StartOptions,
        *,
        timeout_s: float,
    ) -> int | errors.Refusal:
        """Start a run; return the minion's clock in milliseconds."""
        body: dict[str, Any] = {
            "task": command.task,
            "run": command.run,
            "spec": details.payload,
            "deadline_ms": details.expires_ms,
            "fence": command.fence,
        }
        if details.checkpoint:
            body["checkpoint_ref"] = details.checkpoint
        if details.ticket:
            body["ticket"] = details.ticket
        return self._send_command("/run-start", body, timeout_s)

    def stop(
        self, command: interfaces.RunCommand, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Stop a run, and prevent its start if it has not started yet."""
        return self._send_command("/run-stop", command._asdict(), timeout_s)

    def set_pace(
        self, command: interfaces.RunCommand, percent: int, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Limit a task to a percentage of its full speed."""
        body = {**command._asdict(), "pct": percent}
        return self._send_command("/pace", body, timeout_s)

    def renew_lease(
        self,
        *,
        fence: int,
        last_seen: int,
        lease_until_ms: int,
        wait_ms: int,
        timeout_s: float,
    ) -> interfaces.LeaseReply | errors.Refusal:
        """Extend the lease of all runs; return running and ended tasks."""
        body = {"fence": fence, "last_seen": last_seen, "wait_ms": wait_ms}
        if lease_until_ms:
            body["deadline_ms"] = lease_until_ms
        reply = self._call("/hold", body, timeout_s, wait_s=wait_ms / 1000)
        if errors.is_refusal(reply):
            return reply
        if reply.status != 200:
            return _convert_error(reply)
        return parse_lease_response(reply.body)

    def close(self) -> None:
        """Close all connections."""
        self._peer.close()

    def _send_command(
        self, path: str, body: dict[str, Any], timeout_s: float
    ) -> int | errors.Refusal:
        reply = self._call(path, body, timeout_s)
        if errors.is_refusal(reply):
            return reply
        if reply.status != 200:
            return _convert_error(reply)
        answer = store.decode(reply.body, _CommandResponse)
        return answer if errors.is_refusal(answer) else answer.clock_ms

    def _call(
        self,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
        *,
        wait_s: float = 0.0,
    ) -> http.Reply | errors.Refusal:
        self._peer.set_connect_timeout(
            max(CONNECT_TIMEOUT_S, timeout_s - wait_s - ANSWER_TIME_S)
        )
        reply = self._peer.call(
            "POST",
            path,
            body=msgspec.json.encode(body),
            headers=self._headers,
            timeout_s=timeout_s,
            name=_CALL_NAMES[path],
        )
        if errors.is_refusal(reply):
            self._peer.drop_idle()
            if reply.kind is not errors.Kind.CONNECT_FAILED:
                return reply._replace(kind=errors.Kind.OUTCOME_UNKNOWN)
        return reply


def parse_lease_response(
    body: bytes,
) -> interfaces.LeaseReply | errors.Refusal:
    """Return the answer to a lease renewal that `body` encodes as JSON."""
    answer = store.decode(body, _LeaseResponse)
    if errors.is_refusal(answer):
        return answer
    return interfaces.LeaseReply(
        clock_ms=answer.clock_ms,
        life=answer.born,
        running=[
            interfaces.RunningTask(
                row.task, row.run, row.saved, row.percent, row.load or 0.0
            )
            for row in answer.running
        ],
        ended=[
            interfaces.EndedRun(
                row.number, row.task, row.run, row.how, row.saved
            )
            for row in answer.ended_runs
        ],
        is_complete=len(answer.ended_runs) < MAX_LISTED_ENDS,
    )


def _convert_error(reply: http.Reply) -> errors.Refusal:
    if reply.status == 409:
        answer = store.decode(reply.body, _CommandResponse)
        if errors.is_refusal(answer):
            return answer
        return errors.refuse(
            _KINDS_BY_REASON.get(answer.reason, errors.Kind.PEER_REFUSED),
            f"minion refused the request: {answer.reason}",
            clock_ms=answer.clock_ms,
        )
    if reply.status == 421:
        return errors.refuse(
            errors.Kind.STALE_REVISION, "minion has restarted since its report"
        )
    return errors.refuse(
        errors.Kind.BUSY, f"minion answered status {reply.status}"
    )
