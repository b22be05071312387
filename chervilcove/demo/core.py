"""Run the demonstration from the start of the system to the report."""

from collections.abc import Callable
from typing import Any

import gevent

from chervilcove.core import errors
from chervilcove.demo import callers
from chervilcove.demo import deployments
from chervilcove.demo import report
from chervilcove.demo import script
from chervilcove.demo import system as systems
from chervilcove.standins import evidence

ENTRY_COUNT = 6
LOAD_SHARE = 0.8
FINISH_TIMEOUT_S = 30.0
REVISION_POLL_INTERVAL_S = 0.25


class Run:
    """Run the demonstration once.

    Args:
        deployment: Deployment to run.
        seconds: Length of the run.
        seed: Seed of the load generator.
        show: Called with each line of progress.
        serve_port: TCP port on which one entry listens, for calls by other
            programs; 0 for any.
    """

    def __init__(
        self,
        *,
        deployment: deployments.Deployment,
        seconds: float,
        seed: int,
        show: Callable[[str], None],
        serve_port: int = 0,
    ):
        self.deployment = deployment
        self.seconds = seconds
        self.seed = seed
        self.system = systems.System(
            deployment=deployment, serve_port=serve_port
        )
        self.balancer = systems.Balancer(system=self.system)
        self.load_generator = callers.LoadGenerator(
            balancer=self.balancer, deployment=deployment, seed=seed
        )
        self.script = script.Script(
            system=self.system,
            balancer=self.balancer,
            load_generator=self.load_generator,
        )
        self.revision_readings: list[evidence.Reading] = []
        self.job_states: dict[str, dict[str, Any]] = {}
        self._show_line = show
        self._started_at = 0.0

    def execute(self) -> dict[str, Any]:
        """Run the demonstration once; return the report."""
        self._started_at = systems.get_unix_time()
        self._show_elapsed("starting stand-ins and entries")
        self.system.start(entry_count=ENTRY_COUNT)
        try:
            accepted = self.script.submit_note(self.system.build_first_note())
            if errors.is_refusal(accepted):
                return {"error": accepted.reason}
            self._started_at = systems.get_unix_time()
            self._show_elapsed(f"revision {accepted['revision']} is in force")
            self._run_script()
            self._wait_for_open_work()
            return report.build_report(self)
        finally:
            self.system.stop()

    def _run_script(self) -> None:
        observer = gevent.spawn(self._observe_revisions)
        progress = gevent.spawn(self._show_progress)
        self.load_generator.start()
        actions = []
        for action in self.script.list_actions():
            self._sleep_until(action.at * self.seconds)
            self._show_elapsed(action.name)
            actions.append(gevent.spawn(action.act))
        self._sleep_until(LOAD_SHARE * self.seconds)
        self.load_generator.stop()
        self._show_elapsed("callers send no new jobs and requests")
        self._sleep_until(self.seconds)
        gevent.joinall(actions, timeout=FINISH_TIMEOUT_S)
        gevent.killall([observer, progress])

    def _wait_for_open_work(self) -> None:
        self._show_elapsed("waiting for open jobs and requests to end")
        self.load_generator.wait(timeout_s=FINISH_TIMEOUT_S)
        self.system.wait(self._is_finished, timeout_s=FINISH_TIMEOUT_S)
        for call in self.load_generator.jobs:
            if call.job:
                self.job_states[call.job] = self.balancer.call_json(
                    "GET", f"/v1/jobs/{call.job}"
                )

    def _is_finished(self) -> bool:
        entry = next(iter(self.system.entries.values()))
        state = entry.replica.state
        return not state.queue and not state.active

    def _observe_revisions(self) -> None:
        while True:
            now = systems.get_unix_time()
            for entry in list(self.system.entries.values()):
                core = entry.replica.state.core
                revision = core["configuration"]["revision"]
                self.revision_readings.append(
                    evidence.Reading(entry.incarnation, now, revision)
                )
            gevent.sleep(REVISION_POLL_INTERVAL_S)

    def _show_progress(self) -> None:
        while True:
            gevent.sleep(2.0)
            entry = next(iter(self.system.entries.values()))
            state = entry.replica.state
            self._show_elapsed(
                f"jobs {len(self.load_generator.jobs)} sent, "
                f"{len(state.queue)} waiting, {len(state.active)} active, "
                f"{len(state.finished)} ended; requests "
                f"{len(self.load_generator.requests)}"
            )

    def _sleep_until(self, target_s: float) -> None:
        elapsed_s = systems.get_unix_time() - self._started_at
        gevent.sleep(max(0.0, target_s - elapsed_s))

    def _show_elapsed(self, text: str) -> None:
        elapsed_s = systems.get_unix_time() - self._started_at
        self._show_line(f"{elapsed_s:6.1f} s  {text}")
