"""A world of replicas, a log and what can happen to them, without sockets.

Every step is a function of its numbers, so that hypothesis and a plain
random source can both drive it. An observer applies each record at once; all
other replicas are compared with it, and the conditions are checked on it.
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
    """Hold one replica and its appender."""

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
    """Hold the streams, the replicas and the observer."""

    def __init__(self):
        self.log = []
        self.first = 0
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
        self.members = [self._start(), self._start(), self._start()]
        self.notes.append(utils.make_first_note())

    # Steps: each takes the numbers that choose what it does.

    def read(self, who, amount, _):
        """Let one replica apply some records, or all."""
        member = self._pick(who)
        limit = len(self.log) if amount % 4 == 0 else amount % 7
        self._apply(member, limit)

    def propose(self, who, kind, seed):
        """Append new items, or again what may not have been taken."""
        member = self._pick(who)
        if member.in_flight and kind % 4:
            self._apply(member, len(self.log))
        if not member.in_flight:
            items = self._choose_items(member, kind, seed)
            if not items:
                return
            member.sequence += 1
            member.in_flight = records.encode(
                records.Envelope(1, member.name, member.sequence, items)
            )
        self._send_in_flight(member, seed)

    def deliver(self, index, *_):
        """Let a delayed copy of a record arrive."""
        if self.delayed_contents:
            self._append_record(
                self.delayed_contents.pop(index % len(self.delayed_contents))
            )

    def append_unreadable(self, kind, *_):
        """Append a record that nobody can read."""
        self._append_record((b"\xc1", b"", b"\x93\x01\xa1a\x01")[kind % 3])

    def submit_note(self, kind, stale, _):
        """Let an operator submit a note, perhaps on an old revision."""
        core = self.observer.core
        waiting = self.notes[core["config_offset"] :]
        base = core["configuration"]["revision"] + len(waiting)
        base -= stale % 5 == 0
        centre = ("Giza", "Maadi")[kind % 2]
        if kind % 7 == 0:
            self.notes.append(None)
            return
        in_service = kind // 2 % 4 > 0
        self.notes.append(
            utils.make_out_note(centre, base=base, in_service=in_service)
        )

    def write_snapshot(self, who, torn, _):
        """Let a replica write the snapshot of its latest mark."""
        member = self._pick(who)
        if member.marked is None:
            return
        mark, content = member.marked
        digest = states.identifiers.digest(content)
        parts = snapshots.split(content)
        if torn % 4 == 0:
            parts = [*parts, b"never written"]
        for index, part in enumerate(parts[: -1 if torn % 4 == 0 else None]):
            self.chunks.append(
                snapshots.encode_chunk(
                    mark=mark,
                    digest=digest if torn % 5 else "wrong",
                    index=index,
                    count=len(parts),
                    part=part,
                )
            )

    def truncate(self, share, *_):
        """Let records lapse that a whole snapshot covers."""
        found = self._find_snapshot()
        if found is not None:
            most = found.mark + 1 - self.first
            self.first += most * (share % 4) // 3

    def restart(self, who, *_):
        """End one replica; a new start takes its place."""
        self.members.remove(self._pick(who))
        self.members.append(self._start())
        self._apply(self.members[-1], 0)

    def join(self, *_):
        """Add a replica, or end the oldest where there are enough."""
        if len(self.members) >= MAX_REPLICAS:
            self.members.pop(0)
        self.members.append(self._start())

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
        """Do one step."""
        self.time += (-3.0, 0.5, 2.0, 20.0)[numbers[1] % 4]
        chosen = self.STEPS[kind % len(self.STEPS)]
        chosen(self, *numbers)

    def finish(self):
        """Let everything arrive; all replicas must then be equal."""
        while self.delayed_contents:
            self.deliver(0)
        for member in self.members:
            self._apply(member, len(self.log) + 1)
            assert member.next == len(self.log)

    # Inside.

    def _start(self):
        self.start_count += 1
        return SimulatedReplica(f"entry-{self.start_count}")

    def _pick(self, who):
        return self.members[who % len(self.members)]

    def _send_in_flight(self, member, seed):
        fate = seed % 8
        if fate == 0:
            self._count("refused")
            return
        if fate == 1:
            self._count("delayed")
            self.delayed_contents.append(member.in_flight)
            return
        self._append_record(member.in_flight)
        if fate == 2:
            self._count("twice")
            self.delayed_contents.append(member.in_flight)

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

    def _apply(self, member, limit):
        if member.next < self.first:
            found = self._find_snapshot()
            assert found is not None
            assert found.mark + 1 >= self.first
            member.state = states.load_state(found.content)
            member.marked = None
            self._count("restored")
            self._resolve(member)
        for record in self.log[member.next : member.next + limit]:
            applied = machine.apply_record(member.state, record)
            assert applied == self.events[record.offset]
            self._count("applied")
            if member.state.core["mark"]["offset"] == record.offset:
                member.marked = (record.offset, member.state.dump())
            self._resolve(member)
        digest = member.state.compute_digest()
        assert digest == self.digests[member.next - 1]

    def _resolve(self, member):
        done = member.state.core["sequences"].get(member.name, 0)
        if done >= member.sequence:
            member.in_flight = b""

    def _find_snapshot(self):
        assembly = snapshots.Assembly()
        for chunk in self.chunks:
            assembly.add(chunk)
        return assembly.find_newest()

    def _count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def _choose_items(self, member, kind, seed):
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
        found = makers[kind % len(makers)](member, seed)
        return [records.Item(*each) for each in found]

    def _make_submit(self, member, seed):
        job = f"job-{member.name}-{member.sequence}"
        spec = utils.make_spec(
            job,
            key=f"key-{seed % 40}",
            tasks=1 + seed % 3,
            accelerators=ACCELERATOR_COUNTS[seed % 5],
            idempotent=seed % 2 == 0,
            declared_run_s=float(seed % 3 + 1),
        )
        return [("submit", {"spec": spec})]

    def _make_cancel(self, member, seed):
        found = self._pick_job(member, seed, member.state.core["jobs"])
        return [("cancel", {"job": found})] if found and seed % 3 == 0 else []

    def _make_plan(self, member, seed):
        state = member.state
        placements, preemptions, refusals = [], [], []
        for name in list(state.queue)[: 1 + seed % 3]:
            job = state.core["jobs"][name]
            places = _choose_places(state, job["spec"], seed)
            placements.append(
                utils.make_placement(name, places, attempt=job["attempt"] + 1)
            )
        victim = self._pick_job(member, seed, state.active)
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

    def _make_starting(self, member, seed):
        return self._make_attempt(member, seed, "starting")

    def _make_started(self, member, seed):
        return self._make_attempt(member, seed, "started")

    def _make_attempt(self, member, seed, kind):
        found = self._pick_job(member, seed, member.state.active)
        if not found:
            return []
        attempt = member.state.core["jobs"][found]["attempt"]
        return [(kind, {"job": found, "attempt": attempt - (seed % 9 == 0)})]

    def _make_ended(self, member, seed):
        found = self._pick_job(member, seed, member.state.active)
        if not found:
            return []
        job = member.state.core["jobs"][found]
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

    def _make_claim(self, member, seed):
        body = {
            "customer": "a",
            "service": "s",
            "key": f"k-{seed % 6}",
            "digest": f"d-{seed % 2}",
            "owner": member.name,
        }
        return [("claim", body)]

    def _make_claim_end(self, member, seed):
        body = {
            "customer": "a",
            "service": "s",
            "key": f"k-{seed % 6}",
            "owner": self._pick_owner(member, seed),
            "outcome": ("released", "answered", "unknown")[seed % 3],
            "answer": b"x" * (seed % 3),
        }
        return [("claim_end", body)]

    def _pick_owner(self, member, seed):
        claim = member.state.core["claims"].get(f"a/s/k-{seed % 6}")
        return claim["owner"] if claim and seed % 4 else member.name

    def _make_adopt(self, member, seed):
        wanted = member.state.core["config_offset"]
        notes = self.notes[wanted : wanted + 1 + seed % 2]
        return [
            ("adopt", {"config_offset": wanted + index, "note": note})
            for index, note in enumerate(notes)
        ]

    def _make_health(self, member, seed):
        body = {
            "worker": f"worker-{seed % 5}",
            "healthy": seed % 3 > 0,
            "reason": "",
        }
        return [("worker_health", body)]

    def _make_mark(self, member, seed):
        return [("mark", {"records": seed})]

    def _make_other(self, member, seed):
        if seed % 3 == 0:
            return [("unknown", {"x": 1}), ("cancel", {"job": 7})]
        marked = member.state.core["mark"]["offset"]
        body = {"mark": marked, "digest": "x", "by": member.name}
        return [("vote", body)]

    def _pick_job(self, member, seed, names):
        names = list(names)
        return names[seed % len(names)] if names else ""


def _choose_places(state, spec, seed):
    """Return places that fit, or, now and then, places that need not."""
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
    """Check the conditions after each record."""

    def __init__(self):
        self.may_have_run = {}
        self.owners = {}
        self.keys = {}

    def check(self, state, applied, revision_before):
        core = state.core
        assert core["configuration"]["revision"] >= revision_before
        for event in applied.events:
            if not isinstance(event.outcome, records.errors.Refusal):
                check = getattr(self, f"_see_{event.item.kind}", None)
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

    def _see_plan(self, state, event):
        assert isinstance(event.outcome, jobs.PlanOutcome)
        skipped = {job for job, _ in event.outcome.skips}
        core = state.core
        for placement in event.item.body["placements"]:
            if placement.job in skipped:
                continue
            assert placement.job not in self.may_have_run
            for place in placement.places:
                worker = core["configuration"]["workers"][place.worker]
                centre = worker["data_centre"]
                centres = core["configuration"]["data_centres"]
                assert centres[centre]["in_service"], "placed into one out"
                assert place.worker not in core["unhealthy"]

    def _see_starting(self, state, event):
        self._record_start(state, event, ran=False)

    def _see_started(self, state, event):
        self._record_start(state, event, ran=True)

    def _record_start(self, state, event, *, ran):
        name = event.item.body["job"]
        if not state.core["jobs"][name]["spec"]["idempotent"]:
            ran = ran or self.may_have_run.get(name, False)
            self.may_have_run[name] = ran

    def _see_ended(self, state, event):
        body = event.item.body
        ran = self.may_have_run.get(body["job"], True)
        if body["outcome"] == "not_started" and not ran:
            del self.may_have_run[body["job"]]

    def _see_submit(self, state, event):
        spec = event.item.body["spec"]
        known = self.keys.get(spec["key"])
        if known in state.core["jobs"]:
            assert event.outcome == known, "one key, two jobs"
        self.keys[spec["key"]] = event.outcome

    def _see_claim(self, state, event):
        key = event.item.body["key"]
        assert key not in self.owners, "one claim, two owners"
        self.owners[key] = event.item.body["owner"]

    def _see_claim_end(self, state, event):
        body = event.item.body
        assert self.owners[body["key"]] == body["owner"]
        if event.outcome == "released":
            del self.owners[body["key"]]
