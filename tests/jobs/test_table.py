import msgspec

from chervilcove.jobs import crash_limits
from chervilcove.jobs import early_cancels
from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import table

JOB = "00000000000000aa"
NEED = specs.Resources(1000, 100, 1)


def build_submission(*steps, **changes):
    spec = specs.JobSpec("", steps or (specs.Step(2, NEED),), **changes)
    value = records.Submission(JOB, "q", "s", "c", 1_000, spec)
    return records.Record(records.Kind.JOB, JOB, value)


def build_unit_record(index, status, *, run=1):
    value = records.UnitRecord(1, run, status, (), "", ())
    return records.Record(records.Kind.UNIT, f"{JOB}.0.0.{index}", value)


class TestJobTable:
    def test_step_is_ready_once_its_dependencies_are_done(self):
        jobs = table.JobTable()
        steps = (specs.Step(2, NEED), specs.Step(1, NEED, after=(0,)))
        jobs.apply(build_submission(*steps))
        job = jobs.jobs[JOB]
        assert list(job.list_ready_steps(0)) == [(0, 0)]
        jobs.apply(build_unit_record(0, table.UnitStatus.DONE))
        assert list(job.list_ready_steps(0)) == [(0, 0)]
        jobs.apply(build_unit_record(1, table.UnitStatus.DONE))
        assert list(job.list_ready_steps(0)) == [(0, 1)]
        assert not job.is_done()

    def test_occurrence_is_ready_once_it_is_due(self):
        jobs = table.JobTable()
        jobs.apply(
            build_submission(
                occurrences=2, first_due_ms=5_000, interval_ms=1_000
            )
        )
        job = jobs.jobs[JOB]
        assert list(job.list_ready_steps(4_999)) == []
        assert list(job.list_ready_steps(5_000)) == [(0, 0)]
        assert list(job.list_ready_steps(6_000)) == [(0, 0), (1, 0)]

    def test_active_units_are_not_counted_as_waiting(self):
        jobs = table.JobTable()
        jobs.apply(build_submission())
        jobs.apply(build_unit_record(0, table.UnitStatus.ACTIVE))
        job = jobs.jobs[JOB]
        assert [key.index for key in job.list_waiting_units(0, 0)] == [1]
        assert job.count_waiting_units(0, 0) == 1
        jobs.apply(build_unit_record(0, table.UnitStatus.WAITING))
        assert job.count_waiting_units(0, 0) == 2
        assert job.get_state() is table.JobState.RUNNING

    def test_job_is_done_as_soon_as_its_units_are(self):
        # The end of one member makes the unit of a gang done, while the ends
        # of the other members, and so the end record of the job, may come up
        # to 0.1 s later (day quiet-1 of htsw-sched).
        jobs = table.JobTable()
        jobs.apply(build_submission())
        jobs.apply(build_unit_record(0, table.UnitStatus.ACTIVE))
        jobs.apply(build_unit_record(1, table.UnitStatus.DONE))
        assert jobs.jobs[JOB].get_state() is table.JobState.RUNNING
        jobs.apply(build_unit_record(0, table.UnitStatus.DONE))
        assert jobs.jobs[JOB].get_state() is table.JobState.DONE

    def test_cancel_read_before_its_job_takes_effect(self):
        jobs = table.JobTable()
        jobs.apply(records.Record(records.Kind.CANCEL, JOB, 1))
        jobs.apply(build_submission())
        assert jobs.jobs[JOB].get_state() is table.JobState.CANCELLED

    def test_second_submission_of_a_job_is_ignored(self):
        jobs = table.JobTable()
        jobs.apply(build_submission())
        jobs.apply(build_unit_record(0, table.UnitStatus.ACTIVE))
        jobs.apply(build_submission())
        assert jobs.jobs[JOB].count_waiting_units(0, 0) == 1

    def test_units_read_before_their_job_are_kept(self):
        jobs = table.JobTable()
        jobs.apply(build_unit_record(0, table.UnitStatus.DONE))
        jobs.apply(build_submission())
        assert jobs.jobs[JOB].count_waiting_units(0, 0) == 1

    def test_ended_job_keeps_its_state_and_drops_its_units(self):
        jobs = table.JobTable()
        jobs.apply(build_submission())
        jobs.apply(build_unit_record(0, table.UnitStatus.DONE))
        end = records.EndRecord(1, "done", 9)
        jobs.apply(records.Record(records.Kind.END, JOB, end))
        assert jobs.jobs[JOB].get_state() is table.JobState.DONE
        assert jobs.jobs[JOB].units == {}
        assert JOB not in jobs.open_jobs

    def test_older_claim_does_not_replace_newer_one(self):
        jobs = table.JobTable()
        for epoch, name in ((9, "new"), (3, "old"), (9, "late")):
            claim = records.Claim(epoch, name, name)
            jobs.apply(records.Record(records.Kind.CLAIM, "", claim))
        assert jobs.claim.entry == "new"
        assert jobs.epoch == 9

    def test_end_that_was_dropped_does_not_end_a_later_job(self):
        # The end was read after its job had been dropped.
        jobs = table.JobTable()
        end = records.EndRecord(1, table.JobState.DONE.value, 2_000)
        for value in (end, None):
            jobs.apply(records.Record(records.Kind.END, JOB, value))
        jobs.apply(build_submission())
        assert jobs.jobs[JOB].get_state() is table.JobState.QUEUED

    def test_done_job_stays_done_if_it_is_cancelled_before_its_end(self):
        # Callers saw it as done, then as cancelled, then as done.
        jobs = table.JobTable()
        jobs.apply(build_submission())
        for index in range(2):
            jobs.apply(build_unit_record(index, table.UnitStatus.DONE))
        jobs.apply(records.Record(records.Kind.CANCEL, JOB, 3_000))
        assert jobs.jobs[JOB].get_state() is table.JobState.DONE


class TestRecords:
    def test_encoded_record_is_decoded_unchanged(self):
        record = build_submission(specs.Step(3, NEED, after=(), label="a"))
        key = records.build_key(record.kind, record.name)
        value = records.encode_value(record.value)
        assert records.decode(key, value) == record

    def test_malformed_record_is_refused(self):
        for key, value in (("x/1", b"1"), ("u/1", b"\xc1"), ("j/1", b"\x01")):
            assert records.decode(key, value).kind == "malformed"

    def test_job_accepted_by_an_earlier_version_is_kept(self):
        # Limits that are new for callers left stored jobs out of the ledger.
        step = specs.Step(1, NEED, most_per_worker=-1)
        for record in (
            build_submission(step),
            build_submission(occurrences=2, first_due_ms=-1),
            build_submission(occurrences=2, interval_ms=2**53),
        ):
            value = records.encode_value(record.value)
            key = records.build_key(record.kind, record.name)
            assert records.decode(key, value) == record
            assert specs.check_spec(record.value.spec) is not None


class TestUnitKeys:
    def test_formatted_key_is_parsed_unchanged(self):
        for key in (
            table.UnitKey(JOB, 0, 1, 17),
            table.UnitKey(JOB, 3, 0),
        ):
            assert table.parse_unit_key(key.format()) == key
        assert table.parse_unit_key("a.b.c").kind == "malformed"


class TestSpecs:
    def test_invalid_spec_is_refused_with_path_of_the_fault(self):
        wrong = specs.Step(1, NEED, after=(0,))
        refusal = specs.check_spec(specs.JobSpec("", (wrong,)))
        assert refusal.detail["path"] == "steps[0].after"
        refusal = specs.check_spec(specs.JobSpec("x" * 5_000, (wrong,)))
        assert refusal.detail["path"] == "spec"
        assert specs.check_spec(build_submission().value.spec) is None


class TestUnbegunRuns:
    def build_record(self, status, **fields):
        record = build_unit_record(0, status, run=2)
        return record._replace(value=record.value._replace(**fields))

    def test_job_whose_runs_were_refused_is_queued(self):
        # An ordered run counted as begun for good, so that jobs that no worker
        # had started were missing in the number of waiting jobs.
        jobs = table.JobTable()
        jobs.apply(build_submission())
        jobs.apply(self.build_record(table.UnitStatus.ACTIVE))
        assert jobs.count_queued_jobs("q", 2_000) == 0
        jobs.apply(self.build_record(table.UnitStatus.WAITING, unbegun_runs=2))
        assert jobs.jobs[JOB].get_state() is table.JobState.QUEUED
        assert jobs.copy().count_queued_jobs("q", 2_000) == 1

    def test_job_with_a_later_or_another_begun_unit_is_running(self):
        jobs = table.JobTable()
        jobs.apply(build_submission())
        jobs.apply(self.build_record(table.UnitStatus.WAITING, unbegun_runs=2))
        jobs.apply(build_unit_record(1, table.UnitStatus.ACTIVE))
        assert jobs.jobs[JOB].get_state() is table.JobState.RUNNING
        jobs.apply(build_unit_record(1, table.UnitStatus.WAITING, run=0))
        jobs.apply(self.build_record(table.UnitStatus.ACTIVE, unbegun_runs=1))
        assert jobs.jobs[JOB].get_state() is table.JobState.RUNNING

    def test_records_without_the_field_are_read_and_written(self):
        # Entries of earlier versions write and read these.
        for crashes in ((), (crash_limits.Crash(1, 0, "w", True),)):
            unit = build_unit_record(0, table.UnitStatus.WAITING).value
            unit = unit._replace(crashes=crashes)
            value = records.encode_value(unit)
            fields = msgspec.msgpack.decode(value)
            assert len(fields) == (7 if crashes else 6)
            assert records.decode("u/x.0.0.0", value).value == unit
        unit = unit._replace(unbegun_runs=1)
        value = records.encode_value(unit)
        assert records.decode("u/x.0.0.0", value).value == unit


class TestEarlyCancels:
    CANCEL = records.EarlyCancel(1_000, "q", "c")

    def build_record(self, cancel):
        name = early_cancels.build_name(JOB, cancel.sender)
        return records.Record(records.Kind.EARLY_CANCEL, name, cancel)

    def test_order_of_a_job_and_its_early_cancel_makes_no_difference(self):
        # The job may be stored first although the entry that answered the
        # cancel did not see it, and pages of the ledger come in any order.
        both = [build_submission(), self.build_record(self.CANCEL)]
        for each in (both, both[::-1]):
            jobs = table.JobTable()
            for record in each:
                jobs.apply(record)
            assert jobs.jobs[JOB].is_cancelled
            assert jobs.copy().jobs[JOB].is_cancelled

    def test_table_with_added_calls_has_their_early_cancels(self):
        # An owner whose history lapsed takes the calls from a snapshot.
        jobs, snapshot = table.JobTable(), table.JobTable()
        snapshot.apply(self.build_record(self.CANCEL))
        jobs.add_calls(snapshot)
        jobs.apply(build_submission())
        assert jobs.jobs[JOB].is_cancelled

    def test_other_senders_neither_cancel_nor_overwrite(self):
        jobs = table.JobTable()
        jobs.apply(self.build_record(self.CANCEL))
        for other in (("q", "d"), ("other", "c")):
            jobs.apply(self.build_record(records.EarlyCancel(1_000, *other)))
        assert len(list(jobs.early_cancels)) == 3
        jobs.apply(self.build_record(self.CANCEL)._replace(value=None))
        jobs.apply(build_submission())
        assert not jobs.jobs[JOB].is_cancelled

    def test_record_is_read_as_it_was_written(self):
        record = self.build_record(self.CANCEL)
        key = records.build_key(record.kind, record.name)
        value = records.encode_value(record.value)
        assert records.decode(key, value) == record
