"""Plans of faults: which faults come, in which series, drawn from a seed.

The plan is seeded; what it hits is drawn from what happens, such as the claim
that was stored last. So two runs of one seed aren't alike.
"""

import functools
import signal

import gevent

PLANS = ("none", "handover", "restarts", "mixed")


class Plan:
    """Draw and play faults until it is killed.

    Args:
        injector: Injects single faults.
        rng: Source of all draws.
        name: One of `PLANS`.
    """

    def __init__(self, *, injector, rng, name):
        self._injector = injector
        self._place = injector.place
        self._rng = rng
        self._series = {
            "none": [],
            "handover": [self._cut_and_hand_over],
            "restarts": [self._restart_series, self._lose_power],
            "mixed": [
                self._cut_and_hand_over,
                self._restart_series,
                self._lose_power,
                self._kill_successor,
                self._disturb_store,
                self._disturb_orders,
                self._crash_zone,
                self._touch_entries,
            ],
        }[name]
        self._beside = name == "mixed"

    def run(self):
        """Play series one after the other, in a mixed plan two at a time."""
        if not self._series:
            return
        lanes = [gevent.spawn(self._play)]
        if self._beside:
            lanes.append(gevent.spawn(self._play))
        try:
            gevent.joinall(lanes)
        finally:
            gevent.killall(lanes)

    def _play(self):
        while True:
            gevent.sleep(self._rng.uniform(3.0, 6.0))
            series = self._rng.choice(self._series)
            series()

    def _together(self, *acts):
        """Run functions side by side; kill them if this is killed."""
        greenlets = [gevent.spawn(act) for act in acts]
        try:
            gevent.joinall(greenlets)
        finally:
            gevent.killall(greenlets)

    def _cut_and_hand_over(self):
        """Cut off a zone with its owner, and replace owners meanwhile."""
        owner = self._injector.find_owner()
        if owner is None:
            return
        zone = self._place.get_zone(owner)
        cut_s = self._rng.uniform(9.0, 13.0)
        one_way = self._rng.random() < 0.2
        acts = [
            lambda: self._injector.cut_zone(zone, cut_s, one_way=one_way),
            self._replace_owners,
        ]
        if self._rng.random() < 0.3:
            acts.append(self._disturb_store)
        self._together(*acts)

    def _replace_owners(self):
        injector = self._injector
        for _ in range(self._rng.choice((1, 1, 2, 3))):
            epoch = injector.find_claim()["epoch"]
            owner = injector.wait_for_claim(epoch, seconds=5.0)
            if owner is None:
                return
            gevent.sleep(self._rng.choice((0.05, 0.2, 0.4, 0.8)))
            self._end_owner(owner)

    def _end_owner(self, owner):
        act = self._rng.random()
        if act < 0.7:
            self._injector.send(owner, signal.SIGTERM)
        elif act < 0.85:
            self._injector.send(owner, signal.SIGKILL)
        else:
            seconds = self._rng.uniform(1.0, 5.0)
            gevent.spawn(self._injector.suspend, owner, seconds)

    def _kill_successor(self):
        """Kill or suspend the owner, and its successor as it takes over."""
        injector = self._injector
        for _ in range(self._rng.choice((1, 2, 2, 3))):
            owner = injector.find_owner()
            if owner is None:
                return
            epoch = injector.claim["epoch"]
            self._end_owner(owner)
            injector.wait_for_claim(epoch, seconds=6.0)
            gevent.sleep(self._rng.choice((0.0, 0.02, 0.1, 0.3, 1.0)))
        if self._rng.random() < 0.4:
            injector.drop_history()

    def _restart_series(self):
        """Restart a few workers under their ids, with late calls."""
        count = self._rng.choice((3, 4, 6))
        workers = self._rng.sample(self._place.list_workers(), count)
        kinds = (self._keep_renewal, self._keep_starts)
        drawn = [(self._rng.choice(kinds), worker) for worker in workers]
        self._together(*[functools.partial(*pair) for pair in drawn])

    def _keep_renewal(self, worker):
        """A renewal is carried out in the next life, behind a cut."""
        injector, draw = self._injector, self._rng.uniform
        keys = injector.list_links(self._place.list_entries(), [worker])
        lead_s, away_s, up_s = draw(0.2, 0.6), draw(0.2, 1.0), draw(1.5, 3.5)
        late_s = lead_s + away_s + up_s + draw(2.5, 5.5)
        layer = {"late": 1.0, "late_s": [late_s, late_s + 0.5], "most": 1}
        with injector.change_links(
            "late-hold", keys, paths=["/hold"], **layer
        ) as fault:
            if not injector.wait_for_late(keys, fault, seconds=4.0):
                return
        gevent.sleep(lead_s)
        injector.crash_workers([worker], away_s)
        gevent.sleep(up_s)
        injector.cut_worker(worker, draw(8.0, 12.0))

    def _keep_starts(self, worker):
        """The first try of a start is carried out in the next life."""
        injector, draw = self._injector, self._rng.uniform
        keys = injector.list_links(self._place.list_entries(), [worker])
        lead_s, away_s = draw(0.7, 1.5), draw(1.5, 4.0)
        late_s = lead_s + away_s + draw(0.1, 3.0)
        layer = {"late": 1.0, "late_s": [late_s, late_s + 0.5]}
        with injector.change_links(
            "late-start", keys, paths=["/run-start"], first_try=True, **layer
        ) as fault:
            if not injector.wait_for_late(keys, fault, seconds=8.0):
                return
            gevent.sleep(lead_s)
        injector.crash_workers([worker], away_s)

    def _lose_power(self):
        """Workers of a zone restart with late calls; then it is cut off."""
        injector, draw = self._injector, self._rng.uniform
        zone = self._place.get_zone(self._rng.randrange(self._place.zones))
        workers = self._place.list_workers(zone)
        keys = injector.list_links(self._place.list_entries(), workers)
        lead_s, away_s, up_s = draw(0.8, 2.0), draw(0.2, 4.0), draw(1.0, 3.0)
        late_s = lead_s + away_s
        layer = {"late": 0.3, "late_s": [late_s, late_s + up_s + 5.0]}
        with injector.change_links(
            "late-zone", keys, paths=["/hold", "/run-start"], **layer
        ):
            gevent.sleep(lead_s)
        injector.crash_workers(workers, away_s)
        gevent.sleep(up_s)
        injector.cut_zone(zone, draw(8.0, 12.0))

    def _disturb_store(self):
        """Disturb the store for some seconds, in one of several ways."""
        injector, rng = self._injector, self._rng
        seconds = rng.uniform(1.0, 5.0)
        entries = self._place.list_entries()
        some = rng.sample(entries, max(1, len(entries) // 3))
        append = ["/log-append"]
        rng.choice(
            (
                lambda: injector.stop_store(seconds),
                lambda: injector.slow_store(seconds, rng.choice((10, 60))),
                lambda: injector.disturb_store(seconds, lost=0.35),
                lambda: injector.disturb_store(seconds, late=0.3, paths=append),
                lambda: injector.disturb_store(
                    seconds, entries=some, status=rng.choice((429, 503))
                ),
                lambda: injector.disturb_store(
                    seconds, entries=some, silent=True
                ),
                lambda: injector.disturb_store(
                    seconds, entries=some, reset=True
                ),
                lambda: injector.disturb_store(seconds, delay_s=0.2),
                injector.drop_history,
                injector.reset_feeds,
            )
        )()

    def _disturb_orders(self):
        """Disturb the calls to workers for some seconds."""
        rng = self._rng
        links = self._injector.list_links(
            self._place.list_entries(), self._place.list_workers()
        )
        links = rng.sample(links, max(1, len(links) // 3))
        seconds = rng.uniform(2.0, 6.0)
        layer = rng.choice(
            (
                {"late": rng.choice((0.05, 0.2))},
                {"lost": rng.choice((0.1, 0.4))},
                {"delay_s": rng.choice((0.05, 0.4))},
                {"status": 503},
                {"reset": True},
            )
        )
        with self._injector.change_links("orders", links, **layer):
            gevent.sleep(seconds)

    def _crash_zone(self):
        """Workers of a zone crash, and come back under ids old or new."""
        rng = self._rng
        owner = self._injector.find_owner() or 0
        zone = self._place.get_zone(owner + rng.randrange(3))
        workers = self._place.list_workers(zone)
        workers = rng.sample(workers, max(1, int(len(workers) * rng.random())))
        self._injector.crash_workers(
            workers, rng.uniform(0.2, 6.0), new_ids=rng.random() < 0.3
        )

    def _touch_entries(self):
        """Signals, busy neighbours and workers that leave."""
        rng, injector = self._rng, self._injector
        entry = rng.choice(self._place.list_entries())
        workers = rng.sample(self._place.list_workers(), 2)
        act = rng.randrange(5)
        if act == 0:
            injector.send(entry, signal.SIGHUP)
        elif act == 1:
            injector.send(entry, signal.SIGKILL, away_s=rng.uniform(0, 4))
        elif act == 2:
            injector.suspend(entry, rng.uniform(0.5, 5.0))
        elif act == 3:
            injector.use_processors(3, rng.uniform(1.0, 3.0))
        else:
            injector.drain(workers, rng.uniform(2.0, 6.0))
            gevent.sleep(8.0)
            injector.crash_workers(workers, 0.5, new_ids=True)
