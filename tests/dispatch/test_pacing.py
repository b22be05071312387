from chervilcove.dispatch import pacing


def build_serving(tail_ms):
    return [pacing.Serving(20.0, 100), pacing.Serving(tail_ms, 100)]


class TestPacing:
    def test_two_reports_over_the_target_stop_the_fillers(self):
        pace = pacing.choose_pace(pacing.FULL, build_serving(120.0))
        assert 0 < pace < pacing.FULL
        assert pacing.choose_pace(pace, build_serving(120.0)) == 0

    def test_any_pace_is_stopped_by_two_reports(self):
        for pace in range(pacing.FULL + 1):
            for _ in range(2):
                pace = pacing.choose_pace(pace, build_serving(96.0))
            assert pace == 0

    def test_they_come_back_in_small_steps(self):
        pace, paces = 0, []
        while pace < pacing.FULL:
            pace = pacing.choose_pace(pace, build_serving(50.0))
            paces.append(pace)
        assert paces == list(range(10, 101, 10))

    def test_near_the_target_they_stay_as_they_are(self):
        assert pacing.choose_pace(40, build_serving(80.0)) == 40

    def test_where_nothing_serves_they_work_at_full_speed(self):
        assert pacing.choose_pace(10, []) == pacing.FULL
