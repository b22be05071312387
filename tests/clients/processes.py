"""Processes of the system that a crowd meets, and what they use."""

import base64
import json
import os
import socket
import subprocess
import sys

from gevent import hub
import psutil

from chervilcove.conf import global_settings
from chervilcove.core import errors
from chervilcove.core import http
from chervilcove.jobs import records
from chervilcove.standins import instances
from chervilcove.standins import log
from tests import waits
from tests.platform import standin

# The limits of requests are the defaults. The times are shorter, so that a
# small crowd of slow clients shows within seconds whether they are kept.
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 262_144,
    "header_timeout_ms": 1_000,
    "idle_timeout_ms": 2_000,
}
ANSWER_TIMEOUT_S = 10.0  # a process that hangs answers never
START_POLLS = 1_500


def choose_known(fleet):
    """Return those of some settings of a fleet that this code knows."""
    known = global_settings.Fleet.__annotations__
    return {name: value for name, value in fleet.items() if name in known}


def find_free_ports(count):
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class Process:
    """One process of this tree.

    Args:
        words: Module to run, and its arguments.
        environment: Further variables of its environment.
        log_path: File for its output.
        descriptors: Descriptors that it takes over.
        max_fds: Descriptors that the system lets it open, 0 for the usual.
    """

    def __init__(
        self, *, words, environment, log_path, descriptors=(), max_fds=0
    ):
        command = [sys.executable, "-m", *words]
        if max_fds:
            limit = f'ulimit -n {max_fds}; exec "$@"'
            command = ["sh", "-c", limit, "sh", *command]
        with open(log_path, "wb") as output:
            self._process = subprocess.Popen(
                command,
                env={**os.environ, **environment},
                stdout=output,
                stderr=output,
                pass_fds=descriptors,
            )
        self._info = psutil.Process(self._process.pid)
        self._log_path = log_path

    def is_alive(self):
        return self._process.poll() is None

    def read_peak_mb(self):
        """Return the most resident memory so far."""
        with open(f"/proc/{self._process.pid}/status") as lines:
            for line in lines:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        raise AssertionError("the process has ended")

    def count_descriptors(self):
        return self._info.num_fds()

    def read_log_kb(self):
        return self._log_path.stat().st_size / 1024

    def read_log(self):
        return self._log_path.read_text()

    def send_signal(self, number):
        self._process.send_signal(number)

    def wait(self):
        """Wait until the process ends; return its exit code."""
        return hub.get_hub().threadpool.apply(self._process.wait)

    def stop(self):
        self._process.kill()
        self.wait()


def ask(port, path, **headers):
    """Send one ordinary request on a new connection; return its status."""
    peer = http.HttpPeer(host="127.0.0.1", port=port)
    try:
        reply = peer.call(
            "GET", path, headers=headers, timeout_s=ANSWER_TIMEOUT_S
        )
        return reply if errors.is_refusal(reply) else reply.status
    finally:
        peer.close()


def start_store(contents, folder):
    """Start a store that holds `contents`; return it and its address.

    Args:
        contents: Topic, key and value of each record.
        folder: Folder for its files.
    """
    path = folder / "store.json"
    rows = [
        (topic, key, base64.b64encode(value).decode())
        for topic, key, value in contents
    ]
    path.write_text(json.dumps(rows))
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        host, port = listener.getsockname()
        process = Process(
            words=["tests.clients.store", str(listener.fileno()), str(path)],
            environment={},
            log_path=folder / "store.log",
            descriptors=(listener.fileno(),),
        )
    return process, f"{host}:{port}"


class PlatformEntry:
    """An entry on the platform, and its store.

    Args:
        folder: Folder for its files.
        fleet: Further settings of the fleet.
        config: Configuration in the store.
        jobs: Submissions in the store.
        starts: Whether it is started at once.
        max_fds: Descriptors that the system lets it open, 0 for the usual.
    """

    EXPECTED = {"front": 200, "ready": 200, "metrics": 200, "peers": 404}

    def __init__(
        self,
        *,
        folder,
        fleet=None,
        config=standin.CONFIG,
        jobs=(),
        starts=True,
        max_fds=0,
    ):
        self.process = None
        self._max_fds = max_fds
        content = json.dumps({**config, "limits": LIMITS}).encode()
        self.store, address = start_store(
            [
                ("keyed.op", "config", content),
                *(
                    (
                        "keyed.ledger",
                        records.build_key(records.Kind.JOB, job.job),
                        records.encode_value(job),
                    )
                    for job in jobs
                ),
            ],
            folder,
        )
        names = ("front", "ready", "metrics", "peers")
        self.ports = dict(zip(names, find_free_ports(4), strict=True))
        self._folder = folder
        self._settings = {
            "entry": {"name": "entry-1"},
            "fleet": {
                **{
                    name: f"127.0.0.1:{port}"
                    for name, port in self.ports.items()
                },
                "ledger": address,
                **(fleet or {}),
            },
        }
        self.change()
        if starts:
            self.start()

    def change(self, **fleet):
        """Write the settings file with some other settings of the fleet."""
        self._settings["fleet"].update(fleet)
        path = self._folder / "entry.jsonc"
        path.write_text(json.dumps(self._settings))

    def start(self):
        path = self._folder / "entry.jsonc"
        self.process = Process(
            words=["chervilcove.platform"],
            environment={"CHERVILCOVE_NODE_FILE": str(path)},
            log_path=self._folder / "entry.log",
            max_fds=self._max_fds,
        )

    def wait_ready(self):
        waits.wait_until(
            lambda: ask(self.ports["ready"], "/ready") == 200,
            max_polls=START_POLLS,
            describe=lambda: "the entry is not ready",
        )

    def answers(self):
        """Return the status of an ordinary request of each kind."""
        return {
            "front": ask(
                self.ports["front"],
                "/batch/",
                **{"Host": "jobs.example", "X-Chervilcove-Key": "key-1"},
            ),
            "ready": ask(self.ports["ready"], "/ready"),
            "metrics": ask(self.ports["metrics"], "/metrics"),
            # The records of entries are posted; a route for GET is not there.
            "peers": ask(self.ports["peers"], "/v1/records"),
        }

    def stop(self):
        if self.process is not None:
            self.process.stop()
        self.store.stop()


class OwnEntry:
    """An entry of the own interface, with log and list in this process.

    Args:
        folder: Folder for its files.
        max_fds: Descriptors that the system lets it open, 0 for the usual.
    """

    EXPECTED = {"entry": 200}

    def __init__(self, *, folder, max_fds=0):
        self._log = log.LogService()
        self._list = instances.InstanceList()
        self._log.start()
        self._list.start()
        names = ("entry", "heartbeats")
        self.ports = dict(zip(names, find_free_ports(2), strict=True))
        settings = {
            "entry": {
                "name": "entry-1",
                "port": self.ports["entry"],
                "peer_port": self.ports["heartbeats"],
            },
            "log": _split(self._log.address),
            "instances": _split(self._list.address),
        }
        path = folder / "entry.jsonc"
        path.write_text(json.dumps(settings))
        self.process = Process(
            words=["chervilcove", "entry", "--settings", str(path)],
            environment={},
            log_path=folder / "entry.log",
            max_fds=max_fds,
        )

    def wait_ready(self):
        waits.wait_until(
            lambda: ask(self.ports["entry"], "/readyz") == 200,
            max_polls=START_POLLS,
            describe=lambda: "the entry is not ready",
        )

    def answers(self):
        return {"entry": ask(self.ports["entry"], "/readyz")}

    def stop(self):
        self.process.stop()
        self._log.stop()
        self._list.stop()


def _split(address):
    host, port = address.rsplit(":", 1)
    return {"host": host, "port": int(port)}


class Program:
    """A program of the command line that listens on one port.

    Args:
        words: Command and options; "{port}" stands for the port.
        path: Path that an ordinary request gets.
        folder: Folder for its files.
    """

    EXPECTED = {"port": 200}

    def __init__(self, *, words, path, folder):
        (port,) = find_free_ports(1)
        self.ports = {"port": port}
        self._path = path
        self.process = Process(
            words=["chervilcove", *(word.format(port=port) for word in words)],
            environment={},
            log_path=folder / "program.log",
        )

    def wait_ready(self):
        waits.wait_until(
            lambda: self.answers() == self.EXPECTED,
            max_polls=START_POLLS,
            describe=lambda: "the program is not ready",
        )

    def answers(self):
        return {"port": ask(self.ports["port"], self._path)}

    def stop(self):
        self.process.stop()
