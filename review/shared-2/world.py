"""A small deployment for the cases 6 to 10: entries, minions and a store.

Entries are started with the command and the settings template of the deploy
file, each as a process of its own. All addresses are loopback addresses. What
is sent, answered and run is written to `record.txt` in the folder of the case.
"""

import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import gevent

from chervilcove.core import errors
from chervilcove.core import http
from tests.processes import entries as entry_values
from tests.processes import layout
from tests.processes import record
from tests.processes import serving

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
DEADLINE_MS = 3_000
START_S = 30.0
RESTART_S = 0.5
OPERATOR_PORT = 9001
HELD, BROKEN, FAILED = 0, 1, 2


class FailedCaseError(Exception):
    """The case could not run."""


class World:
    """All programs of one run.

    Args:
        case: Folder of the case.
        entries: Number of entries.
        workers: Number of minions.
        zones: Number of zones.
        seed: Seed of the stand-ins.
        config: First config, None for that of `layout.build_config`.
        bounds: Bounds of the settings that differ from the usual ones.
        stop_ms: Longest time of a stop.
        gpus: GPUs of each minion.
        advice: `decide_ms`, `each_ms` and `valid_ms` of the policy service,
            None for no service.
    """

    def __init__(
        self,
        *,
        case,
        entries=3,
        workers=4,
        zones=1,
        seed=1,
        config=None,
        bounds=None,
        stop_ms=900,
        gpus=8,
        advice=None,
    ):
        self.case = pathlib.Path(case).resolve()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        block, self._lock = _find_block()
        self.place = layout.Layout(
            block=block, entries=entries, workers=workers, zones=zones
        )
        self.host = layout.QUEUE_HOST
        self._seed = seed
        self._config = config
        self._bounds = {**entry_values.BOUNDS, **(bounds or {})}
        self._worker_words = ["--stop-ms", str(stop_ms), "--gpus", str(gpus)]
        self._advice = advice
        self._processes = {}
        self._peers = {}
        self._begun = time.monotonic()
        self._callers = record.Recorder(self.folder, "callers")

    # Programs

    def start(self):
        """Start all programs and wait until the entries are ready."""
        words = []
        for name in ("block", "entries", "workers", "zones"):
            words += [f"--{name}", str(getattr(self.place, name))]
        more = {"store": [], "workers": self._worker_words}
        if self._config is not None:
            path = self.folder / "config.json"
            path.write_text(json.dumps(self._config))
            more["store"] = ["--config", str(path)]
        for name in ("store", "workers"):
            self._spawn(
                name,
                [
                    sys.executable,
                    str(HERE / f"{name}.py"),
                    *("--run-folder", str(self.folder)),
                    *("--seed", str(self._seed)),
                    *words,
                    *more[name],
                ],
            )
            self._wait(lambda name=name: self._is_there(name), name)
        if self._advice is not None:
            self._start_policy()
        self.store = self._connect("store", layout.CONTROL_PORT)
        self.workers = self._connect("workers", layout.CONTROL_PORT)
        self.operator = self._connect("store", OPERATOR_PORT)
        for entry in self.place.list_entries():
            self.start_entry(entry)
        for entry in self.place.list_entries():
            self._wait(lambda entry=entry: self.is_ready(entry), "entries")

    def _start_policy(self):
        words = ["--run-folder", str(self.folder), "--host", self._policy_host]
        for name, value in self._advice.items():
            words += [f"--{name.replace('_', '-')}", str(value)]
        self._spawn("policy", [sys.executable, str(HERE / "policy.py"), *words])

    @property
    def _policy_host(self):
        return f"127.{self.place.block}.2.3"

    def start_entry(self, entry):
        """Start an entry as the deploy file says."""
        name = self.place.get_entry_name(entry)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        path = self.folder / f"{name}.jsonc"
        path.write_text(entry_values.render(template, self._describe(entry)))
        words = role["run"].split()
        words[0] = sys.executable
        self._spawn(name, words, {entry_values.SETTINGS_VARIABLE: str(path)})

    def send(self, entry, number):
        """Send a signal to an entry."""
        process = self._processes[self.place.get_entry_name(entry)]
        self.note("signal", entry=entry, signal=signal.Signals(number).name)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    def restart_entry(self, entry):
        """Wait for the end of an entry and start it again."""
        process = self._processes[self.place.get_entry_name(entry)]
        while process.poll() is None:
            gevent.sleep(0.02)
        gevent.sleep(RESTART_S)
        self.start_entry(entry)

    def list_ended(self):
        """Return the names and exit codes of the programs that have ended."""
        return {
            name: process.poll()
            for name, process in self._processes.items()
            if process.poll() is not None
        }

    def stop(self):
        """End all processes, and remove the temporary folder."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in self._processes.values():
            process.wait()
        kept = os.environ.get("KEEP_FOLDER")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._lock.close()

    def is_ready(self, entry):
        """Return whether an entry says that it is ready."""
        reply = self._get_peer(entry, layout.READY_PORT).call(
            "GET", "/ready", timeout_s=1.0
        )
        return not errors.is_refusal(reply) and reply.status == 200

    # Callers

    def submit(self, entry, job, body, *, queue="/usual/", **options):
        """Submit a job; return the status (0 for no answer) and the state."""
        content = json.loads(body) if isinstance(body, bytes) else body
        self._callers.write(
            "job",
            job=job,
            queue=queue,
            steps=content["steps"],
            spec=content.get("spec", ""),
        )
        return self.call(entry, "POST", queue + job, body, **options)

    def call(
        self,
        entry,
        method,
        path,
        body=b"",
        *,
        key=layout.KEY,
        deadline_ms=DEADLINE_MS,
    ):
        """Make a call of a caller; return the status and the content."""
        if not isinstance(body, bytes):
            body = json.dumps(body, separators=(",", ":")).encode()
        headers = {
            "Host": self.host,
            "Content-Type": "application/json",
            "X-Chervilcove-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers["X-Chervilcove-Key"] = key
        began = time.monotonic()
        reply = self._get_peer(entry, layout.FRONT_PORT).call(
            method,
            path,
            body=body,
            headers=headers,
            timeout_s=deadline_ms / 1000,
        )
        status, content = 0, {}
        if not errors.is_refusal(reply):
            status, content = reply.status, reply.decode()
        self.note(
            "call",
            method=method,
            path=path,
            entry=entry,
            bytes=len(body),
            key=key,
            status=status,
            answer=content if isinstance(content, dict) else str(content),
            took_ms=int((time.monotonic() - began) * 1000),
        )
        return status, content if isinstance(content, dict) else {}

    # What is known

    def note(self, kind, **fields):
        """Write a line about the run."""
        self._callers.write(kind, **fields)

    def read_events(self):
        """Return all that the programs wrote, in the order of the times."""
        return record.read_folder(self.folder)

    def find_owner(self):
        """Return the number of the entry that claimed last, or None."""
        claims = [one for one in self.read_events() if one["kind"] == "claim"]
        if not claims or claims[-1]["resigned"]:
            return None
        return int(claims[-1]["entry"].rpartition("-")[2])

    def write_record(self, verdict):
        """Write `record.txt`: all events, and how the case ended."""
        lines = [
            f"{event.pop('at') - self._begun:9.3f} "
            + json.dumps(event, separators=(",", ":"))[:400]
            for event in self.read_events()
        ]
        text = "\n".join([*lines, f"verdict: {verdict}", ""])
        (self.case / "record.txt").write_text(text)

    # Inside

    def _spawn(self, name, words, variables=None):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = f"{ROOT}{os.pathsep}{ROOT}/target/deps"
        with open(self.folder / f"{name}.log", "ab") as output:
            self._processes[name] = subprocess.Popen(
                words,
                cwd=ROOT,
                env={**environment, **(variables or {})},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def _describe(self, entry):
        host = self.place.get_entry_host(entry)
        store = self.place.get_store_host(entry)
        return {
            "node_name": self.place.get_entry_name(entry),
            "bind_ip": host,
            "zone": self.place.get_zone(entry),
            "region": "region",
            "port_range": list(layout.PEER_PORTS),
            "listen": {
                "front": f"{host}:{layout.FRONT_PORT}",
                "ready": f"{host}:{layout.READY_PORT}",
            },
            "platform": {"addr": f"{store}:{layout.STORE_PORT}"},
            "advice": (
                f"{self._policy_host}:{layout.STORE_PORT}"
                if self._advice
                else None
            ),
            "bounds": self._bounds,
            "limits": {
                **entry_values.LIMITS,
                "memory_mb": 300,
                "max_fds": 4100,
            },
        }

    def _connect(self, program, port):
        return serving.Remote(
            host=self.place.get_control_host(program), port=port
        )

    def _is_there(self, name):
        try:
            return self._connect(name, layout.CONTROL_PORT).call("status")
        except OSError:
            return None

    def _get_peer(self, entry, port):
        known = self._peers.get((entry, port))
        if known is None:
            known = self._peers[entry, port] = http.HttpPeer(
                host=self.place.get_entry_host(entry), port=port, connections=64
            )
        return known

    def _wait(self, is_met, what):
        until = time.monotonic() + START_S
        while not is_met():
            ended = self.list_ended()
            if ended or time.monotonic() > until:
                raise FailedCaseError(f"{what} don't start; ended: {ended}")
            gevent.sleep(0.1)


def run_case(play, **options):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, else 2.

    Args:
        play: Function that takes the world and whether there is trouble, and
            returns the breaks that it saw.
        **options: Options of the world.
    """
    world = None
    try:
        world = World(**options)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, _end, world)
        world.start()
        found = play(world, os.environ.get("TROUBLE", "1") != "0")
        verdict = "; ".join(found) if found else "the rule held"
        code = BROKEN if found else HELD
    except Exception as error:
        # Whatever it is, the processes that were started have to be ended.
        verdict, code = f"the case could not run: {error!r}", FAILED
    if world is not None:
        world.write_record(verdict)
        world.stop()
    print(verdict)
    sys.exit(code)


def _end(world):
    world.stop()
    os._exit(FAILED)


def _find_block():
    """Return a block of loopback addresses, and a socket that holds it."""
    blocks = list(range(20, 250))
    random.shuffle(blocks)
    for block in blocks:
        lock = socket.socket()
        try:
            with socket.socket() as probe:
                probe.bind((f"127.{block}.2.1", layout.CONTROL_PORT))
            # Two cases that start at once don't take the same block.
            lock.bind((f"127.{block}.3.1", layout.CONTROL_PORT))
        except OSError:
            lock.close()
            continue
        return block, lock
    raise FailedCaseError("no free addresses")
