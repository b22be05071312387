"""Catalogue of all metrics, with their meaning and advice for operators."""

from typing import NamedTuple


class Metric(NamedTuple):
    """Describe one metric.

    Attributes:
        pattern: Name; `*` stands for one varying part.
        type: "counter", "gauge" or "timing".
        meaning: What the metric measures.
        action: What an operator should do when it rises or stays high.
    """

    pattern: str
    type: str
    meaning: str
    action: str


METRICS: tuple[Metric, ...] = (
    Metric(
        "jobs.completion.*",
        "timing",
        "Time from submission to completion, by urgency.",
        "Rising: see the reason of the oldest wait in `chervilcove status`.",
    ),
    Metric(
        "jobs.wait.*",
        "timing",
        "Time from submission to the first placement, by urgency.",
        "Urgent above 5.9 s: look for guarantees at risk.",
    ),
    Metric(
        "jobs.submit.*",
        "counter",
        "Jobs submitted by callers, by outcome.",
        "`log_unavailable` rising: the ledger refuses this entry's appends.",
    ),
    Metric(
        "jobs.submit.away",
        "counter",
        "Jobs refused at once because the entry can't reach the ledger.",
        "Search the log for `ledger_lost`.",
    ),
    Metric(
        "calls.refused.*",
        "counter",
        "Calls refused before any work was done, by error kind.",
        "Search the log for `call_refused`.",
    ),
    Metric(
        "jobs.explained",
        "counter",
        "Jobs that weren't sent and that this entry explained to operators.",
        "Steady: a program asks; each one costs the owner a round.",
    ),
    Metric(
        "jobs.beyond_weight",
        "counter",
        "Jobs that this entry accepted beyond the weight of their customer.",
        "See `customers` in `/v1/status`; raise the weight if it is too low.",
    ),
    Metric(
        "customers.beyond_weight",
        "gauge",
        "Jobs beyond the weight of their customer that wait, at the owner.",
        "Search the log for `weight_exceeded`, which names the customers.",
    ),
    Metric(
        "web.refused.*",
        "counter",
        "Clients that were refused or closed by a limit, by reason.",
        "Search the log for `clients_refused`, which names port and client.",
    ),
    Metric(
        "customers.held_back",
        "gauge",
        "Tasks, or jobs of the own interface, that wait because their customer"
        " runs as much as it may.",
        "See `customers` in `/v1/status` (of the owner, if there is one); raise"
        " the maximum.",
    ),
    Metric(
        "interference.pairs",
        "gauge",
        "Pairs of images that were observed on one worker, at the owner.",
        "Search the log for `interference_changed`, which names the images.",
    ),
    Metric(
        "fleet.slow_workers",
        "gauge",
        "Workers whose tasks take 1.45 times as long as on most, at the owner.",
        "Search the log for `worker_slow`, which names them.",
    ),
    Metric(
        "runs.long",
        "counter",
        "Tasks that took over 3 times as long as their siblings elsewhere.",
        "Above 5% of `runs.ended.done`: search the log for `worker_slow`.",
    ),
    Metric(
        "fleet.workers_left_out",
        "gauge",
        "Workers that the owner can't serve with its descriptors and memory.",
        "Above 0: give entries more; see `fleet_size_recorded` in the log.",
    ),
    Metric(
        "departures.*",
        "counter",
        "Decisions about runs whose workers leave: `stop`, `end` or `wait`.",
        "Search the log for `departure_decided`, which names run and chance.",
    ),
    Metric(
        "jobs.cancel.*",
        "counter",
        "Cancellations by callers, by outcome.",
        "`outcome_unknown` rising: responses of the ledger are lost.",
    ),
    Metric(
        "jobs.ended.*",
        "counter",
        "Ended jobs, by state.",
        "`failed` rising: OPERATIONS.md, section 3.",
    ),
    Metric(
        "runs.wait",
        "timing",
        "Time from when a unit becomes eligible to the start of its run.",
        "Rising: search the log for `job_waits`.",
    ),
    Metric(
        "jobs.taken",
        "timing",
        "Time from the acceptance of a job to its end.",
        "Rising with `runs.wait`: the fleet has no free resources.",
    ),
    Metric(
        "fleet.open_jobs",
        "gauge",
        "Jobs that have not ended; sent by the owner.",
        "Rising for a long time: the fleet is full or workers are quarantined.",
    ),
    Metric(
        "fleet.runs",
        "gauge",
        "Runs that hold resources; sent by the owner.",
        "Low with many open jobs: search the log for `job_waits`.",
    ),
    Metric(
        "rounds.skipped.operator_state_behind",
        "counter",
        "Rounds that start nothing, as an evacuation may have been missed.",
        "Search the log of the owner for `source=notices event=feed_lost`.",
    ),
    Metric(
        "rounds.cut",
        "counter",
        "Rounds that start less than they planned, as enough starts are under"
        " way.",
        "Steady: the link or processor of the owner is full; search its log"
        " for `link_used`.",
    ),
    Metric(
        "starts.answer",
        "timing",
        "Time until a worker answered a start, or until it was given up.",
        "Above 0.1 s for most: the link or processor of the owner is full.",
    ),
    Metric(
        "rounds.failed_steps",
        "counter",
        "Steps of a round, or effects of stored records, that raised an "
        "exception; the others went on.",
        "Above 0: search the log of the owner for `round_step_failed`.",
    ),
    Metric(
        "runs.ordered",
        "counter",
        "Runs that the owner decided to start.",
        "Far above `runs.ended.done`: see the other reasons of `runs.ended.*`.",
    ),
    Metric(
        "runs.ended.*",
        "counter",
        "Ended tasks of runs, by reason.",
        "`lost` or `alone` rising: workers don't respond.",
    ),
    Metric(
        "starts.gated",
        "gauge",
        "Tasks of the lowest priority that leave room for urgent arrivals.",
        "Normal under load; see OPERATIONS.md, A job is late.",
    ),
    Metric(
        "starts.open",
        "gauge",
        "Units with an unanswered start that may still be carried out.",
        "Rising: answers of workers are lost; search for `start_left_open`.",
    ),
    Metric(
        "starts.refused.*",
        "counter",
        "Start commands that were refused or not answered, by error kind.",
        "Search the log for `start_given_up`.",
    ),
    Metric(
        "paces.refused.*",
        "counter",
        "Pace commands for fillers that a worker did not confirm, by error"
        " kind.",
        "They are sent again. Rising: search the log for `worker_lost`.",
    ),
    Metric(
        "stops.refused.*",
        "counter",
        "Stop commands that were refused or not answered, by error kind.",
        "Search the log for `worker_lost`.",
    ),
    Metric(
        "ledger.append",
        "timing",
        "Time to append records of callers to the ledger.",
        "Above 0.2 s: the ledger is slow.",
    ),
    Metric(
        "traffic.calls.*",
        "counter",
        "Calls to other processes, by call, and requests served, by port.",
        "Compare with `traffic.sent` and `traffic.received` for their sizes.",
    ),
    Metric(
        "traffic.unanswered.*",
        "counter",
        "Calls that were sent and got no response in time, by call.",
        "Rising for all calls at once: the link of this entry is full.",
    ),
    Metric(
        "traffic.sent.*",
        "counter",
        "Bytes sent, by call and port; without TCP and IP.",
        "Near the rate of the link: search the owner's log for `link_used`.",
    ),
    Metric(
        "traffic.received.*",
        "counter",
        "Bytes received, by call and port; without TCP and IP.",
        "Near the rate of the link: search the owner's log for `link_used`.",
    ),
    Metric(
        "traffic.send_wait",
        "timing",
        "Time until the system took a request to another process.",
        "Above 0.1 s: the link of this entry is full, or a peer hangs.",
    ),
    Metric(
        "ledger.relayed.*",
        "counter",
        "Records of callers that were handed to the owner, by outcome.",
        "`connect_failed` or `outcome_unknown` rising: entries can't reach the"
        " owner and append on their own.",
    ),
    Metric(
        "ledger.owner_append",
        "timing",
        "Time to append records of the owner to the ledger.",
        "Above 0.2 s: the ledger is slow and delays starts.",
    ),
    Metric(
        "grants.asked",
        "timing",
        "Duration of calls to the service that decides the queues' policies.",
        "Search the log for `policy_unanswered`.",
    ),
    Metric(
        "ledger.append_failed.*",
        "counter",
        "Failed appends of callers' records, by error kind.",
        "Search the log for `ledger_lost`.",
    ),
    Metric(
        "ledger.owner_append_read_back",
        "counter",
        "Appends of the owner whose records were read back before a response.",
        "Rising: responses of the ledger are lost.",
    ),
    Metric(
        "ledger.owner_append_failed.*",
        "counter",
        "Failed appends of the owner's records, by error kind.",
        "`fenced` is normal after a change of owner.",
    ),
    Metric(
        "ledger.read_failed.*",
        "counter",
        "Failed reads of the ledger, by error kind.",
        "Search the log for `ledger_lost`.",
    ),
    Metric(
        "ledger.unreadable",
        "counter",
        "Records of the ledger ignored because they can't be decoded.",
        "Above 0: search the log for `record_ignored`.",
    ),
    Metric(
        "pool.fragmentation",
        "gauge",
        "Share of free accelerators that the largest waiting shape can't use.",
        "High for a long time: run `job explain` on the largest waiting job.",
    ),
    Metric(
        "pool.free_accelerators",
        "gauge",
        "Free accelerators on usable workers.",
        "0 is normal under load; borrowed accelerators can be preempted.",
    ),
    Metric(
        "pool.guarantees_at_risk",
        "gauge",
        "Guaranteed shapes that can't be provided at present.",
        "Above 0: howto/guarantee-at-risk.md.",
    ),
    Metric(
        "pool.work_done",
        "counter",
        "Accelerator-seconds of completed jobs.",
        "Falls while a data centre is out of service; must recover after it.",
    ),
    Metric(
        "planner.refused.*.*",
        "counter",
        "Plans and wait reasons that were not applied, by item and error kind.",
        "Steady: two entries plan at the same time; compare their "
        "`entries` tables.",
    ),
    Metric(
        "adopter.refused.*",
        "counter",
        "Notes that could not be proposed to the decision log, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "adopter.retried.*",
        "counter",
        "Retried reads of the configuration stream, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "adopter.void.*",
        "counter",
        "Proposed notes already adopted through another entry, or refused,"
        " by error kind.",
        "Normal in small numbers; `note history` shows each outcome.",
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
        "Notes that expired in the log before they were adopted.",
        "Any: submit the note again.",
    ),
    Metric(
        "journal.apply",
        "timing",
        "Time to apply one page of records.",
        "Above 0.1 s: the entry lags behind; see its CPU usage.",
    ),
    Metric(
        "journal.dump",
        "timing",
        "Time to serialise the state for a digest.",
        "Above 0.2 s: the state has grown; see CAPACITY.md.",
    ),
    Metric(
        "journal.state_bytes",
        "gauge",
        "Size of the serialised state.",
        "Above 64 MB: look for jobs or claims that accumulate.",
    ),
    Metric(
        "journal.snapshots",
        "counter",
        "Snapshots written completely.",
        "None for an hour: `journal.refused.snapshot_too_old` will follow.",
    ),
    Metric(
        "journal.diverged",
        "gauge",
        "1 while this entry's state digest differs from the others'.",
        "1: howto/divergence-alarm.md.",
    ),
    Metric(
        "journal.divergences",
        "counter",
        "Times that this entry's state digest differed from the others'.",
        "Any: howto/divergence-alarm.md.",
    ),
    Metric(
        "journal.restarted.*",
        "counter",
        "Replicas rebuilt from a snapshot, by reason.",
        "Any: howto/divergence-alarm.md.",
    ),
    Metric(
        "journal.failed.follow",
        "counter",
        "Exceptions in the task that follows the log.",
        "Any: report it with the log lines.",
    ),
    Metric(
        "journal.ignored.snapshot",
        "counter",
        "Incomplete, outdated or invalid snapshots that were skipped.",
        "Normal in small numbers.",
    ),
    Metric(
        "journal.refused.format",
        "counter",
        "Items held back until all entries support their format.",
        "Normal only during a rolling replacement.",
    ),
    Metric(
        "journal.refused.no_snapshot",
        "counter",
        "Starts that found a gap in the log and no complete snapshot.",
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
        "Proposals above the size limit of one record.",
        "Any: a job's payload or result is too large.",
    ),
    Metric(
        "journal.refused.queue_full",
        "counter",
        "Proposals refused because too many were waiting.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "journal.refused.snapshot_too_old",
        "counter",
        "Snapshots whose following records have expired in the log.",
        "Any: raise the retention of the log.",
    ),
    Metric(
        "journal.retried.append.*",
        "counter",
        "Retried appends, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "journal.retried.chunk.*",
        "counter",
        "Retried appends of snapshot chunks, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "journal.retried.read.*",
        "counter",
        "Retried reads of the decision stream, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "journal.retried.restore.*",
        "counter",
        "Retried loads of a snapshot, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "journal.skipped.plan.*",
        "counter",
        "Single decisions of a plan that were skipped at replay, by reason.",
        "Steady: report it with the job's `explain`.",
    ),
    Metric(
        "journal.void.*.*",
        "counter",
        "Items without effect at replay, by kind and error kind.",
        "Normal in small numbers.",
    ),
    Metric(
        "journal.void.duplicate",
        "counter",
        "Duplicate records skipped at replay.",
        "Normal after lost responses.",
    ),
    Metric(
        "journal.withdrawn",
        "counter",
        "Proposals withdrawn before they were sent.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "keeper.refused.*.*",
        "counter",
        "Marks, votes and snapshots not accepted, by item and error kind.",
        "Normal in small numbers.",
    ),
    Metric(
        "membership.live",
        "gauge",
        "Entries that this entry believes to be live.",
        "Below the number of running entries: check the network between "
        "entries.",
    ),
    Metric(
        "membership.changed",
        "counter",
        "Changes of the set of live entries.",
        "Rising without restarts: check the network between entries.",
    ),
    Metric(
        "membership.missed.*",
        "counter",
        "Heartbeats without a response, by error kind.",
        "Steady for one peer: check its instance.",
    ),
    Metric(
        "membership.refused.inbox_full",
        "counter",
        "Heartbeats dropped because the inbox was full.",
        "Any: the entry is overloaded.",
    ),
    Metric(
        "membership.refused.list",
        "counter",
        "Responses of the instance list that could not be decoded.",
        "Steady: check the platform's instance list.",
    ),
    Metric(
        "membership.refused.malformed",
        "counter",
        "Frames from peers that could not be decoded.",
        "Any: find out what else connects to the peer port.",
    ),
    Metric(
        "membership.retried.fresh_connection",
        "counter",
        "Heartbeats retried on a new connection after an open one failed.",
        "Steady: a network device drops idle connections.",
    ),
    Metric(
        "membership.retried.list.*",
        "counter",
        "Retried reads of the instance list, by error kind.",
        "Steady: check the platform's instance list.",
    ),
    Metric(
        "gangs.kept",
        "gauge",
        "Gangs whose leases this entry renews.",
        "0 on one entry only: check its rank in `status`.",
    ),
    Metric(
        "gangs.ended.*",
        "counter",
        "Attempts ended by this entry, by reason.",
        "`task_failed` on one worker: howto/bad-worker.md.",
    ),
    Metric(
        "gangs.reserved",
        "gauge",
        "Waiting gangs that workers are kept for.",
        "`gang_reserved` names them; see OPERATIONS.md, A job is late.",
    ),
    Metric(
        "gangs.refused.*",
        "counter",
        "Starts that were given up, by reason.",
        "Steady: howto/stuck-job.md.",
    ),
    Metric(
        "gangs.retried.*",
        "counter",
        "Retried proposals about gangs, by error kind.",
        "Steady: howto/log-outage.md.",
    ),
    Metric(
        "gangs.retried.prepare.*",
        "counter",
        "Retried preparations of starts, by error kind.",
        "`busy` is normal while preempted jobs stop.",
    ),
    Metric(
        "gangs.retried.renew.*",
        "counter",
        "Retried renewals of leases, by error kind.",
        "Repeatedly for one worker: howto/bad-worker.md.",
    ),
    Metric(
        "gangs.retried.start.*",
        "counter",
        "Retried starts on a worker, by error kind.",
        "Repeatedly for one worker: howto/bad-worker.md.",
    ),
    Metric(
        "gangs.retried.stop.*",
        "counter",
        "Retried stops on a worker, by error kind.",
        "Repeatedly for one worker: howto/bad-worker.md.",
    ),
    Metric(
        "gangs.stopped.stray",
        "counter",
        "Attempts that a worker still ran after they had ended for the system.",
        "Steady: report it with the name of the worker.",
    ),
    Metric(
        "requests.taken",
        "counter",
        "Requests received by the router.",
        "Compare with `requests.answered`.",
    ),
    Metric(
        "requests.answered",
        "counter",
        "Requests answered by a minion.",
        "Compare with `requests.taken`.",
    ),
    Metric(
        "requests.replayed",
        "counter",
        "Requests answered with a stored response.",
        "Normal after retries of callers.",
    ),
    Metric(
        "requests.time",
        "timing",
        "Time from receiving a request to its outcome.",
        "Rising: howto/overload.md.",
    ),
    Metric(
        "requests.in_flight.*",
        "gauge",
        "Requests sent to minions and not yet answered, by service.",
        "At its limit for a long time: howto/overload.md.",
    ),
    Metric(
        "requests.queued.*",
        "gauge",
        "Queued requests, by service.",
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
        "Retried tries of requests, by reason.",
        "Above a tenth of `requests.taken`: a minion is failing.",
    ),
    Metric(
        "requests.failed.*",
        "counter",
        "Failed tries of requests, by reason.",
        "For one minion: take it out of service.",
    ),
    Metric(
        "requests.hedged",
        "counter",
        "Hedges: second tries of slow idempotent requests.",
        "Rising: one minion is slow.",
    ),
    Metric(
        "requests.requeued.busy",
        "counter",
        "Requests queued again because a minion was busy.",
        "Steady: minions are shared too widely.",
    ),
    Metric(
        "requests.ejected",
        "counter",
        "Minions excluded after failures until a trial request.",
        "Steady for one minion: take it out of service.",
    ),
    Metric(
        "requests.heartbeat.kept_lost",
        "counter",
        "Persistent connections closed after a missed heartbeat.",
        "Steady: a network device drops idle connections.",
    ),
    Metric(
        "requests.heartbeat.missed",
        "counter",
        "Minions that missed a heartbeat on a new connection.",
        "Steady for one minion: take it out of service.",
    ),
    Metric(
        "requests.bad_address",
        "counter",
        "Minions whose address could not be parsed.",
        "Any: correct the note.",
    ),
    Metric(
        "requests.inbox_full",
        "counter",
        "Messages dropped because the dispatcher's inbox was full.",
        "Any: the entry is overloaded.",
    ),
    Metric(
        "settings.applied",
        "counter",
        "Changed settings that the running entry applied.",
        "Search the log for `setting_applied`.",
    ),
    Metric(
        "settings.refused",
        "counter",
        "Contents of the settings file that were refused, or unreadable.",
        "Search the log for `settings_refused`, and check the file.",
    ),
    Metric(
        "settings.pending",
        "gauge",
        "Changed settings that take effect only after a restart.",
        "Above 0: restart the entry; `settings_need_restart` names them.",
    ),
    Metric(
        "requests.claim_end_dropped",
        "counter",
        "Ends of claims that were not recorded in the log.",
        "Retries of callers then get no stored response.",
    ),
    Metric(
        "requests.release_failed",
        "counter",
        "Claims that could not be released.",
        "Requests with their keys are refused with `already_claimed`.",
    ),
)
