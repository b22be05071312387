from chervilcove.dispatch import moving


def observe(*samples):
    progress = moving.Progress()
    for moment, percent in samples:
        progress.add(moment, percent)
    return progress


class TestProgress:
    def test_nothing_is_said_of_a_short_time(self):
        assert observe().estimate_left_s() is None
        assert observe((0.0, 0.0), (1.0, 10.0)).estimate_left_s() is None

    def test_the_present_speed_counts(self):
        progress = observe((0.0, 0.0), (2.0, 40.0))
        assert progress.estimate_left_s() == 3.0
        progress.add(4.0, 41.0)
        assert progress.estimate_left_s() > 100.0

    def test_a_task_that_stands_still_never_ends(self):
        progress = observe((0.0, 5.0), (2.0, 5.0))
        assert progress.estimate_left_s() == moving.NEVER_ENDS_S


class TestMoving:
    def test_a_run_that_outlasts_its_worker_is_doomed(self):
        assert moving.is_doomed(5.0, 4.0)
        assert not moving.is_doomed(3.0, 4.0)
        assert not moving.is_doomed(5.0, None)

    def test_a_task_that_stands_still_moves_if_little_is_lost(self):
        long_s = moving.STALL_RELOCATION_S + 0.1
        assert moving.is_worth_moving(long_s, 20.0, is_resumable=False)
        assert moving.is_worth_moving(long_s, 90.0, is_resumable=True)
        assert not moving.is_worth_moving(long_s, 90.0, is_resumable=False)
        assert not moving.is_worth_moving(2.0, 20.0, is_resumable=True)

    def test_a_task_that_has_not_begun_does_not_stand_still(self):
        progress = observe((0.0, 0.0), (9.0, 0.0))
        assert progress.get_standstill_s() == 0.0
        progress.add(11.0, 5.0)
        progress.add(13.0, 5.0)
        assert progress.get_standstill_s() == 2.0

    def test_a_gang_that_waits_for_its_end_does_not_stand_still(self):
        progress = observe((0.0, 50.0), (1.0, 100.0), (9.0, 100.0))
        assert progress.get_standstill_s() == 0.0
