"""Odd records of the operator, the policy service and other entries."""

import json

import hypothesis

from chervilcove.core import errors
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.platform import feeds
from chervilcove.platform import policy_client
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
