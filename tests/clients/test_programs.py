"""Other programs and pages that listen meet clients outside the limits."""

import pytest

from tests.clients import checks
from tests.clients import crowd as crowds
from tests.clients import processes

MAX_FDS = 1_638  # of the smallest machine of an entry
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


class TestPrograms:
    """Guards against programs that a crowd ends, fills or hangs."""

    def test_an_entry_of_the_own_interface(self, tmp_path):
        with checks.run(processes.OwnEntry(folder=tmp_path)) as entry:
            self._meet(entry, MAX_FDS)

    @pytest.mark.parametrize(
        ("words", "path"),
        [(STANDIN_WORKER, "/v1/observations"), (DEMO, "/readyz")],
        ids=["worker", "demo"],
    )
    def test_a_program(self, tmp_path, words, path):
        program = processes.Program(words=words, path=path, folder=tmp_path)
        with checks.run(program):
            self._meet(program, MAX_FDS)

    @staticmethod
    def _meet(program, descriptors):
        with checks.gather(program) as crowd:
            checks.wait_for_rounds(crowd, program.process, descriptors)
        assert program.answers() == program.EXPECTED
        assert program.process.is_alive()
