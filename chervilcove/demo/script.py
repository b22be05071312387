"""Schedule faults, release notes and bursts of load during a run."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import gevent

from chervilcove.core import errors
from chervilcove.demo import callers
from chervilcove.demo import system as systems
from chervilcove.standins import evidence

NOTE_TIMEOUT_S = 15.0
RECLAIM_RUN_S = 1.0
FILL_GANG_COUNT = 30
FILL_RUN_S = 5.0
OPEN_REQUEST_COUNT = 10
OPEN_REQUEST_WORK_MS = 400
PROBE_SERVICE = "probe"


class ScheduledAction(NamedTuple):
    """Describe one action and when the run takes it.

    Attributes:
        at: Start, as a share of the run from 0 to 1.
        name: Description, shown as progress.
        act: Function that takes the action.
    """

    at: float
    name: str
    act: Callable[[], None]


class Script:
    """Build and take the scheduled actions of one run.

    Args:
        system: System that the actions change.
        balancer: Balancer that operators send release notes to.
        load_generator: Submits the jobs of the script and sends its probes.
    """

    def __init__(
        self,
        *,
        system: systems.System,
        balancer: systems.Balancer,
        load_generator: callers.LoadGenerator,
    ):
        self.outages: list[evidence.Outage] = []
        self.stops: list[evidence.PlannedStop] = []
        self.probes: list[evidence.Probe] = []
        self.kills: list[evidence.Kill] = []
        self.failed_notes: list[str] = []
        self._system = system
        self._balancer = balancer
        self._load_generator = load_generator
        self._fill_count = 0
        data_centres = system.deployment.list_added("data_centre")
        # The third data centre is Maadi in the deployment nile-limescale.
        self._data_centre = data_centres[2]["name"]

    def list_actions(self) -> list[ScheduledAction]:
        """Return the actions, ordered by time."""
        data_centre = self._data_centre
        return [
            ScheduledAction(
                0.05, "a burst of batch gangs fills the pool", self._fill_pool
            ),
            ScheduledAction(
                0.15,
                "a customer reclaims its guarantees",
                self._reclaim_guarantees,
            ),
            ScheduledAction(0.22, "a worker fails", self._kill_worker),
            ScheduledAction(
                0.30,
                f"note: {data_centre} out of service",
                self._take_data_centre_out,
            ),
            ScheduledAction(
                0.40, "entry-1 is killed", lambda: self._kill_entry("entry-1")
            ),
            ScheduledAction(
                0.45, "entry-7 replaces it", lambda: self._add_entry("entry-7")
            ),
            ScheduledAction(0.50, "a minion leaves", self._set_minion_leaving),
            ScheduledAction(
                0.55,
                f"note: {data_centre} back in service",
                self._bring_data_centre_back,
            ),
            ScheduledAction(0.62, "the pool is filled again", self._fill_pool),
            ScheduledAction(
                0.68,
                "the customer reclaims its guarantees again",
                self._reclaim_guarantees,
            ),
            ScheduledAction(0.72, "planned stop of entry-2", self._drain_entry),
            ScheduledAction(
                0.75, "entry-8 replaces it", lambda: self._add_entry("entry-8")
            ),
        ]

    def submit_note(self, note: Any) -> Any:
        """Submit a release note as an operator; return the outcome."""
        return self._balancer.call_json(
            "POST", "/v1/notes", note, timeout_s=NOTE_TIMEOUT_S
        )

    def _fill_pool(self) -> None:
        customer = self._system.deployment.list_added("customer")[-1]
        self._fill_count += 1
        for number in range(FILL_GANG_COUNT):
            spec = _build_spec(
                customer,
                f"fill-{self._fill_count}-{number}",
                accelerators=8,
                adjacent="worker",
                run_s=FILL_RUN_S,
            )
            self._load_generator.submit({**spec, "urgency": "batch"})

    def _reclaim_guarantees(self) -> None:
        deployment = self._system.deployment
        holder = deployment.list_added("customer")[
            callers.GUARANTEE_HOLDER_INDEX
        ]
        for guarantee in holder["guarantees"]:
            for number in range(guarantee["count"]):
                spec = _build_spec(
                    holder,
                    f"reclaim-{self._fill_count}-{guarantee['name']}-{number}",
                    accelerators=guarantee["accelerators"],
                    adjacent=guarantee["adjacent"],
                    run_s=RECLAIM_RUN_S,
                )
                self._load_generator.submit(spec, reclaims=True)

    def _take_data_centre_out(self) -> None:
        service = self._system.deployment.list_added("service")[0]
        # Minions in a data centre that is out of service get no requests, so
        # the probe needs a minion in another one.
        minion = next(
            candidate
            for candidate in reversed(service["minions"])
            if candidate["data_centre"] != self._data_centre
        )
        address = self._system.minions[minion["name"]].address
        added = {
            "type": "service",
            "name": PROBE_SERVICE,
            "minions": [{**minion, "address": address}],
        }
        self._submit_data_centre_note(False, {"added": [added]})
        self._send_probes(should_run=True)

    def _bring_data_centre_back(self) -> None:
        withdrawn = {"type": "service", "name": PROBE_SERVICE}
        self._submit_data_centre_note(True, {"withdrawn": [withdrawn]})
        self._send_probes(should_run=False)

    def _submit_data_centre_note(
        self, in_service: bool, extra: dict[str, Any]
    ) -> None:
        configuration = self._balancer.call_json("GET", "/v1/configuration")
        if errors.is_refusal(configuration):
            self.failed_notes.append(configuration.reason)
            return
        changed = {
            "type": "data_centre",
            "name": self._data_centre,
            "in_service": in_service,
        }
        sent_at = systems.get_unix_time()
        outcome = self.submit_note(
            {
                "id": f"{self._data_centre}-{'back' if in_service else 'out'}",
                "author": "operator",
                "base_revision": configuration["revision"],
                "added": [],
                "changed": [changed],
                "withdrawn": [],
                **extra,
            }
        )
        if errors.is_refusal(outcome):
            self.failed_notes.append(outcome.reason)
        elif in_service:
            self.outages[-1] = self.outages[-1]._replace(back_at=sent_at)
        else:
            accepted_at = systems.get_unix_time()
            self.outages.append(evidence.Outage(self._data_centre, accepted_at))

    def _send_probes(self, *, should_run: bool) -> None:
        accepted_at = systems.get_unix_time()
        gevent.sleep(evidence.IN_FORCE_LIMIT_S)
        for name in list(self._system.entries):
            sent_at = systems.get_unix_time()
            key = self._load_generator.send(
                body={"work_ms": 1}, entry=name, service=PROBE_SERVICE
            )
            self.probes.append(
                evidence.Probe(
                    entry=name,
                    accepted_at=accepted_at,
                    sent_at=sent_at,
                    key=key,
                    should_run=should_run,
                )
            )

    def _kill_worker(self) -> None:
        name = next(iter(self._system.workers))
        self.kills.append(self._system.kill_worker(name))

    def _kill_entry(self, name: str) -> None:
        self._system.kill_entry(name)

    def _add_entry(self, name: str) -> None:
        self._system.add_entry(name)

    def _set_minion_leaving(self) -> None:
        self._system.set_minion_leaving(next(iter(self._system.minions)))

    def _drain_entry(self) -> None:
        for _ in range(OPEN_REQUEST_COUNT):
            self._load_generator.send(
                body={"work_ms": OPEN_REQUEST_WORK_MS}, entry="entry-2"
            )
        # A quarter of their work time: the requests are open at the drain.
        gevent.sleep(OPEN_REQUEST_WORK_MS / 4000.0)
        asked_at = systems.get_unix_time()
        self._system.drain_entry("entry-2")
        self.stops.append(
            evidence.PlannedStop("entry-2", asked_at, systems.get_unix_time())
        )


def _build_spec(
    customer: dict[str, Any],
    key: str,
    *,
    accelerators: int,
    adjacent: str,
    run_s: float,
) -> dict[str, Any]:
    tasks = max(1, accelerators // 8)
    return {
        "key": key,
        "customer": customer["name"],
        "team": customer["teams"][0]["name"],
        "kind": key.split("-")[0],
        "urgency": "normal",
        "tasks": tasks,
        "accelerators": accelerators // tasks,
        "processors": accelerators // tasks,
        "memory_gb": accelerators // tasks,
        "adjacent": adjacent,
        "declared_run_s": run_s,
        "idempotent": True,
        "checkpointable": True,
        "payload": {"run_s": run_s, "result": key},
    }
