"""Bytes that heartbeats between entries take."""

import time
from typing import Any

import gevent

from chervilcove.bench.agreement import utils
from chervilcove.core import identifiers
from chervilcove.core import web
from chervilcove.membership import core as membership
from chervilcove.membership import messages
from chervilcove.standins import instances

SIZES = (8, 18)
SECONDS = 6.0
# Headers of Ethernet, IP and TCP for one segment.
SEGMENT_BYTES = 66
FRAMES_PER_EXCHANGE = 2


def measure() -> dict[str, Any]:
    """Return bytes per second and entry, by the number of entries."""
    return {str(count): _run(count) for count in SIZES}


def _run(count: int) -> dict[str, float]:
    listed = instances.InstanceList(lag_s=0.0)
    listed.start()
    members = [_start(listed, f"entry-{index}") for index in range(count)]
    names = [member.name for member, _ in members]
    utils.wait(
        lambda: all(
            len(member.list_live_entries()) == len(names)
            for member, _ in members
        ),
        timeout_s=30.0,
    )
    first = members[0][0]
    before = first.count_heartbeat_bytes()
    started = time.monotonic()
    gevent.sleep(SECONDS)
    elapsed_s = time.monotonic() - started
    payload = first.count_heartbeat_bytes() - before
    for member, interface in members:
        member.stop()
        interface.stop()
    listed.stop()
    # One exchange a second with each peer, each frame acknowledged apart.
    segments = 2 * FRAMES_PER_EXCHANGE * (count - 1)
    return {
        "payload_bytes_per_s": payload / elapsed_s,
        "with_headers_bytes_per_s": payload / elapsed_s
        + segments * SEGMENT_BYTES,
    }


def _start(
    listed: instances.InstanceList, name: str
) -> tuple[membership.Membership, web.WebServer]:
    host, port = listed.address.split(":")
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
    interface = web.WebServer(host="127.0.0.1")
    member.add_routes(interface)
    interface.start()
    member.start()
    listed.put(
        instances.Instance(
            name=name,
            role="entry",
            address=f"127.0.0.1:{interface.port}",
            data_centre="Heliopolis",
            state="live",
            incarnation=name,
        )
    )
    return member, interface
