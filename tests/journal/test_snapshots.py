import pytest

from chervilcove.core import errors
from chervilcove.core import identifiers
from chervilcove.entry import keeper
from chervilcove.journal import conf
from chervilcove.journal import marks
from chervilcove.journal import snapshots
from chervilcove.journal import state as states
from tests.journal import utils


def make_chunks(mark, content, *, digest=""):
    digest = digest or identifiers.digest(content)
    parts = snapshots.split(content)
    return [
        snapshots.encode_chunk(
            mark=mark, digest=digest, index=index, count=len(parts), part=part
        )
        for index, part in enumerate(parts)
    ]


class TestAssembly:
    OLD = b"old" * 200_000
    NEW = b"new" * 200_000

    def assemble(self, chunks, excluded=frozenset()):
        assembly = snapshots.Assembly()
        for chunk in chunks:
            assembly.add(chunk)
        return assembly.find_newest(excluded), assembly.ignored

    def test_the_newest_whole_snapshot_is_found(self):
        chunks = make_chunks(5, self.OLD) + make_chunks(9, self.NEW)
        assert len(chunks) > 4
        found, ignored = self.assemble(chunks)
        assert (found.mark, found.content) == (9, self.NEW)
        assert ignored == 0

    def test_an_incomplete_snapshot_is_ignored(self):
        chunks = make_chunks(5, self.OLD) + make_chunks(9, self.NEW)[1:]
        assert self.assemble(chunks)[0].mark == 5

    def test_a_wrong_digest_is_ignored(self):
        wrong = make_chunks(9, self.NEW, digest="0" * 32)
        found, ignored = self.assemble(make_chunks(5, self.OLD) + wrong)
        assert found.mark == 5
        assert ignored == 1

    def test_copies_and_a_late_older_snapshot_are_ignored(self):
        new, old = make_chunks(9, self.NEW), make_chunks(5, self.OLD)
        found, _ = self.assemble(new[::-1] + new + old)
        assert (found.mark, found.content) == (9, self.NEW)

    def test_chunks_of_two_writers_complete_each_other(self):
        first = make_chunks(9, self.NEW)
        assert self.assemble([*first[1:], first[0]])[0].content == self.NEW

    def test_malformed_chunks_are_ignored(self):
        found, ignored = self.assemble([b"\xc1", b"\x01", b""])
        assert found is None
        assert ignored == 3

    def test_an_excluded_snapshot_is_not_found(self):
        digest = identifiers.digest(self.NEW)
        chunks = make_chunks(5, self.OLD) + make_chunks(9, self.NEW)
        found, _ = self.assemble(chunks, frozenset({(9, digest)}))
        assert found.mark == 5


class TestDump:
    def test_a_loaded_state_is_equal_and_applies_records_equally(self):
        writer = utils.make_writer()
        writer.submit("job-1", accelerators=4)
        writer.submit("job-2", processors=1)
        writer.place("job-1", [("worker-0", 0x0F)])
        claim = {
            "customer": "a",
            "service": "s",
            "key": "k",
            "digest": "d",
            "owner": "o",
        }
        writer.apply(("claim", claim))
        loaded = states.load_state(writer.state.dump())
        assert loaded.compute_digest() == writer.state.compute_digest()
        other = utils.Writer(loaded)
        other.sequence = writer.sequence
        for each in (writer, other):
            assert each.place("job-2", [("worker-2", 0xFF)]).changes == 1
        assert loaded.compute_digest() == writer.state.compute_digest()

    @pytest.mark.parametrize(
        "content", [b"", b"\xc1", b"\x01", b"\x81\xa1x\x01"]
    )
    def test_a_bad_snapshot_is_refused_or_empty(self, content):
        loaded = states.load_core(content)
        assert errors.is_refusal(loaded) or loaded["offset"] == -1


class TestMarks:
    def vote(self, writer, by, digest, mark=None):
        mark = writer.state.core["mark"]["offset"] if mark is None else mark
        body = {"mark": mark, "digest": digest, "by": by}
        return writer.apply(("vote", body))[0]

    def mark(self, writer):
        return writer.apply(("mark", {"records": 0}))[0]

    VOTES = {
        "none": ([], ""),
        "one": (["x"], ""),
        "two equal": (["x", "x"], "x"),
        "tie": (["x", "y"], ""),
        "majority": (["x", "y", "x"], "x"),
        "even tie": (["x", "y", "x", "y"], ""),
        "plurality": (["x", "y", "z", "x"], "x"),
    }

    @pytest.mark.parametrize(("votes", "agreed"), VOTES.values(), ids=VOTES)
    def test_the_digest_with_most_votes_is_agreed(self, votes, agreed):
        writer = utils.make_writer()
        self.mark(writer)
        for index, digest in enumerate(votes):
            assert self.vote(writer, f"by-{index}", digest) == index + 1
        mark = writer.state.core["mark"]
        assert marks.find_agreed_digest(mark) == agreed
        assert marks.has_divergence(mark) == (len(set(votes)) > 1)

    def test_a_vote_for_an_old_mark_is_void(self):
        writer = utils.make_writer()
        old = self.mark(writer)
        self.mark(writer)
        late = self.vote(writer, "a", "x", mark=old)
        assert late.kind is errors.Kind.FENCED

    def test_a_snapshot_with_the_minority_digest_does_not_count(self):
        writer = utils.make_writer()
        mark = self.mark(writer)
        for by, digest in (("a", "x"), ("b", "x"), ("c", "y")):
            self.vote(writer, by, digest)
        note = {"mark": mark, "chunks": 1, "size": 1}
        wrong = writer.apply(("snapshotted", {**note, "digest": "y"}))[0]
        assert wrong.kind is errors.Kind.INVALID_VALUE
        assert writer.apply(("snapshotted", {**note, "digest": "x"})) == [mark]
        again = writer.apply(("snapshotted", {**note, "digest": "x"}))[0]
        assert again.kind is errors.Kind.FENCED

    def test_a_snapshot_is_due_after_records_bytes_or_time(self, monkeypatch):
        monkeypatch.setattr(conf, "RECORDS_BETWEEN_SNAPSHOTS", 10)
        writer = utils.make_writer()
        core = writer.state.core
        core["snapshot"]["offset"] = core["offset"]
        assert not keeper.needs_snapshot(core)
        core["time"] = conf.SECONDS_BETWEEN_SNAPSHOTS
        assert not keeper.needs_snapshot(core)
        writer.submit("job-1")
        assert keeper.needs_snapshot(core)
        core["snapshot"]["time"] = core["time"]
        assert not keeper.needs_snapshot(core)
        for index in range(10):
            writer.submit(f"more-{index}")
        assert keeper.needs_snapshot(core)
        core["snapshot"]["offset"] = core["offset"]
        assert not keeper.needs_snapshot(core)
        monkeypatch.setattr(conf, "BYTES_BETWEEN_SNAPSHOTS", 1_000)
        assert keeper.needs_snapshot(core)
