"""Every metric with its meaning and what an operator does about it."""

from typing import NamedTuple


class Metric(NamedTuple):
    """Describe one metric.

    Attributes:
        pattern: Name; `*` stands for one varying part.
        type: "counter", "gauge" or "timing".
        meaning: What it tells.
        action: What to do when it grows or stays high.
    """

    pattern: str
    type: str
    meaning: str
    action: str


METRICS: tuple[Metric, ...] = (
    Metric(
        "jobs.completion.*",
        "timing",
        "Time from submission to completion, by class.",
        "Rising: `chervilcove status`, reason of the oldest wait.",
    ),
    Metric(
        "jobs.wait.*",
        "timing",
        "Time from submission to the first placement, by class.",
        "Urgent above 5.9 s: look for guarantees at risk.",
    ),
    Metric(
        "jobs.submit.*",
        "counter",
        "Jobs that callers handed in, by outcome.",
        "`log_unavailable` rising: the ledger refuses this entry.",
    ),
    Metric(
        "jobs.submit.away",
        "counter",
        "Jobs refused at once, as the entry does not reach the ledger.",
        "Search the log for `ledger_lost`.",
    ),
    Metric(
        "calls.refused.*",
        "counter",
        "Calls refused before they were carried out, by kind of refusal.",
        "Search the log for `call_refused`.",
    ),
    Metric(
        "jobs.cancel.*",
        "counter",
        "Cancels of callers, by outcome.",
        "`outcome_unknown` rising: answers of the ledger are lost.",
    ),
    Metric(
        "jobs.ended.*",
        "counter",
        "Jobs that ended, by state.",
        "`failed` rising: OPERATIONS.md, a job that failed.",
    ),
    Metric(
        "runs.wait",
        "timing",
        "Time from a step's turn to the order of its run.",
        "Rising: search the log for `job_waits`.",
    ),
    Metric(
        "jobs.taken",
        "timing",
        "Time from the acceptance of a job to its end.",
        "Rising with `runs.wait`: the fleet is full.",
    ),
    Metric(
        "fleet.open_jobs",
        "gauge",
        "Jobs that have not ended, on the owner.",
        "Rising for long: the fleet is full, or its workers rest.",
    ),
    Metric(
        "fleet.runs",
        "gauge",
        "Runs that hold room, on the owner.",
        "Low with many open jobs: search the log for `job_waits`.",
    ),
    Metric(
        "runs.ordered",
        "counter",
        "Runs of units that were ordered.",
        "Far above the ends `done`: see the reasons of `runs.ended.*`.",
    ),
    Metric(
        "runs.ended.*",
        "counter",
        "Tasks of runs that ended, by how.",
        "`lost` or `alone` rising: workers don't answer.",
    ),
    Metric(
        "starts.refused.*",
        "counter",
        "Orders to start that were refused or not answered.",
        "Search the log for `start_given_up`.",
    ),
    Metric(
        "paces.refused.*",
        "counter",
        "Orders on the pace of a filler that a worker did not confirm.",
        "They are sent again; rising: see `worker_lost`.",
    ),
    Metric(
        "stops.refused.*",
        "counter",
        "Orders to stop that were refused or not answered.",
        "Search the log for `worker_lost`.",
    ),
    Metric(
        "ledger.append",
        "timing",
        "Time to store the records of callers.",
        "Above 0.2 s: the ledger is slow.",
    ),
    Metric(
        "ledger.owner_append",
        "timing",
        "Time to store the records of the owner.",
        "Above 0.2 s: the ledger is slow, and so are starts.",
    ),
    Metric(
        "grants.asked",
        "timing",
        "Time of a call to the service that knows the queues' policies.",
        "Search the log for `policy_unanswered`.",
    ),
    Metric(
        "ledger.append_failed.*",
        "counter",
        "Appends of callers' records that failed, by kind.",
        "Search the log for `ledger_lost`.",
    ),
    Metric(
        "ledger.owner_append_read_back",
        "counter",
        "Appends of the owner whose records were read before any answer.",
        "Rising: answers of the ledger are lost.",
    ),
    Metric(
        "ledger.owner_append_failed.*",
        "counter",
        "Appends of the owner's records that failed, by kind.",
        "`fenced` is usual after a change of owner.",
    ),
    Metric(
        "ledger.read_failed.*",
        "counter",
        "Reads of the ledger that failed, by kind.",
        "Search the log for `ledger_lost`.",
    ),
    Metric(
        "ledger.unreadable",
        "counter",
        "Records of the ledger that can't be read and were ignored.",
        "Above 0: search the log for `record_ignored`.",
    ),
    Metric(
        "pool.fragmentation",
        "gauge",
        "Share of free accelerators that the largest waiting shape can't use.",
        "High for long: `job explain` of the largest waiting job.",
    ),
    Metric(
        "pool.free_accelerators",
        "gauge",
        "Free accelerators on usable workers.",
        "None is usual under load; borrowed work is preempted.",
    ),
    Metric(
        "pool.guarantees_at_risk",
        "gauge",
        "Guaranteed shapes that can't be honoured at present.",
        "Above 0: howto/guarantee-at-risk.md.",
    ),
    Metric(
        "pool.work_done",
        "counter",
        "Accelerator-seconds of completed jobs.",
        "Falls while a data centre is out; must return with it.",
    ),
    Metric(
        "planner.refused.*.*",
        "counter",
        "Plans and wait reasons not applied, by item and error kind.",
        "Steady: two entries plan at one time; compare their `entries` tables.",
    ),
    Metric(
        "adopter.refused.*",
        "counter",
        "Notes not put into the agreed order, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "adopter.retried.*",
        "counter",
        "Reads of the configuration stream tried again, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "adopter.void.*",
        "counter",
        "Notes adopted by another entry first, or refused, by error kind.",
        "Usual in small numbers; `note history` has each outcome.",
    ),
    Metric(
        "adopter.went_back",
        "counter",
        "Reads that found the configuration stream shorter than before.",
        "Any: the platform lost records; compare `note history`.",
    ),
    Metric(
        "adopter.lapsed",
        "counter",
        "Notes that the log dropped before they were adopted.",
        "Any: submit the note again.",
    ),
    Metric(
        "journal.apply",
        "timing",
        "Time to apply one page of records.",
        "Above 0.1 s: the entry lags; see its processor share.",
    ),
    Metric(
        "journal.dump",
        "timing",
        "Time to dump the state for a digest.",
        "Above 0.2 s: the state has grown; see CAPACITY.md.",
    ),
    Metric(
        "journal.state_bytes",
        "gauge",
        "Size of the dumped state.",
        "Above 64 MB: look for jobs or claims that pile up.",
    ),
    Metric(
        "journal.snapshots",
        "counter",
        "Snapshots written whole.",
        "None for an hour: journal.refused.snapshot_too_old follows.",
    ),
    Metric(
        "journal.diverged",
        "gauge",
        "1 while this entry's digest differs from the others'.",
        "1: howto/divergence-alarm.md.",
    ),
    Metric(
        "journal.divergences",
        "counter",
        "Times that this entry's digest differed from the others'.",
        "Any: howto/divergence-alarm.md.",
    ),
    Metric(
        "journal.restarted.*",
        "counter",
        "Replicas built anew from a snapshot, by reason.",
        "Any: howto/divergence-alarm.md.",
    ),
    Metric(
        "journal.failed.follow",
        "counter",
        "Faults in the follower of the log.",
        "Any: report it with the log lines.",
    ),
    Metric(
        "journal.ignored.snapshot",
        "counter",
        "Torn, late or wrong snapshots passed over.",
        "Rare is usual.",
    ),
    Metric(
        "journal.refused.format",
        "counter",
        "Items held back until all entries know their format.",
        "Only during a rolling replacement.",
    ),
    Metric(
        "journal.refused.no_snapshot",
        "counter",
        "Starts that found a gap and no whole snapshot.",
        "Any: howto/log-outage.md.",
    ),
    Metric(
        "journal.refused.log_went_back",
        "counter",
        "Reads that found the log shorter than before.",
        "Any: the platform lost records; howto/log-outage.md.",
    ),
    Metric(
        "journal.refused.too_large",
        "counter",
        "Proposals over the bound of one record.",
        "Any: a job's payload or result is too large.",
    ),
    Metric(
        "journal.refused.queue_full",
        "counter",
        "Proposals refused since too many wait.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "journal.refused.snapshot_too_old",
        "counter",
        "Snapshots whose later records are gone.",
        "Any: raise the retention of the log.",
    ),
    Metric(
        "journal.retried.append.*",
        "counter",
        "Appends sent again, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "journal.retried.chunk.*",
        "counter",
        "Snapshot chunks sent again, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "journal.retried.read.*",
        "counter",
        "Reads of the decision stream tried again, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "journal.retried.restore.*",
        "counter",
        "Loads of a snapshot tried again, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "journal.skipped.plan.*",
        "counter",
        "Single decisions left out of a plan at replay, by reason.",
        "Steady: report it with the job's `explain`.",
    ),
    Metric(
        "journal.void.*.*",
        "counter",
        "Items without effect at replay, by kind and error kind.",
        "Usual in small numbers.",
    ),
    Metric(
        "journal.void.duplicate",
        "counter",
        "Second copies of records dropped at replay.",
        "Usual after lost answers.",
    ),
    Metric(
        "journal.withdrawn",
        "counter",
        "Proposals taken back before they were sent.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "keeper.refused.*.*",
        "counter",
        "Marks, votes and snapshots not taken, by item and error kind.",
        "Usual in small numbers.",
    ),
    Metric(
        "membership.live",
        "gauge",
        "Entries that this one believes live.",
        "Below the number that runs: the network between entries.",
    ),
    Metric(
        "membership.changed",
        "counter",
        "Changes of the live entries.",
        "Without restarts: the network between entries.",
    ),
    Metric(
        "membership.missed.*",
        "counter",
        "Heartbeats without an answer, by error kind.",
        "Steady for one peer: its instance.",
    ),
    Metric(
        "membership.refused.inbox_full",
        "counter",
        "Heartbeats dropped by a full inbox.",
        "Any: the entry is overloaded.",
    ),
    Metric(
        "membership.refused.list",
        "counter",
        "Answers of the instance list that could not be read.",
        "Steady: the platform's list.",
    ),
    Metric(
        "membership.refused.malformed",
        "counter",
        "Frames by peers that could not be read.",
        "Any: who else connects to the peer port?",
    ),
    Metric(
        "membership.retried.fresh_connection",
        "counter",
        "Peers reached by a new connection after a silent one.",
        "Steady: something drops idle connections.",
    ),
    Metric(
        "membership.retried.list.*",
        "counter",
        "Reads of the instance list tried again, by error kind.",
        "Steady: the platform's list.",
    ),
    Metric(
        "gangs.kept",
        "gauge",
        "Gangs whose leases this entry renews.",
        "None on one entry only: its rank; see `status`.",
    ),
    Metric(
        "gangs.ended.*",
        "counter",
        "Attempts ended by this entry, by reason.",
        "`task_failed` of one worker: howto/bad-worker.md.",
    ),
    Metric(
        "gangs.refused.*",
        "counter",
        "Starts given up, by reason.",
        "Steady: howto/stuck-job.md.",
    ),
    Metric(
        "gangs.retried.*",
        "counter",
        "Proposals about gangs tried again, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "gangs.retried.prepare.*",
        "counter",
        "Preparations tried again, by error kind.",
        "`busy` is usual while victims stop.",
    ),
    Metric(
        "gangs.retried.renew.*",
        "counter",
        "Renewals tried again, by error kind.",
        "One worker again and again: howto/bad-worker.md.",
    ),
    Metric(
        "gangs.retried.start.*",
        "counter",
        "Starts on a worker tried again, by error kind.",
        "One worker again and again: howto/bad-worker.md.",
    ),
    Metric(
        "gangs.retried.stop.*",
        "counter",
        "Stops tried again, by error kind.",
        "One worker again and again: howto/bad-worker.md.",
    ),
    Metric(
        "gangs.stopped.stray",
        "counter",
        "Attempts that a worker still ran and nobody looks after.",
        "Steady: report it with the worker's name.",
    ),
    Metric(
        "requests.taken",
        "counter",
        "Requests taken in.",
        "Compare with requests.answered.",
    ),
    Metric(
        "requests.answered",
        "counter",
        "Requests answered by a minion.",
        "Compare with requests.taken.",
    ),
    Metric(
        "requests.replayed",
        "counter",
        "Requests answered with a kept answer.",
        "Usual after retries of callers.",
    ),
    Metric(
        "requests.time",
        "timing",
        "Time from taking a request to its outcome.",
        "Rising: howto/overload.md.",
    ),
    Metric(
        "requests.in_flight.*",
        "gauge",
        "Requests at minions, by service.",
        "At its limit for long: howto/overload.md.",
    ),
    Metric(
        "requests.queued.*",
        "gauge",
        "Requests waiting, by service.",
        "Growing: howto/overload.md.",
    ),
    Metric(
        "requests.refused.*",
        "counter",
        "Requests refused, by error kind.",
        "howto/overload.md names each kind.",
    ),
    Metric(
        "requests.retried.*",
        "counter",
        "Tries repeated, by reason.",
        "Above a tenth of requests.taken: a minion fails.",
    ),
    Metric(
        "requests.failed.*",
        "counter",
        "Tries that failed, by reason.",
        "One minion: take it out.",
    ),
    Metric(
        "requests.hedged",
        "counter",
        "Second tries of slow idempotent requests.",
        "Rising: one minion is slow.",
    ),
    Metric(
        "requests.requeued.busy",
        "counter",
        "Requests put back since a minion was busy.",
        "Steady: minions are shared too widely.",
    ),
    Metric(
        "requests.ejected",
        "counter",
        "Minions left out after failures, until a trial.",
        "Steady for one: take it out.",
    ),
    Metric(
        "requests.heartbeat.kept_lost",
        "counter",
        "Kept connections dropped after a missed heartbeat.",
        "Steady: something drops idle connections.",
    ),
    Metric(
        "requests.heartbeat.missed",
        "counter",
        "Minions that missed a heartbeat on a new connection.",
        "Steady for one: take it out.",
    ),
    Metric(
        "requests.bad_address",
        "counter",
        "Minions whose address could not be read.",
        "Any: correct the note.",
    ),
    Metric(
        "requests.inbox_full",
        "counter",
        "Messages dropped by the dispatcher's full inbox.",
        "Any: the entry is overloaded.",
    ),
    Metric(
        "requests.claim_end_dropped",
        "counter",
        "Outcomes of claims not put into the log.",
        "Callers' retries then get no kept answer.",
    ),
    Metric(
        "requests.release_failed",
        "counter",
        "Claims that could not be released.",
        "Their keys answer `already_claimed`.",
    ),
)
