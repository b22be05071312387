"""Cost of renewing leases: one call a worker and period."""

import time
from typing import Any

import msgspec

from chervilcove.bench.capacity import models
from chervilcove.bench.capacity import slopes
from chervilcove.gangs import leases
from chervilcove.gangs import worker_client
from chervilcove.standins import worker as standin

GANGS = (1, 3, 9)
REPEATS = 200


def measure() -> dict[str, Any]:
    """Return processor time and answer bytes of a renewal, by tasks.

    The time holds both ends of the call, the entry's and the stand-in
    worker's, and so bounds the entry's from above.
    """
    timing = leases.Timing()
    times, sizes = [], []
    for gangs in GANGS:
        seconds, size = _measure_renewals(timing, gangs)
        tasks = gangs * models.TASKS_OF_GANG
        times.append((tasks, seconds * 1e3))
        sizes.append((tasks, size))
    return {
        "renew_s": timing.renew_s,
        "run_ttl_s": timing.run_ttl_s,
        "time_both_ends": slopes.fit("ms per task", times)._asdict(),
        "answer_bytes": slopes.fit("bytes per task", sizes)._asdict(),
    }


def _measure_renewals(timing: leases.Timing, gangs: int) -> tuple[float, float]:
    one = standin.Worker(name="worker-0000", speed=0.001)
    one.start()
    calls = worker_client.WorkerClient(timing=timing)
    spec = models.build_note(models.Size(1, 0, 1))["added"]
    target = next(item for item in spec if item["type"] == "worker")
    target = {**target, "address": one.address}
    held = tuple((f"job-{number:08d}", 1) for number in range(gangs))
    sent = 0
    begun = time.thread_time()
    for number in range(REPEATS):
        answer = calls.renew(
            target,
            held,
            until=float(number),
            since=0,
            incarnation="",
            wait_s=0.0,
            with_list=number == 0,
        )
        sent += len(msgspec.json.encode(answer))
    spent = time.thread_time() - begun
    one.stop()
    return spent / REPEATS, sent / REPEATS
