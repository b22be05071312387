"""Calls to one minion: a worker, in the product's words."""

from typing import Any

import msgspec

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.platform import store

CONNECTIONS = 10  # one renewal, and starts of a burst beside it
CONNECT_TIMEOUT_S = 0.4  # links take milliseconds
# Reasons of a refused order, in the product's words.
_REASONS = {
    "fence": errors.Kind.FENCED,
    "old": errors.Kind.STALE_REVISION,
    "late": errors.Kind.DEADLINE_EXCEEDED,
    "room": errors.Kind.QUEUE_FULL,
    "ticket": errors.Kind.GONE,
}


class _Answer(msgspec.Struct):
    """Decode the answer to an order."""

    clock_ms: int = 0
    reason: str = ""


class _HoldAnswer(msgspec.Struct):
    """Decode the answer to a renewal.

    Rows of `running` are task, run, checkpoint, percent and load; rows of
    `ended_runs` are number, task, run, how it ended and checkpoint.
    """

    clock_ms: int
    running: list[list[Any]]
    ended_runs: list[list[Any]]
    born: int = 0


class MinionClient(interfaces.WorkerClient):
    """Call one minion.

    Args:
        report: What it says of itself.
    """

    def __init__(self, *, report: interfaces.WorkerReport):
        self._peer = http.HttpPeer(
            host=report.host,
            port=report.port,
            connections=CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
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
        """Start a run; return the worker's clock in milliseconds."""
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
        """Stop a run, and make it impossible where it is not there yet."""
        return self._send_command("/run-stop", command._asdict(), timeout_s)

    def set_pace(
        self, command: interfaces.RunCommand, percent: int, *, timeout_s: float
    ) -> int | errors.Refusal:
        """Let a task work at a share of its speed."""
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
        """Extend the lease of all that runs; return runs and ends."""
        body = {"fence": fence, "last_seen": last_seen, "wait_ms": wait_ms}
        if lease_until_ms:
            body["deadline_ms"] = lease_until_ms
        reply = self._call("/hold", body, timeout_s)
        if errors.is_refusal(reply):
            return reply
        if reply.status != 200:
            return _refuse(reply)
        try:
            answer = msgspec.json.decode(reply.body, type=_HoldAnswer)
            return interfaces.LeaseReply(
                clock_ms=answer.clock_ms,
                life=answer.born,
                running=[_read_running(row) for row in answer.running],
                ended=[
                    interfaces.EndedRun(*row[:5]) for row in answer.ended_runs
                ],
            )
        except (msgspec.MsgspecError, TypeError, IndexError) as error:
            return errors.refuse(errors.Kind.BAD_ANSWER, f"renewal: {error}")

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
            return _refuse(reply)
        answer = store.decode(reply.body, _Answer)
        return answer if errors.is_refusal(answer) else answer.clock_ms

    def _call(
        self, path: str, body: dict[str, Any], timeout_s: float
    ) -> http.Reply | errors.Refusal:
        reply = self._peer.call(
            "POST",
            path,
            body=msgspec.json.encode(body),
            headers=self._headers,
            timeout_s=timeout_s,
        )
        if errors.is_refusal(reply):
            self._peer.drop_idle()
            if reply.kind is not errors.Kind.CONNECT_FAILED:
                return reply._replace(kind=errors.Kind.OUTCOME_UNKNOWN)
        return reply


def _read_running(row: list[Any]) -> interfaces.RunningTask:
    load = float(row[4]) if len(row) > 4 and row[4] is not None else 0.0
    return interfaces.RunningTask(row[0], row[1], row[2], float(row[3]), load)


def _refuse(reply: http.Reply) -> errors.Refusal:
    if reply.status == 409:
        answer = store.decode(reply.body, _Answer)
        if errors.is_refusal(answer):
            return answer
        return errors.refuse(
            _REASONS.get(answer.reason, errors.Kind.PEER_REFUSED),
            f"refused: {answer.reason}",
            clock_ms=answer.clock_ms,
        )
    if reply.status == 421:
        return errors.refuse(errors.Kind.STALE_REVISION, "another life")
    return errors.refuse(errors.Kind.BUSY, f"status {reply.status}")
