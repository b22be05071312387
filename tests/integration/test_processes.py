"""Kills, pauses, drains and outages of entries in separate processes."""

import signal
import time

import gevent
import pytest

from chervilcove.standins import evidence
from tests.integration import processes

RUN_S = 1.2
STARTING_STATES = ("queued", "placed")

# Points at which the owner of a gang is killed: the proxy that observes its
# connection, and the bytes whose passage triggers the kill.
KILL_POINTS = {
    "before_prepare": ("worker", b"/v1/prepare"),
    "between_the_starts": ("worker", b"/v1/start"),
    "before_an_append": ("log", b"POST /v1/streams/decisions"),
    "before_a_renewal": ("worker", b"/v1/renew"),
}


@pytest.fixture(scope="module")
def process_system(tmp_path_factory):
    instance = processes.ProcessSystem(
        folder=tmp_path_factory.mktemp("settings")
    )
    instance.start()
    yield instance
    instance.stop()


@pytest.fixture
def system(process_system):
    """End all proxy faults and bring the number of entries back to three."""
    for each in process_system.list_proxies():
        each.heal()
    while len(process_system.entries) < 3:
        process_system.add_entry(f"entry-{next(process_system.unique_numbers)}")
    return process_system


def _submit(system, **changes):
    payload = {"run_s": RUN_S, "result": "ok"}
    return system.submit(**{"payload": payload, **changes})


def _wait_running(system, job):
    """Wait until the gang runs and the log has the decision that it runs.

    In between the gang counts as starting. A new owner that takes it over then
    would end the attempt and start another one.
    """
    system.wait(lambda: len(system.list_running(job)) == 2)
    system.wait(lambda: system.get_job(job)["state"] not in STARTING_STATES)


def _wait_finished(system, *jobs):
    system.wait(
        lambda: all(system.is_finished(job) for job in jobs),
        describe=lambda: f"unfinished: {[system.get_job(job) for job in jobs]}",
    )


def _check(system, *names):
    findings = evidence.check_all(system.collect_evidence())
    broken = {
        name: finding.examples
        for name, finding in findings.items()
        if finding.violations
    }
    assert broken == {}
    for name in names:
        assert findings[name].checked > 0, name


class TestKills:
    """A gang must complete although the entry that owns it is killed.

    Another entry must renew its lease in time, and finish or undo a start that
    the killed entry left incomplete.
    """

    def test_the_gangs_of_a_killed_entry_are_not_lost(self, system):
        job = _submit(system, payload={"run_s": processes.RUN_TTL_S + 2.0})
        _wait_running(system, job)
        victim = system.list_running(job)[0]["worker"]
        system.kill_entry(system.find_owner(victim))
        _wait_finished(system, job)
        done = system.get_job(job)
        assert (done["state"], done["attempt"]) == ("completed", 1)
        _check(system, "gang_whole")

    @pytest.mark.parametrize("point", KILL_POINTS)
    def test_a_kill_at_a_named_point_breaks_nothing(self, system, point):
        where, mark = KILL_POINTS[point]
        owner = system.find_owner("worker-0")
        found = [owner]

        def kill():
            system.kill_entry(found.pop())

        proxies = {
            "worker": system.worker_proxies["worker-0"],
            "log": system.log_proxies[owner],
        }
        processes.kill_on_bytes(proxies[where], mark, kill)
        entry = next(name for name in system.entries if name != owner)
        jobs = [
            _submit(system, entry=entry),
            _submit(system, entry=entry, idempotent=False, accelerators=1),
        ]
        system.wait(
            lambda: not found,
            describe=lambda: "the bytes of the kill point were not sent",
        )
        _wait_finished(system, *jobs)
        assert system.get_job(jobs[0])["state"] == "completed"
        _check(system, "gang_whole", "at_most_once")


class TestPauses:
    """An entry that is stopped and resumed must not act on its old state.

    Other entries take over its gangs meanwhile, and an operator takes a data
    centre out of service.
    """

    def test_resumed_entry_violates_no_condition(self, system):
        job = _submit(system, payload={"run_s": 1.0})
        once = _submit(
            system,
            idempotent=False,
            tasks=2,
            accelerators=1,
            payload={"run_s": 1.0},
        )
        owner = system.find_owner("worker-0")
        part = system.entries.pop(owner)
        part.send_signal(signal.SIGSTOP)
        try:
            _wait_finished(system, job, once)
            system.change_data_centre("Giza", False)
            late = _submit(system, payload={"run_s": 0.5})
            gevent.sleep(evidence.OUT_LIMIT_S)
        finally:
            part.send_signal(signal.SIGCONT)
            system.entries[owner] = part
        _wait_finished(system, late)
        system.change_data_centre("Giza", True)
        _check(system, "gang_whole", "at_most_once", "data_centre_out")


class TestDrain:
    """SIGTERM must not break off open requests nor restart running gangs."""

    def test_a_planned_stop_cuts_no_request_and_loses_no_gang(self, system):
        job = _submit(system)
        _wait_running(system, job)
        name = system.find_owner("worker-0")
        calls = [
            gevent.spawn(
                system.send,
                entry=name,
                key=f"drained-{index}",
                idempotent=index % 2 == 0,
                work_ms=600.0,
            )
            for index in range(4)
        ]
        system.wait(lambda: _count_executions(system) >= 4)
        stop = system.stop_entry(name)
        gevent.joinall(calls)
        assert [call.value for call in calls] == ["answered"] * 4
        assert stop.exit_code == 0
        _wait_finished(system, job)
        assert system.get_job(job)["attempt"] == 1
        _check(system, "planned_stop", "own_answer", "at_most_once")


def _count_executions(system):
    return sum(
        execution.key.startswith("drained-")
        for execution in system.collect_evidence().executions
    )


class TestOutages:
    def test_gangs_outlive_a_log_outage_and_a_kill_within_it(self, system):
        job = _submit(system, payload={"run_s": processes.RUN_TTL_S + 1.0})
        _wait_running(system, job)
        system.set_log_faults(down=True)
        try:
            system.kill_entry(system.find_owner("worker-0"))
            gevent.sleep(processes.RUN_TTL_S)
            assert len(system.list_running(job)) == 2
        finally:
            system.set_log_faults(down=False)
        _wait_finished(system, job)
        assert system.get_job(job)["attempt"] == 1
        _check(system, "gang_whole")

    def test_nothing_starts_in_a_data_centre_that_is_out(self, system):
        for _ in range(2):
            jobs = [
                _submit(system, accelerators=1, payload={"run_s": 0.3})
                for _ in range(4)
            ]
            system.change_data_centre("Maadi", False)
            jobs += [
                _submit(system, accelerators=1, payload={"run_s": 0.3})
                for _ in range(4)
            ]
            _wait_finished(system, *jobs)
            system.change_data_centre("Maadi", True)
        _check(system, "gang_whole", "data_centre_out")


class TestNotes:
    """An accepted note must take effect at every entry within its limit."""

    def test_an_accepted_note_is_in_force_everywhere_and_stays(self, system):
        for number, verb in ((1, "added"), (2, "withdrawn")):
            shown = system.call(system.any_entry(), "GET", "/v1/configuration")
            note = system.build_note(shown["revision"])
            service = system.build_first_note()["added"][
                -len(system.centres) - 1
            ]
            note[verb] = [{**service, "name": "second-desk"}]
            answer = system.call(system.any_entry(), "POST", "/v1/notes", note)
            assert answer["accepted"]
            accepted_at = time.time()
            system.read_revisions()
            gevent.sleep(evidence.IN_FORCE_LIMIT_S)
            self._probe(system, number, accepted_at, verb == "added")
            system.read_revisions()
        _check(system, "configuration_in_force", "own_answer")

    def _probe(self, system, number, accepted_at, should_run):
        for entry in list(system.entries):
            key = f"probe-{number}-{entry}"
            sent_at = time.time()
            system.send(
                entry=entry, key=key, idempotent=True, service="second-desk"
            )
            system.probes.append(
                evidence.Probe(entry, accepted_at, sent_at, key, should_run)
            )
