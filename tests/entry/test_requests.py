"""Requests through complete entries: claims, log outages and drains."""

import gevent
import pytest

from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.entry import claims
from chervilcove.requests import core
from tests import cluster

_KINDS = errors.Kind


class TestRequests:
    @pytest.fixture
    def system(self):
        system = cluster.Cluster(worker_count=0)
        system.start()
        system.peers[0].call_json(
            "POST", "/v1/notes", system.build_first_note(), timeout_s=15
        )
        system.wait(
            lambda: all(
                cluster.SERVICE in entry.router.describe()["services"]
                for entry in system.entries
            )
        )
        yield system
        system.stop()

    def _send(self, system, *, entry=0, value=None, deadline_ms=5000, **fields):
        headers = {
            "X-Customer": "hotels",
            "X-Request-Key": "booking-1",
            "X-Deadline-Ms": str(deadline_ms),
            **{
                f"X-{name.replace('_', '-')}": text
                for name, text in fields.items()
            },
        }
        return system.peers[entry].call_json(
            "POST",
            f"/v1/services/{cluster.SERVICE}/requests",
            value or {"work_ms": 1},
            headers=headers,
            timeout_s=15,
        )

    def _list_keys(self, system):
        return [item.key for item in system.minion.records.list_executions()]

    def test_one_key_at_all_entries_at_once_runs_once(self, system):
        sent = [
            gevent.spawn(
                self._send, system, entry=index % 2, value={"work_ms": 50}
            )
            for index in range(8)
        ]
        results = [greenlet.get() for greenlet in sent]
        assert self._list_keys(system) == ["booking-1"]
        assert all(result == results[0] for result in results)
        assert results[0]["key"] == "booking-1"

    def test_a_log_outage_refuses_only_requests_that_need_a_claim(self, system):
        system.log.faults = system.log.faults._replace(down=True)
        system.wait(
            lambda: not any(one.replica.is_following for one in system.entries)
        )
        refused = self._send(system)
        assert refused.kind is _KINDS.LOG_UNAVAILABLE
        response = self._send(system, Idempotent="true", Request_Key="survey-1")
        assert response["key"] == "survey-1"
        system.log.faults = system.log.faults._replace(down=False)
        system.wait(
            lambda: all(one.replica.is_following for one in system.entries)
        )
        assert self._send(system, entry=1)["key"] == "booking-1"
        assert self._list_keys(system) == ["survey-1", "booking-1"]

    def test_a_claim_applied_after_the_deadline_is_released(self, system):
        # Otherwise the key stays claimed although its request never ran.
        system.log.faults = system.log.faults._replace(append_delay_s=0.6)
        refused = self._send(system, deadline_ms=200)
        assert refused.kind is _KINDS.LOG_UNAVAILABLE
        assert self._list_keys(system) == []
        system.log.faults = system.log.faults._replace(append_delay_s=0.0)
        system.wait(lambda: system.entries[0].claims.flush(timeout_s=0.01))
        assert self._send(system, entry=1)["key"] == "booking-1"
        assert self._list_keys(system) == ["booking-1"]

    def test_a_lost_log_response_to_a_claim_runs_the_request_once(self, system):
        # The claim is in the log although the append seemed to fail.
        system.log.faults = system.log.faults._replace(lost_answers=1)
        assert self._send(system)["key"] == "booking-1"
        assert self._send(system, entry=1)["key"] == "booking-1"
        assert self._list_keys(system) == ["booking-1"]

    def test_an_unknown_outcome_is_returned_by_all_entries(self, system):
        system.minion.set_faults(cut_after=1)
        assert self._send(system).kind is _KINDS.OUTCOME_UNKNOWN
        repeated = self._send(system, entry=1)
        assert repeated.kind is _KINDS.OUTCOME_UNKNOWN
        assert self._list_keys(system) == ["booking-1"]

    def test_a_request_that_did_not_run_can_be_sent_again(self, system):
        system.minion.busy = system.minion.slots
        refused = self._send(system, deadline_ms=300)
        assert (
            error_responses.ERROR_RESPONSES[refused.kind].ran
            is error_responses.Ran.NOT_RUN
        )
        assert self._list_keys(system) == []
        system.minion.busy = 0
        assert self._send(system, entry=1)["key"] == "booking-1"
        assert self._list_keys(system) == ["booking-1"]

    def test_a_drain_answers_open_requests_and_refuses_new_ones(self, system):
        open_requests = [
            gevent.spawn(
                self._send,
                system,
                value={"work_ms": 200},
                Request_Key=f"booking-{index}",
            )
            for index in range(4)
        ]
        system.wait(lambda: system.minion.busy == 4)
        draining = gevent.spawn(system.entries[0].drain, timeout_s=10.0)
        gevent.sleep(0)
        refused = self._send(system, Request_Key="late")
        assert refused.kind in (_KINDS.DRAINING, _KINDS.CONNECT_FAILED)
        assert draining.get()
        for index, greenlet in enumerate(open_requests):
            assert greenlet.get()["key"] == f"booking-{index}"
        claims_by_key = system.entries[0].replica.state.core["claims"]
        assert {claim["outcome"] for claim in claims_by_key.values()} == {
            "answered"
        }

    def _submit(self, system, number, is_in_service):
        note = {
            "id": f"note-{number}",
            "author": "operator",
            "base_revision": number - 1,
            "added": [],
            "changed": [
                {
                    "type": "data_centre",
                    "name": "Giza",
                    "in_service": is_in_service,
                }
            ],
            "withdrawn": [],
        }
        outcome = system.peers[0].call_json(
            "POST", "/v1/notes", note, timeout_s=15
        )
        assert outcome["revision"] == number

    def test_a_data_centre_out_of_service_gets_no_requests(self, system):
        sent = gevent.spawn(self._send, system, value={"work_ms": 300})
        system.wait(lambda: system.minion.busy)
        self._submit(system, 2, False)
        system.wait(
            lambda: (
                not any(
                    entry.router.describe()["services"][cluster.SERVICE][
                        "minions"
                    ]
                    for entry in system.entries
                )
            )
        )
        for entry in range(2):
            refused = self._send(system, entry=entry, Request_Key="new")
            assert refused.kind is _KINDS.NO_MINION
        assert sent.get()["key"] == "booking-1"
        self._submit(system, 3, True)
        system.wait(
            lambda: (
                self._send(system, entry=1, Request_Key="new")
                == {"key": "new", "minion": "minion-0"}
            )
        )
        assert self._list_keys(system) == ["booking-1", "new"]

    def test_an_unknown_customer_is_refused(self, system):
        refused = self._send(system, Customer="strangers")
        assert refused.kind is _KINDS.UNKNOWN_CUSTOMER
        assert self._list_keys(system) == []

    def test_a_bad_header_is_refused_before_any_claim(self, system):
        refused = self._send(system, Request_Key="")
        assert refused.kind is _KINDS.KEY_REQUIRED
        assert self._list_keys(system) == []

    def test_without_claims_a_key_runs_twice(self, system, monkeypatch):
        # Checks that the test of concurrent requests can fail at all.
        monkeypatch.setattr(
            claims.ReplicatedClaimStore,
            "claim",
            lambda self, **_: _create_claim(),
        )
        with pytest.raises(AssertionError):
            self.test_one_key_at_all_entries_at_once_runs_once(system)


def _create_claim():
    return core.Claim("hotels", cluster.SERVICE, "booking-1", "", "")
