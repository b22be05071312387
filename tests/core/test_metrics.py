from chervilcove.core import metrics


class TestMetrics:
    def test_render_has_counters_gauges_and_histograms(self):
        recorded_metrics = metrics.Metrics()
        recorded_metrics.count("jobs.submit.accepted", 2)
        recorded_metrics.set_gauge("fleet.runs", 3)
        for seconds in (0.0005, 0.03, 99.0):
            recorded_metrics.record_time("runs.wait", seconds)
        lines = recorded_metrics.render().splitlines()
        assert "chervilcove_jobs_submit_accepted 2" in lines
        assert "chervilcove_fleet_runs 3" in lines
        assert 'chervilcove_runs_wait_seconds_bucket{le="0.001"} 1' in lines
        assert 'chervilcove_runs_wait_seconds_bucket{le="0.05"} 2' in lines
        assert 'chervilcove_runs_wait_seconds_bucket{le="+Inf"} 3' in lines
