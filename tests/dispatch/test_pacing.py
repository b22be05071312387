from chervilcove.dispatch import pacing


def build_latencies(tail_ms):
    return [
        pacing.ServiceLatency(20.0, 100),
        pacing.ServiceLatency(tail_ms, 100),
    ]


class TestPacing:
    def test_two_reports_over_target_stop_fillers(self):
        pace = pacing.choose_pace(pacing.FULL_PACE, build_latencies(120.0))
        assert 0 < pace < pacing.FULL_PACE
        assert pacing.choose_pace(pace, build_latencies(120.0)) == 0

    def test_two_reports_over_target_stop_fillers_at_any_pace(self):
        for pace in range(pacing.FULL_PACE + 1):
            for _ in range(2):
                pace = pacing.choose_pace(pace, build_latencies(96.0))
            assert pace == 0

    def test_pace_rises_in_small_steps(self):
        pace, paces = 0, []
        while pace < pacing.FULL_PACE:
            pace = pacing.choose_pace(pace, build_latencies(50.0))
            paces.append(pace)
        assert paces == list(range(10, 101, 10))

    def test_pace_is_unchanged_near_the_target(self):
        assert pacing.choose_pace(40, build_latencies(80.0)) == 40

    def test_fillers_run_at_full_pace_without_serving_tasks(self):
        assert pacing.choose_pace(10, []) == pacing.FULL_PACE
