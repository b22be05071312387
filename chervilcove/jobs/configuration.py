"""Configuration in force: queues, services, customers and their keys."""

from collections.abc import Iterable
from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.jobs import maximums
from chervilcove.jobs import specs


class Queue(NamedTuple):
    """A queue to which callers submit jobs.

    Attributes:
        name: Unique name.
        host: Host name in the requests of callers.
        prefix: Prefix of the request paths.
        service: Pool of workers that runs its tasks.
        priority: 0 is the highest and may preempt others.
        attempts: Failed runs of a task after which its job fails.
        stretch: Factor of the completion objective: a job is in time if it
            takes at most `stretch` times its critical path, plus `target_ms`.
        target_ms: Constant part of the completion objective, milliseconds.
        timeout_ms: Time limit for the answer to a caller, milliseconds.
        is_public: Whether requests need no key.
        needs_advice: Whether a policy grants workers to the jobs of the
            queue.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 1
    attempts: int = 1
    stretch: float = 3.0
    target_ms: int = 0
    timeout_ms: int = 3_000
    is_public: bool = False
    needs_advice: bool = False


class Customer(NamedTuple):
    """A customer.

    Attributes:
        name: Unique name.
        keys: Keys that authenticate its requests.
        guaranteed: Accelerators guaranteed to its jobs of priority 0.
        maximum: What it may have running across all workers; 0 is no limit
            of a resource.
        weight: Its share when all is full, and the jobs a second that it may
            send; 0 if the configuration names none.
    """

    name: str
    keys: tuple[str, ...]
    guaranteed: int = 0
    maximum: specs.Resources = maximums.NO_MAXIMUM
    weight: float = 0.0


class RequestLimits(NamedTuple):
    """Limits of the requests of callers.

    Attributes:
        max_header_bytes: Size of a request line with its header fields.
        max_body_bytes: Size of a body; larger ones are refused.
        header_timeout_ms: Time for a whole head, milliseconds.
        idle_timeout_ms: Time for a whole body, for a response and between two
            requests, milliseconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


DEFAULT_LIMITS = RequestLimits()


class Configuration:
    """Queues and customers of one configuration version.

    Args:
        version: Number that grows with each change.
        queues: All queues.
        customers: All customers.
        limits: Limits of the requests of callers.
    """

    def __init__(
        self,
        *,
        version: int,
        queues: Iterable[Queue],
        customers: Iterable[Customer],
        limits: RequestLimits = DEFAULT_LIMITS,
    ):
        self.version = version
        self.limits = limits
        self.queues = {queue.name: queue for queue in queues}
        self.customers = {each.name: each for each in customers}
        self._by_key = {
            key: customer
            for customer in self.customers.values()
            for key in customer.keys
        }
        by_host: dict[str, list[Queue]] = {}
        for queue in self.queues.values():
            by_host.setdefault(queue.host, []).append(queue)
        for queues_of_host in by_host.values():
            queues_of_host.sort(key=lambda queue: -len(queue.prefix))
        self._by_host = by_host

    def find_queue(self, *, host: str, path: str) -> Queue | errors.Refusal:
        """Return the queue of `host` with the longest prefix of `path`."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return errors.refuse(
            errors.Kind.NOT_FOUND,
            "no queue has this host and path",
            version=self.version,
        )

    def find_customer(
        self, *, key: str, queue: Queue
    ) -> Customer | None | errors.Refusal:
        """Return the customer that holds `key`.

        Returns:
            None for an unknown key on a public queue; a refusal on others.
        """
        customer = self._by_key.get(key)
        if customer is None and not queue.is_public:
            return errors.refuse(
                errors.Kind.UNKNOWN_KEY, "unknown key", version=self.version
            )
        return customer
