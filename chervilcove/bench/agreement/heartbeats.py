"""Network traffic of the heartbeats between entries."""

import time
from typing import Any

import gevent

from chervilcove.bench.agreement import utils
from chervilcove.core import identifiers
from chervilcove.core import web
from chervilcove.membership import core as membership
from chervilcove.membership import messages
from chervilcove.standins import instances

ENTRY_COUNTS = (8, 18)
DURATION_S = 6.0
# Ethernet, IP and TCP headers of one segment.
SEGMENT_HEADER_BYTES = 66
FRAMES_PER_EXCHANGE = 2


def measure() -> dict[str, Any]:
    """Measure the bytes per second of one entry, by the number of entries."""
    return {str(count): _measure_entries(count) for count in ENTRY_COUNTS}


def _measure_entries(count: int) -> dict[str, float]:
    instance_list = instances.InstanceList(lag_s=0.0)
    instance_list.start()
    members = [
        _start_member(instance_list, f"entry-{index}") for index in range(count)
    ]
    names = [member.name for member, _ in members]
    utils.wait_until(
        lambda: all(
            len(member.list_live_entries()) == len(names)
            for member, _ in members
        ),
        timeout_s=30.0,
    )
    first = members[0][0]
    initial_bytes = first.count_heartbeat_bytes()
    started = time.monotonic()
    gevent.sleep(DURATION_S)
    elapsed_s = time.monotonic() - started
    payload_bytes = first.count_heartbeat_bytes() - initial_bytes
    for member, web_server in members:
        member.stop()
        web_server.stop()
    instance_list.stop()
    # One exchange a second with each peer; TCP acknowledges each frame in a
    # segment of its own.
    segments = 2 * FRAMES_PER_EXCHANGE * (count - 1)
    return {
        "payload_bytes_per_s": payload_bytes / elapsed_s,
        "with_headers_bytes_per_s": payload_bytes / elapsed_s
        + segments * SEGMENT_HEADER_BYTES,
    }


def _start_member(
    instance_list: instances.InstanceList, name: str
) -> tuple[membership.Membership, web.WebServer]:
    host, port = instance_list.address.split(":")
    member = membership.Membership(
        name=name,
        host=host,
        port=int(port),
        incarnation=identifiers.create_id(name),
        data_centre="Heliopolis",
        region="cairo",
        get_replica_progress=lambda: messages.ReplicaProgress(
            10**7, 10**7, "0" * 32
        ),
    )
    web_server = web.WebServer(host="127.0.0.1")
    member.add_routes(web_server)
    web_server.start()
    member.start()
    instance_list.put(
        instances.Instance(
            name=name,
            role="entry",
            address=f"127.0.0.1:{web_server.port}",
            data_centre="Heliopolis",
            state="live",
            incarnation=name,
        )
    )
    return member, web_server
