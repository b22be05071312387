"""Other programs and pages that listen meet clients outside the limits."""

import gevent
import pytest

from tests.clients import checks
from tests.clients import crowd as crowds
from tests.clients import processes

# Descriptors that a process may open: as the tests set it, and on the smallest
# machine of an entry.
MAX_FDS = 160
SMALLEST_MAX_FDS = 1_638
STANDIN_WORKER = ["standin", "worker", "--port", "{port}"]
DEMO = ["demo", "--seconds", "60", "--serve", "{port}"]


class TestOperatorPages:
    """Guards against pages of operators that a crowd multiplies."""

    @pytest.mark.parametrize(
        ("create", "port"),
        [
            (processes.PlatformEntry, "metrics"),
            (processes.OwnEntry, "entry"),
        ],
    )
    def test_status_and_explanations(self, tmp_path, create, port):
        with checks.run(create(folder=tmp_path)) as entry:
            members = [
                (behaviour, entry.ports[port])
                for behaviour in crowds.OPERATOR_BEHAVIOURS.values()
            ]
            with checks.meet(entry, crowds.Crowd(members=members)):
                assert entry.process.is_alive()


class TestUnknownMachine:
    """Guards against connections that use up what the system allows."""

    @pytest.mark.parametrize(
        "create", [processes.PlatformEntry, processes.OwnEntry]
    )
    def test_connections_leave_descriptors_to_the_entry(self, tmp_path, create):
        behaviour = crowds.BEHAVIOURS["nothing_sent"]._replace(count=MAX_FDS)
        with checks.run(create(folder=tmp_path, max_fds=MAX_FDS)) as entry:
            crowd = crowds.Crowd(
                members=[(behaviour, port) for port in entry.ports.values()]
            )
            most = 0
            crowd.start()
            try:
                for _ in range(50):
                    gevent.sleep(0.02)
                    most = max(most, entry.process.count_descriptors())
                assert most <= MAX_FDS - checks.OTHER_DESCRIPTORS
                assert entry.answers() == entry.EXPECTED
            finally:
                crowd.stop()


class TestPrograms:
    """Guards against programs that a crowd ends, fills or hangs."""

    def test_an_entry_of_the_own_interface(self, tmp_path):
        with checks.run(processes.OwnEntry(folder=tmp_path)) as entry:
            self._meet(entry, SMALLEST_MAX_FDS)

    @pytest.mark.parametrize(
        ("words", "path"),
        [(STANDIN_WORKER, "/v1/observations"), (DEMO, "/readyz")],
        ids=["worker", "demo"],
    )
    def test_a_program(self, tmp_path, words, path):
        program = processes.Program(words=words, path=path, folder=tmp_path)
        with checks.run(program):
            self._meet(program, SMALLEST_MAX_FDS)

    @staticmethod
    def _meet(program, descriptors):
        with checks.gather(program) as crowd:
            checks.wait_for_rounds(crowd, program.process, descriptors)
        assert program.answers() == program.EXPECTED
        assert program.process.is_alive()
