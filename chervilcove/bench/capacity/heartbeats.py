"""Cost of heartbeats between entries."""

import time
from typing import Any

from chervilcove.bench.capacity import slopes
from chervilcove.core import frames
from chervilcove.membership import conf
from chervilcove.membership import messages

ENTRIES = (2, 6, 18)
REPEATS = 2_000


def measure() -> dict[str, Any]:
    """Return bytes and processor time a second for one entry."""
    beat = messages.Heartbeat(
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
    size = len(frames.encode(beat))
    begun = time.thread_time()
    for _ in range(REPEATS):
        content = frames.encode(beat)
        messages.read_heartbeat(frames.decode(content))
    seconds = (time.thread_time() - begun) / REPEATS
    # Each period an entry sends one beat to each peer and hears one of each.
    points = [
        (count, 2 * (count - 1) * size / conf.HEARTBEAT_INTERVAL_S)
        for count in ENTRIES
    ]
    times = [
        (count, (count - 1) * seconds / conf.HEARTBEAT_INTERVAL_S * 1e3)
        for count in ENTRIES
    ]
    return {
        "beat_bytes": size,
        "period_s": conf.HEARTBEAT_INTERVAL_S,
        "bytes_a_second": slopes.fit("bytes/s per entry", points)._asdict(),
        "codec_ms_a_second": slopes.fit("ms/s per entry", times)._asdict(),
    }
