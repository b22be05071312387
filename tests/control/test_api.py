import time

import gevent

from chervilcove.control import follower as followers
from chervilcove.core import errors
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
