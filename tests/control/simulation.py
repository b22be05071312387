"""Simulated time for gevent: timers fire in a drawn world, not in real time.

Each entry has its own processor. While an entry is paused, nothing of it runs,
and what it would have received waits. A pause may begin at each reading of the
clock, so also between a check and the call that it permits.
"""

import heapq
import random
import time

import gevent

PAUSES_S = [0.1, 0.3, 1.0, 2.0]


class Event:
    """A callback at a time; of the world if it has no entry."""

    def __init__(self, at, number, entry, callback, *, is_timer=False):
        self.at = at
        self.number = number
        self.entry = entry
        self.callback = callback
        self.is_timer = is_timer

    def __lt__(self, other):
        return (self.at, self.number) < (other.at, other.number)


class Timer:
    """Replaces a timer of the event loop."""

    def __init__(self, simulation, after_s):
        self._simulation = simulation
        self._after_s = after_s
        self._event = None

    @property
    def active(self):
        return self._event is not None

    @property
    def pending(self):
        return False

    def start(self, callback, *args, update=None):
        def fire():
            if self._event is event:  # it may have been stopped since
                self._event = None
                callback(*args)

        self.stop()
        event = self._simulation.schedule(
            self._simulation.read_boot() + max(0.0, self._after_s),
            fire,
            entry=self._simulation.get_entry(),
            is_timer=True,
        )
        self._event = event

    def stop(self):
        if self._event is not None:
            self._event.callback = None
            self._event = None

    def close(self):
        self.stop()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()


class Loop:
    """Event loop of gevent with simulated timers."""

    def __init__(self, loop, simulation):
        self._loop = loop
        self._simulation = simulation
        self.callback_count = 0

    def timer(self, after, repeat=0.0, ref=True, priority=None):
        return Timer(self._simulation, after)

    def run_callback(self, function, *args):
        self.callback_count += 1
        return self._loop.run_callback(function, *args)

    def __getattr__(self, name):
        return getattr(self._loop, name)


class Simulation:
    """Run greenlets of several entries in simulated time.

    Attributes:
        now: Time of the world; a paused entry is ahead of it.
        pause_odds: Odds that an entry is paused at a reading of the clock.
        is_shuffling: Whether an entry handles in any order what came during a
            pause, and not in the order in which it came.
    """

    def __init__(self, seed, monkeypatch):
        self.random = random.Random(seed)
        self.now = 1_000.0
        self.pause_odds = 0.0
        self.is_shuffling = True
        self.event_count = 0
        self._frozen_until = {}
        self._suspended_s = {}
        self._queue = []
        self._number = 0
        self._hub = gevent.get_hub()
        self._loop = Loop(self._hub.loop, self)
        monkeypatch.setattr(self._hub, "loop", self._loop)
        monkeypatch.setattr(time, "monotonic", self.read_monotonic)
        monkeypatch.setattr(time, "time", lambda: 1.7e9 + self.now)
        monkeypatch.setattr(time, "clock_gettime", lambda _: self.read_boot())

    def spawn(self, entry, function, *arguments):
        """Run `function` as part of `entry`, and all that it spawns."""
        greenlet = gevent.Greenlet(function, *arguments)
        greenlet.spawn_tree_locals = {"entry": entry}
        greenlet.start()
        return greenlet

    def get_entry(self):
        current = gevent.getcurrent()
        return getattr(current, "spawn_tree_locals", {}).get("entry")

    def read_boot(self):
        """Return the time of the present entry, suspensions included."""
        return max(self.now, self._frozen_until.get(self.get_entry(), 0.0))

    def read_monotonic(self):
        """Return the same without suspensions; a pause may begin here."""
        entry = self.get_entry()
        if entry is not None and self.random.random() < self.pause_odds:
            self.freeze(entry, self.random.choice(PAUSES_S))
        return self.read_boot() - self._suspended_s.get(entry, 0.0)

    def freeze(self, entry, length_s, *, is_suspended=False):
        """Give the entry no processor for some time."""
        begins = max(self.now, self._frozen_until.get(entry, 0.0))
        self._frozen_until[entry] = begins + length_s
        if is_suspended:
            before = self._suspended_s.get(entry, 0.0)
            self._suspended_s[entry] = before + length_s
            for event in self._queue:
                if event.is_timer and event.entry == entry:
                    event.at += length_s
            heapq.heapify(self._queue)

    def schedule(self, at, callback, *, entry=None, is_timer=False):
        self._number += 1
        event = Event(at, self._number, entry, callback, is_timer=is_timer)
        heapq.heappush(self._queue, event)
        return event

    def run_until(self, end):
        self.settle()
        while self._queue and self._queue[0].at <= end:
            event = heapq.heappop(self._queue)
            if event.callback is None:
                continue
            self.now = max(self.now, event.at)
            frozen_until = self._frozen_until.get(event.entry, 0.0)
            if frozen_until > self.now:
                self._number += 1
                event.at = frozen_until
                event.number = self._number
                if self.is_shuffling:
                    event.number *= self.random.random()
                heapq.heappush(self._queue, event)
                continue
            if event.entry is None:
                event.callback()
            else:
                self._loop.run_callback(event.callback)
            self.event_count += 1
            self.settle()
        self.now = max(self.now, end)

    def settle(self):
        """Let all greenlets run until they wait."""
        while True:
            before = self._loop.callback_count
            gevent.sleep(0)
            if self._loop.callback_count == before + 1:
                return
