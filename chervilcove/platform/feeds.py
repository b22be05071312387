"""Feeds of operator state and of minion reports, and their JSON formats."""

from collections.abc import Callable
from typing import Annotated
from typing import Any

import msgspec

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.jobs import configuration
from chervilcove.jobs import specs
from chervilcove.platform import fields
from chervilcove.platform import store

EVACUATION_PREFIX = "evacuate/"
CONFIG_KEY = "config"
# A configuration must be in force within 2 s of its append to the store, and
# within 3 s of the end of an outage in which a read got no answer.
OPERATOR_READ_WAIT_S = 1.5
MINION_READ_WAIT_S = 1.5  # each minion writes a report at this interval
# Between two reads, so that one returns the reports of many minions. It adds to
# the time in which the owner learns that a minion drains.
MINION_READ_PAUSE_S = 0.1


class _Route(msgspec.Struct):
    """JSON format of a route, which the control plane calls a queue."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: fields.Integer = 1
    attempts: fields.Integer = 1
    stretch: fields.Number = 3.0
    target_latency_ms: fields.Number = 0
    timeout_ms: fields.Number = 3_000
    public: bool = False
    advice: Any = None


class _Maximum(msgspec.Struct):
    """JSON format of what a tenant may have running; 0 is no limit."""

    cpu: fields.Count = 0
    mem_mb: fields.Count = 0
    gpu: fields.Count = 0


class _Tenant(msgspec.Struct):
    """JSON format of a tenant, which the control plane calls a customer."""

    name: str
    api_keys: list[str] = []
    guaranteed: dict[str, fields.Integer] = {}
    maximum: _Maximum = msgspec.field(default_factory=_Maximum)
    weight: fields.Amount = 0


class _Limits(msgspec.Struct):
    """JSON format of the limits of requests.

    Decoding refuses limits under which no ordinary request is served, and
    bodies that no machine has the memory for.
    """

    max_header_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=2**20)] = 16_384
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=2**26)] = 262_144
    header_timeout_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = 3_000
    idle_timeout_ms: Annotated[int, msgspec.Meta(ge=100, le=3_600_000)] = 15_000


class _Config(msgspec.Struct):
    """JSON format of the configuration."""

    version: fields.Integer
    routes: list[_Route]
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Capacity(msgspec.Struct):
    """JSON format of the total resources of a minion."""

    cpu: fields.Count
    mem_mb: fields.Count
    gpu: fields.Count = 0


class _Minion(msgspec.Struct):
    """JSON format of the report of a minion about itself."""

    service: str
    addr: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = []
    clock_ms: fields.Integer = 0
    born: fields.Count = 0
    remaining_ms: fields.Integer = 0
    machine: str = ""


def parse_config(value: bytes) -> configuration.Configuration | errors.Refusal:
    """Return the configuration that `value` encodes as JSON, or a refusal."""
    config = store.decode(value, _Config)
    if errors.is_refusal(config):
        return config
    return configuration.Configuration(
        version=config.version,
        limits=configuration.RequestLimits(
            max_header_bytes=config.limits.max_header_bytes,
            max_body_bytes=config.limits.max_body_bytes,
            header_timeout_ms=config.limits.header_timeout_ms,
            idle_timeout_ms=config.limits.idle_timeout_ms,
        ),
        queues=[
            configuration.Queue(
                name=route.name,
                host=route.host,
                prefix=route.path_prefix,
                service=route.service,
                priority=route.priority,
                attempts=route.attempts,
                stretch=route.stretch,
                target_ms=int(route.target_latency_ms),
                timeout_ms=int(route.timeout_ms),
                is_public=route.public,
                needs_advice=bool(route.advice),
            )
            for route in config.routes
        ],
        customers=[
            configuration.Customer(
                name=tenant.name,
                keys=tuple(tenant.api_keys),
                guaranteed=tenant.guaranteed.get("gpu", 0),
                maximum=specs.Resources(
                    tenant.maximum.cpu,
                    tenant.maximum.mem_mb,
                    tenant.maximum.gpu,
                ),
                weight=tenant.weight,
            )
            for tenant in config.tenants
        ],
    )


def parse_minion(
    key: str, value: bytes
) -> interfaces.WorkerReport | errors.Refusal:
    """Return the report in `value`, or a refusal.

    Args:
        key: Key of the record, which is the id of the minion.
        value: JSON document that the minion wrote.
    """
    minion = store.decode(value, _Minion)
    if errors.is_refusal(minion):
        return minion
    if minion.state not in ("ready", "draining"):
        return errors.refuse(
            errors.Kind.MALFORMED, f"unknown state {minion.state[:80]!r}"
        )
    if not fields.is_token(key):
        return errors.refuse(
            errors.Kind.MALFORMED, f"the key is not an id: {key[:80]!r}"
        )
    try:
        address = store.parse_address(minion.addr)
    except ValueError:
        address = None
    if address is None or not (
        fields.is_ip_address(address.host) and address.port
    ):
        return errors.refuse(
            errors.Kind.MALFORMED, f"addr is not IP:port: {minion.addr[:80]!r}"
        )
    return interfaces.WorkerReport(
        id=key,
        life=minion.born,
        host=address.host,
        port=address.port,
        service=minion.service,
        data_centre=minion.zone,
        rack=_find_rack(minion.labels),
        labels=frozenset(minion.labels),
        capacity=specs.Resources(
            minion.capacity.cpu, minion.capacity.mem_mb, minion.capacity.gpu
        ),
        is_draining=minion.state == "draining",
        leaves_in_ms=max(0, minion.remaining_ms),
        clock_ms=minion.clock_ms,
        machine=minion.machine,
    )


def _find_rack(labels: list[str]) -> str:
    """Return the first label that names a rack, such as "r1-3", or ""."""
    for label in labels:
        if label[:1] == "r" and label[1:2].isdigit():
            return label
    return ""


class OperatorFeed(store.TopicFeed):
    """Feed of the configuration and the evacuations set by the operator.

    Args:
        topic: Topic that the operator writes to.
        on_change: Called after each change.
    """

    def __init__(
        self, *, topic: store.KeyedTopic, on_change: Callable[[], None]
    ):
        super().__init__(
            topic=topic, name="notices", wait_s=OPERATOR_READ_WAIT_S
        )
        self._on_change = on_change
        self._operations = interfaces.OperatorState(
            None, frozenset(), self.caught_up_at
        )

    def get(self) -> interfaces.OperatorState:
        """Return the configuration and the evacuations in force."""
        return self._operations

    def handle_changes(self, changed: set[str] | None) -> None:
        """Apply a newer configuration and the current evacuations."""
        values = self.values
        evacuated = frozenset(
            key.removeprefix(EVACUATION_PREFIX)
            for key in values
            if key.startswith(EVACUATION_PREFIX)
        )
        config = self._operations.configuration
        if CONFIG_KEY in values and (changed is None or CONFIG_KEY in changed):
            config = self._apply_config(values[CONFIG_KEY], config)
        if evacuated != self._operations.evacuated:
            self.log.info("evacuations_read", zones=",".join(evacuated))
        self._operations = interfaces.OperatorState(
            config, evacuated, self.caught_up_at
        )
        self._on_change()

    def on_caught_up(self) -> None:
        """Record when the store last confirmed the operator's state."""
        self._operations = self._operations._replace(read_at=self.caught_up_at)

    def _apply_config(
        self, value: bytes, before: configuration.Configuration | None
    ) -> configuration.Configuration | None:
        config = parse_config(value)
        if errors.is_refusal(config):
            self.log.error("config_ignored", reason=config.reason)
            return before
        # A read may return old records. A configuration that was in force is
        # never replaced by an older one.
        if before is not None and config.version <= before.version:
            return before
        self.log.info(
            "config_in_force",
            version=config.version,
            queues=len(config.queues),
            customers=len(config.customers),
        )
        return config


class MinionFeed(store.TopicFeed):
    """Feed of the reports of minions.

    Args:
        topic: Topic that the minions write to.
        on_change: Called with all valid reports, by minion id, after each
            relevant change.
    """

    def __init__(
        self,
        *,
        topic: store.KeyedTopic,
        on_change: Callable[[dict[str, interfaces.WorkerReport]], None],
    ):
        super().__init__(topic=topic, name="minions", wait_s=MINION_READ_WAIT_S)
        self._on_change = on_change
        self._reports: dict[str, interfaces.WorkerReport] = {}

    def apply_appended(self, chunk: interfaces.Chunk) -> None:
        """Apply appended records, and let the next ones accumulate."""
        super().apply_appended(chunk)
        if chunk.records:
            self.sleep(MINION_READ_PAUSE_S)

    def handle_changes(self, changed: set[str] | None) -> None:
        """Decode the changed reports and announce relevant changes.

        After a snapshot, and as long as there was no valid report, any change
        is relevant. An invalid report is logged and counts as missing.
        """
        values = self.values
        if changed is None:
            self._reports = {}
            changed = set(values)
        should_announce = not self._reports
        for key in changed:
            before = self._reports.pop(key, None)
            report = None
            if key in values:
                report = parse_minion(key, values[key])
                if errors.is_refusal(report):
                    self.log.warn(
                        "entry_ignored", worker=key, reason=report.reason
                    )
                    report = None
            if report is not None:
                self._reports[key] = report
            should_announce = should_announce or _is_relevant_change(
                before, report
            )
        if should_announce:
            self._on_change(dict(self._reports))


def _is_relevant_change(
    before: interfaces.WorkerReport | None,
    after: interfaces.WorkerReport | None,
) -> bool:
    if before is None or after is None:
        return before is not after
    # The clock and the time until departure change with each report.
    return (
        before._replace(
            clock_ms=after.clock_ms, leaves_in_ms=after.leaves_in_ms
        )
        != after
    )
