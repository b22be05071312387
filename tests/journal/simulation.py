"""Simulation of replicas, a log and their faults, without sockets.

Every step depends on its numbers alone, so that hypothesis and a plain random
source can both drive it. An observer applies each record as it is appended;
the replicas are compared with it, and invariants are checked on it.
"""

from chervilcove.journal import client
from chervilcove.journal import jobs
from chervilcove.journal import machine
from chervilcove.journal import records
from chervilcove.journal import snapshots
from chervilcove.journal import state as states
from chervilcove.scheduling import core as scheduling
from tests.journal import utils

OUTCOMES = ("completed", "failed", "lost", "stopped", "not_started")
ACCELERATOR_COUNTS = (0, 1, 2, 4, 8)
MAX_REPLICAS = 5


class SimulatedReplica:
    """One replica with its appender."""

    def __init__(self, name):
        self.name = name
        self.state = states.State()
        self.sequence = 0
        self.in_flight = b""
        self.marked = None
        self.outcomes = []

    @property
    def next(self):
        return self.state.core["offset"] + 1


class Simulation:
    """The streams, the replicas and the observer.

    Attributes:
        log: Records of the decision stream.
        first_retained: Offset of the oldest record that replicas can read.
        time: Log time.
        chunks: Records of the stream of snapshots.
        notes: Notes of the configuration stream, None if malformed.
        delayed_contents: Contents of records that arrive later.
        observer: State after all records.
        digests: Digest of the observer by offset.
        events: What each record changed, by offset.
        invariants: Checks of the observer.
        start_count: Number of replicas started.
        counts: Number of occurrences by name of what happened.
        replicas: Running replicas.
    """

    def __init__(self):
        self.log = []
        self.first_retained = 0
        self.time = 0.0
        self.chunks = []
        self.notes = []
        self.delayed_contents = []
        self.observer = states.State()
        self.digests = {-1: self.observer.compute_digest()}
        self.events = {}
        self.invariants = InvariantChecker()
        self.start_count = 0
        self.counts = {}
        self.replicas = [self._start(), self._start(), self._start()]
        self.notes.append(utils.make_first_note())

    # Steps. The numbers that each one takes choose what it does.

    def read(self, replica_index, amount, _):
        """Apply some or all records to one replica."""
        replica = self._pick(replica_index)
        limit = len(self.log) if amount % 4 == 0 else amount % 7
        self._apply(replica, limit)

    def propose(self, replica_index, kind, seed):
        """Append new items, or retry the record in flight."""
        replica = self._pick(replica_index)
        if replica.in_flight and kind % 4:
            self._apply(replica, len(self.log))
        if not replica.in_flight:
            items = self._choose_items(replica, kind, seed)
            if not items:
                return
            replica.sequence += 1
            replica.in_flight = records.encode(
                records.Envelope(1, replica.name, replica.sequence, items)
            )
        self._send_in_flight(replica, seed)

    def deliver(self, index, *_):
        """Append a delayed record or copy."""
        if self.delayed_contents:
            self._append_record(
                self.delayed_contents.pop(index % len(self.delayed_contents))
            )

    def append_unreadable(self, kind, *_):
        """Append a record that can't be decoded."""
        self._append_record((b"\xc1", b"", b"\x93\x01\xa1a\x01")[kind % 3])

    def submit_note(self, kind, stale, _):
        """Append a note, sometimes malformed or on an old revision."""
        core = self.observer.core
        waiting = self.notes[core["config_offset"] :]
        base = core["configuration"]["revision"] + len(waiting)
        base -= stale % 5 == 0
        data_centre = ("Giza", "Maadi")[kind % 2]
        if kind % 7 == 0:
            self.notes.append(None)
            return
        in_service = kind // 2 % 4 > 0
        self.notes.append(
            utils.make_data_centre_note(
                data_centre, base=base, in_service=in_service
            )
        )

    def write_snapshot(self, replica_index, variant, _):
        """Write the snapshot of the latest mark of one replica.

        Sometimes it is incomplete or has a wrong digest.
        """
        replica = self._pick(replica_index)
        if replica.marked is None:
            return
        mark, content = replica.marked
        digest = states.identifiers.digest(content)
        parts = snapshots.split(content)
        if variant % 4 == 0:
            parts = [*parts, b"never written"]
        for index, part in enumerate(parts[: -1 if variant % 4 == 0 else None]):
            self.chunks.append(
                snapshots.encode_chunk(
                    mark=mark,
                    digest=digest if variant % 5 else "wrong",
                    index=index,
                    count=len(parts),
                    part=part,
                )
            )

    def truncate(self, share, *_):
        """Drop some of the records that a whole snapshot includes."""
        found = self._find_snapshot()
        if found is not None:
            droppable = found.mark + 1 - self.first_retained
            self.first_retained += droppable * (share % 4) // 3

    def restart(self, replica_index, *_):
        """Replace one replica by a new one."""
        self.replicas.remove(self._pick(replica_index))
        self.replicas.append(self._start())
        self._apply(self.replicas[-1], 0)

    def join(self, *_):
        """Add a replica, and end the oldest if the maximum is reached."""
        if len(self.replicas) >= MAX_REPLICAS:
            self.replicas.pop(0)
        self.replicas.append(self._start())

    STEPS = (
        *(read,) * 14,
        *(propose,) * 28,
        *(deliver,) * 3,
        append_unreadable,
        submit_note,
        write_snapshot,
        truncate,
        restart,
        join,
    )

    def step(self, kind, *numbers):
        """Run the step chosen by `kind`."""
        self.time += (-3.0, 0.5, 2.0, 20.0)[numbers[1] % 4]
        chosen = self.STEPS[kind % len(self.STEPS)]
        chosen(self, *numbers)

    def finish(self):
        """Append all delayed records and check that all replicas are equal."""
        while self.delayed_contents:
            self.deliver(0)
        for replica in self.replicas:
            self._apply(replica, len(self.log) + 1)
            assert replica.next == len(self.log)

    def _start(self):
        self.start_count += 1
        return SimulatedReplica(f"entry-{self.start_count}")

    def _pick(self, replica_index):
        return self.replicas[replica_index % len(self.replicas)]

    def _send_in_flight(self, replica, seed):
        fault = seed % 8
        if fault == 0:
            self._count("refused")
            return
        if fault == 1:
            self._count("delayed")
            self.delayed_contents.append(replica.in_flight)
            return
        self._append_record(replica.in_flight)
        if fault == 2:
            self._count("twice")
            self.delayed_contents.append(replica.in_flight)

    def _append_record(self, content):
        offset = len(self.log)
        record = client.Record(offset, max(self.time, 0.0), content)
        self.log.append(record)
        before = self.observer.core["configuration"]["revision"]
        applied = machine.apply_record(self.observer, record)
        self.digests[offset] = self.observer.compute_digest()
        self.events[offset] = applied
        self.invariants.check(self.observer, applied, before)
        for event in applied.events:
            if isinstance(event.outcome, records.errors.Refusal):
                self._count(f"void {event.item.kind}")
            else:
                self._count(event.item.kind)
            if isinstance(event.outcome, jobs.PlanOutcome):
                self._count("placements" if event.outcome.changes else "empty")

    def _apply(self, replica, limit):
        if replica.next < self.first_retained:
            found = self._find_snapshot()
            assert found is not None
            assert found.mark + 1 >= self.first_retained
            replica.state = states.load_state(found.content)
            replica.marked = None
            self._count("restored")
            self._resolve(replica)
        for record in self.log[replica.next : replica.next + limit]:
            applied = machine.apply_record(replica.state, record)
            assert applied == self.events[record.offset]
            self._count("applied")
            if replica.state.core["mark"]["offset"] == record.offset:
                replica.marked = (record.offset, replica.state.dump())
            self._resolve(replica)
        digest = replica.state.compute_digest()
        assert digest == self.digests[replica.next - 1]

    def _resolve(self, replica):
        done = replica.state.core["sequences"].get(replica.name, 0)
        if done >= replica.sequence:
            replica.in_flight = b""

    def _find_snapshot(self):
        assembly = snapshots.Assembly()
        for chunk in self.chunks:
            assembly.add(chunk)
        return assembly.find_newest()

    def _count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def _choose_items(self, replica, kind, seed):
        makers = (
            self._make_submit,
            self._make_submit,
            self._make_cancel,
            self._make_plan,
            self._make_plan,
            self._make_plan,
            self._make_starting,
            self._make_starting,
            self._make_started,
            self._make_started,
            self._make_ended,
            self._make_ended,
            self._make_claim,
            self._make_claim_end,
            self._make_adopt,
            self._make_health,
            self._make_mark,
            self._make_other,
        )
        found = makers[kind % len(makers)](replica, seed)
        return [records.Item(*each) for each in found]

    def _make_submit(self, replica, seed):
        job = f"job-{replica.name}-{replica.sequence}"
        spec = utils.make_spec(
            job,
            key=f"key-{seed % 40}",
            tasks=1 + seed % 3,
            accelerators=ACCELERATOR_COUNTS[seed % 5],
            idempotent=seed % 2 == 0,
            declared_run_s=float(seed % 3 + 1),
        )
        return [("submit", {"spec": spec})]

    def _make_cancel(self, replica, seed):
        found = self._pick_job(replica, seed, replica.state.core["jobs"])
        return [("cancel", {"job": found})] if found and seed % 3 == 0 else []

    def _make_plan(self, replica, seed):
        state = replica.state
        placements, preemptions, refusals = [], [], []
        for name in list(state.queue)[: 1 + seed % 3]:
            job = state.core["jobs"][name]
            places = _choose_places(state, job["spec"], seed)
            placements.append(
                utils.make_placement(name, places, attempt=job["attempt"] + 1)
            )
        victim = self._pick_job(replica, seed, state.active)
        if victim and seed % 5 == 0:
            attempt = state.core["jobs"][victim]["attempt"]
            preemptions.append(
                scheduling.Preemption(victim, attempt, "reclaimed", "")
            )
        basis = state.core["basis"] - (seed % 11 == 0)
        plan = utils.make_plan(
            basis,
            placements=placements,
            preemptions=preemptions,
            refusals=refusals,
        )
        return [("plan", plan)]

    def _make_starting(self, replica, seed):
        return self._make_attempt(replica, seed, "starting")

    def _make_started(self, replica, seed):
        return self._make_attempt(replica, seed, "started")

    def _make_attempt(self, replica, seed, kind):
        found = self._pick_job(replica, seed, replica.state.active)
        if not found:
            return []
        attempt = replica.state.core["jobs"][found]["attempt"]
        return [(kind, {"job": found, "attempt": attempt - (seed % 9 == 0)})]

    def _make_ended(self, replica, seed):
        found = self._pick_job(replica, seed, replica.state.active)
        if not found:
            return []
        job = replica.state.core["jobs"][found]
        body = {
            "job": found,
            "attempt": job["attempt"],
            "outcome": OUTCOMES[seed % 5],
            "reason": ("task_failed", "completed", "task_lost")[seed % 3],
            "worker": f"worker-{seed % 4}",
            "kept_s": float(seed % 4),
            "result": None,
        }
        return [("ended", body)]

    def _make_claim(self, replica, seed):
        body = {
            "customer": "a",
            "service": "s",
            "key": f"k-{seed % 6}",
            "digest": f"d-{seed % 2}",
            "owner": replica.name,
        }
        return [("claim", body)]

    def _make_claim_end(self, replica, seed):
        body = {
            "customer": "a",
            "service": "s",
            "key": f"k-{seed % 6}",
            "owner": self._pick_owner(replica, seed),
            "outcome": ("released", "answered", "unknown")[seed % 3],
            "answer": b"x" * (seed % 3),
        }
        return [("claim_end", body)]

    def _pick_owner(self, replica, seed):
        claim = replica.state.core["claims"].get(f"a/s/k-{seed % 6}")
        return claim["owner"] if claim and seed % 4 else replica.name

    def _make_adopt(self, replica, seed):
        wanted = replica.state.core["config_offset"]
        notes = self.notes[wanted : wanted + 1 + seed % 2]
        return [
            ("adopt", {"config_offset": wanted + index, "note": note})
            for index, note in enumerate(notes)
        ]

    def _make_health(self, replica, seed):
        body = {
            "worker": f"worker-{seed % 5}",
            "healthy": seed % 3 > 0,
            "reason": "",
        }
        return [("worker_health", body)]

    def _make_mark(self, replica, seed):
        return [("mark", {"records": seed})]

    def _make_other(self, replica, seed):
        if seed % 3 == 0:
            return [("unknown", {"x": 1}), ("cancel", {"job": 7})]
        marked = replica.state.core["mark"]["offset"]
        body = {"mark": marked, "digest": "x", "by": replica.name}
        return [("vote", body)]

    def _pick_job(self, replica, seed, names):
        names = list(names)
        return names[seed % len(names)] if names else ""


def _choose_places(state, spec, seed):
    """Return free places, or for some seeds too few or unchecked ones."""
    size = spec["accelerators"]
    places = []
    for name in state.core["configuration"]["workers"]:
        free = state.pool.get_free_mask(name)
        for start in range(0, 8, size) if size else (0,):
            mask = ((1 << size) - 1) << start
            if mask & free == mask and len(places) < spec["tasks"]:
                places.append((name, mask))
    if seed % 6 == 0:
        places = places[1:]
    if seed % 6 == 1:
        mask = (1 << size) - 1
        places = [(f"worker-{seed % 5}", mask)] * spec["tasks"]
    return places


class InvariantChecker:
    """Checks invariants of the observer after each record."""

    def __init__(self):
        self.may_have_run = {}
        self.owners = {}
        self.keys = {}

    def check(self, state, applied, revision_before):
        core = state.core
        assert core["configuration"]["revision"] >= revision_before
        for event in applied.events:
            if not isinstance(event.outcome, records.errors.Refusal):
                check = getattr(self, f"_check_{event.item.kind}", None)
                if check is not None:
                    check(state, event)
        self._check_places(core)

    def _check_places(self, core):
        held = {}
        for job in core["jobs"].values():
            if job["state"] not in ("placed", "running"):
                continue
            assert len(job["places"]) == job["spec"]["tasks"]
            for place in job["places"]:
                mask = held.get(place.worker, 0)
                assert mask & place.mask == 0, "accelerator held twice"
                held[place.worker] = mask | place.mask

    def _check_plan(self, state, event):
        assert isinstance(event.outcome, jobs.PlanOutcome)
        skipped = {job for job, _ in event.outcome.skips}
        core = state.core
        for placement in event.item.body["placements"]:
            if placement.job in skipped:
                continue
            assert placement.job not in self.may_have_run
            for place in placement.places:
                worker = core["configuration"]["workers"][place.worker]
                data_centre = worker["data_centre"]
                data_centres = core["configuration"]["data_centres"]
                assert data_centres[data_centre]["in_service"], (
                    "placed in a data centre out of service"
                )
                assert place.worker not in core["unhealthy"]

    def _check_starting(self, state, event):
        self._record_start(state, event, ran=False)

    def _check_started(self, state, event):
        self._record_start(state, event, ran=True)

    def _record_start(self, state, event, *, ran):
        name = event.item.body["job"]
        if not state.core["jobs"][name]["spec"]["idempotent"]:
            ran = ran or self.may_have_run.get(name, False)
            self.may_have_run[name] = ran

    def _check_ended(self, state, event):
        body = event.item.body
        ran = self.may_have_run.get(body["job"], True)
        if body["outcome"] == "not_started" and not ran:
            del self.may_have_run[body["job"]]

    def _check_submit(self, state, event):
        spec = event.item.body["spec"]
        known = self.keys.get(spec["key"])
        if known in state.core["jobs"]:
            assert event.outcome == known, "two jobs with one key"
        self.keys[spec["key"]] = event.outcome

    def _check_claim(self, state, event):
        key = event.item.body["key"]
        assert key not in self.owners, "two owners of one claim"
        self.owners[key] = event.item.body["owner"]

    def _check_claim_end(self, state, event):
        body = event.item.body
        assert self.owners[body["key"]] == body["owner"]
        if event.outcome == "released":
            del self.owners[body["key"]]
