import hypothesis
from hypothesis import strategies
import pytest

from chervilcove.core import errors
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import headers

_KINDS = errors.Kind
_VALID_FIELDS = {
    "x-customer": "hotels",
    "x-service": "notice-desk",
    "x-request-key": "booking-1",
    "x-idempotent": "false",
    "x-urgency": "urgent",
    "x-deadline-ms": "250",
}
_LIMITS = conf.Limits(max_body_bytes=10)


def _read(body=b"{}", **fields):
    return headers.read_request(
        {**_VALID_FIELDS, **fields}, body, limits=_LIMITS, now=100.0
    )


class TestReadRequest:
    def test_reads_all_fields(self):
        request = _read()
        assert request.customer == "hotels"
        assert request.key == "booking-1"
        assert not request.is_idempotent
        assert request.urgency == "urgent"
        assert request.deadline == 100.25

    def test_an_unmarked_request_is_not_idempotent(self):
        fields = {**_VALID_FIELDS, "x-request-key": ""}
        del fields["x-idempotent"]
        read = headers.read_request(fields, b"", limits=_LIMITS, now=0.0)
        assert read.kind is _KINDS.KEY_REQUIRED

    @pytest.mark.parametrize(
        ("name", "text", "kind"),
        [
            ("x-request-key", "", _KINDS.KEY_REQUIRED),
            ("x-request-key", "k" * 201, _KINDS.INVALID_VALUE),
            ("x-request-key", "two words", _KINDS.INVALID_VALUE),
            ("x-customer", "hotels/notice-desk", _KINDS.INVALID_VALUE),
            ("x-service", "notice-desk/booking", _KINDS.INVALID_VALUE),
            ("x-customer", "", _KINDS.INVALID_VALUE),
            ("x-service", "", _KINDS.INVALID_VALUE),
            ("x-urgency", "now", _KINDS.INVALID_VALUE),
            ("x-idempotent", "maybe", _KINDS.INVALID_VALUE),
            ("x-deadline-ms", "0", _KINDS.INVALID_VALUE),
            ("x-deadline-ms", "-5", _KINDS.INVALID_VALUE),
            ("x-deadline-ms", "999999999", _KINDS.INVALID_VALUE),
            ("content-type", "a\r\nb", _KINDS.INVALID_VALUE),
        ],
    )
    def test_refuses_an_invalid_field(self, name, text, kind):
        assert _read(**{name: text}).kind is kind

    def test_refuses_a_large_body(self):
        assert _read(body=b"12345678901").kind is _KINDS.TOO_LARGE

    @hypothesis.settings(derandomize=True, max_examples=60)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(sorted(_VALID_FIELDS)), strategies.text()
        )
    )
    def test_never_raises(self, fields):
        read = headers.read_request(fields, b"", limits=_LIMITS, now=0.0)
        assert isinstance(read, core.Request | errors.Refusal)


class TestReadMinionStatus:
    def test_reads_load_state_and_incarnation(self):
        fields = {
            "x-minion-load": "3/8",
            "x-minion-state": "leaving",
            "x-incarnation": "17",
        }
        assert headers.read_minion_status(fields) == core.MinionStatus(
            True, 3, 8, 17
        )

    @pytest.mark.parametrize("load", ["", "3", "3/", "x/8", "-1/8", "³/8"])
    def test_returns_none_without_a_valid_load(self, load):
        fields = {"x-minion-load": load, "x-incarnation": "17"}
        assert headers.read_minion_status(fields) is None
