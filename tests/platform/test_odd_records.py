"""Odd records of the operator, the policy service and other entries."""

import json

import hypothesis
import pytest

from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.core import web
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.platform import feeds
from chervilcove.platform import policy_client
from chervilcove.platform import store
from tests.control import system as systems
from tests.platform import calls
from tests.platform import odd_values
from tests.platform import standin


class TestOperatorTopic:
    def check_config(self, content):
        config = feeds.parse_config(content)
        if errors.is_refusal(config):
            return
        for queue in config.queues.values():
            submission = records.Submission(
                calls.JOB,
                queue.name,
                queue.service,
                "c",
                1_000,
                specs.JobSpec("", ()),
                queue.priority,
                queue.attempts,
                queue.stretch,
                queue.target_ms,
                queue.needs_advice,
            )
            assert records.encode_value(submission)
            config.find_queue(host=queue.host, path=queue.prefix)

    def test_odd_configuration_is_refused_or_safe_to_use(self):
        for content in odd_values.list_odd_documents(standin.CONFIG):
            self.check_config(content)

    @odd_values.settings
    @hypothesis.given(odd_values.build_odd_documents(standin.CONFIG))
    def test_generated_configuration_is_refused_or_safe_to_use(self, content):
        self.check_config(content)

    def test_jobs_run_beside_odd_records_of_the_operator(self, platform, peer):
        # Nesting ended the feed, which read everything anew after 0.5 s.
        odd = odd_values.list_odd_documents(standin.CONFIG)
        items = [("config", content) for content in odd]
        items += [
            (f"{prefix}{key}", content)
            for prefix in ("", "evacuate/", "wave/")
            for key in ("", "x", "\u00b2", "a b")
            for content in odd[:20]
        ]
        newer = {**standin.CONFIG, "version": 2**40}
        items.append(("config", json.dumps(newer).encode()))
        platform.store.get_topic("keyed.op").append(items, timeout_s=1)
        feed = platform.entry._operator_feed
        systems.wait_until(
            lambda: feed.get().configuration.version == newer["version"]
        )
        calls.run_job(platform, peer).end(calls.TASK, "done")


class TestPolicyAnswers:
    def test_odd_answer_is_refused_or_safe_to_use(self):
        answer = {"granted": [["i-1", "ticket"]], "valid_ms": 3000}
        for content in odd_values.list_odd_documents(answer):
            grants = policy_client.parse_response(content)
            if not errors.is_refusal(grants):
                assert 0 <= grants.valid_s < 2**53
                assert all(isinstance(one, str) for one in grants.tickets)


class TestLedgerRecords:
    """An entry of another version may write what this one can't read."""

    values = (
        specs.JobSpec("", (specs.Step(0, specs.Resources(1, 1, 1)),)),
        specs.JobSpec("", ()),
        specs.JobSpec("", (specs.Step(1, specs.Resources(-1, 1, 1)),)),
    )

    def list_odd_records(self):
        """Return keys and values of records about a job that runs."""
        unit = records.UnitRecord(
            1, 1, 1, (), "", (records.Place("i-0", 1),), ()
        )
        claim = records.Claim(systems.FIRST_EPOCH, "a@127.0.0.1:\u00b2", "b")
        found = [
            (f"u/{calls.JOB}.{place}", records.encode_value(unit))
            for place in ("0.0.9", "0.9.0", "9.0.0", "0.0", "0.0.\u00b2")
        ]
        for state in ("", "asleep"):
            value = records.encode_value(records.EndRecord(1, state, 1))
            found.append((f"e/{calls.JOB}", value))
        for spec in self.values:
            job = "00000000000000cc"
            value = records.Submission(job, "r-1", "pool", "t", 1, spec)
            found.append((f"j/{job}", records.encode_value(value)))
        found += [
            (kind.value, b"\x91" * 5_000 + b"\xc0") for kind in records.Kind
        ]
        found += [("time", records.encode_value(-(2**63)))]
        found += [("owner", records.encode_value(claim))]
        return found

    @pytest.mark.parametrize("status", [-1, 9, 2**63, "", None])
    def test_unit_of_an_unknown_status_is_refused(self, status):
        unit = records.UnitRecord(1, 1, status, (), "", ())
        value = records.encode_value(unit)
        assert errors.is_refusal(records.decode(f"u/{calls.JOB}.0.0.0", value))

    def test_successor_serves_beside_odd_records(self, platform, peer):
        # A unit that its job doesn't have ended each new owner at once.
        worker = calls.run_job(platform, peer)
        platform.entry.kill()
        platform.store.get_topic("keyed.ledger").append(
            self.list_odd_records(), timeout_s=1
        )
        platform.start_entry()
        entry = platform.entry
        systems.wait_until(lambda: entry._owner)
        systems.wait_until(lambda: entry._operator_feed.get().configuration)
        client = http.HttpPeer(host="127.0.0.1", port=entry.caller_server.port)
        reply = calls.call(client, "GET", calls.JOB)
        assert json.loads(reply.body) == {"state": "running"}
        worker.end(calls.TASK, "done")

        def is_done():
            reply = calls.call(client, "GET", calls.JOB)
            return json.loads(reply.body) == {"state": "done"}

        systems.wait_until(is_done)
        other = "00000000000000bb"
        calls.run_job(platform, client, other).end(f"{other}.0.0.0", "done")


class TestStoreAnswers:
    @pytest.fixture
    def topic(self):
        """Return a topic of a store that gives one answer to all calls."""
        server = web.WebServer(host="127.0.0.1")
        self.answer = b""
        for method in ("GET", "POST"):
            server.add_route(
                method, ".*", lambda _: web.WebResponse(200, self.answer)
            )
        server.start()
        peer = store.create_peer(store.Address("127.0.0.1", server.port))
        yield store.KeyedTopic(peer=peer, topic="keyed.x")
        peer.close()
        server.stop()

    def test_odd_answers_are_refused(self, topic):
        # An append that was answered 200 raised in the writer's task.
        page = {
            "items": [{"key": "a", "value": "AA==", "offset": 1}],
            "end_offset": 2,
            "has_more": False,
        }
        for document in ({"offset": 1, "end_offset": 2}, page):
            for content in odd_values.list_odd_documents(document):
                self.answer = content
                topic.append([("a", b"b")], timeout_s=1.0)
                topic.read_newest(timeout_s=1.0)
                topic.read(0, wait_s=0.0, timeout_s=1.0)
        self.answer = b"[]"
        outcome = topic.append([("a", b"b")], timeout_s=1.0)
        assert outcome.kind is errors.Kind.OUTCOME_UNKNOWN
