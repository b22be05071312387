"""When machines were disturbed, as far as a record tells.

A rule that holds only for machines in touch, or only in calm times, is judged
only where these say so for certain.
"""

import bisect
import collections
import math
import re
from typing import NamedTuple

# Begin of the names of faults that don't count as a disturbance nearby.
MILD_FAULTS = ("config", "cancel")
STORE_WORDS = re.compile(r"store|log|platform|core")


class Fault(NamedTuple):
    """Fault that was injected.

    Attributes:
        target: Text that names all that it was meant for.
        end: When it ended, infinity if no line tells.
    """

    name: str
    target: str
    begin: float
    end: float


class Disturbances:
    """Faults, and moments at which something was seen to be disturbed.

    Args:
        contact_s: How long a machine must be undisturbed to be in touch.
    """

    def __init__(self, *, contact_s):
        self.contact_s = contact_s
        self.faults = []
        self._open = collections.defaultdict(list)
        self._all_moments = []
        self._spans = []
        self._moments_by_name = collections.defaultdict(list)
        self._names = set()
        self._zones = set()
        self._zones_by_name = {}

    def add_name(self, name, zone=None):
        """Note a worker or an entry, which faults may name, and its zone."""
        self._names.add(name)
        if zone:
            self._zones.add(zone)
            self._zones_by_name[name] = zone

    def add_moment(self, at, *names):
        """Note that something, perhaps of a name, was disturbed at a moment."""
        bisect.insort(self._all_moments, at)
        for name in names:
            bisect.insort(self._moments_by_name[name], at)

    def add_fault(self, event):
        target = event.get("target", "")
        if isinstance(target, list):
            target = " ".join(str(each) for each in target)
        key = event["name"], str(target)
        if event["phase"] == "begin":
            self._open[key].append(event["at"])
        else:
            begins = self._open[key]
            begin = begins.pop(0) if begins else event["at"]
            self.faults.append(Fault(*key, begin, event["at"]))

    def add_span(self, begin, end):
        """Note a time that isn't calm, though no machine was disturbed."""
        self._spans.append((begin, end))

    def finish(self):
        """Let all faults last on that have no end."""
        for key, begins in self._open.items():
            self.faults.extend(Fault(*key, each, math.inf) for each in begins)
        self._open.clear()
        self.faults.sort(key=lambda fault: fault.begin)

    def is_calm(self, begin, end):
        """Return whether nothing was disturbed near a span, wherever it was.

        Entries that start or end, workers that are gone, lapsed leases and
        orders that were late or had no answer count as disturbances too.
        """
        begin -= self.contact_s
        if _find_within(self._all_moments, begin, end):
            return False
        spans = [
            (fault.begin, fault.end)
            for fault in self.faults
            if not fault.name.startswith(MILD_FAULTS)
        ]
        return not any(
            first <= end and last >= begin
            for first, last in (*spans, *self._spans)
        )

    def is_undisturbed(self, name, begin, end):
        """Return whether an entry or worker, and the store, surely were calm.

        Args:
            name: Name of the entry or worker.
            begin: Begin of the span; `contact_s` before it counts too.
            end: End of the span.
        """
        begin -= self.contact_s
        if _find_within(self._moments_by_name.get(name, []), begin, end):
            return False
        return not any(
            fault.begin <= end
            and fault.end >= begin
            and self._may_concern(fault.target, name)
            for fault in self.faults
        )

    def _may_concern(self, target, concerned):
        """Return whether a fault may disturb the store, or one by its name.

        It certainly doesn't if its target names workers, zones or entries, and
        neither the store nor the one concerned nor its zone.
        """
        if STORE_WORDS.search(target) or _names(target, concerned):
            return True
        if any(
            _may_be_renamed(word, concerned)
            for word in re.findall(r"[\w.:-]+", target)
        ):
            return True
        zones = [zone for zone in self._zones if _names(target, zone)]
        zone = self._zones_by_name.get(concerned)
        if zones and (zone is None or zone in zones):
            return True
        return not zones and not any(
            _names(target, name) for name in self._names
        )


def _names(target, name):
    """Return whether a text contains a name that is no part of a longer one."""
    return name in target and bool(
        re.search(rf"(?<![\w.]){re.escape(name)}(?![\w.])", target)
    )


def _may_be_renamed(earlier, name):
    """Return whether a name may belong to what had an earlier one.

    That is the earlier one with more after it, but not more digits: "w1x2"
    may be "w1" after a start under a new id, "w12" is another.
    """
    rest = name.removeprefix(earlier)
    return rest not in ("", name) and not rest[0].isdigit()


def _find_within(moments, begin, end):
    index = bisect.bisect_left(moments, begin)
    return index < len(moments) and moments[index] <= end
