"""Limits of request routing and their defaults."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Limits on what one entry holds and does for requests.

    Attributes:
        max_body_bytes: Largest request body, in bytes.
        max_deadline_s: Longest deadline that a caller may set, in seconds.
        default_deadline_s: Deadline where the caller sets none, in seconds.
        inside: Maximum concurrent requests in the router, over all services.
        claiming: Maximum concurrent requests waiting for their claims.
        queue: Maximum queued requests per service.
        tries: Maximum times that one request is sent, including the first try
            and hedges.
        retry_ratio: Retries and hedges earned by each first try.
        retry_reserve: Maximum number of unused retries kept.
        retry_trickle_per_s: Retries earned per second, even without traffic.
        hedge_quantile: Quantile of the service times after which an
            idempotent request is also sent to a second minion.
        hedge_factor: Minimum hedge delay, as a multiple of the median service
            time.
        max_hedge_load: Load from which a minion gets no hedges, as a fraction
            of its slots.
        min_hedge_s: Minimum hedge delay, in seconds.
        min_once_s: A request that may run only once is not sent with less
            time left than this, in seconds.
        min_try_s: Minimum timeout of a try of an idempotent request, in
            seconds.
        try_factor: Timeout of such a try, as a multiple of the 99th
            percentile of the service times.
        estimate_samples: Service times kept per service.
        estimate_age_s: Age after which a service time is dropped, in seconds.
        estimate_minimum: Service times needed before they are used for
            estimates, such as early refusals.
        load_fresh_s: Maximum age of an observed load that still allows
            borrowing slots of other entries, in seconds.
        local_spill: Load from which minions of the own data centre are no
            longer preferred, as a fraction of their slots.
        borrow_fraction: Fraction of the other entries' free slots that may be
            borrowed.
        busy_pause_s: Time for which a minion that refused a request as busy
            gets no requests, in seconds.
        failures_to_eject: Consecutive failures after which a minion is
            ejected.
        eject_s: Duration of the first ejection, in seconds; each further one
            lasts twice as long.
        max_eject_s: Maximum duration of an ejection, in seconds.
        max_ejected_fraction: Maximum fraction of a service's minions that are
            ejected at the same time.
        heartbeat_s: Interval between health requests, in seconds.
        heartbeat_timeout_s: Timeout of a health request, in seconds.
        max_idle_s: Maximum idle time of a connection that is reused, in
            seconds.
        connect_timeout_s: Timeout for opening a connection, in seconds.
        release_timeout_s: Timeout for releasing a claim, in seconds.
        tick_s: Maximum time between checks of the deadlines while requests
            are queued, in seconds.
        idle_tick_s: The same while no requests are queued.
    """

    max_body_bytes: int = 8 * 1024 * 1024
    max_deadline_s: float = 600.0
    default_deadline_s: float = 10.0
    inside: int = 2_000
    claiming: int = 500
    queue: int = 1_000
    tries: int = 3
    retry_ratio: float = 0.1
    retry_reserve: float = 10.0
    retry_trickle_per_s: float = 1.0
    hedge_quantile: float = 0.95
    hedge_factor: float = 2.0
    max_hedge_load: float = 0.5
    min_hedge_s: float = 0.02
    min_once_s: float = 0.05
    min_try_s: float = 1.0
    try_factor: float = 4.0
    estimate_samples: int = 256
    estimate_age_s: float = 30.0
    estimate_minimum: int = 20
    load_fresh_s: float = 2.5
    local_spill: float = 0.75
    borrow_fraction: float = 0.5
    busy_pause_s: float = 0.05
    failures_to_eject: int = 5
    eject_s: float = 2.0
    max_eject_s: float = 60.0
    max_ejected_fraction: float = 0.5
    heartbeat_s: float = 1.0
    heartbeat_timeout_s: float = 0.5
    max_idle_s: float = 1.0
    connect_timeout_s: float = 0.5
    release_timeout_s: float = 1.0
    tick_s: float = 0.05
    idle_tick_s: float = 1.0
