"""Elections: which entry owns the decisions.

A claim is the first append of a new epoch, one above the newest that its
writer has read. The ledger drops a second first append of an epoch and
refuses lower epochs, so of several candidates one claim is stored, whatever
else is appended meanwhile, and whatever is carried out late. It counts once
its writer reads it back: an append without an answer needs no guess, and the
winner has then read everything that its predecessor stored.
"""

from collections.abc import Callable
import time

from chervilcove.control import follower as followers
from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.core import tasks
from chervilcove.jobs import records

# Time without a sign of the owner after which it is replaced: three beats of
# `writers.BEAT_S`. At a ledger with answers of 0.32 s, the users' worst, beats
# are 0.52 s apart. The look before a claim finds one that was missed.
SILENCE_S = 0.7
# The same while the ledger is slow: appends then wait for each other, and one
# that waits for longer than this is refused.
SLOW_SILENCE_S = 2.0
SLOW_READ_S = 0.1  # an answer later than this tells of a slow ledger; 8 ms else
CHECK_S = 0.1  # pause between two looks at the owner
CLAIM_TIMEOUT_S = 1.0
# Spread of the entries' claims, so that one is mostly alone.
SPREAD_S = 0.3


class Election(tasks.Task):
    """Claim the decisions while nobody has them.

    Args:
        name: Name of this entry, which no two processes have at a time.
        incarnation: Its process.
        ledger: The job ledger.
        follower: Reads the ledger.
        rank: Place among the entries, 0 to 1: spreads their claims.
        on_change: Called with the epoch once this entry owns the decisions,
            with None once it no longer does.
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
    ):
        super().__init__(name="election")
        self._name = name
        self._incarnation = incarnation
        self._ledger = ledger
        self._follower = follower
        self._spread_s = rank * SPREAD_S
        self._on_change = on_change
        self._epoch: int | None = None
        self._is_leaving = False
        self.is_predecessor_gone = False
        # An epoch that was given up; its claim is not taken up again.
        self._given_up = 0
        follower.add_listener(self.follow_claim)

    @property
    def epoch(self) -> int | None:
        """Return the epoch that this entry owns, or None."""
        return self._epoch

    def follow_claim(self) -> None:
        """Take the newest claim in the ledger as true."""
        claim = self._follower.table.claim
        epoch = self._follower.table.epoch
        is_mine = (
            claim is not None
            and self._follower.is_loaded
            and claim.incarnation == self._incarnation
            and not claim.is_resigned
            and epoch > self._given_up
        )
        if self._epoch is not None and not (is_mine and epoch == self._epoch):
            self.give_up("another claim, or a ledger read anew")
        if is_mine and self._epoch is None and not self._is_leaving:
            self._epoch = epoch
            self._follower.own_epoch = epoch
            self._follower.own_sequence = 0
            self.log.info(
                "ownership_gained",
                epoch=epoch,
                offset=self._follower.next_offset,
            )
            self._on_change(epoch)

    def give_up(self, reason: str) -> None:
        """Stop to decide at once."""
        if self._epoch is None:
            return
        epoch, self._epoch = self._epoch, None
        self._given_up = max(self._given_up, epoch)
        self._follower.own_epoch = None
        # What was applied before it was stored may never be: read anew.
        self._follower.is_loaded = False
        self.log.warn("ownership_lost", epoch=epoch, reason=reason)
        self._on_change(None)

    def leave(self) -> None:
        """Hand the decisions over; claim none from now on."""
        self._is_leaving = True
        epoch = self._epoch
        if epoch is None:
            return
        self.give_up("the entry leaves")
        outcome = self._append(epoch + 1, is_resigned=True)
        self.log.info(
            "ownership_handed_over",
            epoch=epoch,
            stored=not errors.is_refusal(outcome),
        )

    def run(self) -> None:
        """Watch the owner until stopped."""
        while not self.is_stopping:
            self.rest(CHECK_S)
            if self._is_vacant() and not self.is_stopping:
                self._claim()

    def _is_vacant(self) -> bool:
        follower = self._follower
        if self._is_leaving or self._epoch is not None:
            return False
        if not follower.is_loaded or follower.reachable_since is None:
            return False
        known = follower.table.incarnations.get(self._name)
        if known != self._incarnation:
            return False  # others would take this process for an ended one
        now = time.monotonic()
        if follower.table.is_owner_gone():
            return now - follower.last_owner_sign > self._spread_s
        is_current = now - follower.last_read < followers.READ_TIMEOUT_S
        return is_current and self._get_silence_s() > SILENCE_S + self._spread_s

    def _get_silence_s(self) -> float:
        """Return for how long an owner could have been heard, and was not."""
        follower = self._follower
        since = follower.reachable_since or time.monotonic()
        return time.monotonic() - max(follower.last_owner_sign, since)

    def _claim(self) -> None:
        asked = time.monotonic()
        if self._hears_owner():
            return
        is_gone = self._follower.table.is_owner_gone()
        is_slow = time.monotonic() - asked > SLOW_READ_S
        if is_slow and not is_gone and self._get_silence_s() < SLOW_SILENCE_S:
            return
        self.is_predecessor_gone = is_gone
        epoch = self._follower.table.epoch + 1
        outcome = self._append(epoch, is_resigned=False)
        self.log.info(
            "ownership_claimed",
            epoch=epoch,
            refused=outcome.kind.value if errors.is_refusal(outcome) else "",
        )
        # Whatever the answer: the claim counts once it is read back.
        self.rest(0.2 + self._spread_s)

    def _hears_owner(self) -> bool:
        """Tell whether an owner wrote since the last read.

        Reads that wait may hear nothing for a second while an owner writes;
        one that does not wait tells what there is.
        """
        chunk = self._ledger.read(
            self._follower.next_offset,
            wait_s=0.0,
            timeout_s=CLAIM_TIMEOUT_S,
        )
        if errors.is_refusal(chunk):
            return True  # who can't read can't tell
        decoded = (records.decode(one.key, one.value) for one in chunk.records)
        return any(
            not errors.is_refusal(one) and one.kind in records.OWNER_KINDS
            for one in decoded
        )

    def _append(self, epoch: int, *, is_resigned: bool) -> int | errors.Refusal:
        claim = records.Claim(epoch, self._name, self._incarnation, is_resigned)
        item = (
            records.build_key(records.Kind.CLAIM),
            records.encode_value(claim),
        )
        return self._ledger.append(
            [item], fence=interfaces.Fence(epoch, 0), timeout_s=CLAIM_TIMEOUT_S
        )
