"""View of one minion: state, load and failures as this entry sees them."""

from chervilcove.charts import core as charts
from chervilcove.core import errors
from chervilcove.customers import schema as customers
from chervilcove.requests import conf
from chervilcove.requests import core


class MinionView:
    """Track state, load and failures of one minion.

    The status that the minion reports takes precedence over the platform's
    instance list. A minion stays "leaving" until a newer incarnation is seen.

    Args:
        minion: Configuration of the minion.
        limits: Limits of ejections and of the age of observed loads.
    """

    def __init__(self, *, minion: customers.Minion, limits: conf.Limits):
        self.minion = minion
        self.name = minion["name"]
        self.slots = minion["slots"]
        self.data_centre = minion["data_centre"]
        self.in_flight = 0
        self.slot_share = 1
        self.connection_share = 1
        self._limits = limits
        self._chart = charts.load_chart("minion")
        self.state = self._chart.initial
        self.incarnation = 0
        self._slots_used_by_others = 0
        self._observed_at = float("-inf")
        self._listed_leaving = False
        self._listed_incarnation = 0
        self._paused_until = 0.0
        self._failures = 0
        self._ejections = 0
        self._ejected_until = 0.0

    @property
    def is_leaving(self) -> bool:
        """Return whether the minion is leaving and gets no new requests."""
        return self.state == "leaving" or self._is_listed_leaving()

    def record_status(self, status: core.MinionStatus, *, now: float) -> None:
        """Record the status that the minion reported with an answer."""
        if status.incarnation < self.incarnation:
            return
        if status.incarnation > self.incarnation:
            self._start_incarnation(status.incarnation)
        if status.is_leaving:
            self._advance("leave")
        self.slots = status.slots or self.slots
        self._slots_used_by_others = max(0, status.busy - self.in_flight)
        self._observed_at = now

    def record_listing(self, instance: core.Instance) -> None:
        """Record the minion's row of the platform's instance list."""
        if instance.incarnation:
            if instance.is_leaving and instance.incarnation >= self.incarnation:
                self.incarnation = instance.incarnation
                self._advance("leave")
            return
        if instance.is_leaving and not self._listed_leaving:
            self._listed_incarnation = self.incarnation
        self._listed_leaving = instance.is_leaving

    def record_busy(self, *, now: float) -> None:
        """Record that the minion refused a request as busy.

        It gets no requests for a short pause, so that requests waiting for
        its slots do not load it further.
        """
        self._slots_used_by_others = max(0, self.slots - self.in_flight)
        self._observed_at = now
        self._paused_until = now + self._limits.busy_pause_s

    def record_unreachable(self) -> None:
        """Record that the minion answers on no connection."""
        self._advance("miss")

    def record_reachable(self) -> None:
        """Record that the minion answered a health request."""
        self._advance("answer")

    def record_success(self) -> None:
        """Record a complete answer to a request."""
        self._failures = 0
        if self.state == "trial":
            self._ejections = 0
        self._advance("pass")

    def record_failure(self, *, now: float, may_eject: bool) -> bool:
        """Record a failed request; return whether it ejected the minion."""
        self._failures += 1
        if self.state == "trial":
            self._eject("fail", now)
            return True
        if self.state != "live" or not may_eject:
            return False
        if self._failures < self._limits.failures_to_eject:
            return False
        self._eject("eject", now)
        return True

    def end_ejection(self, now: float) -> None:
        """Put an ejected minion on trial once its ejection has expired."""
        if self.state == "ejected" and now >= self._ejected_until:
            self._advance("wait_over")

    def get_in_flight_limit(self, now: float) -> int:
        """Return how many requests this entry may have in flight on it.

        The entry's share of the slots is always allowed. In addition, it may
        borrow a fraction of the other slots that were recently observed to be
        free.
        """
        if self.state == "trial":
            return 1
        limit = self.slot_share
        if now - self._observed_at <= self._limits.load_fresh_s:
            spare = self.slots - self._slots_used_by_others - limit
            limit += int(max(0, spare) * self._limits.borrow_fraction)
        return min(limit, self.slots, self.connection_share)

    def get_load(self) -> float:
        """Return the estimated fraction of its slots in use."""
        return (self.in_flight + self._slots_used_by_others) / max(
            1, self.slots
        )

    def is_usable(self) -> bool:
        """Return whether the minion may get requests at all."""
        if self._is_listed_leaving():
            return False
        return self.state in ("live", "trial")

    def has_capacity(self, now: float) -> bool:
        """Return whether the minion may get another request now."""
        if not self.is_usable() or now < self._paused_until:
            return False
        return self.in_flight < self.get_in_flight_limit(now)

    def describe(self, now: float) -> dict:
        """Return the view as a JSON compatible value."""
        return {
            "name": self.name,
            "data_centre": self.data_centre,
            "state": "leaving" if self.is_leaving else self.state,
            "in_flight": self.in_flight,
            "limit": self.get_in_flight_limit(now),
            "load": round(self.get_load(), 3),
            "incarnation": self.incarnation,
        }

    def _is_listed_leaving(self) -> bool:
        is_same = self.incarnation <= self._listed_incarnation
        return self._listed_leaving and is_same

    def _start_incarnation(self, incarnation: int) -> None:
        is_first = self.incarnation == 0
        self.incarnation = incarnation
        if is_first:
            self._listed_incarnation = incarnation
            return
        self._failures = 0
        self._ejections = 0
        self._advance("renew")

    def _eject(self, event: str, now: float) -> None:
        pause_s = self._limits.eject_s * 2**self._ejections
        self._ejected_until = now + min(pause_s, self._limits.max_eject_s)
        self._ejections = min(self._ejections + 1, 16)
        self._failures = 0
        self._advance(event)

    def _advance(self, event: str) -> None:
        state = self._chart.advance(self.state, event)
        if not errors.is_refusal(state):
            self.state = state
