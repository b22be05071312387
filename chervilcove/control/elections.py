"""Elections: which entry is the owner.

A claim is the first append of a new epoch, which follows the newest epoch that
the claiming entry has read. The ledger ignores a second first append of an
epoch and refuses lower epochs, so only one of several claims is stored. Other
appends meanwhile, and appends that are executed late, don't change that. A
claim takes effect once its entry reads it back. So an append without an answer
needs no special handling, and the new owner has by then read everything that
its predecessor stored.
"""

from collections.abc import Callable
import time

import xxhash

from chervilcove.control import clocks
from chervilcove.control import fences
from chervilcove.control import follower as followers
from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import tasks
from chervilcove.dispatch import capacity
from chervilcove.jobs import records

# The owner is replaced after this time without one of its records, which allows
# for three heartbeats at `owner_writer.HEARTBEAT_INTERVAL_S`. In the specified
# worst case the ledger answers in 0.32 s, so that heartbeats are 0.52 s apart.
# The read before a claim finds a heartbeat that was missed.
OWNER_TIMEOUT_S = 0.7
# Added after an outage of the ledger, whose end each entry notices by its own
# probes: the owner may do so later than the others.
RETURN_GRACE_S = 0.8
# The same while the ledger is slow. Appends then wait for each other, and the
# ledger refuses those that wait for longer than this.
SLOW_OWNER_TIMEOUT_S = 2.0
SLOW_READ_S = 0.1  # slower answers mean a slow ledger; 8 ms is usual
CHECK_INTERVAL_S = 0.1  # between checks of the owner
CLAIM_TIMEOUT_S = 1.0
CLAIM_PAUSE_S = 0.3  # after a claim, until it is read back
# Claims of the entries are spread over the time that the ledger needs to answer
# all of them, so that hardly any two coincide: with a slow ledger, the claims
# of 97 entries would delay those of the owner for seconds.
CLAIM_SPREAD_FACTOR = 1.5
MIN_CLAIM_SPREAD_S = 0.1
MIN_PROCESSORS = 0.5  # of the smallest entries
# Added to the claim of an entry that can't own the fleet. An entry that can may
# notice RETURN_GRACE_S later that the owner is gone; the rest is for its check,
# its claim and the time until that is read.
UNFIT_DELAY_S = 1.5
STALE_CHECK_S = 0.05  # a check of the owner that is older is repeated


def compute_rank(incarnation: str, *, processors: float) -> float:
    """Return the rank of an entry among those that claim, from 0 to 1.

    An owner on half a processor took so long to adopt the runs of 270 workers
    that it was replaced in its turn. So entries with twice the processors have
    a quarter of the rank.
    """
    fraction = xxhash.xxh32(incarnation.encode()).intdigest() / 2**32
    return fraction / max(1.0, processors / MIN_PROCESSORS) ** 2


def compute_claim_delay_s(
    *, rank: float, entries: int, answer_s: float
) -> float:
    """Return how long an entry waits before its claim.

    Args:
        rank: Fraction from 0 to 1 that differs between the entries; up to 2
            for entries with a small link, above for those that can't own the
            fleet.
        entries: Number of entries that may claim.
        answer_s: Time in which the ledger answered just now, seconds.
    """
    spread_s = CLAIM_SPREAD_FACTOR * entries * answer_s
    least_s = UNFIT_DELAY_S if rank >= capacity.UNFIT_RANK else 0.0
    return least_s + rank * max(MIN_CLAIM_SPREAD_S, spread_s)


class Election(tasks.Task):
    """Claim ownership while there is no owner.

    Args:
        name: Name of this entry; no two processes have the same name at once.
        incarnation: Random id of this process; `complete_incarnation` adds its
            start.
        ledger: The job ledger.
        follower: Reads the ledger.
        rank: Fraction from 0 to 1 that spreads the claims of the entries.
        on_change: Called with the epoch once this entry becomes the owner,
            and with None once it no longer is.
        limits: Limits of the machine of this entry.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        ledger: interfaces.Ledger,
        follower: followers.Follower,
        rank: float,
        on_change: Callable[[int | None], None],
        limits: capacity.EntryLimits = capacity.UNKNOWN_LIMITS,
    ):
        super().__init__(name="election")
        self._name = name
        self.incarnation = incarnation
        self._ledger = ledger
        self._follower = follower
        self._rank = rank
        self._limits = limits
        self._on_change = on_change
        self._epoch: int | None = None
        self._is_leaving = False
        # Whether the record of this process's start is stored.
        self._is_announced = False
        # Newest epoch that this entry lost; its claim is not applied again.
        self._lost_epoch = 0
        # Newest epoch that this entry claimed, and the boot clock, in seconds,
        # when it first sent that claim.
        self._claimed_epoch = 0
        self._claim_sent_at = float("-inf")
        follower.add_listener(self.apply_claim)

    @property
    def epoch(self) -> int | None:
        """Return the epoch in which this entry is the owner, or None."""
        return self._epoch

    @property
    def claim_sent_at(self) -> float:
        """Return when the newest claim was first sent, boot clock seconds."""
        return self._claim_sent_at

    def set_rank(self, rank: float) -> None:
        """Set the rank of this entry from its next claim on."""
        self._rank = rank

    def set_limits(self, limits: capacity.EntryLimits) -> None:
        """Set the limits of the machine from the next claim on."""
        self._limits = limits

    def complete_incarnation(self) -> str:
        """Add the start of this process to its incarnation; return it.

        To be called once the ledger was read, before the incarnation is
        announced.
        """
        self.incarnation = records.add_start_offset(
            self.incarnation, self._follower.next_offset
        )
        return self.incarnation

    def record_announced(self) -> None:
        """Allow claims, as the record of this process's start is stored."""
        self._is_announced = True

    def apply_claim(self) -> None:
        """Become the owner or step down, as the newest claim requires."""
        if self._follower.table.incarnations.get(self._name) == (
            self.incarnation
        ):
            self.record_announced()
        claim = self._follower.table.claim
        epoch = self._follower.table.epoch
        is_mine = (
            claim is not None
            and claim.incarnation == self.incarnation
            and not claim.is_resigned
            and epoch > self._lost_epoch
        )
        if self._epoch is not None and not (is_mine and epoch == self._epoch):
            self.step_down("newer claim")
        if (
            is_mine
            and self._epoch is None
            and not self._is_leaving
            and self._follower.is_current
        ):
            self._epoch = epoch
            self._follower.own_epoch = epoch
            self._follower.own_sequence = 0
            self.log.info(
                "ownership_gained",
                epoch=epoch,
                offset=self._follower.next_offset,
            )
            self._on_change(epoch)

    def step_down(self, reason: str) -> None:
        """Stop being the owner immediately."""
        if self._epoch is None:
            return
        epoch, self._epoch = self._epoch, None
        self._lost_epoch = max(self._lost_epoch, epoch)
        self._follower.own_epoch = None
        self.log.warn("ownership_lost", epoch=epoch, reason=reason)
        self._on_change(None)

    def resign(self) -> None:
        """Hand over ownership, and make no more claims."""
        self._is_leaving = True
        epoch = self._epoch
        if epoch is None:
            return
        self.step_down("the entry is stopping")
        outcome = self._append(
            fences.compute_next_epoch(epoch), is_resigned=True
        )
        self.log.info(
            "ownership_handed_over",
            epoch=epoch,
            stored=not errors.is_refusal(outcome),
        )

    def run(self) -> None:
        """Monitor the owner, and claim when it is gone, until stopped."""
        while not self.is_stopping:
            self.sleep(CHECK_INTERVAL_S)
            if self._may_claim() and not self.is_stopping:
                self._claim()

    def _may_claim(self) -> bool:
        follower = self._follower
        if self._is_leaving or self._epoch is not None:
            return False
        if not follower.is_current or follower.reachable_since is None:
            return False
        process = records.Process(self._name, self.incarnation)
        if not self._is_announced or follower.table.has_ended(process):
            return (
                False  # other entries would think that this process has ended
            )
        if follower.table.is_owner_gone():
            return True
        is_current = (
            time.monotonic() - follower.last_read < followers.READ_TIMEOUT_S
        )
        return is_current and self._get_owner_silence_s() > OWNER_TIMEOUT_S

    def _get_owner_silence_s(self) -> float:
        """Return the seconds without owner records while reads succeeded.

        It may be negative soon after an outage.
        """
        follower = self._follower
        since = follower.reachable_since or time.monotonic()
        if follower.owner_seen_at < since:
            since += RETURN_GRACE_S
        return time.monotonic() - max(follower.owner_seen_at, since)

    def _claim(self) -> None:
        asked = time.monotonic()
        if self._has_owner_written():
            return
        is_gone = self._follower.table.is_owner_gone()
        answer_s = time.monotonic() - asked
        if (
            answer_s > SLOW_READ_S
            and not is_gone
            and self._get_owner_silence_s() < SLOW_OWNER_TIMEOUT_S
        ):
            return
        workers = self._follower.worker_count
        rank = capacity.compute_claim_rank(self._rank, self._limits, workers)
        delay_s = compute_claim_delay_s(
            rank=rank,
            entries=len(self._follower.table.incarnations),
            answer_s=answer_s,
        )
        if rank >= capacity.UNFIT_RANK:
            self.log.warn(
                "claim_delayed",
                workers=workers,
                ownable=capacity.count_ownable_workers(self._limits),
                max_fds=self._limits.max_fds,
                memory_mb=self._limits.memory_mb,
                delay_s=round(delay_s, 2),
            )
        self.sleep(delay_s)
        if not self._may_claim():
            return
        if delay_s > STALE_CHECK_S and self._has_owner_written():
            return
        epoch = fences.compute_next_epoch(self._follower.table.epoch)
        outcome = self._append(epoch, is_resigned=False)
        self.log.info(
            "ownership_claimed",
            epoch=epoch,
            refused=outcome.kind.value if errors.is_refusal(outcome) else "",
        )
        # The claim takes effect once it is read back, whatever the answer.
        self.sleep(CLAIM_PAUSE_S)

    def _has_owner_written(self) -> bool:
        """Tell whether an owner has written records since the last read.

        Reads that wait may return nothing for a second while an owner writes,
        so this read does not wait.

        Returns:
            True also if the read fails, since the answer is then unknown.
        """
        chunk = self._ledger.read(
            self._follower.next_offset,
            wait_s=0.0,
            timeout_s=CLAIM_TIMEOUT_S,
        )
        if errors.is_refusal(chunk):
            return True
        decoded = (records.decode(one.key, one.value) for one in chunk.records)
        return any(
            not errors.is_refusal(one) and one.kind in records.OWNER_KINDS
            for one in decoded
        )

    def _append(self, epoch: int, *, is_resigned: bool) -> int | errors.Refusal:
        claim = records.Claim(
            epoch,
            self._name,
            self.incarnation,
            is_resigned,
            tuple(
                process
                for process in self._follower.list_renewing_owners()
                if process.incarnation != self.incarnation
            ),
        )
        item = (
            records.build_key(records.Kind.CLAIM),
            records.encode_value(claim),
        )
        if epoch > self._claimed_epoch:
            self._claimed_epoch = epoch
            self._claim_sent_at = clocks.read_boot_clock_s()
        return self._ledger.append(
            [item], fence=interfaces.Fence(epoch, 0), timeout_s=CLAIM_TIMEOUT_S
        )
