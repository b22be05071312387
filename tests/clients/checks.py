"""What must hold for a process that meets a crowd outside the limits.

Bounds come from the stated target: 90 MB of resident memory at 60 connections,
where the smallest machines have 160 MB and 1,638 descriptors.
"""

import contextlib

from tests import waits
from tests.clients import crowd as crowds

MEMORY_MB = 90.0
# Descriptors beside those of the clients: store, log, other entries.
OTHER_DESCRIPTORS = 16
# A crowd is over when all clients have sent all that they send or were closed.
CROWD_S = 6.0
LOG_KB = 256.0
CLOSE_POLLS = 1_250
# How often the clients of a crowd have come back, on average.
ROUNDS = 10
POLLS = 3_000


@contextlib.contextmanager
def run(entry):
    """Wait until an entry is ready, and stop it afterwards."""
    try:
        entry.wait_ready()
        yield entry
    finally:
        entry.stop()


@contextlib.contextmanager
def meet(entry, crowd):
    """Let a crowd meet an entry; check all bounds during and after it."""
    process = entry.process
    base = process.count_descriptors()
    crowd.start()
    try:
        crowd.wait(limit_s=CROWD_S)
        check_bounds(process, base + crowd.count + OTHER_DESCRIPTORS)
        assert entry.answers() == entry.EXPECTED
        yield base
    finally:
        crowd.stop()
    check_recovery(entry, base)


@contextlib.contextmanager
def gather(entry):
    """Let a crowd of all ways meet all ports of an entry, again and again."""
    crowd = crowds.Crowd(
        members=crowds.mix(entry.ports.values(), crowds.BEHAVIOURS.values()),
        comes_back=True,
    )
    crowd.start()
    try:
        yield crowd
    finally:
        crowd.stop()


def wait_for_rounds(crowd, process, descriptors):
    """Wait until a crowd has met the ports; check all bounds meanwhile."""
    goal = crowd.accepted + ROUNDS * crowd.count

    def has_met():
        check_bounds(process, descriptors)
        return crowd.accepted >= goal

    waits.wait_until(
        has_met,
        max_polls=POLLS,
        describe=lambda: f"{crowd.accepted} connections, {goal} expected",
    )


def check_bounds(process, descriptors):
    """Check that a process lives within its memory and some descriptors."""
    assert process.is_alive()
    assert process.count_descriptors() <= descriptors
    assert process.read_peak_mb() < MEMORY_MB


def check_recovery(entry, base):
    """Check that an entry serves after a crowd, and keeps nothing of it."""
    process = entry.process
    assert entry.answers() == entry.EXPECTED
    waits.wait_until(
        lambda: process.count_descriptors() <= base + OTHER_DESCRIPTORS,
        max_polls=CLOSE_POLLS,
        describe=lambda: "connections are kept after their clients have left",
    )
    assert process.is_alive()
    assert process.read_peak_mb() < MEMORY_MB
    assert process.read_log_kb() < LOG_KB
