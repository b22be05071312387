"""Fake replica, and a harness that starts gangs on stand-in workers."""

import types

import gevent

from chervilcove.core import metrics
from chervilcove.gangs import ending
from chervilcove.gangs import leases
from chervilcove.gangs import starting
from chervilcove.gangs import worker_client
from chervilcove.scheduling import core as scheduling
from chervilcove.standins import worker as worker_standins
from tests import proxy

TIMING = leases.create_timing(run_ttl_s=4.0, renew_s=0.8)._replace(
    start_ttl_s=0.5, prepare_patience_s=3.0
)


class FakeReplica:
    """Hold one job; changes in `pending` apply when the heads are read."""

    def __init__(self, *, job, configured):
        self.incarnation = "entry-1"
        self.usable = True
        self.pending = []
        self.refusal = None
        self.proposed = []
        self.state = types.SimpleNamespace(
            core={
                "jobs": {job["spec"]["id"]: job},
                "configuration": {
                    "workers": configured,
                    "data_centres": {"Giza": {"in_service": True}},
                },
            },
            pool=types.SimpleNamespace(is_usable=lambda worker: self.usable),
        )
        self._job = job

    def take_data_centre_out(self):
        """Append to the log that operators took the data centre out."""

        def apply():
            self.usable = False
            centres = self.state.core["configuration"]["data_centres"]
            centres["Giza"]["in_service"] = False

        self.pending.append(apply)

    def mark_worker_unhealthy(self):
        """Append to the log that a worker is unhealthy."""
        self.pending.append(lambda: setattr(self, "usable", False))

    def catch_up_both_streams(self, *, timeout_s):
        if self.refusal is not None:
            return self.refusal
        for change in self.pending:
            change()
        return None

    def propose(self, items, *, timeout_s):
        for item in items:
            self.proposed.append(item)
            if item.kind == "starting":
                self._job["started"] = True
            elif item.kind == "started":
                self._job["state"] = "running"
            elif item.kind == "ended":
                self._job["state"] = "queued"
        return [item.kind for item in items]

    def list_proposed(self):
        return [item.kind for item in self.proposed]


class StartHarness:
    """Run a starter against stand-in workers behind proxies."""

    def __init__(self, *, count=2, timing=TIMING):
        self.workers = [
            worker_standins.Worker(name=f"worker-{i}") for i in range(count)
        ]
        for one in self.workers:
            one.start()
        self.proxies = {
            one.name: proxy.Proxy(one.address) for one in self.workers
        }
        for one in self.proxies.values():
            one.start()
        self.configured = {
            one.name: {
                "name": one.name,
                "rack": "giza-1",
                "data_centre": "Giza",
                "address": self.proxies[one.name].address,
            }
            for one in self.workers
        }
        self.job = create_job([one.name for one in self.workers])
        self.replica = FakeReplica(job=self.job, configured=self.configured)
        self.client = worker_client.WorkerClient(timing=timing)
        parts = {
            "replica": self.replica,
            "client": self.client,
            "timing": timing,
            "metrics": metrics.Metrics(),
        }
        self.ender = ending.AttemptEnder(**parts)
        self.starter = starting.AttemptStarter(ender=self.ender, **parts)

    def stop(self):
        for one in (*self.workers, *self.proxies.values()):
            one.stop()

    def hold_places(self, *, ttl_s):
        """Reserve the first worker's accelerators for another gang."""
        other = create_job(["worker-0"], name="job-other", fence=1)
        timing = TIMING._replace(start_ttl_s=ttl_s)
        client = worker_client.WorkerClient(timing=timing)
        answer = client.prepare(self.configured["worker-0"], other, "token")
        assert answer["prepared"]

    def list_started_tasks(self):
        return [one for each in self.workers for one in each.observations]

    @staticmethod
    def wait(condition, *, timeout_s=10.0):
        with gevent.Timeout(timeout_s):
            while not condition():
                gevent.sleep(0.01)


def create_job(names, *, name="job-1", attempt=1, fence=10):
    """Return a placed job with one task of 8 accelerators on each worker."""
    return {
        "spec": {
            "id": name,
            "idempotent": True,
            "checkpointable": True,
            "processors": 1.0,
            "memory_gb": 1.0,
            "payload": {"run_s": 60.0},
        },
        "state": "placed",
        "attempt": attempt,
        "fence": fence,
        "places": tuple(scheduling.TaskPlace(one, 0xFF) for one in names),
        "started": False,
        "finished_at": 0.0,
        "kept_s": 0.0,
        "reason": "",
    }
