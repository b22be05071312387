"""Builders of records, and a writer that applies them in memory."""

from chervilcove.customers import schema as customers
from chervilcove.journal import client
from chervilcove.journal import machine
from chervilcove.journal import records
from chervilcove.journal import state as states
from chervilcove.scheduling import core as scheduling
from tests.scheduling import utils as scheduling_utils


class Writer:
    """Encodes records of one incarnation and applies them to one state."""

    def __init__(self, state=None, *, by="entry-1-a"):
        self.state = state or states.State()
        self.by = by
        self.sequence = 0

    def encode(self, *items):
        self.sequence += 1
        return records.encode(
            records.Envelope(
                records.FORMAT_VERSION,
                self.by,
                self.sequence,
                [records.Item(*item) for item in items],
            )
        )

    def apply(self, *items, time=None):
        """Apply one record and return the outcome of each item."""
        content = self.encode(*items)
        return [one.outcome for one in self.apply_content(content, time).events]

    def apply_content(self, content, time=None):
        offset = self.state.core["offset"] + 1
        log_time = float(offset) if time is None else time
        record = client.Record(offset, log_time, content)
        return machine.apply_record(self.state, record)

    def adopt(self, note):
        body = records.Adopt(
            config_offset=self.state.core["config_offset"], note=note
        )
        return self.apply(("adopt", body))[0]

    def submit(self, job="job-1", **fields):
        spec = make_spec(job, **fields)
        return self.apply(("submit", {"spec": spec}))[0]

    def place(self, job, places, *, attempt=1, basis=None):
        plan = make_plan(
            self.state.core["basis"] if basis is None else basis,
            placements=[make_placement(job, places, attempt=attempt)],
        )
        return self.apply(("plan", plan))[0]


def make_spec(job="job-1", **fields):
    return scheduling_utils.make_spec(job, **{"adjacent": "rack", **fields})


def make_placement(job, places, *, attempt=1):
    return scheduling.Placement(
        job, attempt, "", tuple(scheduling.TaskPlace(*one) for one in places)
    )


def make_plan(basis, *, placements=(), preemptions=(), refusals=()):
    return records.PlanItem(
        basis=basis,
        config_offset=0,
        placements=list(placements),
        preemptions=list(preemptions),
        refusals=list(refusals),
    )


def make_note(*added, name="note-1", base=0, changed=(), withdrawn=()):
    return customers.Note(
        id=name,
        author="operator",
        base_revision=base,
        added=list(added),
        changed=list(changed),
        withdrawn=list(withdrawn),
    )


def make_first_note(*, worker_count=4, name="note-1", base=0):
    data_centres = [
        {"type": "data_centre", "name": one, "region": "r", "in_service": True}
        for one in ("Giza", "Maadi")
    ]
    owner = {"type": "customer", **scheduling_utils.make_customer("a")}
    workers = [
        {
            "type": "worker",
            "name": f"worker-{index}",
            "data_centre": "Giza" if index % 2 == 0 else "Maadi",
            "rack": f"rack-{index % 2}",
            "address": "127.0.0.1:1",
            "processors": 64,
            "memory_gb": 128,
            "accelerators": 8,
        }
        for index in range(worker_count)
    ]
    return make_note(*data_centres, owner, *workers, name=name, base=base)


def make_data_centre_note(name, *, base, in_service=False):
    change = {"type": "data_centre", "name": name, "in_service": in_service}
    return make_note(changed=[change], base=base, name=f"note-{base + 1}")


def make_writer(**options):
    """Return a writer whose state has workers and one customer."""
    writer = Writer()
    assert writer.adopt(make_first_note(**options)) == 1
    return writer
