import time

import gevent
import pytest

from chervilcove.control import follower as followers
from chervilcove.control import owners
from chervilcove.core import errors
from chervilcove.jobs import early_cancels
from chervilcove.jobs import records
from chervilcove.jobs import table
from tests.control import system as systems

JOB = "00000000000000aa"


class TestOutages:
    def test_reads_are_short_while_the_ledger_is_unreachable(
        self, system, monkeypatch
    ):
        # In nln-cluster trouble-3, an entry refused jobs for 1.6 s after the
        # end of an outage, because its read waited for an answer that was lost.
        entry = system.add_entry("a")
        follower = entry.job_api._follower
        systems.wait_until(lambda: follower.is_loaded)
        system.ledger.is_down = True
        systems.wait_until(lambda: follower.reachable_since is None)
        asked = []
        read = system.ledger.read

        def note_read(offset, *, wait_s, timeout_s):
            asked.append((wait_s, timeout_s))
            return read(offset, wait_s=wait_s, timeout_s=timeout_s)

        monkeypatch.setattr(system.ledger, "read", note_read)
        systems.wait_until(lambda: len(asked) >= 2)
        assert set(asked) == {(0.0, followers.PROBE_TIMEOUT_S)}

    def test_submit_refuses_at_once_while_the_ledger_is_unreachable(
        self, system
    ):
        # In an outage of seconds, a caller that waits until its deadline gets
        # an unknown outcome instead of a clear refusal.
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry.job_api._follower.is_loaded)
        system.ledger.is_down = True
        systems.wait_until(
            lambda: entry.job_api._follower.reachable_since is None
        )
        appends = system.ledger.appends
        refused = system.submit(entry, JOB, systems.build_spec())
        assert refused.kind == "log_unavailable"
        assert refused.detail["retry_after_s"] >= 1
        assert system.ledger.appends == appends

    def test_retry_after_stays_within_the_time_left_of_callers(self, system):
        # In an outage of seconds, callers retry only a few times.
        entry = system.add_entry("a")
        follower = entry.job_api._follower
        systems.wait_until(lambda: follower.is_loaded)
        system.ledger.is_down = True
        systems.wait_until(lambda: follower.reachable_since is None)
        told = []
        for silence_s, time_left_s in (
            (0.2, 60.0),
            (2.5, 60.0),
            (60.0, 60.0),
            (60.0, None),
            (60.0, 3.0),
        ):
            follower.last_read = time.monotonic() - silence_s
            refused = system.submit(
                entry, JOB, systems.build_spec(), time_left_s=time_left_s
            )
            told.append(refused.detail["retry_after_s"])
        assert told == [1, 3, 5, 5, 1]

    def test_timeout_during_an_append_leaves_the_outcome_unknown(
        self, system, monkeypatch
    ):
        # Found in review: an append in flight may still be stored, so the
        # answer "has not run" could be wrong.
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        append = system.ledger.append

        def append_slowly(items, **options):
            if items[0][0].startswith("j/"):
                gevent.sleep(1.0)
            return append(items, **options)

        monkeypatch.setattr(system.ledger, "append", append_slowly)
        refused = system.submit(
            entry, JOB, systems.build_spec(), time_left_s=0.5
        )
        assert refused.kind == "outcome_unknown"
        system.wait_for_run(f"{JOB}.0.0.0")

    def test_append_without_an_answer_is_retried(self, system):
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        system.ledger.swallow = 1
        assert system.submit(entry, JOB, systems.build_spec()) == "queued"
        system.wait_for_run(f"{JOB}.0.0.0")
        assert len(system.list_starts()) == 1

    def test_append_that_is_stored_late_leaves_the_outcome_unknown(
        self, system, monkeypatch
    ):
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        append = system.ledger.append
        late = []

        def append_late(items, **options):
            if not items[0][0].startswith("j/"):
                return append(items, **options)
            late.append(items)
            return errors.refuse(errors.Kind.OUTCOME_UNKNOWN, "late")

        monkeypatch.setattr(system.ledger, "append", append_late)
        refused = system.submit(entry, JOB, systems.build_spec())
        assert refused.kind == "outcome_unknown"
        append(late[0], timeout_s=1.0)
        system.wait_for_run(f"{JOB}.0.0.0")

    def test_reading_a_record_back_confirms_it_without_an_answer(self, system):
        # All answers of the ledger are lost, but the entry reads the records.
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        system.ledger.swallow = 1_000
        assert system.submit(entry, JOB, systems.build_spec()) == "queued"
        other = "0" * 15 + "1"
        system.submit(entry, other, systems.build_spec())
        assert (
            entry.job_api.cancel(
                job=other, sender=systems.SENDER, time_left_s=3.0
            )
            is None
        )


class TestGetJobState:
    def test_job_that_ends_during_the_request_is_returned_as_ended(
        self, system
    ):
        # In htsw-sched quiet-1, callers asked 5 to 110 ms before the end of a
        # job reached the table of that entry, and again 0.25 s later.
        entries = [system.add_entry(name) for name in ("a", "b")]
        for one in entries:
            systems.wait_until(lambda one=one: one.job_api._follower.is_loaded)
        assert system.submit(entries[0], JOB, systems.build_spec())
        worker = system.wait_for_run(f"{JOB}.0.0.0")
        for one in entries:
            systems.wait_until(
                lambda one=one: (
                    one.job_api._follower.table.jobs[JOB].has_started
                )
            )
        asked = [
            gevent.spawn(
                one.job_api.get_job_state, job=JOB, sender=systems.SENDER
            )
            for one in entries
        ]
        gevent.sleep(0)
        worker.end(f"{JOB}.0.0.0", "done")
        gevent.joinall(asked)
        assert [one.value for one in asked] == ["done", "done"]

    def test_request_does_not_wait_while_the_ledger_is_unreachable(
        self, system
    ):
        entry = system.add_entry("a")
        follower = entry.job_api._follower
        systems.wait_until(lambda: follower.is_loaded)
        assert system.submit(entry, JOB, systems.build_spec())
        system.wait_for_run(f"{JOB}.0.0.0")
        systems.wait_until(lambda: follower.table.jobs[JOB].has_started)
        system.ledger.is_down = True
        systems.wait_until(lambda: follower.reachable_since is None)
        reads = []
        follower.wait_until = lambda *args, **kwargs: reads.append(args)
        assert (
            entry.job_api.get_job_state(job=JOB, sender=systems.SENDER)
            == "running"
        )
        assert reads == []


class TestEarlyCancels:
    """Cancels that come before their jobs."""

    def cancel(self, entry, job=JOB, sender=systems.SENDER):
        return entry.job_api.cancel(job=job, sender=sender, time_left_s=3.0)

    def count_records(self, system):
        return len({one.key for one in system.ledger.records if one.value})

    def test_job_that_arrives_after_its_cancel_never_starts(self, system):
        # A job ran although its cancel was answered with 410: its submission
        # was still under way, at an entry that stood still.
        entries = [system.add_entry(name) for name in ("a", "b")]
        for one in entries:
            systems.wait_until(lambda one=one: one.job_api._follower.is_current)
        systems.wait_until(lambda: any(one._owner for one in entries))
        assert self.cancel(entries[0]).kind == "gone"
        assert not errors.is_refusal(
            system.submit(entries[1], JOB, systems.build_spec())
        )
        for one in entries:
            systems.wait_until(
                lambda one=one: (
                    one.job_api.get_job_state(job=JOB, sender=systems.SENDER)
                    == "cancelled"
                )
            )
        assert system.list_starts() == []

    def test_early_cancels_survive_a_change_of_owner(self, system):
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        assert self.cancel(entry).kind == "gone"
        entry.kill()
        # This one reads the newest records only.
        other = system.add_entry("b")
        systems.wait_until(lambda: other._owner is not None)
        assert (
            system.submit(other, JOB, systems.build_spec())
            is table.JobState.CANCELLED
        )
        systems.wait_until(
            lambda: (
                JOB not in other.job_api._follower.table.open_jobs
                and JOB in other.job_api._follower.table.jobs
            )
        )
        assert system.list_starts() == []

    def test_cancel_isnt_answered_while_it_cannot_be_stored(self, system):
        # A cancel that was not stored would not stop a later submission.
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        system.ledger.is_down = True
        assert self.cancel(entry).kind in ("state_behind", "log_unavailable")

    @pytest.mark.parametrize(
        "sender",
        [records.Sender("urgent", "c"), records.Sender("batch", "d")],
        ids=["queue", "customer"],
    )
    def test_early_cancel_of_another_sender_leaves_the_job(
        self, system, sender
    ):
        # Otherwise one customer's key could cancel another's later job.
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        assert self.cancel(entry, sender=sender).kind == "gone"
        assert system.submit(entry, JOB, systems.build_spec()) == "queued"
        system.wait_for_run(f"{JOB}.0.0.0")

    def test_cancels_of_unknown_jobs_are_bounded(self, system, monkeypatch):
        # Otherwise a caller could fill the ledger and the memory of entries.
        monkeypatch.setattr(early_cancels, "MAX_PER_SENDER", 3)
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        for number in range(3):
            assert self.cancel(entry, f"{number:016x}").kind == "gone"
        known = entry.job_api._follower.table.early_cancels
        systems.wait_until(lambda: len(list(known)) == 3)
        before = self.count_records(system)
        refused = self.cancel(entry, f"{3:016x}")
        assert refused.kind == "rate_exceeded"
        assert 1 <= refused.detail["retry_after_s"] <= 150
        assert self.cancel(entry, f"{0:016x}").kind == "gone"
        assert self.cancel(entry, "no-id").kind == "gone"
        other = records.Sender("urgent", "d")
        assert self.cancel(entry, f"{4:016x}", other).kind == "gone"
        assert self.count_records(system) == before + 1

    def test_owner_removes_early_cancels_after_their_retention(
        self, system, monkeypatch
    ):
        monkeypatch.setattr(early_cancels, "RETENTION_MS", 300)
        monkeypatch.setattr(owners, "PURGE_INTERVAL_S", 0.1)
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        assert self.cancel(entry).kind == "gone"
        known = entry.job_api._follower.table.early_cancels
        assert systems.wait_until(lambda: list(known))
        systems.wait_until(lambda: not list(known))
