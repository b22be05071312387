import msgspec
import pytest

from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.demo import callers


def _build_reply(status, value):
    return http.Reply(status, {}, msgspec.json.encode(value))


class TestJudgeReply:
    @pytest.mark.parametrize(
        ("reply", "outcome"),
        [
            (_build_reply(200, {"key": "mine"}), "answered"),
            (_build_reply(200, {"key": "another"}), "wrong"),
            (_build_reply(200, [1]), "wrong"),
            (_build_reply(503, {"error": "busy"}), "unknown"),
            (
                _build_reply(
                    503, {"error": "busy", "ran": "no", "may_retry": True}
                ),
                "not_run",
            ),
            (errors.refuse(errors.Kind.CONNECT_FAILED, ""), "not_run"),
            (errors.refuse(errors.Kind.OUTCOME_UNKNOWN, ""), "unknown"),
        ],
    )
    # "not_run" needs a refusal that says so, and "answered" needs the caller's
    # own key. Otherwise the report counts a request that may have run as not
    # run, or the answer to another request as this one's.
    def test_unproven_outcome_is_unknown_and_foreign_answer_is_wrong(
        self, reply, outcome
    ):
        assert callers.classify_reply(reply, "mine")[0] == outcome
