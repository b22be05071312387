"""End-to-end tests of one entry over HTTP against a platform stand-in."""

import json

import logbook
import pytest

from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.platform import callers
from tests.control import system as systems
from tests.platform import standin

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
BODY = {
    "spec": "(text)",
    "steps": [{"count": 1, "cpu": 500, "mem_mb": 256, "est_ms": 900}],
}


@pytest.fixture
def call(peer):
    def send(method, path, body=None, *, key="key-1", host="jobs.example"):
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        reply = peer.call(
            method,
            path,
            body=b"" if body is None else content,
            headers={"Host": host, "X-Chervilcove-Key": key},
        )
        assert not errors.is_refusal(reply), reply
        return reply

    return send


@pytest.fixture
def neighbours(platform, peer):
    """Configure a second queue and a second customer, with the key key-3."""
    route = standin.CONFIG["routes"][0]
    tenant = standin.CONFIG["tenants"][0]
    config = {
        **standin.CONFIG,
        "version": 9,
        "routes": [route, {**route, "name": "r-2", "path_prefix": "/usual/"}],
        "tenants": [tenant, {**tenant, "name": "u", "api_keys": ["key-3"]}],
    }
    platform.store.put("keyed.op", "config", config)
    operator_feed = platform.entry._operator_feed
    systems.wait_until(lambda: operator_feed.get().configuration.version == 9)


class TestSenders:
    @pytest.mark.parametrize(
        ("path", "key"),
        [(f"/usual/{JOB}", "key-1"), (f"/batch/{JOB}", "key-3")],
        ids=["other_queue", "other_customer"],
    )
    def test_jobs_of_other_senders_are_not_shown_or_cancelled(
        self, neighbours, call, path, key
    ):
        # Jobs were found by their ids alone, so that any key could cancel them.
        assert call("POST", f"/batch/{JOB}", BODY).status == 200
        assert call("GET", path, key=key).status == 410
        assert call("DELETE", path, key=key).status == 410
        assert call("POST", path, BODY, key=key).status == 409
        reply = call("GET", f"/batch/{JOB}")
        assert json.loads(reply.body)["state"] in ("queued", "running")


class TestJobApi:
    def test_submitted_job_runs_and_its_state_is_returned(self, platform, call):
        assert call("POST", f"/batch/{JOB}", BODY).status == 200
        minion = systems.wait_until(
            lambda: next(
                (m for m in platform.minions if TASK in m.worker.running), None
            )
        )
        headers, body = minion.start_requests[0]
        assert headers["x-chervilcove-expect-instance"] == (
            minion.worker.report.id
        )
        assert body["spec"] == "(text)"
        assert "checkpoint_ref" not in body
        reply = call("GET", f"/batch/{JOB}")
        assert json.loads(reply.body) == {"state": "running"}
        minion.worker.end(TASK, "done")
        systems.wait_until(
            lambda: (
                json.loads(call("GET", f"/batch/{JOB}").body)
                == {"state": "done"}
            )
        )

    def test_cancelling_a_job_stops_its_running_task(self, platform, call):
        call("POST", f"/batch/{JOB}", BODY)
        systems.wait_until(
            lambda: any(TASK in m.worker.running for m in platform.minions)
        )
        assert call("DELETE", f"/batch/{JOB}").status == 200
        systems.wait_until(
            lambda: not any(TASK in m.worker.running for m in platform.minions)
        )
        reply = call("GET", f"/batch/{JOB}")
        assert json.loads(reply.body) == {"state": "cancelled"}

    def test_job_that_arrives_after_its_cancel_is_cancelled(
        self, platform, call
    ):
        # A job ran although its cancel was answered with 410.
        assert call("DELETE", f"/batch/{JOB}").status == 410
        reply = call("POST", f"/batch/{JOB}", BODY)
        assert reply.status == 200
        reply = call("GET", f"/batch/{JOB}")
        assert json.loads(reply.body) == {"state": "cancelled"}
        assert all(not m.start_requests for m in platform.minions)

    def test_unknown_job_is_gone(self, call):
        assert call("GET", f"/batch/{JOB}").status == 410
        assert call("DELETE", f"/batch/{JOB}").status == 410

    def test_queue_path_returns_the_number_of_waiting_jobs(self, call):
        body = {"steps": [{"count": 1, "cpu": 500, "gpu": 99}]}
        call("POST", f"/batch/{JOB}", body)
        systems.wait_until(
            lambda: json.loads(call("GET", "/batch/").body) == {"waiting": 1}
        )

    def test_repeated_submit_succeeds_unless_its_body_differs(self, call):
        for _ in range(2):
            assert call("POST", f"/batch/{JOB}", BODY).status == 200
        other = {**BODY, "spec": "other"}
        systems.wait_until(
            lambda: call("POST", f"/batch/{JOB}", other).status == 409
        )

    def test_invalid_request_gets_a_reason_and_stores_no_job(self, call):
        invalid = [
            (b"{", 400),
            (b"[]", 400),
            (json.dumps({"steps": []}).encode(), 422),
            (json.dumps({"steps": [{"count": 0}]}).encode(), 422),
            (json.dumps({"steps": [{"count": "x"}]}).encode(), 400),
            (
                json.dumps({"steps": [{"count": 1, "after": [0]}]}).encode(),
                422,
            ),
            (b" " * 262_145, 413),
        ]
        for body, status in invalid:
            reply = call("POST", f"/batch/{JOB}", body)
            assert reply.status == status, body[:40]
            assert json.loads(reply.body)["reason"]
        assert call("POST", "/batch/short", BODY).status == 422
        assert call("GET", f"/batch/{JOB}").status == 410

    def test_unknown_key_path_or_host_is_refused(self, platform, call):
        assert call("GET", f"/batch/{JOB}", key="other").status == 401
        assert call("GET", f"/none/{JOB}").status == 404
        assert call("GET", f"/batch/{JOB}", host="other").status == 404

    def test_revoked_key_is_refused(self, platform, call):
        tenant = {**standin.CONFIG["tenants"][0], "api_keys": ["key-2"]}
        config = {**standin.CONFIG, "version": 9, "tenants": [tenant]}
        platform.store.put("keyed.op", "config", config)
        systems.wait_until(lambda: call("GET", f"/batch/{JOB}").status == 401)
        assert call("GET", f"/batch/{JOB}", key="key-2").status == 410

    def test_queue_with_a_policy_starts_only_on_granted_minions(
        self, platform, call
    ):
        advice = {"decide_ms": 5, "each_ms": 1, "valid_ms": 3000}
        route = {**standin.CONFIG["routes"][0], "advice": advice}
        config = {**standin.CONFIG, "version": 9, "routes": [route]}
        platform.store.put("keyed.op", "config", config)
        operator_feed = platform.entry._operator_feed
        systems.wait_until(
            lambda: operator_feed.get().configuration.version == 9
        )
        call("POST", f"/batch/{JOB}", BODY)
        systems.wait_until(lambda: platform.minions[1].start_requests)
        assert (
            platform.minions[1].start_requests[0][1]["ticket"] == "ticket-i-1"
        )
        assert platform.minions[0].start_requests == []
        requested = platform.policy_service.requests[0]
        assert requested == {"step": f"{JOB}.0.0", "workers": ["i-0", "i-1"]}

    def test_older_configuration_does_not_replace_a_newer_one(
        self, platform, call
    ):
        older = {**standin.CONFIG, "version": 5, "routes": []}
        platform.store.put("keyed.op", "config", older)
        newer = {**standin.CONFIG, "version": 8}
        platform.store.put("keyed.op", "config", newer)
        entry = platform.entry
        systems.wait_until(
            lambda: entry._operator_feed.get().configuration.version == 8
        )
        assert call("GET", f"/batch/{JOB}").status == 410

    def test_invalid_minion_records_are_ignored(self, platform, call):
        minion = platform.minions[0]
        for number, value in enumerate(
            [
                standin.build_minion_record(minion, state="odd"),
                standin.build_minion_record(minion, addr="nowhere"),
                standin.build_minion_record(minion, capacity="much"),
                {"service": "pool"},
                "text",
            ]
        ):
            platform.store.put("keyed.servers", f"i-odd{number}", value)
        systems.wait_until(lambda: platform.entry._owner is not None)
        fleet = platform.entry._owner.fleet
        systems.wait_until(lambda: len(fleet.reports) == 2)
        call("POST", f"/batch/{JOB}", BODY)
        systems.wait_until(
            lambda: any(TASK in m.worker.running for m in platform.minions)
        )

    def test_job_is_refused_while_the_store_refuses_appends(
        self, platform, call
    ):
        platform.store.refuse_with = 503
        reply = call("POST", f"/batch/{JOB}", BODY)
        assert reply.status == 503
        assert int(reply.headers["retry-after"]) >= 1
        assert json.loads(reply.body)["ran"] == "no"
        platform.store.refuse_with = 0
        systems.wait_until(lambda: call("GET", f"/batch/{JOB}").status == 410)

    def test_restarted_entry_reads_all_pages_of_an_expired_ledger(
        self, platform, call
    ):
        for number in range(5):
            call("POST", f"/batch/{number:016x}", BODY)
        ledger = platform.store.get_topic("keyed.ledger")
        submitted_jobs = {f"{number:016x}" for number in range(5)}
        platform.entry.kill()
        ledger.lapse()
        platform.start_entry()
        jobs = platform.entry.job_api._follower.table.jobs
        assert submitted_jobs <= set(jobs)

    def test_entry_is_unready_while_the_store_is_unavailable(
        self, platform, call
    ):
        peer = http.HttpPeer(
            host="127.0.0.1", port=platform.entry._health_server.port
        )
        systems.wait_until(lambda: peer.call("GET", "/ready").status == 200)
        platform.store.refuse_with = 503
        systems.wait_until(lambda: peer.call("GET", "/ready").status == 503)
        platform.store.refuse_with = 0
        systems.wait_until(lambda: peer.call("GET", "/ready").status == 200)
        peer.close()


class TestRefusals:
    """Each refused request logs one line with its kind and inputs."""

    CALLS = [
        ("GET", f"/batch/{JOB}", None, {"key": "other"}, "unknown_key"),
        ("GET", f"/none/{JOB}", None, {}, "not_found"),
        ("GET", f"/batch/{JOB}", None, {"host": "other"}, "not_found"),
        ("GET", f"/batch/{JOB}", None, {}, "gone"),
        ("DELETE", f"/batch/{JOB}", None, {}, "gone"),
        ("POST", f"/batch/{JOB}", b"{", {}, "malformed"),
        ("POST", f"/batch/{JOB}", {"steps": []}, {}, "invalid_value"),
        ("POST", "/batch/short", BODY, {}, "invalid_value"),
        ("POST", f"/batch/{JOB}", b" " * 262_145, {}, "too_large"),
    ]

    @pytest.mark.parametrize(("method", "path", "body", "how", "kind"), CALLS)
    def test_log_line_names_the_request_and_the_kind(
        self, call, method, path, body, how, kind
    ):
        handler = logbook.TestHandler()
        with handler.applicationbound():
            assert call(method, path, body, **how).status >= 400
        lines = [
            record.message
            for record in handler.records
            if "event=call_refused" in record.message
        ]
        assert len(lines) == 1
        assert f"kind={kind}" in lines[0]
        assert path in lines[0] or JOB in lines[0]
        assert "config=7" in lines[0]
        assert "other" not in lines[0].replace("host=other", "")


class TestJobFormat:
    def test_fields_of_a_job_are_converted_to_a_spec(self):
        spec = callers.parse_job(
            json.dumps(
                {
                    "spec": "s",
                    "repeats": 3,
                    "start_ms": 5000,
                    "interval_ms": 100,
                    "steps": [
                        {
                            "count": 2,
                            "cpu": 500,
                            "mem_mb": 10,
                            "gpu": 1,
                            "est_ms": 900,
                            "gang": True,
                            "same_rack": True,
                            "requires": "a",
                            "affinity": "r1-3",
                            "anti_affinity": 1,
                            "checkpoints": True,
                            "persistent": True,
                            "fill_count": 1,
                            "image_ref": "i",
                            "target_ms": 50,
                            "may_miss": 1,
                        }
                    ],
                }
            ).encode()
        )
        step = spec.steps[0]
        assert step.need == (0, 10, 1)
        assert step.is_filler
        assert step.label == "a"
        assert step.data_rack == "r1-3"
        assert step.most_per_worker == 1
        assert step.is_lasting
        assert spec.occurrences == 3
        assert spec.get_due_ms(2) == 5200


class TestOperatorPages:
    def test_job_is_explained_with_its_history(self, platform, call):
        call("POST", f"/batch/{JOB}", BODY)
        systems.wait_until(
            lambda: any(TASK in m.worker.running for m in platform.minions)
        )
        peer = http.HttpPeer(
            host="127.0.0.1", port=platform.entry._operator_server.port
        )
        explained = peer.call_json("GET", f"/v1/jobs/{JOB}/explain")
        assert explained["state"] == "running"
        events = [step["event"] for step in explained["history"]]
        assert events == ["accepted", "active"]
        status = peer.call_json("GET", "/v1/status")
        assert status["entries"][0]["role"] == "owner"
        text = peer.call("GET", "/metrics").body.decode()
        assert "chervilcove_jobs_submit_accepted 1" in text
        peer.close()
