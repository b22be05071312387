import gevent
import pytest

from chervilcove.control import clocks
from chervilcove.control import elections
from chervilcove.control import follower as followers
from chervilcove.control import interfaces
from chervilcove.core import metrics as metric_values
from chervilcove.jobs import records
from chervilcove.jobs import table
from chervilcove.standins import ledger as ledgers
from tests.control import system as systems

JOB = "00000000000000aa"
UNIT = table.UnitKey(JOB, 0, 0, 0)
# Keys up to this one are on the first page of the newest records.
FIRST_PAGE_END = "f"


class PagedLedger(ledgers.MemoryLedger):
    """Ledger whose newest records come in two pages of different age.

    Later records are returned one by one.
    """

    def __init__(self, *, append_between):
        super().__init__()
        self._append_between = append_between

    def read_newest(self, *, timeout_s):
        first = super().read_newest(timeout_s=timeout_s)
        append, self._append_between = self._append_between, lambda _: None
        append(self)
        second = super().read_newest(timeout_s=timeout_s)
        newest = [
            *(one for one in first.records if one.key <= FIRST_PAGE_END),
            *(one for one in second.records if one.key > FIRST_PAGE_END),
        ]
        return interfaces.Chunk(
            sorted(newest), first.next_offset, second.end_offset
        )

    def read(self, offset, *, wait_s, timeout_s):
        chunk = super().read(offset, wait_s=wait_s, timeout_s=timeout_s)
        return interfaces.Chunk(
            chunk.records[:1],
            min(offset + 1, chunk.next_offset),
            chunk.end_offset,
        )


def append_record(ledger, kind, name, value, fence=None):
    encoded = b"" if value is None else records.encode_value(value)
    ledger.append(
        [(records.build_key(kind, name), encoded)], fence=fence, timeout_s=1.0
    )


def append_unit(ledger, status):
    unit = records.UnitRecord(1, 1, status, (), "", ())
    append_record(ledger, records.Kind.UNIT, UNIT.format(), unit)


def append_job(ledger):
    submission = records.Submission(
        job=JOB,
        queue="batch",
        service="service",
        customer="c",
        accepted_ms=1_000,
        spec=systems.build_spec(),
    )
    append_record(ledger, records.Kind.JOB, JOB, submission)


@pytest.fixture
def follow():
    started = []

    def start(ledger, *, listener=None):
        follower = followers.Follower(
            ledger=ledger,
            clock=clocks.SharedClock(),
            metrics=metric_values.Metrics(),
        )
        if listener is not None:
            follower.add_listener(lambda: listener(follower))
        started.append(follower)
        return follower

    yield start
    for follower in started:
        follower.kill()


class TestSnapshots:
    """Pages of the newest records are read while others append."""

    def test_owner_has_read_all_that_was_appended_between_the_pages(
        self, follow
    ):
        # The claim is on a page that was read after the end of the job was
        # appended, but the end belongs to an earlier page. An owner that
        # gains its epoch by that page skips the end as a record of its own,
        # and starts all tasks of the job again.
        def end_job_and_claim(ledger):
            end = records.EndRecord(1, table.JobState.DONE.value, 2_000)
            append_record(ledger, records.Kind.END, JOB, end)
            append_record(ledger, records.Kind.UNIT, UNIT.format(), None)
            claim = records.Claim(2, "a", "me")
            append_record(
                ledger,
                records.Kind.CLAIM,
                "",
                claim,
                fence=interfaces.Fence(2, 0),
            )

        ledger = PagedLedger(append_between=end_job_and_claim)
        append_job(ledger)
        append_unit(ledger, table.UnitStatus.DONE)
        follower = follow(ledger)
        gained = []
        elections.Election(
            name="a",
            incarnation="me",
            ledger=ledger,
            follower=follower,
            rank=0.0,
            on_change=lambda epoch: gained.append(
                (epoch, dict(follower.table.open_jobs))
            ),
        )
        follower.start()
        systems.wait_until(lambda: gained)
        assert gained == [(2, {})]
        gevent.sleep(0.1)
        assert not follower.table.open_jobs

    def test_state_does_not_go_back_after_a_snapshot(self, follow):
        # The unit ended between the pages. Its newest record is on the second
        # page, an older one is read again after the end of the first page.
        def start_and_end_unit(ledger):
            append_unit(ledger, table.UnitStatus.ACTIVE)
            append_record(ledger, records.Kind.ENTRY, "a", "b")
            append_unit(ledger, table.UnitStatus.DONE)

        ledger = PagedLedger(append_between=start_and_end_unit)
        append_job(ledger)
        seen = []

        def record_status(follower):
            job = follower.table.jobs.get(JOB)
            if job is not None:
                seen.append(job.get_unit(UNIT).status)

        follow(ledger, listener=record_status).start()
        systems.wait_until(lambda: seen)
        gevent.sleep(0.3)
        assert set(seen) == {table.UnitStatus.DONE}


class TestLapsedHistory:
    def test_owner_survives_that_the_history_is_forgotten(self, system):
        # With 97 entries, an owner whose answers were lost while the history
        # lapsed was replaced, and its successor adopted 368 runs anew.
        entry = system.add_entry("a")
        systems.wait_until(lambda: entry._owner is not None)
        owner = entry._owner
        follower = entry.job_api._follower
        system.submit(entry, JOB, systems.build_spec())
        worker = system.wait_for_run(UNIT.format())
        system.ledger.lapse()
        system.ledger.first_offset += 1
        append_record(system.ledger, records.Kind.ENTRY, "x", "y")
        follower.next_offset = 0
        systems.wait_until(
            lambda: follower.next_offset >= system.ledger.first_offset
        )
        other = "00000000000000bb"
        system.submit(entry, other, systems.build_spec())
        system.wait_for_run(f"{other}.0.0.0")
        worker.end(UNIT.format(), "done")
        systems.wait_until(
            lambda: (
                entry.job_api.get_job_state(job=JOB, sender=systems.SENDER)
                is table.JobState.DONE
            )
        )
        assert entry._owner is owner
        assert owner.epoch == systems.FIRST_EPOCH
