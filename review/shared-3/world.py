"""A small deployment for one case: store, minions and entries as processes.

The store and the minions are the stand-ins of the project
(`tests/processes/store.py`, `tests/processes/workers.py`); the entries are
started by the command and the template of the deploy file. All addresses are
loopback addresses of one block 127.BLOCK.0.0/16.
"""

import argparse
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, STORE, WORKER, CONTROL = 8521, 8523, 8524, 8080, 9000
HOST = "jobs.example"
MINIONS = ("-m", "tests.processes.workers")
KEY = "key-1"
BOUNDS = {
    "grace_s": 6,
    "reclaim_ms": 2900,
    "stop_ms": 400,
    "save_s": 1,
    "restore_ms": 600,
    "config_apply_ms": 2000,
    "max_stretch_ms": 5000,
}
LIMITS = {
    "cpu_share": 0.537,
    "cpu_cores": 2,
    "memory_mb": 300,
    "max_fds": 4100,
    "link_mbps": 1000.0,
}
SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
VALUE = re.compile(r"{{([\w.]+)(\|json)?}}")


class CannotRunError(Exception):
    """The case could not be run."""


class World:
    """All processes of one run.

    Args:
        record: Path of the record, which is written anew.
        trouble: Whether the disruption is played.
        entries: Number of entries.
        workers: Number of minions.
        zones: Number of zones.
        minions: Words that start the minions.
        bounds: Bounds that differ from those of the site nln-cluster.
    """

    def __init__(
        self,
        record,
        *,
        trouble,
        entries=3,
        workers=6,
        zones=3,
        minions=MINIONS,
        bounds=None,
    ):
        self.entries, self.workers, self.zones = entries, workers, zones
        self._minions = minions
        self._bounds = {**BOUNDS, **(bounds or {})}
        self.trouble = trouble
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._record = open(record, "w")  # noqa: SIM115
        self._began = time.monotonic()
        self._processes = {}
        self._block, self._held = self._take_block()
        self._log_callers = open(  # noqa: SIM115
            self.folder / "caller.jsonl", "a"
        )
        self.note("trouble" if self.trouble else "no trouble (TROUBLE=0)")

    # Record.

    def get_s(self, at=None):
        """Return the seconds since the begin of the run."""
        return (time.monotonic() if at is None else at) - self._began

    def note(self, text, at=None):
        """Write a line to the record."""
        line = f"{self.get_s(at):8.3f} {text}"
        print(line, flush=True)
        self._record.write(line + "\n")
        self._record.flush()

    # Processes.

    def start(self):
        """Start all processes, and wait until the entries are ready."""
        options = ["--run-folder", str(self.folder), "--seed", "1"]
        options += ["--block", str(self._block), "--zones", str(self.zones)]
        options += ["--entries", str(self.entries)]
        options += ["--workers", str(self.workers)]
        self._spawn(
            "store", ["python3", "-m", "tests.processes.store"], options
        )
        self._wait(lambda: self.control("store", "status"), 15, "store")
        self._spawn(
            "workers",
            ["python3", *self._minions],
            [*options, "--stop-ms", str(self._bounds["stop_ms"])],
        )
        self._wait(lambda: self.control("workers", "status"), 15, "minions")
        for entry in range(self.entries):
            self.start_entry(entry)
        for entry in range(self.entries):
            self._wait(
                lambda entry=entry: self.is_ready(entry), 20, f"entry-{entry}"
            )
        self._wait(lambda: self.find_owner() is not None, 10, "owner")
        time.sleep(4.0)  # longer than contact_ms

    def start_entry(self, entry):
        """Start an entry by the deploy file."""
        deploy = ROOT / "deploy"
        role = tomllib.loads((deploy / "system.toml").read_text())["roles"]
        settings = self.folder / f"entry-{entry}.jsonc"
        template = (ROOT / role["entry"]["template"]).read_text()
        settings.write_text(_render(template, self._describe(entry)))
        self._spawn(
            f"entry-{entry}",
            role["entry"]["run"].split(),
            [],
            CHERVILCOVE_NODE_FILE=str(settings),
        )

    def signal(self, name, number):
        """Send a signal to a process that this run started."""
        self._processes[name].send_signal(number)
        self.note(f"{signal.Signals(number).name} to {name}")

    def stop(self):
        """End all processes and remove the temporary folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._held.close()
        self._record.close()

    def _spawn(self, name, words, options, **variables):
        path = f"{ROOT}{os.pathsep}{ROOT / 'target' / 'deps'}"
        environment = {**os.environ, "PYTHONPATH": path, **variables}
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.folder / f"{name}.log", "ab") as output:
            self._processes[name] = subprocess.Popen(
                [*words, *options],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def _wait(self, condition, seconds, name):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for other, process in self._processes.items():
                if process.poll() is not None:
                    log = (self.folder / f"{other}.log").read_text()[-2000:]
                    raise CannotRunError(f"{other} ended: {log}")
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise CannotRunError(f"{name} did not come up")

    def _take_block(self):
        """Return a free block, and the socket that keeps it for this play."""
        for _ in range(50):
            block = random.randint(20, 250)
            held = socket.socket()
            try:
                held.bind((f"127.{block}.3.1", CONTROL))
                held.listen()
                for host, port in (("2.1", CONTROL), ("0.10", FRONT)):
                    with socket.socket() as sock:
                        sock.bind((f"127.{block}.{host}", port))
                return block, held
            except OSError:
                held.close()
        raise CannotRunError("no free addresses")

    # Addresses, as `tests/processes/layout.py` gives them.

    def get_host(self, entry):
        """Return the address of an entry."""
        return f"127.{self._block}.0.{10 + entry}"

    def _describe(self, entry):
        host = self.get_host(entry)
        return {
            "node_name": f"entry-{entry}",
            "bind_ip": host,
            "zone": f"z{entry % self.zones}",
            "region": "region",
            "port_range": [7000, 7015],
            "listen": {"front": f"{host}:{FRONT}", "ready": f"{host}:{READY}"},
            "platform": {"addr": f"127.{self._block}.1.{10 + entry}:{STORE}"},
            "bounds": self._bounds,
            "limits": LIMITS,
        }

    # Calls.

    def control(self, program, command, **fields):
        """Run a command of a stand-in; return its result."""
        number = 1 + ("store", "workers").index(program)
        status, body = self._call(
            f"127.{self._block}.2.{number}",
            CONTROL,
            "POST",
            "/control",
            {"command": command, **fields},
            10,
        )
        if status != 200:
            raise OSError(f"control answered {status}")
        return json.loads(body)["result"]

    def is_ready(self, entry):
        """Tell whether an entry is ready."""
        status, _ = self._call(
            self.get_host(entry), READY, "GET", "/ready", None, 1
        )
        return status == 200

    def find_owner(self):
        """Return the number of the entry that claimed last, or None."""
        claims = self.control("store", "status")["claims"]
        if not claims or claims[-1]["resigned"]:
            return None
        return int(claims[-1]["entry"].removeprefix("entry-"))

    def announce(self, job, steps):
        """Tell the minions what the tasks of a job do."""
        line = {"at": time.monotonic(), "kind": "job", "job": job}
        self._log_callers.write(json.dumps({**line, "steps": steps}) + "\n")
        self._log_callers.flush()

    def ask(
        self, entry, method, path, body=None, *, seconds=3.0, host=HOST, key=KEY
    ):
        """Send a consumer's request; return (status, answer).

        The status is 0 if no answer came within the time.
        """
        sent = time.monotonic()
        try:
            status, answer = self._call(
                self.get_host(entry),
                FRONT,
                method,
                path,
                body,
                seconds,
                **{
                    "Host": host,
                    "X-Chervilcove-Key": key,
                    "X-Chervilcove-Deadline-Ms": str(int(seconds * 1000)),
                },
            )
        except (OSError, http.client.HTTPException) as error:
            status, answer = 0, type(error).__name__.encode()
        text = answer.decode("utf-8", "replace")[:160]
        self.note(f"sent to entry-{entry}: {method} {path}", sent)
        self.note(f"  answered: {status or 'no answer'} {text}")
        return status, answer

    def _call(self, host, port, method, path, body, seconds, **headers):
        link = http.client.HTTPConnection(host, port, timeout=seconds)
        try:
            content = None if body is None else json.dumps(body).encode()
            if content is not None:
                headers["Content-Type"] = "application/json"
            link.request(method, path, content, headers)
            answer = link.getresponse()
            return answer.status, answer.read()
        finally:
            link.close()

    # What the minions saw.

    def read_events(self, *kinds):
        """Return the events that the minions wrote, in order of time."""
        found = []
        path = self.folder / "workers.jsonl"
        for line in path.read_text().splitlines():
            event = json.loads(line)
            if event["kind"] in kinds:
                found.append(event)
        return sorted(found, key=lambda event: event["at"])

    def write_runs(self):
        """Write all that the minions started and ended to the record."""
        self._record.write("what the minions started and ended:\n")
        for event in self.read_events("start", "end", "worker_down"):
            what = event["kind"]
            if "task" in event:
                what += f" {event['task']} run {event['run']}"
            how = event.get("how", "")
            at = self.get_s(event["at"])
            self._record.write(
                f"{at:8.3f} minion {event['worker']}: {what} {how}\n"
            )


def _render(template, fields):
    """Return a settings template filled in; no lists in sections."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
        return value

    def render_section(match):
        mark, name, text = match.groups()
        return text if (find(name) is not None) == (mark == "#") else ""

    def render_value(match):
        value = find(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return VALUE.sub(render_value, SECTION.sub(render_section, template))


def run(play, **options):
    """Run a case by the arguments of its script; return the exit code.

    Args:
        play: Called with the world; returns whether the rule was broken.
        **options: Arguments of `World`.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--record", required=True)
    parser.add_argument("--trouble", required=True)
    given = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    world = None
    try:
        world = World(given.record, trouble=given.trouble != "0", **options)
        world.start()
        is_broken = play(world)
        world.write_runs()
        world.note("RULE BROKEN" if is_broken else "rule held")
        return int(is_broken)
    except (CannotRunError, OSError, ValueError, KeyError) as error:
        print(f"could not run: {type(error).__name__}: {error}", flush=True)
        if world is not None:
            world.note(f"could not run: {error}")
        return 2
    finally:
        if world is not None:
            world.stop()
