"""The store's log follows the protocol page."""

import pytest

from tests.processes import topics


def append(topic, *, epoch, sequence, items=(("k", b"v"),)):
    return topic.append(
        list(items), producer="p", epoch=epoch, sequence=sequence
    )


def refuse(topic, **options):
    with pytest.raises(topics.ConflictError) as caught:
        append(topic, **options)
    return caught.value


class TestProducers:
    def test_first_append_may_start_at_any_number(self):
        topic = topics.Topic()
        assert append(topic, epoch=3, sequence=7)["offset"] == 0
        assert append(topic, epoch=3, sequence=8)["offset"] == 1

    def test_gap_is_refused_with_the_expected_number(self):
        topic = topics.Topic()
        append(topic, epoch=1, sequence=0)
        error = refuse(topic, epoch=1, sequence=2)
        assert (error.status, error.answer) == (
            409,
            {"reason": "seq", "seq": 1},
        )

    def test_lower_epoch_is_fenced(self):
        topic = topics.Topic()
        append(topic, epoch=2, sequence=0)
        error = refuse(topic, epoch=1, sequence=0)
        assert error.answer == {"reason": "fenced"}

    def test_empty_append_sets_the_epoch(self):
        topic = topics.Topic()
        append(topic, epoch=2, sequence=0, items=())
        assert topic.end == 0
        assert refuse(topic, epoch=1, sequence=0).status == 409

    def test_last_five_appends_get_their_answers_again(self):
        topic = topics.Topic()
        answers = [append(topic, epoch=1, sequence=n) for n in range(6)]
        for sequence in range(1, 6):
            again = append(topic, epoch=1, sequence=sequence)
            assert again == answers[sequence]
        assert topic.end == 6
        assert refuse(topic, epoch=1, sequence=0).answer["seq"] == 6

    def test_second_claim_of_an_epoch_is_a_repeat(self):
        topic = topics.Topic()
        first = append(topic, epoch=4, sequence=0, items=[("owner", b"a")])
        second = append(topic, epoch=4, sequence=0, items=[("owner", b"b")])
        assert second == first
        assert topic.newest["owner"] == (0, b"a")


class TestRecords:
    def test_condition_on_the_end(self):
        topic = topics.Topic()
        topic.append([("k", b"v")], at=0)
        with pytest.raises(topics.ConflictError) as caught:
            topic.append([("k", b"v")], at=0)
        assert caught.value.status == 412
        assert caught.value.answer == {"end_offset": 1}

    def test_newest_records_come_in_pages_and_survive_a_trim(self):
        topic = topics.Topic()
        topic.put([(f"{number:04d}", b"v") for number in range(501)])
        topic.trim(topic.end)
        page, has_more = topic.read_newest("")
        assert (len(page), has_more) == (500, True)
        page, has_more = topic.read_newest(page[-1][0])
        assert page == [("0500", 500, b"v")]
        assert not has_more

    def test_record_without_a_value_drops_the_key(self):
        topic = topics.Topic()
        topic.put([("k", b"v"), ("k", b"")])
        assert topic.read_newest("") == ([], False)

    def test_encoding(self):
        items = [("k", b"v"), ("é", b"")]
        assert topics.decode_items(topics.encode_items(items)) == items
