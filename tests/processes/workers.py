"""Program: the workers. A link is "ENTRY:WORKER", both numbers.

`python -m tests.processes.workers --run-folder F --seed N [layout options]`
"""

import argparse
import json
import random
import threading
import time

import gevent
from gevent import event

from tests.processes import fleet
from tests.processes import jobs
from tests.processes import layout
from tests.processes import links
from tests.processes import record
from tests.processes import serving

CAPACITY = (64_000, 131_072, 8)
RACK_SIZE = 8
SLOWEST_CLOCK = 0.98
TICK_S = 0.005
DRAIN_S = 2.0


class Program:
    """Serve all workers.

    Args:
        place: The layout.
        recorder: Where everything is written to.
        book: What the tasks do.
        seed: Seed of links and clocks.
        stop_s: Time that a stop takes.
    """

    def __init__(self, *, place, recorder, book, seed, stop_s):
        self._place = place
        self._record = recorder
        self._book = book
        self._random = random.Random(seed)
        self._links = links.Links(seed=seed)
        self._cuts = {}  # fault: workers that it cuts off from the store
        self._changed = {}
        self._dirty = set()
        self._wake = gevent.get_hub().loop.async_()
        self._fleet = fleet.Fleet(
            write=recorder.write, on_change=self._note_change, stop_s=stop_s
        )
        self._workers = []
        self._servers = {}
        for number in place.list_workers():
            zone = place.get_zone(number)
            rack = f"r{zone[1:]}-{number // place.zones // RACK_SIZE}"
            worker = fleet.Worker(
                number=number, zone=zone, rack=rack, capacity=CAPACITY
            )
            worker.beats_at = 0.0
            worker.sequence = 0
            worker.is_draining = False
            self._workers.append(worker)
            self._changed[number] = event.Event()
        self._store = serving.Remote(
            host=place.get_control_host("store"), port=layout.CONTROL_PORT
        )
        self._control = serving.Control(
            host=place.get_control_host("workers"),
            port=layout.CONTROL_PORT,
            commands={
                "set": self._set_layer,
                "late": self._links.count_late,
                "reset": self._reset,
                "cut": self._cut_from_store,
                "crash": self._crash,
                "boot": self._boot,
                "drain": self._drain,
                "status": self._get_status,
            },
        )

    def run(self):
        """Serve until the process is ended."""
        self._wake.start(self._wake_holds)
        threading.Thread(target=self._keep_time, daemon=True).start()
        self._boot([worker.number for worker in self._workers])
        self._control.start()
        while True:
            gevent.sleep(0.05)
            self._leave()
            self._beat()

    def _keep_time(self):
        while True:
            time.sleep(TICK_S)
            with self._fleet.lock:
                self._fleet.advance(time.monotonic())

    def _note_change(self, worker):
        self._dirty.add(worker.number)
        self._wake.send()

    def _wake_holds(self):
        while self._dirty:
            number = self._dirty.pop()
            changed = self._changed[number]
            self._changed[number] = event.Event()
            changed.set()

    def _handle(self, call):
        entry, number = map(int, call.key.split(":"))
        worker = self._workers[number]
        if call.path == "/health":
            return 200, {}
        body = json.loads(call.body)
        with self._fleet.lock:
            now = time.monotonic()
            self._fleet.advance(now)
            if not worker.is_up:
                return None
            expected = call.headers.get("x-chervilcove-expect-instance")
            refused = "instance" if expected != worker.id else ""
            if not refused and body.get("fence", 0) < worker.fence:
                refused = "fence"
            if not refused:
                worker.fence = body.get("fence", 0)
            late = call.fate == "late"
            is_start = call.path == "/run-start"
            if is_start and not refused:
                refused = self._check_start(worker, body, now)
            self._record.write(
                "order",
                at=now,
                worker=worker.id,
                life=worker.life,
                path=call.path[1:],
                entry=self._place.get_entry_name(entry),
                fate=call.fate,
                refused="" if refused == "there" else refused,
                clock_ms=int(worker.get_clock_ms(now)),
                **{name: body[name] for name in _FIELDS if name in body},
            )
            if refused == "instance":
                return 421, {}
            if refused == "fence":
                return self._refuse(worker, now, refused)
            if is_start:
                return self._start(worker, body, refused, late, now)
            if call.path == "/run-stop":
                self._fleet.stop(
                    worker, task=body["task"], number=body["run"], at=now
                )
            elif call.path == "/hold":
                if body.get("deadline_ms"):
                    self._fleet.extend_lease(
                        worker, body["deadline_ms"], at=now
                    )
                self._fleet.note_ends(worker, body["last_seen"], at=now)
            if call.path != "/hold":
                return 200, self._describe(worker, now)
            life = worker.life
        return self._answer_hold(worker, life, body.get("wait_ms", 0))

    def _check_start(self, worker, body, now):
        task, number = body["task"], body["run"]
        if (task, number) in worker.runs:
            return "there"
        if number <= worker.highest.get(task, 0):
            return "old"
        if body["deadline_ms"] <= worker.get_clock_ms(now):
            return "late"
        return ""

    def _start(self, worker, body, refused, late, now):
        if refused != "late":
            self._fleet.extend_lease(worker, body["deadline_ms"], at=now)
        if refused in ("late", "old"):
            return self._refuse(worker, now, refused)
        if not refused:
            work = self._book.find(body["task"], body["run"], body["spec"])
            self._fleet.start(
                worker,
                task=body["task"],
                number=body["run"],
                work=work,
                saved=body.get("checkpoint_ref", ""),
                at=now,
                fence=body["fence"],
                late=late,
                spec=body["spec"],
                checkpoint_ref=body.get("checkpoint_ref", ""),
            )
        return 200, self._describe(worker, now)

    def _answer_hold(self, worker, life, wait_ms):
        until = time.monotonic() + min(wait_ms, 2_000) / 1000
        while True:
            with self._fleet.lock:
                now = time.monotonic()
                self._fleet.advance(now)
                if not worker.is_up or worker.life != life:
                    return None
                if worker.ended or now >= until:
                    running, ended = self._fleet.list_runs(worker, at=now)
                    answer = self._describe(worker, now)
                    answer.update(running=running, ended_runs=ended)
                    return 200, answer
                changed = self._changed[worker.number]
            changed.wait(timeout=until - now)

    def _refuse(self, worker, now, reason):
        return 409, {**self._describe(worker, now), "reason": reason}

    def _describe(self, worker, now):
        clock_ms = int(worker.get_clock_ms(now))
        return {"clock_ms": clock_ms, "born": worker.life}

    def _beat(self):
        now = time.monotonic()
        beats, due = {}, []
        for worker in self._workers:
            if not worker.is_up or worker.beats_at > now:
                continue
            if any(worker.number in cut for cut in self._cuts.values()):
                continue
            worker.sequence += 1
            beats[worker.id] = self._build_beat(worker, now)
            due.append(worker)
        if not beats:
            return
        try:
            if not self._store.call("beat", beats=beats):
                return
        except OSError:
            return
        for worker in due:
            worker.beats_at = now + layout.HEARTBEAT_S
            if worker.is_draining and not worker.is_said_to_drain:
                worker.is_said_to_drain = True
                self._record.write("draining", worker=worker.id)

    def _build_beat(self, worker, now):
        cpu, mem_mb, gpu = worker.capacity
        host = f"{self._place.placeholder}{1 + worker.number}"
        beat = {
            "service": "pool",
            "addr": f"{host}:{layout.WORKER_PORT}",
            "zone": worker.zone,
            "version": "v1",
            "task_slots": 8,
            "state": "draining" if worker.is_draining else "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpu": gpu},
            "labels": ["a", worker.rack],
            "clock_ms": int(worker.get_clock_ms(now)),
            "seq": worker.sequence,
            "born": worker.life,
            "machine": f"m-{worker.number}",
        }
        if worker.is_draining:
            left_s = max(0.0, worker.leaves_at - now)
            beat["remaining_ms"] = int(left_s * 1000)
        return beat

    def _leave(self):
        now = time.monotonic()
        for worker in self._workers:
            if worker.is_up and worker.leaves_at and now > worker.leaves_at:
                self._end_life(worker, "left")
                try:
                    self._store.call("remove", workers=[worker.id])
                except OSError:
                    pass  # its silence removes it

    def _end_life(self, worker, how):
        with self._fleet.lock:
            now = time.monotonic()
            self._fleet.advance(now)
            if worker.is_up:
                self._fleet.end_life(worker, at=now, how=how)
        server = self._servers.pop(worker.number, None)
        if server is not None:
            server.stop()

    def _crash(self, numbers):
        for number in numbers:
            self._end_life(self._workers[number], "crash")

    def _boot(self, numbers, ids=None):
        """Start lives; `ids` gives new ids by number."""
        for number in numbers:
            worker = self._workers[number]
            if worker.is_up:
                continue
            worker.id = (ids or {}).get(str(number), worker.id)
            worker.is_draining = worker.is_said_to_drain = False
            worker.sequence = 0
            worker.beats_at = 0.0
            rate = self._random.choice((1.0, 0.99, SLOWEST_CLOCK))
            with self._fleet.lock:
                self._fleet.boot(worker, at=time.monotonic(), rate=rate)
            keys = {
                (
                    self._place.get_worker_host(entry, number),
                    layout.WORKER_PORT,
                ): f"{entry}:{number}"
                for entry in self._place.list_entries()
            }
            server = serving.Server(
                keys=keys, handle=self._handle, table=self._links
            )
            server.start()
            self._servers[number] = server

    def _drain(self, numbers, seconds=DRAIN_S):
        for number in numbers:
            worker = self._workers[number]
            if worker.is_up and not worker.is_draining:
                worker.is_draining = True
                worker.leaves_at = time.monotonic() + seconds
                worker.beats_at = 0.0

    def _cut_from_store(self, numbers, fault, is_cut):
        if is_cut:
            self._cuts[fault] = set(numbers)
        else:
            self._cuts.pop(fault, None)

    def _set_layer(self, keys, fault, layer):
        self._links.set_layer(keys, fault, links.parse_layer(layer))

    def _reset(self, keys):
        for server in self._servers.values():
            for key in keys:
                server.reset_connections(key)

    def _get_status(self):
        """Return for each worker whether it is up and what runs there."""
        with self._fleet.lock:
            return {
                str(worker.number): {
                    "up": worker.is_up,
                    "runs": len(worker.runs) if worker.is_up else 0,
                }
                for worker in self._workers
            }


_FIELDS = ("task", "run", "fence", "deadline_ms", "last_seen")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--run-folder", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--stop-ms", type=int, default=900)
    layout.add_options(parser)
    options = parser.parse_args()
    place = layout.from_options(options)
    Program(
        place=place,
        recorder=record.Recorder(options.run_folder, "workers"),
        book=jobs.JobBook(folder=options.run_folder, fail_share=0.01),
        seed=options.seed,
        stop_s=options.stop_ms / 1000 * 0.8,
    ).run()


if __name__ == "__main__":
    main()
