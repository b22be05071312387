from chervilcove.jobs import crash_limits
from chervilcove.jobs import records
from chervilcove.jobs import table

KEY = table.UnitKey("a", 0, 0, 0)


def build_crashes(workers, *, was_running=False, index=0):
    return tuple(
        crash_limits.Crash(run, index, worker, was_running)
        for run, worker in enumerate(workers, start=1)
    )


class TestLimits:
    def test_crashes_at_the_start_give_a_task_up(self):
        assert not crash_limits.should_give_up(())
        assert not crash_limits.should_give_up(build_crashes("ab"))
        assert crash_limits.should_give_up(build_crashes("abc"))
        assert crash_limits.should_give_up(build_crashes("aba"))

    def test_worker_that_crashes_again_and_again_is_to_blame(self):
        assert not crash_limits.should_give_up(build_crashes("aaa"))

    def test_no_task_is_started_a_sixth_time(self):
        # Three starts more after three crashes are one too many.
        assert crash_limits.should_give_up(build_crashes("aaaaa"))
        running = build_crashes("abcde", was_running=True)
        assert not crash_limits.should_give_up(running[:4])
        assert crash_limits.should_give_up(running)

    def test_crashes_of_different_members_are_not_added_up(self):
        crashes = [
            crash_limits.Crash(1, index, f"w{index}", False)
            for index in range(8)
        ]
        assert not crash_limits.should_give_up(crashes)
        crashes += build_crashes("xyz", index=5)
        assert crash_limits.should_give_up(crashes)


class TestRecords:
    def _build_unit(self, crashes, status=table.UnitStatus.WAITING):
        return records.UnitRecord(1, 3, status, (), "", (), crashes)

    def test_crashes_are_read_back(self):
        unit = self._build_unit(build_crashes("abc"))
        record = records.decode("u/a.0.0.0", records.encode_value(unit))
        assert record.value == unit

    def test_record_without_crashes_has_the_fields_of_earlier_versions(self):
        unit = self._build_unit(())
        encoded = records.encode_value(unit)
        assert encoded == records.encode_value(tuple(unit)[:6])
        assert records.decode("u/a.0.0.0", encoded).value == unit

    def test_table_knows_jobs_with_crashing_tasks(self):
        job = table.Job(submission=None)
        job.set_unit(KEY, self._build_unit(build_crashes("ab")))
        assert not job.has_crashing_task
        done = self._build_unit(build_crashes("abc"), table.UnitStatus.DONE)
        job.set_unit(KEY, done)
        assert not job.has_crashing_task
        job.set_unit(KEY, self._build_unit(build_crashes("abc")))
        assert job.has_crashing_task
