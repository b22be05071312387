"""What others write may cost only its writer, whatever it holds."""

import json

import gevent
import hypothesis
import pytest

from chervilcove.control import interfaces
from chervilcove.control import sessions
from chervilcove.core import errors
from chervilcove.core import web
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import table
from chervilcove.platform import callers
from chervilcove.platform import feeds
from chervilcove.platform import minion_client
from tests.control import system as systems
from tests.platform import odd_values
from tests.platform import standin

BIG = 10**400
JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
BODY = {"spec": "(text)", "steps": [{"count": 1, "cpu": 500, "gpu": 1}]}
HOLD_ANSWER = {
    "clock_ms": 482113,
    "born": 1,
    "running": [[TASK, 1, "c0", 41, 0.5]],
    "ended_runs": [[58, f"{JOB}.0.0.1", 1, "done", ""]],
}
ENTRY = {
    "service": "pool",
    "addr": "127.0.0.1:1",
    "zone": "giza",
    "state": "draining",
    "capacity": {"cpu": 64000, "mem_mb": 131072, "gpu": 8},
    "labels": ["a", "r1-0"],
    "clock_ms": 1,
    "born": 1,
    "remaining_ms": 1000,
    "machine": "m",
}


def put_raw(platform, topic, key, content):
    platform.store.get_topic(topic).append([(key, content)], timeout_s=1)


def call(peer, method, job, body=b"", headers=None):
    return peer.call(
        method,
        f"/batch/{job}",
        body=body,
        headers={
            "Host": "jobs.example",
            "X-Chervilcove-Key": "key-1",
            **(headers or {}),
        },
    )


def run_job(platform, peer, job=JOB):
    """Submit a job; return the worker that runs it."""
    reply = call(peer, "POST", job, json.dumps(BODY).encode())
    assert reply.status == 200
    return systems.wait_until(
        lambda: next(
            (
                minion.worker
                for minion in platform.minions
                if f"{job}.0.0.0" in minion.worker.running
            ),
            None,
        )
    )


class TestMinionEntries:
    """Operators met an odd entry that stopped whoever read the list."""

    def check_report(self, content):
        report = feeds.parse_minion("i-9", content)
        if errors.is_refusal(report):
            return
        assert 0 < report.port < 2**16
        assert 0 <= report.leaves_in_ms / 1000 < float("inf")
        assert all(amount >= 0 for amount in report.capacity)
        place = records.Place(report.id, report.life)
        assert records.encode_value(place)
        assert isinstance(report, interfaces.WorkerReport)

    def test_report_of_an_odd_entry_is_refused_or_safe_to_use(self):
        for content in odd_values.list_odd_documents(ENTRY):
            self.check_report(content)

    @odd_values.settings
    @hypothesis.given(odd_values.build_odd_documents(ENTRY))
    def test_report_of_a_generated_entry_is_refused_or_safe_to_use(
        self, content
    ):
        self.check_report(content)

    def test_each_odd_entry_is_refused_with_a_reason(self):
        cases = {
            "addr": "host:80",
            "addr ": "127.0.0.1:0",
            "addr  ": "127.0.0.1:65536",
            "addr   ": "a\r\nb:80",
            "remaining_ms": 10**400,
            "born": -1,
            "state": "asleep",
            "labels": [1],
            "capacity": {"cpu": -1, "mem_mb": 1, "gpu": 1},
        }
        for name, value in cases.items():
            entry = {**ENTRY, name.strip(): value}
            report = feeds.parse_minion("i-9", odd_values.encode(entry))
            assert errors.is_refusal(report), name
            assert name.strip() in report.reason, report.reason

    @pytest.mark.parametrize("key", ["", "a\r\nb", "a b", "\u00b2", "\ufffd"])
    def test_key_that_names_no_minion_is_refused(self, key):
        content = odd_values.encode(ENTRY)
        assert errors.is_refusal(feeds.parse_minion(key, content))

    @pytest.mark.parametrize(
        "entry",
        [
            {**ENTRY, "remaining_ms": 10**400},
            {**ENTRY, "version": odd_values.DEEP},
            {**ENTRY, "addr": "\u00e4" * 70 + ":80"},
            {**ENTRY, "addr": "127.0.0.1:99999"},
            {**ENTRY, "addr": "127.0.0.1\r\nX:80"},
        ],
        ids=["number", "nesting", "host", "port", "header"],
    )
    def test_jobs_of_others_start_beside_an_odd_entry(
        self, platform, peer, entry
    ):
        # A number with 400 digits ended the owner's task every 0.5 s, and
        # nobody's jobs started as long as the entry stood.
        run_job(platform, peer).end(TASK, "done")
        put_raw(platform, "keyed.servers", "i-9", odd_values.encode(entry))
        other = "00000000000000bb"
        run_job(platform, peer, other).end(f"{other}.0.0.0", "done")

    def test_entries_behind_an_odd_one_are_read(self, platform, peer):
        # Nesting ended the feed, which left out what stood behind the entry.
        run_job(platform, peer).end(TASK, "done")
        name = platform.minions[0].worker.report.id
        record = standin.build_minion_record(platform.minions[0])
        odd = [
            (f"i-{number + 100}", content)
            for number, content in enumerate(
                odd_values.list_odd_documents(ENTRY)
            )
        ]
        drained = json.dumps({**record, "state": "draining"}).encode()
        platform.store.get_topic("keyed.servers").append(
            [*odd, (name, drained)], timeout_s=1
        )
        owner = platform.entry._owner
        systems.wait_until(lambda: owner.fleet.reports[name].is_draining)
        other = "00000000000000bb"
        run_job(platform, peer, other).end(f"{other}.0.0.0", "done")


class OddMinion:
    """Minion that gives one odd answer to all renewals."""

    def __init__(self, minion):
        self.minion = minion
        self.answer = None
        self.answer_count = 0
        self._hold = minion._hold
        minion.server._routes = [
            (method, pattern, self.hold if "hold" in pattern.pattern else one)
            for method, pattern, one in minion.server._routes
        ]

    def hold(self, request):
        if self.answer is None:
            return self._hold(request)
        gevent.sleep(0.1)
        self.answer_count += 1
        return web.WebResponse(200, self.answer)


class TestMinionAnswers:
    """An odd answer to a renewal ended the round, so that all jobs waited."""

    def renew(self, content):
        """Return the result of a renewal that is answered by `content`."""
        return minion_client.parse_lease_response(content)

    def check_reply(self, content):
        reply = self.renew(content)
        if errors.is_refusal(reply):
            return
        assert 0 <= reply.life < 2**63
        for row in reply.running:
            assert isinstance(row.task, str)
            assert 0 <= row.run < 2**63
        for end in reply.ended:
            assert isinstance(end.task, str)
            assert 0 <= end.number < 2**63
            table.parse_unit_key(end.task)

    def test_odd_reply_is_refused_or_safe_to_use(self):
        for content in odd_values.list_odd_documents(HOLD_ANSWER):
            self.check_reply(content)

    @odd_values.settings
    @hypothesis.given(odd_values.build_odd_documents(HOLD_ANSWER))
    def test_generated_reply_is_refused_or_safe_to_use(self, content):
        self.check_reply(content)

    @pytest.mark.parametrize(
        "change",
        [
            {"clock_ms": 10**400},
            {"running": [[TASK, "1", "", 41]]},
            {"running": [[None, 1, "", 41]]},
            {"running": [[[TASK], 1, "", 41]]},
            {"running": [["j.\u00b2.0.0", 1, "", 41]]},
            {"running": [[TASK, 1, "", "41"]]},
            {"running": [[TASK]]},
            {"ended_runs": [["1", TASK, 1, "done", ""]]},
            {"ended_runs": [[1, None, 1, "done", ""]]},
            {"ended_runs": [[1, "j.0.0.\u00b2", 1, "done", ""]]},
            {"ended_runs": [[1, TASK, 1, None, ""]]},
            {"born": 10**400},
        ],
    )
    def test_jobs_of_others_run_beside_an_odd_answer(
        self, platform, peer, change
    ):
        odd = OddMinion(platform.minions[0])
        run_job(platform, peer).end(TASK, "done")
        odd.answer = odd_values.encode({**HOLD_ANSWER, **change})
        systems.wait_until(lambda: odd.answer_count >= 2)
        for number in range(3):
            job = f"{number:016x}"
            run_job(platform, peer, job).end(f"{job}.0.0.0", "done")

    def test_run_restarts_if_its_minion_gives_odd_answers_only(
        self, platform, peer, monkeypatch
    ):
        # The session ended every 0.5 s, but the minion counted as reachable,
        # and what ran on it never ended and never started elsewhere.
        monkeypatch.setattr(sessions, "LEASE_MS", 1_000)
        worker = run_job(platform, peer)
        minion = next(one for one in platform.minions if one.worker is worker)
        OddMinion(minion).answer = odd_values.encode(
            {**HOLD_ANSWER, "running": [[TASK, 1, "", "much"]]}
        )
        systems.wait_until(
            lambda: any(
                TASK in one.worker.running
                for one in platform.minions
                if one is not minion
            )
        )


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
        submission = records.Submission(JOB, "q", "s", "c", 1_000, spec)
        key = records.build_key(records.Kind.JOB, JOB)
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
            ("start_ms", {**BODY, "repeats": 1, "start_ms": BIG}),
            ("interval_ms", {**BODY, "repeats": 1, "interval_ms": BIG}),
            ("cpu", {"steps": [{"count": 1, "cpu": BIG}]}),
            ("after", {"steps": [{"count": 1, "after": [BIG]}]}),
            ("repeats", {**BODY, "repeats": BIG}),
            ("start_ms", {**BODY, "repeats": 1, "start_ms": -1}),
            ("interval_ms", {**BODY, "repeats": 1, "interval_ms": -1}),
            ("anti_affinity", {"steps": [{"count": 1, "anti_affinity": -1}]}),
            ("fill_count", {"steps": [{"count": 1, "fill_count": "x"}]}),
        ],
    )
    def test_odd_job_gets_a_clear_refusal(self, peer, field, body):
        reply = call(peer, "POST", JOB, odd_values.encode(body))
        assert reply.status in (400, 422)
        assert field in json.loads(reply.body)["reason"]

    def test_nested_job_gets_a_clear_refusal(self, peer):
        body = {**BODY, "more": odd_values.DEEP}
        reply = call(peer, "POST", JOB, odd_values.encode(body))
        assert reply.status == 400
        assert json.loads(reply.body)["ran"] == "no"

    @pytest.mark.parametrize(
        "deadline", ["nan", "inf", "-inf", "1e999", "-1", "x", "9" * 400]
    )
    def test_odd_deadline_is_no_reason_to_fail(self, platform, peer, deadline):
        headers = {"X-Chervilcove-Deadline-Ms": deadline}
        content = json.dumps(BODY).encode()
        assert call(peer, "POST", JOB, content, headers).status == 200
        follower = platform.entry.job_api._follower
        platform.store.refuse_with = 503
        systems.wait_until(lambda: follower.reachable_since is None)
        other = "00000000000000bb"
        reply = call(peer, "POST", other, content, headers)
        assert reply.status == 503
        assert json.loads(reply.body)["ran"] == "no"
