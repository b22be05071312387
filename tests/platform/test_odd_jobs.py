"""Odd requests of a caller may cost only that caller."""

import json

import hypothesis
import pytest

from chervilcove.core import errors
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.platform import callers
from tests.control import system as systems
from tests.platform import calls
from tests.platform import odd_values

BIG = 10**400
JOB_DOCUMENT = {
    "spec": "(text)",
    "repeats": 2,
    "start_ms": 1,
    "interval_ms": 1,
    "steps": [
        {"count": 1, "cpu": 1},
        {
            "count": 1,
            "cpu": 500,
            "mem_mb": 1,
            "gpu": 1,
            "est_ms": 900,
            "after": [0],
            "gang": False,
            "same_rack": False,
            "checkpoints": False,
            "requires": "a",
            "affinity": "r1-0",
            "anti_affinity": 1,
            "speculative": False,
            "persistent": False,
            "fill_count": 0,
            "image_ref": "",
            "target_ms": 1,
            "may_miss": 0,
        },
    ],
}


class TestJobs:
    """An odd body got 500 with an unknown outcome."""

    def check_job(self, content):
        spec = callers.parse_job(content)
        if errors.is_refusal(spec) or specs.check_spec(spec) is not None:
            return
        submission = records.Submission(calls.JOB, "q", "s", "c", 1_000, spec)
        key = records.build_key(records.Kind.JOB, calls.JOB)
        value = records.encode_value(submission)
        assert records.decode(key, value).value == submission

    def test_odd_job_is_refused_or_can_be_stored(self):
        for content in odd_values.list_odd_documents(JOB_DOCUMENT):
            self.check_job(content)

    @odd_values.settings
    @hypothesis.given(odd_values.build_odd_documents(JOB_DOCUMENT))
    def test_generated_job_is_refused_or_can_be_stored(self, content):
        self.check_job(content)

    @pytest.mark.parametrize(
        ("field", "body"),
        [
            ("anti_affinity", {"steps": [{"count": 1, "anti_affinity": BIG}]}),
            ("start_ms", {**calls.BODY, "repeats": 1, "start_ms": BIG}),
            ("interval_ms", {**calls.BODY, "repeats": 1, "interval_ms": BIG}),
            ("cpu", {"steps": [{"count": 1, "cpu": BIG}]}),
            ("after", {"steps": [{"count": 1, "after": [BIG]}]}),
            ("repeats", {**calls.BODY, "repeats": BIG}),
            ("start_ms", {**calls.BODY, "repeats": 1, "start_ms": -1}),
            ("interval_ms", {**calls.BODY, "repeats": 1, "interval_ms": -1}),
            ("anti_affinity", {"steps": [{"count": 1, "anti_affinity": -1}]}),
            ("fill_count", {"steps": [{"count": 1, "fill_count": "x"}]}),
        ],
    )
    def test_odd_job_gets_a_clear_refusal(self, peer, field, body):
        reply = calls.call(peer, "POST", calls.JOB, odd_values.encode(body))
        assert reply.status in (400, 422)
        assert field in json.loads(reply.body)["reason"]

    def test_nested_job_gets_a_clear_refusal(self, peer):
        body = {**calls.BODY, "more": odd_values.DEEP}
        reply = calls.call(peer, "POST", calls.JOB, odd_values.encode(body))
        assert reply.status == 400
        assert json.loads(reply.body)["ran"] == "no"

    @pytest.mark.parametrize(
        "deadline", ["nan", "inf", "-inf", "1e999", "-1", "x", "9" * 400]
    )
    def test_odd_deadline_is_no_reason_to_fail(self, platform, peer, deadline):
        headers = {"X-Chervilcove-Deadline-Ms": deadline}
        content = json.dumps(calls.BODY).encode()
        reply = calls.call(peer, "POST", calls.JOB, content, headers)
        assert reply.status == 200
        follower = platform.entry.job_api._follower
        platform.store.refuse_with = 503
        systems.wait_until(lambda: follower.reachable_since is None)
        other = "00000000000000bb"
        reply = calls.call(peer, "POST", other, content, headers)
        assert reply.status == 503
        assert json.loads(reply.body)["ran"] == "no"
