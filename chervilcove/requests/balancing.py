"""Choice of a minion: shares of slots, load and locality."""

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
    """Return the part of `total` of `minion` that belongs to `entry`.

    The parts of all entries add up to `total`; what doesn't divide evenly
    goes to the entries that rank highest for the minion.
    """
    share, rest = divmod(total, len(entries))
    ranked = identifiers.rank_members(minion, entries)
    return share + (1 if entry in ranked[:rest] else 0)


def compute_connection_share(*, total: int, entries: int) -> int:
    """Return how many request connections one entry may open to a minion.

    One share is left over for an entry that is being replaced, and one
    connection of each share for health requests.
    """
    return max(1, total // (entries + 1) - _HEALTH_CONNECTIONS)


class Balancer:
    """Choose minions of one service.

    Of the minions with room, those of the own data centre are preferred
    until they are `local_spill` full. Of two drawn at random the less
    loaded one is taken (published as the power of two choices,
    Mitzenmacher, 2001), so that entries with the same stale view don't all
    choose the same minion.

    Args:
        entry: Name of this entry.
        data_centre: Data centre of this entry.
        limits: Bounds of sharing and ejection.
        source: Source of random draws.
    """

    def __init__(
        self,
        *,
        entry: str,
        data_centre: str,
        limits: conf.Limits,
        source: random.Random,
    ):
        self._entry = entry
        self._data_centre = data_centre
        self._limits = limits
        self._source = source
        self._entries: tuple[str, ...] = (entry,)
        self._views: dict[str, minions.MinionView] = {}

    def list_views(self) -> list[minions.MinionView]:
        """Return the views of all configured minions."""
        return list(self._views.values())

    def set_minions(self, configured: Iterable[customers.Minion]) -> None:
        """Replace the minions; known ones keep what is known of them."""
        views = {}
        for minion in configured:
            known = self._views.get(minion["name"])
            if known is None or known.minion != minion:
                known = minions.MinionView(minion=minion, limits=self._limits)
            views[known.name] = known
        self._views = views
        self._share()

    def set_entries(self, entries: Iterable[str]) -> None:
        """Replace the entries that share the minions."""
        self._entries = tuple(sorted({*entries, self._entry}))
        self._share()

    def hear_list(self, instances: Iterable[core.Instance]) -> None:
        """Take in the platform's list; rows of others are skipped."""
        for instance in instances:
            view = self._views.get(instance.name)
            if view is not None:
                view.hear_list(instance)

    def note_failure(self, view: minions.MinionView, *, now: float) -> bool:
        """Note a failed request; return whether it ejected the minion.

        At most `max_ejected_fraction` of the minions are ejected at one
        time: what fails everywhere is not the fault of one minion.
        """
        ejected = sum(
            1 for other in self._views.values() if other.state == "ejected"
        )
        allowed = int(len(self._views) * self._limits.max_ejected_fraction)
        return view.note_failure(now=now, may_eject=ejected < allowed)

    def is_usable(self, now: float) -> bool:
        """Tell whether any minion may get work."""
        for view in self._views.values():
            view.end_ejection(now)
        return any(view.is_usable() for view in self._views.values())

    def count_limit(self, now: float) -> int:
        """Return how many requests may be in flight on all minions."""
        return sum(
            view.get_limit(now)
            for view in self._views.values()
            if view.is_usable()
        )

    def has_room(self, now: float) -> bool:
        """Tell whether any minion may get one more request now."""
        for view in self._views.values():
            view.end_ejection(now)
        return any(view.has_room(now) for view in self._views.values())

    def choose(
        self, *, now: float, avoided: Collection[str], is_idempotent: bool
    ) -> minions.MinionView | None:
        """Return the minion for the next try, None where none has room.

        Args:
            now: Monotonic seconds.
            avoided: Minions used only if no other has room.
            is_idempotent: Whether a minion on trial may be preferred.
        """
        roomy = [view for view in self._views.values() if view.has_room(now)]
        if not roomy:
            return None
        fresh = [view for view in roomy if view.name not in avoided]
        return self._draw(fresh or roomy, is_idempotent)

    def _draw(
        self, views: list[minions.MinionView], is_idempotent: bool
    ) -> minions.MinionView:
        on_trial = [view for view in views if view.state == "trial"]
        if on_trial and is_idempotent:
            return on_trial[0]
        proven = [view for view in views if view.state == "live"] or views
        near = [view for view in proven if self._is_near(view)]
        pair = self._draw_two(near or proven)
        return min(pair, key=minions.MinionView.get_load)

    def _is_near(self, view: minions.MinionView) -> bool:
        if view.data_centre != self._data_centre:
            return False
        return view.get_load() < self._limits.local_spill

    def _draw_two(
        self, views: list[minions.MinionView]
    ) -> list[minions.MinionView]:
        if len(views) <= 2:
            return views
        return self._source.sample(views, 2)

    def _share(self) -> None:
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
