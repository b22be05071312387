"""Cost of renewing leases, with one call per worker and interval."""

import time
from typing import Any

import msgspec

from chervilcove.bench.capacity import models
from chervilcove.bench.capacity import slopes
from chervilcove.gangs import leases
from chervilcove.gangs import worker_client
from chervilcove.standins import worker as standin

GANG_COUNTS = (1, 3, 9)
REPEAT_COUNT = 200


def measure() -> dict[str, Any]:
    """Measure the processor time and answer size of a renewal, by tasks.

    The time includes both ends of the call, the entry and the stand-in worker,
    and is therefore an upper bound of the entry's time.
    """
    timing = leases.Timing()
    time_points, size_points = [], []
    for gang_count in GANG_COUNTS:
        renewal_s, answer_bytes = _measure_renewals(timing, gang_count)
        tasks = gang_count * models.TASKS_PER_GANG
        time_points.append((tasks, renewal_s * 1e3))
        size_points.append((tasks, answer_bytes))
    return {
        "renew_s": timing.renew_s,
        "run_ttl_s": timing.run_ttl_s,
        "time_both_ends": slopes.fit("ms per task", time_points)._asdict(),
        "answer_bytes": slopes.fit("bytes per task", size_points)._asdict(),
    }


def _measure_renewals(
    timing: leases.Timing, gang_count: int
) -> tuple[float, float]:
    """Return the mean seconds and the mean answer bytes of a renewal."""
    worker = standin.Worker(name="worker-0000", speed=0.001)
    worker.start()
    client = worker_client.WorkerClient(timing=timing)
    added = models.build_note(models.Size(1, 0, 1))["added"]
    target = next(item for item in added if item["type"] == "worker")
    target = {**target, "address": worker.address}
    runs = tuple((f"job-{number:08d}", 1) for number in range(gang_count))
    sent_bytes = 0
    started = time.thread_time()
    for number in range(REPEAT_COUNT):
        answer = client.renew(
            target,
            runs,
            until=float(number),
            since=0,
            incarnation="",
            wait_s=0.0,
            with_list=number == 0,
        )
        sent_bytes += len(msgspec.json.encode(answer))
    elapsed_s = time.thread_time() - started
    worker.stop()
    return elapsed_s / REPEAT_COUNT, sent_bytes / REPEAT_COUNT
