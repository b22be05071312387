from chervilcove.dispatch import relocation


def build_progress(*samples):
    progress = relocation.TaskProgress()
    for observed_at, percent in samples:
        progress.add(observed_at, percent)
    return progress


class TestProgress:
    def test_no_estimate_until_samples_span_the_rate_window(self):
        assert build_progress().estimate_remaining_s() is None
        assert (
            build_progress((0.0, 0.0), (1.0, 10.0)).estimate_remaining_s()
            is None
        )

    def test_estimate_uses_the_present_rate(self):
        progress = build_progress((0.0, 0.0), (2.0, 40.0))
        assert progress.estimate_remaining_s() == 3.0
        progress.add(4.0, 41.0)
        assert progress.estimate_remaining_s() > 100.0

    def test_estimate_of_stalled_task_is_infinite(self):
        progress = build_progress((0.0, 5.0), (2.0, 5.0))
        assert progress.estimate_remaining_s() == relocation.NEVER_ENDS_S


class TestRelocation:
    def test_run_that_outlasts_its_worker_cannot_end(self):
        assert relocation.cannot_end_before_departure(5.0, 4.0)
        assert not relocation.cannot_end_before_departure(3.0, 4.0)
        assert not relocation.cannot_end_before_departure(5.0, None)

    def test_stalled_task_is_relocated_only_if_little_is_lost(self):
        stalled_s = relocation.STALL_RELOCATION_S + 0.1
        assert relocation.should_relocate(stalled_s, 20.0, is_resumable=False)
        assert relocation.should_relocate(stalled_s, 90.0, is_resumable=True)
        assert not relocation.should_relocate(
            stalled_s, 90.0, is_resumable=False
        )
        assert not relocation.should_relocate(2.0, 20.0, is_resumable=True)

    def test_task_without_progress_yet_is_not_stalled(self):
        progress = build_progress((0.0, 0.0), (9.0, 0.0))
        assert progress.get_stalled_s() == 0.0
        progress.add(11.0, 5.0)
        progress.add(13.0, 5.0)
        assert progress.get_stalled_s() == 2.0

    def test_finished_gang_member_waiting_for_others_is_not_stalled(self):
        progress = build_progress((0.0, 50.0), (1.0, 100.0), (9.0, 100.0))
        assert progress.get_stalled_s() == 0.0
