"""Protocol of the stand-in worker: fences, leases and checkpoints."""

import gevent
import pytest

from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.standins import worker as workers

PREPARE = {
    "job": "job-1",
    "attempt": 1,
    "fence": 10,
    "token": "entry-1/1",
    "ttl_s": 5.0,
    "size": 2,
    "idempotent": True,
    "checkpointable": True,
    "processors": 1.0,
    "memory_gb": 1.0,
    "tasks": [[0, 0b0001], [1, 0b0010]],
}
START = {
    "job": "job-1",
    "attempt": 1,
    "token": "entry-1/1",
    "ttl_s": 5.0,
    "kept_s": 0.0,
    "payload": {"run_s": 60.0, "result": "ok"},
}
STOP = {"job": "job-1", "attempt": 1, "grace_s": 1.0}
RENEW = {
    "incarnation": "",
    "until": 0.0,
    "digest": "list-1",
    "gangs": [["job-1", 1]],
    "since": 0,
    "wait_s": 0.0,
}
FENCED = errors.Kind.FENCED
BUSY = errors.Kind.BUSY


class Peer:
    """Client that sends calls of the published protocol."""

    def __init__(self, worker):
        host, port = worker.address.split(":")
        self._peer = http.HttpPeer(host=host, port=int(port))

    def send(self, action, body, **changes):
        return self._peer.call_json(
            "POST", f"/v1/{action}", {**body, **changes}
        )

    def run(self, *steps):
        answer = None
        for action, body, changes in steps:
            if action == "sleep":
                gevent.sleep(body)
            else:
                answer = self.send(action, body, **changes)
        return answer


@pytest.fixture
def worker():
    server = workers.Worker(name="worker-1", speed=1.0)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def peer(worker):
    return Peer(worker)


def _wait(condition):
    with gevent.Timeout(5):
        while not condition():
            gevent.sleep(0.01)


def _prepare(**changes):
    return ("prepare", PREPARE, changes)


def _start(**changes):
    return ("start", START, changes)


def _stop(**changes):
    return ("stop", STOP, changes)


NEXT_ATTEMPT = {"attempt": 2, "fence": 20, "token": "entry-2/1"}
OTHER_JOB = {"job": "job-2", "tasks": [[0, 0b0001]]}
EXPIRE = ("sleep", 0.3, {})


class TestFencing:
    @pytest.mark.parametrize(
        ("steps", "kind"),
        [
            ([_start()], FENCED),
            ([_prepare(ttl_s=0.05), EXPIRE, _start()], FENCED),
            ([_prepare(), _start(token="entry-2/1")], FENCED),
            (
                [
                    _prepare(ttl_s=0.05),
                    _prepare(token="entry-2/1"),
                    EXPIRE,
                    _start(),
                ],
                FENCED,
            ),
            ([_prepare(), _stop(), _start()], FENCED),
            ([_stop(), _prepare()], FENCED),
            ([_prepare(), _start(), _stop(), _prepare()], FENCED),
            (
                [_prepare(), _stop(), _prepare(**NEXT_ATTEMPT), _prepare()],
                FENCED,
            ),
            (
                [
                    _prepare(**{**NEXT_ATTEMPT, **OTHER_JOB}),
                    _stop(**{**NEXT_ATTEMPT, **OTHER_JOB}),
                    _prepare(),
                ],
                FENCED,
            ),
            (
                [
                    _prepare(**NEXT_ATTEMPT, tasks=[[0, 0]]),
                    _prepare(tasks=[[0, 0]]),
                ],
                FENCED,
            ),
            ([_prepare(), _prepare(**{**NEXT_ATTEMPT, **OTHER_JOB})], BUSY),
            ([_prepare(), _prepare(**NEXT_ATTEMPT)], BUSY),
            ([_prepare(processors=65.0)], BUSY),
            ([_prepare(memory_gb=129.0)], BUSY),
            (
                [
                    _prepare(),
                    _start(ttl_s=0.05),
                    EXPIRE,
                    _prepare(token="entry-2/1"),
                ],
                FENCED,
            ),
        ],
    )
    def test_refuses_stale_attempts_and_resources_in_use(
        self, peer, worker, steps, kind
    ):
        assert peer.run(*steps).kind is kind

    def test_repeated_start_of_an_attempt_starts_each_task_once(
        self, peer, worker
    ):
        again = [_prepare(token="entry-2/1"), _start(token="entry-2/1")]
        answer = peer.run(_prepare(), _start(), *again, _start())
        assert answer == {"started": True}
        assert len(worker.observations) == 2

    def test_later_placement_gets_accelerators_of_a_stopped_attempt(self, peer):
        answer = peer.run(_prepare(), _stop(), _prepare(**NEXT_ATTEMPT))
        assert answer == {"prepared": True, "started": False}


class TestLeases:
    def test_tasks_end_when_their_lease_expires(self, peer, worker):
        peer.run(_prepare(), _start(ttl_s=0.1))
        _wait(lambda: all(one["end"] for one in worker.observations))
        assert {one["end"] for one in worker.observations} == {"expired"}

    def test_renewal_extends_a_lease_but_not_an_expired_one(self, peer, worker):
        peer.run(_prepare(), _start(ttl_s=0.3))
        clock = peer.send("renew", RENEW)["clock"]
        peer.send("renew", RENEW, until=clock + 1.5)
        gevent.sleep(0.4)
        assert not any(one["end"] for one in worker.observations)
        _wait(lambda: all(one["end"] for one in worker.observations))
        report = peer.send("renew", RENEW, until=clock + 60.0)
        assert {task["state"] for task in report["tasks"]} == {"expired"}

    def test_late_renewal_does_not_extend_the_lease(self, peer, worker):
        peer.run(_prepare(), _start(ttl_s=0.3))
        clock = peer.send("renew", RENEW)["clock"]
        gevent.sleep(0.2)
        peer.send("renew", RENEW, until=clock + 0.1)
        _wait(lambda: all(one["end"] for one in worker.observations))
        assert {one["end"] for one in worker.observations} == {"expired"}

    def test_gang_list_is_sent_once_and_referred_to_by_digest(self, peer):
        peer.run(_prepare(), _start())
        without_list = {key: RENEW[key] for key in RENEW if key != "gangs"}
        assert peer.send("renew", without_list)["resend"]
        peer.send("renew", RENEW)
        assert not peer.send("renew", without_list)["resend"]

    def test_renewal_reports_unknown_gangs_as_missing(self, peer):
        report = peer.send("renew", RENEW, wait_s=5.0)
        assert report["missing"] == [["job-1", 1]]

    def test_waiting_renewal_is_answered_when_a_task_ends(self, peer):
        payload = {"run_s": 30.0, "run_s_by_task": {"1": 0.1}}
        peer.run(_prepare(), _start(payload=payload))
        first = peer.send("renew", RENEW)
        report = peer.send(
            "renew",
            RENEW,
            incarnation=first["incarnation"],
            since=first["sequence"],
            until=first["clock"] + 60,
            wait_s=4.0,
        )
        ends = [(task["index"], task["state"]) for task in report["tasks"]]
        assert ends == [(1, "done")]


class TestCheckpoints:
    def test_stop_saves_all_work_and_expiry_keeps_last_checkpoint(self):
        worker = workers.Worker(
            name="worker-1", speed=100.0, checkpoint_every_s=10.0
        )
        worker.start()
        peer = Peer(worker)
        peer.run(_prepare(), _start(kept_s=7.0, ttl_s=0.25))
        _wait(lambda: all(one["end"] for one in worker.observations))
        kept = {t["kept_s"] for t in peer.send("renew", RENEW)["tasks"]}
        assert min(kept) > 7.0
        assert all((kept_s - 7.0) % 10.0 == 0 for kept_s in kept)
        answer = peer.run(
            _prepare(**NEXT_ATTEMPT),
            _start(**NEXT_ATTEMPT, kept_s=17.0),
            _stop(attempt=2),
        )
        assert answer["started"]
        assert all(task["kept_s"] > 17.0 for task in answer["tasks"])
        worker.stop()

    def test_checkpoint_takes_at_most_the_grace_period(self, peer, worker):
        worker.faults = workers.Faults(checkpoint_s=60.0)
        answer = peer.run(_prepare(), _start(), _stop(grace_s=0.1))
        assert {task["state"] for task in answer["tasks"]} == {"stopped"}
