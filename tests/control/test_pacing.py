from chervilcove.jobs import specs
from tests.control import system as systems

SERVER = "00000000000000aa"
FILLER = "00000000000000bb"


def start_both(system, entry):
    systems.wait_until(lambda: entry._owner is not None)
    serving = systems.build_spec(is_lasting=True, target_ms=100)
    system.submit(entry, SERVER, serving)
    filling = systems.build_spec(
        is_filler=True, need=specs.Resources(0, 512, 0)
    )
    system.submit(entry, FILLER, filling)
    worker = system.wait_for_run(f"{SERVER}.0.0.0")
    assert system.wait_for_run(f"{FILLER}.0.0.0") is worker
    return worker


class TestPace:
    def test_filler_is_paused_while_a_serving_task_misses_its_target(
        self, system
    ):
        # Fillers must not harm serving tasks (rule HARM). The owner used to
        # send no pace at all.
        worker = start_both(system, system.add_entry("a"))
        worker.loads[f"{SERVER}.0.0.0"] = 150.0
        task = f"{FILLER}.0.0.0"
        systems.wait_until(lambda: (task, 0) in worker.paces)
        worker.loads[f"{SERVER}.0.0.0"] = 20.0
        systems.wait_until(lambda: (task, 10) in worker.paces)
        assert all(name == task for name, _ in worker.paces)

    def test_successor_sends_the_pace_again(self, system):
        entry = system.add_entry("a")
        worker = start_both(system, entry)
        worker.loads[f"{SERVER}.0.0.0"] = 80.0
        entry.kill()
        worker.paces.clear()
        system.add_entry("b")
        systems.wait_until(lambda: worker.paces)
        assert worker.paces[0] == (f"{FILLER}.0.0.0", 100)
