"""Addresses of a run, all in the loopback block 127.BLOCK.0.0/16.

Each entry has addresses of its own for the store and for each worker, so that
a stand-in knows who calls, and can apply the state of that link itself.
"""

FRONT_PORT = 8521
READY_PORT = 8523
STORE_PORT = 8524
METRICS_PORT = 9464
PEER_PORTS = (7000, 7015)
WORKER_PORT = 8080
CONTROL_PORT = 9000
MOST_ENTRIES = 60
MOST_WORKERS = 200
QUEUE_HOST = "jobs.example"
QUEUES = {  # name: (prefix, priority, attempts, stretch, target in ms)
    "urgent": ("/urgent/", 0, 4, 1.5, 250),
    "usual": ("/usual/", 1, 4, 3.0, 1000),
    "batch": ("/batch/", 2, 4, 3.0, 3000),
}
KEY = "key-1"
HEARTBEAT_S = 1.5
ZONES = ("z0", "z1", "z2", "z3")


class Layout:
    """Names and addresses of the programs.

    Args:
        block: Second number of all addresses.
        entries: Number of entries.
        workers: Number of workers.
        zones: Number of zones.
    """

    def __init__(self, *, block, entries, workers, zones):
        self.block = block
        self.entries = entries
        self.workers = workers
        self.zones = zones

    def get_entry_host(self, entry):
        """Return the address of an entry."""
        return f"127.{self.block}.0.{10 + entry}"

    def get_store_host(self, entry):
        """Return the address at which an entry finds the store."""
        return f"127.{self.block}.1.{10 + entry}"

    def get_worker_host(self, entry, worker):
        """Return the address at which an entry finds a worker."""
        return f"127.{self.block}.{10 + entry}.{1 + worker}"

    def get_control_host(self, program):
        """Return the address of the control interface of a stand-in."""
        return f"127.{self.block}.2.{1 + ('store', 'workers').index(program)}"

    @property
    def placeholder(self):
        """Return the start of worker addresses as workers report them."""
        return f"127.{self.block}.255."

    def get_worker_prefix(self, entry):
        """Return the start of worker addresses as an entry sees them."""
        return f"127.{self.block}.{10 + entry}."

    def get_entry_name(self, entry):
        """Return the name of an entry."""
        return f"entry-{entry}"

    def get_zone(self, number):
        """Return the zone of an entry or a worker by its number."""
        return ZONES[number % self.zones]

    def list_entries(self, zone=None):
        """Return the numbers of the entries, of one zone if given."""
        return [
            number
            for number in range(self.entries)
            if zone in (None, self.get_zone(number))
        ]

    def list_workers(self, zone=None):
        """Return the numbers of the workers, of one zone if given."""
        return [
            number
            for number in range(self.workers)
            if zone in (None, self.get_zone(number))
        ]


def add_options(parser):
    """Add the options that describe a layout."""
    parser.add_argument("--block", type=int, default=100)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--workers", type=int, default=48)
    parser.add_argument("--zones", type=int, default=3)


def from_options(options):
    """Return the layout that the options describe."""
    return Layout(
        block=options.block,
        entries=options.entries,
        workers=options.workers,
        zones=options.zones,
    )


def build_config(version=1):
    """Return the configuration that the operator writes first."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": QUEUE_HOST,
                "path_prefix": prefix,
                "kind": "mutating",
                "timeout_ms": 3000,
                "target_latency_ms": target_ms,
                "priority": priority,
                "service": "pool",
                "attempts": attempts,
                "stretch": stretch,
                "public": False,
            }
            for name, (
                prefix,
                priority,
                attempts,
                stretch,
                target_ms,
            ) in QUEUES.items()
        ],
        "services": [{"name": "pool", "health_path": "/health"}],
        "limits": {"max_body_bytes": 262144},
        "tenants": [
            {"name": "t", "api_keys": [KEY], "priority": 1, "guaranteed": {}}
        ],
    }
