from chervilcove.jobs import records
from chervilcove.jobs import specs
from chervilcove.jobs import table

JOB = "00000000000000aa"
NEED = specs.Need(1000, 100, 1)


def submit(*steps, **changes):
    spec = specs.JobSpec("", steps or (specs.Step(2, NEED),), **changes)
    value = records.Submission(JOB, "q", "s", "c", 1_000, spec)
    return records.Record(records.Kind.JOB, JOB, value)


def unit(index, status, *, run=1):
    value = records.UnitRecord(1, run, status, (), "", ())
    return records.Record(records.Kind.UNIT, f"{JOB}.0.0.{index}", value)


class TestJobTable:
    def test_a_step_waits_for_the_steps_before_it(self):
        jobs = table.JobTable()
        steps = (specs.Step(2, NEED), specs.Step(1, NEED, after=(0,)))
        jobs.apply(submit(*steps))
        job = jobs.jobs[JOB]
        assert list(job.list_turns(0)) == [(0, 0)]
        jobs.apply(unit(0, table.Status.DONE))
        assert list(job.list_turns(0)) == [(0, 0)]
        jobs.apply(unit(1, table.Status.DONE))
        assert list(job.list_turns(0)) == [(0, 1)]
        assert not job.is_done()

    def test_an_occurrence_waits_until_it_is_due(self):
        jobs = table.JobTable()
        jobs.apply(submit(occurrences=2, first_due_ms=5_000, interval_ms=1_000))
        job = jobs.jobs[JOB]
        assert list(job.list_turns(4_999)) == []
        assert list(job.list_turns(5_000)) == [(0, 0)]
        assert list(job.list_turns(6_000)) == [(0, 0), (1, 0)]

    def test_active_units_do_not_wait(self):
        jobs = table.JobTable()
        jobs.apply(submit())
        jobs.apply(unit(0, table.Status.ACTIVE))
        job = jobs.jobs[JOB]
        assert [key.index for key in job.list_waiting_units(0, 0)] == [1]
        assert job.count_waiting(0, 0) == 1
        jobs.apply(unit(0, table.Status.WAITING))
        assert job.count_waiting(0, 0) == 2
        assert job.get_state() is table.JobState.RUNNING

    def test_a_job_is_done_once_its_units_are(self):
        # htsw-sched quiet-1: one done end represents a gang, and the ends
        # of its other members came up to 0.1 s later.
        jobs = table.JobTable()
        jobs.apply(submit())
        jobs.apply(unit(0, table.Status.ACTIVE))
        jobs.apply(unit(1, table.Status.DONE))
        assert jobs.jobs[JOB].get_state() is table.JobState.RUNNING
        jobs.apply(unit(0, table.Status.DONE))
        assert jobs.jobs[JOB].get_state() is table.JobState.DONE

    def test_a_cancel_that_comes_first_still_counts(self):
        jobs = table.JobTable()
        jobs.apply(records.Record(records.Kind.CANCEL, JOB, 1))
        jobs.apply(submit())
        assert jobs.jobs[JOB].get_state() is table.JobState.CANCELLED

    def test_a_second_submission_changes_nothing(self):
        jobs = table.JobTable()
        jobs.apply(submit())
        jobs.apply(unit(0, table.Status.ACTIVE))
        jobs.apply(submit())
        assert jobs.jobs[JOB].count_waiting(0, 0) == 1

    def test_a_rebuilt_table_takes_units_before_their_job(self):
        jobs = table.JobTable()
        jobs.apply(unit(0, table.Status.DONE))
        jobs.apply(submit())
        assert jobs.jobs[JOB].count_waiting(0, 0) == 1

    def test_an_ended_job_keeps_its_state_and_forgets_its_units(self):
        jobs = table.JobTable()
        jobs.apply(submit())
        jobs.apply(unit(0, table.Status.DONE))
        end = records.EndRecord(1, "done", 9)
        jobs.apply(records.Record(records.Kind.END, JOB, end))
        assert jobs.jobs[JOB].get_state() is table.JobState.DONE
        assert jobs.jobs[JOB].units == {}
        assert JOB not in jobs.open

    def test_an_older_claim_does_not_replace_a_newer_one(self):
        jobs = table.JobTable()
        for epoch, name in ((9, "new"), (3, "old"), (9, "late")):
            claim = records.Claim(epoch, name, name)
            jobs.apply(records.Record(records.Kind.CLAIM, "", claim))
        assert jobs.claim.entry == "new"
        assert jobs.epoch == 9


class TestRecords:
    def test_values_come_back_as_they_were(self):
        record = submit(specs.Step(3, NEED, after=(), label="a"))
        key = records.build_key(record.kind, record.name)
        value = records.encode_value(record.value)
        assert records.decode(key, value) == record

    def test_what_cannot_be_read_is_a_refusal(self):
        for key, value in (("x/1", b"1"), ("u/1", b"\xc1"), ("j/1", b"\x01")):
            assert records.decode(key, value).kind == "malformed"


class TestUnitKeys:
    def test_names_are_parsed_as_they_are_formatted(self):
        for key in (
            table.UnitKey(JOB, 0, 1, 17),
            table.UnitKey(JOB, 3, 0),
        ):
            assert table.parse_unit(key.format()) == key
        assert table.parse_unit("a.b.c").kind == "malformed"


class TestSpecs:
    def test_impossible_jobs_are_refused_with_the_place(self):
        wrong = specs.Step(1, NEED, after=(0,))
        refusal = specs.check_spec(specs.JobSpec("", (wrong,)))
        assert refusal.detail["path"] == "steps[0].after"
        refusal = specs.check_spec(specs.JobSpec("x" * 5_000, (wrong,)))
        assert refusal.detail["path"] == "spec"
        assert specs.check_spec(submit().value.spec) is None
