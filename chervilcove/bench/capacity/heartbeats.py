"""Traffic and processor time of the heartbeats between entries."""

import time
from typing import Any

from chervilcove.bench.capacity import slopes
from chervilcove.core import frames
from chervilcove.membership import conf
from chervilcove.membership import messages

ENTRY_COUNTS = (2, 6, 18)
REPEAT_COUNT = 2_000


def measure() -> dict[str, Any]:
    """Measure the bytes and the processor time per second of one entry."""
    heartbeat = messages.Heartbeat(
        name="entry-18",
        incarnation="entry-18-0123456789abcdef",
        started=1_796_000_000.0,
        state="live",
        data_centre="data-centre-4",
        region="region-1",
        offset=1_000_000,
        mark=999_000,
        digest="0123456789abcdef",
    )
    heartbeat_bytes = len(frames.encode(heartbeat))
    started = time.thread_time()
    for _ in range(REPEAT_COUNT):
        content = frames.encode(heartbeat)
        messages.read_heartbeat(frames.decode(content))
    codec_s = (time.thread_time() - started) / REPEAT_COUNT
    # In each interval an entry sends a heartbeat to each peer and receives one
    # from each.
    byte_points = [
        (count, 2 * (count - 1) * heartbeat_bytes / conf.HEARTBEAT_INTERVAL_S)
        for count in ENTRY_COUNTS
    ]
    time_points = [
        (count, (count - 1) * codec_s / conf.HEARTBEAT_INTERVAL_S * 1e3)
        for count in ENTRY_COUNTS
    ]
    return {
        "beat_bytes": heartbeat_bytes,
        "period_s": conf.HEARTBEAT_INTERVAL_S,
        "bytes_a_second": slopes.fit(
            "bytes/s per entry", byte_points
        )._asdict(),
        "codec_ms_a_second": slopes.fit(
            "ms/s per entry", time_points
        )._asdict(),
    }
