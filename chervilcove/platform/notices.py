"""What the operator and the minions write into the store."""

from collections.abc import Callable
from typing import Any

import msgspec

from chervilcove.control import interfaces
from chervilcove.core import errors
from chervilcove.jobs import configuration
from chervilcove.jobs import specs
from chervilcove.platform import store

EVACUATE = "evacuate/"
CONFIG = "config"
# A config is to be in force 2 s after the store took it, and within 3 s of
# the end of an outage that swallowed a read.
NOTICE_WAIT_S = 1.5
MINION_WAIT_S = 1.5  # each minion writes as often


class _Route(msgspec.Struct):
    """Decode a route, which is a queue."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 1
    attempts: int = 1
    stretch: float = 3.0
    target_latency_ms: float = 0
    timeout_ms: float = 3_000
    public: bool = False
    advice: Any = None


class _Tenant(msgspec.Struct):
    """Decode a tenant."""

    name: str
    api_keys: list[str] = []
    guaranteed: dict[str, int] = {}


class _Limits(msgspec.Struct):
    """Decode limits of calls."""

    max_body_bytes: int = 262_144


class _Config(msgspec.Struct):
    """Decode a config."""

    version: int
    routes: list[_Route]
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Capacity(msgspec.Struct):
    """Decode what a minion can run."""

    cpu: int
    mem_mb: int
    gpu: int = 0


class _Entry(msgspec.Struct):
    """Decode what a minion says of itself."""

    service: str
    addr: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = []
    clock_ms: int = 0
    born: int = 0
    remaining_ms: int = 0
    machine: str = ""


def read_config(value: bytes) -> configuration.Configuration | errors.Refusal:
    """Return the configuration in `value`, or a refusal."""
    config = store.decode(value, _Config)
    if errors.is_refusal(config):
        return config
    return configuration.Configuration(
        version=config.version,
        max_body_bytes=config.limits.max_body_bytes,
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
            )
            for tenant in config.tenants
        ],
    )


def read_minion(
    key: str, value: bytes
) -> interfaces.WorkerReport | errors.Refusal:
    """Return the worker that the entry `key` describes, or a refusal."""
    entry = store.decode(value, _Entry)
    if errors.is_refusal(entry):
        return entry
    if entry.state not in ("ready", "draining"):
        return errors.refuse(errors.Kind.MALFORMED, f"state {entry.state!r}")
    try:
        address = store.parse_address(entry.addr)
    except ValueError:
        return errors.refuse(errors.Kind.MALFORMED, f"addr {entry.addr!r}")
    return interfaces.WorkerReport(
        id=key,
        life=entry.born,
        host=address.host,
        port=address.port,
        service=entry.service,
        data_centre=entry.zone,
        rack=_find_rack(entry.labels),
        labels=frozenset(entry.labels),
        capacity=specs.Resources(
            entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu
        ),
        is_draining=entry.state == "draining",
        leaves_in_ms=entry.remaining_ms,
        clock_ms=entry.clock_ms,
        machine=entry.machine,
    )


def _find_rack(labels: list[str]) -> str:
    """Return the label that names a rack, such as "r1-3"."""
    for label in labels:
        if label[:1] == "r" and label[1:2].isdigit():
            return label
    return ""


class Notices(store.TopicFeed):
    """Follow what the operator writes.

    Args:
        topic: The operator's topic.
        on_change: Called after each change.
    """

    def __init__(
        self, *, topic: store.KeyedTopic, on_change: Callable[[], None]
    ):
        super().__init__(topic=topic, name="notices", wait_s=NOTICE_WAIT_S)
        self._on_change = on_change
        self._operations = interfaces.OperatorState(None, frozenset())

    def get(self) -> interfaces.OperatorState:
        """Return what the operator asks for."""
        return self._operations

    def take_change(self, changed: set[str] | None) -> None:
        """Take over a new configuration, and the evacuations."""
        values = self.values
        evacuated = frozenset(
            key.removeprefix(EVACUATE)
            for key in values
            if key.startswith(EVACUATE)
        )
        config = self._operations.configuration
        if CONFIG in values and (changed is None or CONFIG in changed):
            config = self._take_config(values[CONFIG], config)
        if evacuated != self._operations.evacuated:
            self.log.info("evacuations_read", zones=",".join(evacuated))
        self._operations = interfaces.OperatorState(config, evacuated)
        self._on_change()

    def _take_config(
        self, value: bytes, before: configuration.Configuration | None
    ) -> configuration.Configuration | None:
        config = read_config(value)
        if errors.is_refusal(config):
            self.log.error("config_ignored", reason=config.reason)
            return before
        # A read may lag; what was acted on once stays in force.
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
    """Follow the minions' entries.

    Args:
        topic: The minions' topic.
        on_change: Takes all readable entries after each change.
    """

    def __init__(
        self,
        *,
        topic: store.KeyedTopic,
        on_change: Callable[[dict[str, interfaces.WorkerReport]], None],
    ):
        super().__init__(topic=topic, name="minions", wait_s=MINION_WAIT_S)
        self._on_change = on_change
        self._reports: dict[str, interfaces.WorkerReport] = {}

    def take_change(self, changed: set[str] | None) -> None:
        """Read the entries that changed, and tell of what is news."""
        values = self.values
        if changed is None:
            self._reports = {}
            changed = set(values)
        is_news = not self._reports
        for key in changed:
            before = self._reports.pop(key, None)
            report = None
            if key in values:
                report = read_minion(key, values[key])
                if errors.is_refusal(report):
                    self.log.warn(
                        "entry_ignored", worker=key, reason=report.reason
                    )
                    report = None
            if report is not None:
                self._reports[key] = report
            is_news = is_news or _is_news(before, report)
        if is_news:
            self._on_change(dict(self._reports))


def _is_news(
    before: interfaces.WorkerReport | None,
    after: interfaces.WorkerReport | None,
) -> bool:
    if before is None or after is None:
        return before is not after
    # The clock, and the time left, change with each sign of life.
    return (
        before._replace(
            clock_ms=after.clock_ms, leaves_in_ms=after.leaves_in_ms
        )
        != after
    )
