"""Single faults: what the driver does to entries, links, store and workers."""

import contextlib
import itertools
import signal
import subprocess
import sys
import time

import gevent

from tests.processes import layout
from tests.processes import links
from tests.processes import record
from tests.processes import serving

RESTART_S = 0.5  # after an end that was not ordered


class Injector:
    """Inject faults and record when each began and ended.

    Args:
        place: The layout.
        entries: The entries.
        recorder: Where faults are written to.
        folder: Run folder, in which the store writes claims.
    """

    def __init__(self, *, place, entries, recorder, folder):
        self.place = place
        self.entries = entries
        self._record = recorder
        self._claims = record.Tail(path=f"{folder}/store.jsonl")
        self._numbers = itertools.count(1)
        self._busy = []
        self._held_down = set()
        self.claim = None
        self.store = self._connect("store")
        self.workers = self._connect("workers")

    def _connect(self, program):
        host = self.place.get_control_host(program)
        return serving.Remote(host=host, port=layout.CONTROL_PORT)

    # What is so now

    def find_claim(self):
        """Return the latest claim, None before the first one."""
        for line in self._claims.read():
            if line["kind"] == "claim":
                self.claim = line
        return self.claim

    def find_owner(self):
        """Return the number of the entry that claimed last, or None."""
        claim = self.find_claim()
        if claim is None or claim["resigned"]:
            return None
        return int(claim["entry"].rpartition("-")[2])

    def wait_for_claim(self, epoch, *, seconds):
        """Return the owner in an epoch above `epoch`, or None."""
        with gevent.Timeout(seconds, False):
            while True:
                owner = self.find_owner()
                if owner is not None and self.claim["epoch"] > epoch:
                    return owner
                gevent.sleep(0.02)
        return None

    # Faults with a duration

    @contextlib.contextmanager
    def _during(self, name, target, *, layer=None, **fields):
        """Record a fault; it lasts until its last late call was executed."""
        fault = f"{name}-{next(self._numbers)}"
        named = {"name": fault, "target": target, **fields}
        if layer:
            named["layer"] = layer
        self._record.write("fault", **named, phase="begin")
        try:
            yield fault
        finally:
            at = time.monotonic()
            if layer and layer.get("late"):
                at += layer.get("late_s", links.Layer().late_s)[1]
            self._record.write("fault", **named, phase="end", at=at)

    @contextlib.contextmanager
    def _applied(self, remote, keys, fault, layer):
        remote.call("set", keys=keys, fault=fault, layer=layer)
        try:
            yield
        finally:
            remote.call("set", keys=keys, fault=fault, layer=None)

    @contextlib.contextmanager
    def _without_heartbeats(self, workers, fault):
        self.workers.call("cut", numbers=workers, fault=fault, is_cut=True)
        try:
            yield
        finally:
            self.workers.call("cut", numbers=[], fault=fault, is_cut=False)

    @contextlib.contextmanager
    def change_links(self, name, keys, *, remote=None, **layer):
        """Add a layer to links, to those of workers by default."""
        remote = remote or self.workers
        target = "store" if remote is self.store else _name_workers(keys)
        with (
            self._during(name, target, layer=layer) as fault,
            self._applied(remote, keys, fault, layer),
        ):
            yield fault

    def wait_for_late(self, keys, fault, *, seconds):
        """Return whether a fault made a call late within a time."""
        with gevent.Timeout(seconds, False):
            while not self.workers.call("late", keys=keys, fault=fault):
                gevent.sleep(0.02)
            return True
        return False

    def cut_zone(self, zone, seconds, *, one_way=False):
        """Cut a zone off from the other zones and the store.

        If it is cut one way, calls are executed, and answers don't pass.
        """
        place = self.place
        layer = {"lost": 1.0} if one_way else {"silent": True}
        inside, near = place.list_entries(zone), place.list_workers(zone)
        outside = [each for each in place.list_entries() if each not in inside]
        far = [each for each in place.list_workers() if each not in near]
        keys = self.list_links(inside, far) + self.list_links(outside, near)
        store_keys = [str(entry) for entry in inside]
        with (
            self._during("zone-cut", zone, layer=layer) as fault,
            self._applied(self.workers, keys, fault, layer),
            self._without_heartbeats(near, fault),
            self._applied(self.store, store_keys, fault, layer),
        ):
            gevent.sleep(seconds)

    def cut_worker(self, number, seconds):
        """Cut a worker off from all entries and the store."""
        keys = self.list_links(self.place.list_entries(), [number])
        with (
            self._during("worker-cut", f"i-{number:03d}") as fault,
            self._applied(self.workers, keys, fault, {"silent": True}),
            self._without_heartbeats([number], fault),
        ):
            gevent.sleep(seconds)

    def disturb_store(self, seconds, *, entries=None, **layer):
        """Add a layer to the links between entries and store."""
        numbers = self.place.list_entries() if entries is None else entries
        keys = [str(entry) for entry in numbers]
        with self.change_links("store-link", keys, remote=self.store, **layer):
            gevent.sleep(seconds)

    def stop_store(self, seconds):
        """Let the store answer nobody, neither entries nor workers."""
        with self._during("store-down", "store"):
            self.store.call("down", is_down=True)
            try:
                self.disturb_store(seconds, silent=True)
            finally:
                self.store.call("down", is_down=False)

    def slow_store(self, seconds, factor):
        """Make the store slower by a factor."""
        with self._during("store-slow", "store", factor=factor):
            self.store.call("slow", factor=factor)
            try:
                gevent.sleep(seconds)
            finally:
                self.store.call("slow", factor=1.0)

    def suspend(self, entry, seconds):
        """Suspend an entry, and let it go on after a time."""
        name = self.place.get_entry_name(entry)
        with self._during("suspend", name):
            self.entries.send(entry, signal.SIGSTOP)
            try:
                gevent.sleep(seconds)
            finally:
                self.entries.send(entry, signal.SIGCONT)

    def crash_workers(self, numbers, seconds, *, new_ids=False):
        """Crash workers, and start them again after a time."""
        target = " ".join(f"i-{number:03d}" for number in numbers)
        ids = None
        if new_ids:
            life = next(self._numbers)
            ids = {str(each): f"i-{each:03d}x{life}" for each in numbers}
        with self._during("worker-crash", target):
            self.workers.call("crash", numbers=numbers)
            try:
                gevent.sleep(seconds)
            finally:
                self.workers.call("boot", numbers=numbers, ids=ids)

    def use_processors(self, count, seconds):
        """Run some processes that only use processor time."""
        with self._during("busy", "all"):
            words = [sys.executable, "-c", "while True: pass"]
            started = [subprocess.Popen(words) for _ in range(count)]
            self._busy += started
            try:
                gevent.sleep(seconds)
            finally:
                self._end_busy(started)

    # Faults of a moment

    def _mark(self, name, target, **fields):
        with self._during(name, target, **fields):
            pass

    def drop_history(self, kept=2):
        """Delete nearly all records that have a newer one."""
        self._mark("store-history", "store")
        self.store.call("drop", kept=kept)

    def reset_feeds(self):
        """Reset all connections to the store."""
        self._mark("store-reset", "store")
        entries = self.place.list_entries()
        self.store.call("reset", keys=[str(entry) for entry in entries])

    def send(self, entry, number, *, away_s=None):
        """Send a signal; the entry is started again after it ended."""
        name = signal.Signals(number).name
        self._mark(name, self.place.get_entry_name(entry))
        if away_s is not None:
            self._held_down.add(entry)
            gevent.spawn_later(away_s, self._held_down.discard, entry)
        self.entries.send(entry, number)

    def drain(self, numbers, seconds):
        """Let workers drain and leave; start them anew later."""
        self._mark("drain", " ".join(f"i-{each:03d}" for each in numbers))
        self.workers.call("drain", numbers=numbers, seconds=seconds)

    def list_links(self, entries, workers):
        """Return the keys of links between entries and workers."""
        return [f"{entry}:{worker}" for entry in entries for worker in workers]

    def keep_entries_up(self):
        """Start entries again after they ended, until killed."""
        waiting = set()
        while True:
            gevent.sleep(0.05)
            waiting.update(self.entries.collect())
            for entry in list(waiting - self._held_down):
                waiting.discard(entry)
                gevent.spawn_later(RESTART_S, self.entries.start, entry)

    def stop(self):
        """End what was started here."""
        self._end_busy(self._busy)

    def _end_busy(self, processes):
        for process in list(processes):
            process.kill()
            process.wait()
            if process in self._busy:
                self._busy.remove(process)


def _name_workers(keys):
    workers = sorted({int(key.partition(":")[2]) for key in keys})
    if len(workers) > 20:
        return "workers"
    return " ".join(f"i-{number:03d}" for number in workers)
