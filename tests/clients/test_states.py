"""An entry meets clients outside the limits in each of its states.

The clients try all ways at once on all ports and come back when closed. They
may take all places of a port, so that ordinary requests are sent afterwards.
"""

import signal

import gevent
import pytest

from chervilcove.jobs import records
from chervilcove.jobs import specs
from tests import waits
from tests.clients import checks
from tests.clients import processes
from tests.platform import standin

# The smallest machine of an entry, and one where the crowd takes all places.
SMALLEST = {"memory_mb": 160, "max_fds": 1_638}
MAX_FDS = 160
CROWDED = {"memory_mb": 160, "max_fds": MAX_FDS}
ROUTES = 1_400
JOBS = 2_400  # of a day


def _wait_for_log(entry, text):
    waits.wait_until(
        lambda: text in entry.process.read_log(),
        max_polls=checks.POLLS,
        describe=lambda: f"no {text!r} in the log",
    )


class TestStates:
    """Guards against an entry that a crowd ends, fills or hangs."""

    @pytest.fixture
    def entry(self, tmp_path):
        entry = processes.PlatformEntry(
            folder=tmp_path,
            fleet=processes.choose_known(CROWDED),
            starts=False,
        )
        yield entry
        entry.stop()

    @pytest.fixture
    def ready_entry(self, entry):
        entry.start()
        entry.wait_ready()
        return entry

    def test_a_crowd_waits_for_the_start(self, entry):
        with checks.gather(entry) as crowd:
            gevent.sleep(0.1)  # its first connections are refused
            assert not crowd.accepted
            entry.start()
            checks.wait_for_rounds(crowd, entry.process, MAX_FDS)
        entry.wait_ready()
        checks.check_recovery(entry, checks.OTHER_DESCRIPTORS)

    def test_the_store_is_silent(self, ready_entry):
        base = ready_entry.process.count_descriptors()
        with checks.gather(ready_entry) as crowd:
            ready_entry.store.send_signal(signal.SIGSTOP)
            _wait_for_log(ready_entry, "ledger_lost")
            checks.wait_for_rounds(crowd, ready_entry.process, MAX_FDS)
        # Served from what is known, or refused: both answer.
        answers = ready_entry.answers()
        assert answers["front"] in (200, 503)
        assert answers["ready"] == 503
        ready_entry.store.send_signal(signal.SIGCONT)
        ready_entry.wait_ready()
        checks.check_recovery(ready_entry, base)

    def test_the_settings_change(self, ready_entry):
        base = ready_entry.process.count_descriptors()
        with checks.gather(ready_entry) as crowd:
            checks.wait_for_rounds(crowd, ready_entry.process, MAX_FDS)
            ready_entry.change(stop_ms=777)
            ready_entry.process.send_signal(signal.SIGHUP)
            _wait_for_log(ready_entry, "after=777")
            checks.wait_for_rounds(crowd, ready_entry.process, MAX_FDS)
        checks.check_recovery(ready_entry, base)

    def test_it_is_stopped(self, ready_entry):
        process = ready_entry.process
        with checks.gather(ready_entry) as crowd:
            checks.wait_for_rounds(crowd, process, MAX_FDS)
            process.send_signal(signal.SIGTERM)
            _wait_for_log(ready_entry, "event=entry_leaves")
            checks.check_bounds(process, MAX_FDS)
            assert process.wait() == 0
        assert process.read_log_kb() < checks.LOG_KB

    @pytest.mark.parametrize("job_count", [0, JOBS])
    def test_a_configuration_of_many_routes(self, tmp_path, job_count):
        (route,) = standin.CONFIG["routes"]
        names = [*(f"r-{number}" for number in range(1, ROUTES)), "last"]
        config = {
            **standin.CONFIG,
            "routes": [
                {**route, "name": name, "path_prefix": f"/{name}/"}
                for name in names[:-1]
            ]
            + [{**route, "name": names[-1]}],
        }
        spec = specs.JobSpec(
            payload="", steps=(specs.Step(11, specs.Resources(500, 1_000, 1)),)
        )
        jobs = [
            records.Submission(
                f"{number:016x}", names[number % ROUTES], "pool", "t", 1, spec
            )
            for number in range(job_count)
        ]
        entry = processes.PlatformEntry(
            folder=tmp_path,
            fleet=processes.choose_known(SMALLEST),
            config=config,
            jobs=jobs,
        )
        with checks.run(entry):
            assert f" jobs={job_count} " in entry.process.read_log()
            base = entry.process.count_descriptors()
            with checks.gather(entry) as crowd:
                checks.wait_for_rounds(
                    crowd, entry.process, SMALLEST["max_fds"]
                )
            checks.check_recovery(entry, base)
