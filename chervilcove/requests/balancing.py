"""Load balancing over the minions of a service."""

from collections.abc import Collection
from collections.abc import Iterable
import random

from chervilcove.core import identifiers
from chervilcove.customers import schema as customers
from chervilcove.requests import conf
from chervilcove.requests import core
from chervilcove.requests import minions

_HEALTH_CONNECTIONS = 1


def compute_share(
    *, minion: str, total: int, entry: str, entries: Collection[str]
) -> int:
    """Return the share of the `total` slots of `minion` for `entry`.

    The shares of all entries add up to `total`. The remainder of an uneven
    division goes to the entries that rank highest for the minion.
    """
    share, rest = divmod(total, len(entries))
    ranked = identifiers.rank_members(minion, entries)
    return share + (1 if entry in ranked[:rest] else 0)


def compute_connection_share(*, total: int, entries: int) -> int:
    """Return how many request connections an entry may open to a minion.

    One share stays free for an entry that is being replaced, and one
    connection of each share is reserved for health requests.
    """
    return max(1, total // (entries + 1) - _HEALTH_CONNECTIONS)


class Balancer:
    """Choose minions of one service.

    Minions of the own data centre that have capacity are preferred until
    their load reaches `local_spill`. Of two minions drawn at random, the less
    loaded one is chosen ("The Power of Two Choices in Randomized Load
    Balancing", Mitzenmacher, 2001), so that entries with the same stale loads
    do not all choose the same minion.

    Args:
        entry: Name of this entry.
        data_centre: Data centre of this entry.
        limits: Limits of sharing and ejection.
        rng: Random number generator.
    """

    def __init__(
        self,
        *,
        entry: str,
        data_centre: str,
        limits: conf.Limits,
        rng: random.Random,
    ):
        self._entry = entry
        self._data_centre = data_centre
        self._limits = limits
        self._rng = rng
        self._entries: tuple[str, ...] = (entry,)
        self._views: dict[str, minions.MinionView] = {}

    def list_views(self) -> list[minions.MinionView]:
        """Return the views of all configured minions."""
        return list(self._views.values())

    def set_minions(self, configured: Iterable[customers.Minion]) -> None:
        """Replace the minions; unchanged ones keep their views."""
        views = {}
        for minion in configured:
            known = self._views.get(minion["name"])
            if known is None or known.minion != minion:
                known = minions.MinionView(minion=minion, limits=self._limits)
            views[known.name] = known
        self._views = views
        self._update_shares()

    def set_entries(self, entries: Iterable[str]) -> None:
        """Replace the entries that share the minions."""
        self._entries = tuple(sorted({*entries, self._entry}))
        self._update_shares()

    def record_listings(self, instances: Iterable[core.Instance]) -> None:
        """Record the instance list; rows of other instances are skipped."""
        for instance in instances:
            view = self._views.get(instance.name)
            if view is not None:
                view.record_listing(instance)

    def record_failure(self, view: minions.MinionView, *, now: float) -> bool:
        """Record a failed request; return whether it ejected the minion.

        At most `max_ejected_fraction` of the minions are ejected at a time: a
        request that fails on all minions is not a fault of one minion.
        """
        ejected = sum(
            1 for other in self._views.values() if other.state == "ejected"
        )
        allowed = int(len(self._views) * self._limits.max_ejected_fraction)
        return view.record_failure(now=now, may_eject=ejected < allowed)

    def is_usable(self, now: float) -> bool:
        """Return whether any minion may get requests."""
        for view in self._views.values():
            view.end_ejection(now)
        return any(view.is_usable() for view in self._views.values())

    def get_in_flight_limit(self, now: float) -> int:
        """Return how many requests this entry may have in flight in total."""
        return sum(
            view.get_in_flight_limit(now)
            for view in self._views.values()
            if view.is_usable()
        )

    def has_capacity(self, now: float) -> bool:
        """Return whether any minion may get another request now."""
        for view in self._views.values():
            view.end_ejection(now)
        return any(view.has_capacity(now) for view in self._views.values())

    def choose(
        self, *, now: float, avoided: Collection[str], is_idempotent: bool
    ) -> minions.MinionView | None:
        """Return the minion for the next try, None if none has capacity.

        Args:
            now: Monotonic time, in seconds.
            avoided: Minions used only if no other has capacity.
            is_idempotent: Whether a minion on trial may be preferred.
        """
        available = [
            view for view in self._views.values() if view.has_capacity(now)
        ]
        if not available:
            return None
        preferred = [view for view in available if view.name not in avoided]
        return self._pick(preferred or available, is_idempotent)

    def _pick(
        self, views: list[minions.MinionView], is_idempotent: bool
    ) -> minions.MinionView:
        on_trial = [view for view in views if view.state == "trial"]
        if on_trial and is_idempotent:
            return on_trial[0]
        live = [view for view in views if view.state == "live"] or views
        local = [view for view in live if self._is_local(view)]
        pair = self._sample_two(local or live)
        return min(pair, key=minions.MinionView.get_load)

    def _is_local(self, view: minions.MinionView) -> bool:
        if view.data_centre != self._data_centre:
            return False
        return view.get_load() < self._limits.local_spill

    def _sample_two(
        self, views: list[minions.MinionView]
    ) -> list[minions.MinionView]:
        if len(views) <= 2:
            return views
        return self._rng.sample(views, 2)

    def _update_shares(self) -> None:
        for view in self._views.values():
            view.slot_share = compute_share(
                minion=view.name,
                total=view.minion["slots"],
                entry=self._entry,
                entries=self._entries,
            )
            view.connection_share = compute_connection_share(
                total=view.minion["connections"], entries=len(self._entries)
            )
