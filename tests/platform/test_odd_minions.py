"""Odd entries and answers of a minion may cost only that minion."""

import json

import gevent
import hypothesis
import pytest

from chervilcove.control import sessions
from chervilcove.core import errors
from chervilcove.core import web
from chervilcove.jobs import records
from chervilcove.jobs import table
from chervilcove.platform import feeds
from chervilcove.platform import minion_client
from tests.control import system as systems
from tests.platform import calls
from tests.platform import odd_values
from tests.platform import standin

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
HOLD_ANSWER = {
    "clock_ms": 482113,
    "born": 1,
    "running": [[calls.TASK, 1, "c0", 41, 0.5]],
    "ended_runs": [[58, f"{calls.JOB}.0.0.1", 1, "done", ""]],
}


class TestMinionEntries:
    """Operators met an odd entry that stopped whoever read the list."""

    def check_report(self, content):
        report = feeds.parse_minion("i-9", content)
        if errors.is_refusal(report):
            return
        assert 0 < report.port < 2**16
        assert 0 <= report.leaves_in_ms / 1000 < float("inf")
        assert all(amount >= 0 for amount in report.capacity)
        assert records.encode_value(records.Place(report.id, report.life))

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
        for name, value in (
            ("addr", "host:80"),
            ("addr", "127.0.0.1:0"),
            ("addr", "127.0.0.1:65536"),
            ("addr", "a\r\nb:80"),
            ("remaining_ms", 10**400),
            ("born", -1),
            ("state", "asleep"),
            ("labels", [1]),
            ("capacity", {"cpu": -1, "mem_mb": 1, "gpu": 1}),
        ):
            content = odd_values.encode({**ENTRY, name: value})
            report = feeds.parse_minion("i-9", content)
            assert errors.is_refusal(report), name
            assert name in report.reason, report.reason

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
        calls.run_job(platform, peer).end(calls.TASK, "done")
        calls.put_raw(
            platform, "keyed.servers", "i-9", odd_values.encode(entry)
        )
        other = "00000000000000bb"
        calls.run_job(platform, peer, other).end(f"{other}.0.0.0", "done")

    def test_entries_behind_an_odd_one_are_read(self, platform, peer):
        # Nesting ended the feed, which left out what stood behind the entry.
        calls.run_job(platform, peer).end(calls.TASK, "done")
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
        calls.run_job(platform, peer, other).end(f"{other}.0.0.0", "done")


class OddMinion:
    """Minion that gives one odd answer to all renewals."""

    def __init__(self, minion):
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

    def check_reply(self, content):
        reply = minion_client.parse_lease_response(content)
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
            {"running": [[calls.TASK, "1", "", 41]]},
            {"running": [[None, 1, "", 41]]},
            {"running": [[[calls.TASK], 1, "", 41]]},
            {"running": [["j.\u00b2.0.0", 1, "", 41]]},
            {"running": [[calls.TASK, 1, "", "41"]]},
            {"running": [[calls.TASK]]},
            {"ended_runs": [["1", calls.TASK, 1, "done", ""]]},
            {"ended_runs": [[1, None, 1, "done", ""]]},
            {"ended_runs": [[1, "j.0.0.\u00b2", 1, "done", ""]]},
            {"ended_runs": [[1, calls.TASK, 1, None, ""]]},
            {"born": 10**400},
        ],
    )
    def test_jobs_of_others_run_beside_an_odd_answer(
        self, platform, peer, change
    ):
        odd = OddMinion(platform.minions[0])
        calls.run_job(platform, peer).end(calls.TASK, "done")
        odd.answer = odd_values.encode({**HOLD_ANSWER, **change})
        systems.wait_until(lambda: odd.answer_count >= 2)
        for number in range(3):
            job = f"{number:016x}"
            calls.run_job(platform, peer, job).end(f"{job}.0.0.0", "done")

    def test_run_restarts_if_its_minion_gives_odd_answers_only(
        self, platform, peer, monkeypatch
    ):
        # The session ended every 0.5 s, but the minion counted as reachable,
        # and what ran on it never ended and never started elsewhere.
        monkeypatch.setattr(sessions, "LEASE_MS", 1_000)
        worker = calls.run_job(platform, peer)
        minion = next(one for one in platform.minions if one.worker is worker)
        OddMinion(minion).answer = odd_values.encode(
            {**HOLD_ANSWER, "running": [[calls.TASK, 1, "", "much"]]}
        )
        systems.wait_until(
            lambda: any(
                calls.TASK in one.worker.running
                for one in platform.minions
                if one is not minion
            )
        )


class TestListedEnds:
    def test_answer_that_may_lack_ends_is_not_complete(self):
        # Runs whose ends were not listed yet were taken for lost.
        limit = minion_client.MAX_LISTED_ENDS
        for count in (0, limit - 1, limit):
            content = json.dumps(
                {
                    "clock_ms": 1,
                    "born": 1,
                    "running": [],
                    "ended_runs": [
                        [number, "j.0.0.0", 1, "done", ""]
                        for number in range(1, count + 1)
                    ],
                }
            ).encode()
            reply = minion_client.parse_lease_response(content)
            assert reply.is_complete is (count < limit)
