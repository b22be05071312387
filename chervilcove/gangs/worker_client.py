"""HTTP client of the workers, by their published protocol."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import gevent
import msgspec

from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import identifiers
from chervilcove.customers import schema as customers
from chervilcove.gangs import leases
from chervilcove.journal import state as states

CONNECTIONS_PER_WORKER = 4
UNREACHABLE_KINDS = frozenset(
    {
        errors.Kind.CONNECT_FAILED,
        errors.Kind.OUTCOME_UNKNOWN,
        errors.Kind.BAD_ANSWER,
    }
)

GangKeys = tuple[tuple[str, int], ...]


class WorkerClient:
    """Make typed calls to workers, over one HTTP peer per worker.

    A call that gets no answer closes the pooled connections to its worker,
    since new connections may work where the old ones stay silent for good.

    Args:
        timing: Durations of leases and calls.
    """

    def __init__(self, *, timing: leases.Timing):
        self._timing = timing
        self._peers: dict[str, http.HttpPeer] = {}

    def prepare(
        self, worker: customers.Worker, job: states.Job, token: str
    ) -> Any:
        """Reserve the places of `job` on `worker` under `token`."""
        spec = job["spec"]
        body = {
            "job": spec["id"],
            "attempt": job["attempt"],
            "fence": job["fence"],
            "token": token,
            "ttl_s": self._timing.start_ttl_s,
            "size": len(job["places"]),
            "idempotent": spec["idempotent"],
            "checkpointable": spec["checkpointable"],
            "processors": spec["processors"],
            "memory_gb": spec["memory_gb"],
            "tasks": [
                [index, place.mask]
                for index, place in enumerate(job["places"])
                if place.worker == worker["name"]
            ],
        }
        return self._call(worker, "/v1/prepare", body)

    def start(
        self, worker: customers.Worker, job: states.Job, token: str
    ) -> Any:
        """Start the tasks of `job` that were prepared under `token`."""
        spec = job["spec"]
        body = {
            "job": spec["id"],
            "attempt": job["attempt"],
            "token": token,
            "ttl_s": self._timing.first_ttl_s,
            "kept_s": job["kept_s"],
            "payload": spec.get("payload", {}),
        }
        return self._call(worker, "/v1/start", body)

    def renew(
        self,
        worker: customers.Worker,
        gangs: GangKeys,
        *,
        until: float,
        since: int,
        incarnation: str,
        wait_s: float,
        with_list: bool,
    ) -> Any:
        """Extend the leases of `gangs` and return the worker's report.

        Args:
            worker: Worker to call.
            gangs: Job and attempt of each gang.
            until: End of the leases, in seconds of the worker's own clock.
            since: Sequence number of the latest report received; the answer
                holds later reports only.
            incarnation: Incarnation of the worker that sent that report.
            wait_s: Maximum time that the worker waits for a task to end.
            with_list: Whether to send `gangs`, or only their digest.
        """
        body: dict[str, Any] = {
            "incarnation": incarnation,
            "until": until,
            "digest": digest_gangs(gangs),
            "since": since,
            "wait_s": round(wait_s, 3),
        }
        if with_list:
            body["gangs"] = gangs
        return self._call(worker, "/v1/renew", body, wait_s=wait_s)

    def stop(self, worker: customers.Worker, job: str, attempt: int) -> Any:
        """Checkpoint and stop the tasks of an attempt."""
        grace_s = self._timing.stop_grace_s
        body = {"job": job, "attempt": attempt, "grace_s": grace_s}
        return self._call(worker, "/v1/stop", body, wait_s=grace_s)

    def forget(self, worker: customers.Worker, gangs: GangKeys) -> Any:
        """Let the worker discard its reports on the ended tasks of `gangs`."""
        return self._call(worker, "/v1/forget", {"gangs": gangs})

    def close(self) -> None:
        """Close all idle connections to workers."""
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()

    def _call(
        self,
        worker: customers.Worker,
        path: str,
        body: Any,
        *,
        wait_s: float = 0.0,
    ) -> Any | errors.Refusal:
        address = worker["address"]
        peer = self._get_peer(address)
        timeout_s = wait_s + self._timing.call_timeout_s
        answer = peer.call_json("POST", path, body, timeout_s=timeout_s)
        if errors.is_refusal(answer) and answer.kind in UNREACHABLE_KINDS:
            self._drop_peer(address, peer)
        return answer

    def _get_peer(self, address: str) -> http.HttpPeer:
        peer = self._peers.get(address)
        if peer is None:
            host, port = address.split(":")
            peer = http.HttpPeer(
                host=host,
                port=int(port),
                connections=CONNECTIONS_PER_WORKER,
                connect_timeout_s=self._timing.call_timeout_s,
            )
            self._peers[address] = peer
        return peer

    def _drop_peer(self, address: str, peer: http.HttpPeer) -> None:
        if self._peers.get(address) is peer:
            del self._peers[address]
        peer.close()


def digest_gangs(gangs: GangKeys) -> str:
    """Return a short digest that identifies a list of gangs."""
    return identifiers.digest(msgspec.json.encode(gangs))[:16]


def is_unreachable(answer: Any) -> bool:
    """Return whether a call got no answer from its worker."""
    return errors.is_refusal(answer) and answer.kind in UNREACHABLE_KINDS


def read_reports(
    answer: dict[str, Any],
) -> dict[tuple[str, int], list[leases.TaskReport]]:
    """Return the task reports in `answer` by job and attempt."""
    found: dict[tuple[str, int], list[leases.TaskReport]] = {}
    for task in answer["tasks"]:
        report = leases.TaskReport(
            task["index"], task["state"], task["kept_s"], task["result"]
        )
        key = (task["job"], task["attempt"])
        found.setdefault(key, []).append(report)
    return found


def call_all(
    workers: Iterable[customers.Worker],
    call: Callable[[customers.Worker], Any],
) -> dict[str, Any]:
    """Call all `workers` concurrently; return the answers by worker name."""
    greenlets = {
        worker["name"]: gevent.spawn(call, worker) for worker in workers
    }
    gevent.joinall(list(greenlets.values()))
    return {name: greenlet.value for name, greenlet in greenlets.items()}
