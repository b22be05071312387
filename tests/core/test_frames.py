from gevent import socket
import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from chervilcove.core import errors
from chervilcove.core import frames

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=20)
    | strategies.binary(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=10,
)
SETTINGS = hypothesis.settings(derandomize=True, max_examples=300)


class TestFrameReader:
    @SETTINGS
    @hypothesis.given(
        values=strategies.lists(VALUES, max_size=5),
        split_offsets=strategies.lists(strategies.integers(0, 200), max_size=6),
    )
    def test_values_are_decoded_however_the_stream_is_split(
        self, values, split_offsets
    ):
        stream = b"".join(frames.encode(value) for value in values)
        reader = frames.FrameReader()
        bounds = [
            0,
            *sorted(min(offset, len(stream)) for offset in split_offsets),
        ]
        bounds.append(len(stream))
        decoded = []
        for start, stop in zip(bounds, bounds[1:], strict=False):
            decoded += reader.feed(stream[start:stop])
        assert decoded == values

    @SETTINGS
    @hypothesis.given(content=strategies.binary(max_size=200))
    def test_arbitrary_bytes_give_values_or_a_refusal(self, content):
        outcome = frames.FrameReader().feed(content)
        assert isinstance(outcome, list) or errors.is_refusal(outcome)
        decoded = frames.decode(content)
        if errors.is_refusal(decoded):
            assert decoded.kind is errors.Kind.MALFORMED

    def test_a_map_with_a_list_as_key_is_refused(self):
        # msgpack raises TypeError, not one of its own exceptions.
        content = b"\x81\x90\x00"
        assert frames.decode(content).kind is errors.Kind.MALFORMED
        outcome = frames.FrameReader().feed(content)
        assert outcome.kind is errors.Kind.MALFORMED

    def test_a_value_above_the_size_limit_is_refused(self):
        reader = frames.FrameReader(max_frame_bytes=100)
        outcome = reader.feed(msgpack.packb(b"x" * 200))
        assert outcome.kind is errors.Kind.TOO_LARGE

    @pytest.mark.parametrize("depth", [5_000, 100_000])
    def test_deep_nesting_is_refused(self, depth):
        outcome = frames.decode(b"\x91" * depth + b"\xc0")
        assert outcome.kind is errors.Kind.MALFORMED


class TestFrameStream:
    def test_values_are_received_and_a_closed_connection_is_a_refusal(self):
        send_socket, receive_socket = socket.socketpair()
        sender = frames.FrameStream(sock=send_socket)
        receiver = frames.FrameStream(sock=receive_socket)
        assert sender.send({"a": [1, 2]}) is None
        assert sender.send("b") is None
        assert receiver.receive(timeout_s=5) == {"a": [1, 2]}
        assert receiver.receive(timeout_s=5) == "b"
        sender.close()
        outcome = receiver.receive(timeout_s=5)
        assert outcome.kind is errors.Kind.OUTCOME_UNKNOWN
