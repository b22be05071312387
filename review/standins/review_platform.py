"""Stand-ins of the users' platform for the review's scripts.

They follow PROTOCOL.md: a store with keyed topics, minions that run tasks under
leases, and consumers. Entries are separate processes, started with the command
of the deploy file. All addresses are loopback addresses.
"""

import base64
import http.client
import http.server
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
import threading
import time
import tomllib
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "jobs.example"
PREFIX = "/batch/"
URGENT_PREFIX = "/urgent/"
KEY = "key-1"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6_000
GPUS = 8  # of each minion
LASTING_S = 3_600.0  # longer tasks last until their job is cancelled
STOP_S = 0.3  # below the 400 ms of the site file
STORE_ANSWER_S = 0.004
APPEND_S = 0.002
BOUNDS = {
    "grace_s": 6,
    "config_apply_ms": 2000,
    "max_stretch_ms": 5000,
    "stop_ms": 400,
    "reclaim_ms": 2900,
}


class Record:
    """Writes what was sent, answered and run, with the seconds since start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, what, **fields):
        """Write one line; return its time in seconds."""
        with self._lock:
            at = self.now()
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self._file.write(f"{at:9.3f} {what} {text}\n")
            self._file.flush()
        return at


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, address, handle):
        self.connections = set()
        self.handle_call = handle
        super().__init__(address, _Handler)

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore connections that the peer broke off."""

    def crash(self):
        """Stop listening and reset all connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    b"\x01\x00\x00\x00\x00\x00\x00\x00",
                )
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_arguments):
        """Write no log."""

    def _serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        url = parse.urlsplit(self.path)
        query = dict(parse.parse_qsl(url.query))
        answer = self.server.handle_call(
            self.command, url.path, query, self.headers, body
        )
        if answer is None:  # no answer, now or later on this connection
            self.close_connection = True
            return
        status, content = answer
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self.send_response_only(status)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    do_GET = do_POST = _serve  # noqa: N815


def _start_server(host, port, handle):
    server = _Server((host, port), handle)
    threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    return server


class _Topic:
    def __init__(self):
        self.records = []  # (key, value)
        self.newest = {}  # key to (offset, value)
        self.producers = {}  # name to [epoch, next sequence, last answers]


class Store:
    """The platform's store: a log with keyed topics.

    Attributes:
        is_down: Whether calls get no answer and do nothing.
    """

    def __init__(self, record):
        self._record = record
        self._topics = {}
        self._changed = threading.Condition()
        self._append_lock = threading.Lock()
        self.is_down = False
        self._server = _start_server("127.0.0.1", 0, self._handle)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def put(self, topic, key, value):
        """Write as the operator or a minion; None drops the key."""
        content = b"" if value is None else json.dumps(value).encode()
        with self._changed:
            self._add(self._get(topic), [(key, content)])

    def read_newest(self, topic):
        """Return the newest value of each key, for the checks of a script."""
        with self._changed:
            newest = self._get(topic).newest
            return {key: value for key, (_, value) in newest.items()}

    def _get(self, name):
        return self._topics.setdefault(name, _Topic())

    def _add(self, topic, items):
        offset = len(topic.records)
        for number, (key, value) in enumerate(items):
            topic.records.append((key, value))
            if value:
                topic.newest[key] = (offset + number, value)
            else:
                topic.newest.pop(key, None)
        self._changed.notify_all()
        return offset

    def _handle(self, _method, path, query, _headers, body):
        if self._stall():
            return None
        if path == "/log-append":
            answer = self._append(query, body)
        elif path == "/log-read":
            answer = self._read(query)
        elif path == "/log-newest":
            answer = self._newest(query)
        else:
            answer = (404, {})
        if self._stall():
            return None
        time.sleep(STORE_ANSWER_S)
        return answer

    def _stall(self):
        """Wait while the store is down; return whether it was."""
        was_down = self.is_down
        while self.is_down:
            time.sleep(0.02)
        return was_down

    def _append(self, query, body):
        items, position = [], 0
        while position < len(body):
            size = int.from_bytes(body[position : position + 4], "big")
            content = body[position + 4 : position + 4 + size]
            key_size = content[0]
            items.append((content[1 : 1 + key_size].decode(), content[1 + key_size :]))
            position += 4 + size
        with self._append_lock:
            time.sleep(APPEND_S)
            if self.is_down:
                return None
            with self._changed:
                topic = self._get(query["topic"])
                if "producer" not in query:
                    offset = self._add(topic, items)
                    return 200, _offsets(offset, items)
                epoch, sequence = int(query["epoch"]), int(query["seq"])
                state = topic.producers.setdefault(
                    query["producer"], [-1, 0, {}]
                )
                if epoch < state[0]:
                    return 409, {"reason": "fenced"}
                if epoch > state[0]:
                    state[:] = [epoch, sequence, {}]
                if sequence in state[2]:
                    return 200, state[2][sequence]
                if sequence != state[1]:
                    return 409, {"reason": "seq", "seq": state[1]}
                answer = _offsets(self._add(topic, items), items)
                state[1] += 1
                state[2][sequence] = answer
                state[2].pop(sequence - 5, None)
                return 200, answer

    def _read(self, query):
        first = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            topic = self._get(query["topic"])
            while len(topic.records) <= first and not self.is_down:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self._changed.wait(min(left, 0.1))
            end = len(topic.records)
            content = end.to_bytes(8, "big") + bytes(8)
            for key, value in topic.records[first:]:
                encoded = key.encode()
                one = bytes([len(encoded)]) + encoded + value
                content += len(one).to_bytes(4, "big") + one
                if len(content) > 1_000_000:
                    break
        return 200, content

    def _newest(self, query):
        after = query.get("after", "")
        with self._changed:
            topic = self._get(query["topic"])
            keys = sorted(key for key in topic.newest if key > after)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(topic.newest[key][1]).decode(),
                    "offset": topic.newest[key][0],
                }
                for key in keys[:500]
            ]
            end = len(topic.records)
        return 200, {
            "items": items,
            "has_more": len(keys) > 500,
            "end_offset": end,
        }


def _offsets(offset, items):
    return {"offset": offset, "end_offset": offset + len(items)}


class Proxy:
    """TCP proxy in front of the store, for one entry.

    Attributes:
        is_cut: Whether bytes are held up in both directions, as behind a
            partition. Connections opened meanwhile get no answer.
    """

    def __init__(self, target):
        self._target = target
        self.is_cut = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(near,), daemon=True).start()

    def _serve(self, near):
        self._wait()
        host, port = self._target.split(":")
        try:
            far = socket.create_connection((host, int(port)))
        except OSError:
            near.close()
            return
        for one, other in ((near, far), (far, near)):
            threading.Thread(
                target=self._copy, args=(one, other), daemon=True
            ).start()

    def _copy(self, source, target):
        try:
            while True:
                content = source.recv(65536)
                self._wait()
                if not content:
                    break
                target.sendall(content)
        except OSError:
            pass
        for one in (source, target):
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _wait(self):
        while self.is_cut:
            time.sleep(0.005)


class _Run:
    def __init__(self, task, run, ends_at, gpu):
        self.task = task
        self.run = run
        self.gpu = gpu
        self.began = time.monotonic()
        self.ends_at = ends_at
        self.stops_at = None


class Minion:
    """A minion; its tasks last as long as their spec says ("ms=2500 gpu=1").

    Args:
        record: Record of the script.
        store: The store, where the minion registers itself.
        name: Its id.
        zone: Its zone.
        on_start: Called with task, run, this minion and the fence for each
            start.
        on_end: Called with task, run, this minion and how the run ended.
        labels: Labels beside the kind and the rack.
    """

    def __init__(self, record, store, name, zone, on_start, on_end, labels=()):
        self._record = record
        self._store = store
        self.name = name
        self.zone = zone
        self._on_start = on_start
        self._on_end = on_end
        self._labels = ["a", f"r1-{zone}", *labels]
        self._changed = threading.Condition()
        self._port = 0
        self.is_up = False
        self.is_cut = False
        self._state = "ready"
        self._leaves_at = 0.0
        self.heartbeat_at = 0.0
        self.held_at = 0.0
        # Ends taken note of, without a lapse of the lease between: task, run
        # and how it ended.
        self.noted = []
        self.restart()
        threading.Thread(target=self._tick, daemon=True).start()

    def restart(self):
        """Start a new life under the same id and address, without memory."""
        with self._changed:
            self._running = {}
            self._ended = []
            self._lapsed = set()  # numbers of ends after which a lease lapsed
            self._highest = {}
            self._number = 0
            self._fence = 0
            self._lease_ms = 0
            self._booted = time.monotonic()
            self._born = int(time.time() * 1000)
            self._state = "ready"
            self._seq = 0
            self.is_up = True
        self._server = _start_server("127.0.0.1", self._port, self._handle)
        self._port = self._server.server_address[1]
        self._record.write("minion_up", minion=self.name, born=self._born)
        self._beat()

    def crash(self):
        """End the process: all that it runs, holds and knows is gone."""
        with self._changed:
            self.is_up = False
            for one in list(self._running.values()):
                self._on_end(one.task, one.run, self, "crashed")
            self._running = {}
            self._changed.notify_all()
        self._record.write("minion_crashed", minion=self.name)
        self._server.crash()

    def drain(self, remaining_s):
        """Report `draining`, and leave after `remaining_s`."""
        self._state = "draining"
        self._leaves_at = time.monotonic() + remaining_s
        self._beat()
        self._record.write(
            "minion_draining", minion=self.name, remaining_s=remaining_s
        )

    def list_running(self):
        """Return the tasks that run now."""
        with self._changed:
            return list(self._running)

    def count_free_gpu(self):
        """Return the accelerators that no task holds, 0 while it is down."""
        with self._changed:
            held = sum(one.gpu for one in self._running.values())
        return max(0, GPUS - held) if self.is_up and not self.is_cut else 0

    def _get_clock_ms(self):
        return int((time.monotonic() - self._booted) * 1000)

    def _beat(self):
        self._seq += 1
        self.heartbeat_at = time.monotonic()
        entry = {
            "service": "pool",
            "addr": f"127.0.0.1:{self._port}",
            "zone": self.zone,
            "version": "v1",
            "task_slots": 8,
            "state": self._state,
            "cold_left_ms": 0,
            "capacity": {"cpu": 64000, "mem_mb": 131072, "gpu": GPUS},
            "labels": self._labels,
            "clock_ms": self._get_clock_ms(),
            "seq": self._seq,
            "born": self._born,
            "machine": f"m-{self.name}",
        }
        if self._state == "draining":
            left_s = max(0.0, self._leaves_at - time.monotonic())
            entry["remaining_ms"] = int(left_s * 1000)
        self._store.put("keyed.servers", self.name, entry)

    def _tick(self):
        is_listed = True
        while True:
            time.sleep(0.005)
            now = time.monotonic()
            silent_s = now - self.heartbeat_at
            is_reaching_store = (
                self.is_up and not self.is_cut and not self._store.is_down
            )
            if is_reaching_store and silent_s >= HEARTBEAT_S:
                self._beat()
                is_listed = True
            elif is_listed and silent_s > 3 * HEARTBEAT_S:
                if not self._store.is_down:
                    is_listed = False
                    self._store.put("keyed.servers", self.name, None)
                    self._record.write("entry_expired", minion=self.name)
            if self.is_up:
                with self._changed:
                    self._end_runs(now)

    def _end_runs(self, now):
        is_lapsed = self._get_clock_ms() > self._lease_ms
        if is_lapsed:
            self._lapsed.update(one[0] for one in self._ended)
        for one in list(self._running.values()):
            if is_lapsed:
                self._end(one, "lapsed")
            elif one.stops_at is not None and now >= one.stops_at:
                self._end(one, "stopped")
            elif now >= one.ends_at:
                self._end(one, "done")

    def _end(self, one, how):
        del self._running[one.task]
        self._number += 1
        self._ended.append([self._number, one.task, one.run, how, ""])
        self._note_run(one.task, one.run)
        self._on_end(one.task, one.run, self, how)
        self._changed.notify_all()

    def _note_run(self, task, run):
        self._highest[task] = max(run, self._highest.get(task, 0))

    def _handle(self, _method, path, _query, headers, content):
        while self.is_cut and self.is_up:
            time.sleep(0.005)  # bytes are held up, as behind a partition
        if not self.is_up:
            return None
        body = json.loads(content)
        if headers.get("X-Chervilcove-Expect-Instance") not in (None, self.name):
            return 421, {}
        with self._changed:
            if body["fence"] < self._fence:
                return self._refuse("fence")
            self._fence = body["fence"]
            if path == "/run-start":
                answer = self._start(body)
            elif path == "/run-stop":
                answer = self._stop(body)
            elif path == "/hold":
                answer = self._hold(body)
            else:
                answer = 200, {"clock_ms": self._get_clock_ms()}
        while self.is_cut and self.is_up:
            time.sleep(0.005)
        return answer if self.is_up else None

    def _refuse(self, reason):
        return 409, {"clock_ms": self._get_clock_ms(), "reason": reason}

    def _extend_lease(self, deadline_ms):
        longest_ms = self._get_clock_ms() + HOLD_MAX_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    def _start(self, body):
        task, run = body["task"], body["run"]
        known = self._running.get(task)
        if known is not None and known.run == run:
            return 200, {"clock_ms": self._get_clock_ms()}
        if body["deadline_ms"] <= self._get_clock_ms():
            return self._refuse("late")
        self._extend_lease(body["deadline_ms"])
        if run <= self._highest.get(task, 0) or known is not None:
            return self._refuse("old")
        lasts_ms = int(re.search(r"ms=(\d+)", body["spec"])[1])
        ends_at = time.monotonic() + lasts_ms / 1000
        gpu = re.search(r"gpu=(\d+)", body["spec"])
        self._running[task] = _Run(task, run, ends_at, int(gpu[1]) if gpu else 0)
        self._on_start(task, run, self, body["fence"])
        return 200, {"clock_ms": self._get_clock_ms()}

    def _stop(self, body):
        one = self._running.get(body["task"])
        if one is not None and one.run == body["run"]:
            if one.stops_at is None:
                one.stops_at = time.monotonic() + STOP_S
        else:
            self._note_run(body["task"], body["run"])
        return 200, {"clock_ms": self._get_clock_ms()}

    def _hold(self, body):
        if "deadline_ms" in body:
            self._extend_lease(body["deadline_ms"])
            self.held_at = time.monotonic()
        for number, task, run, how, _ in self._ended:
            if number <= body["last_seen"] and number not in self._lapsed:
                self._record.write(
                    "end_noted", task=task, run=run, minion=self.name, how=how
                )
                self.noted.append((task, run, how))
        self._ended = [one for one in self._ended if one[0] > body["last_seen"]]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ended and self.is_up:
            left = until - time.monotonic()
            if left <= 0:
                break
            self._changed.wait(min(left, 0.05))
        rows = []
        for one in self._running.values():
            lasts = max(0.001, one.ends_at - one.began)
            percent = min(99, int(100 * (time.monotonic() - one.began) / lasts))
            if lasts > LASTING_S:
                percent = 100  # at work, until its job is cancelled
            rows.append([one.task, one.run, "", percent, 0])
        return 200, {
            "clock_ms": self._get_clock_ms(),
            "born": self._born,
            "running": rows,
            "ended_runs": self._ended[:500],
        }


def render(template, values):
    """Fill in a template of settings as DEPLOY.md tells."""

    def find(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                return None
        return value

    text = re.sub(
        r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}",
        lambda match: match[2] if find(match[1]) else "",
        template,
        flags=re.DOTALL,
    )

    def fill(match):
        path, _, form = match[1].partition("|")
        value = find(path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.|]+)\}\}", fill, text)


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, record, folder, number, zone, store_address, network):
        self._record = record
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.host = f"{network}.{number + 10}"
        ports = _find_ports(self.host, 4)
        self.front = f"{self.host}:{ports[0]}"
        self.ready = f"{self.host}:{ports[1]}"
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = role["roles"]["entry"]
        self._command = role["run"].split()
        values = {
            "node_name": self.name,
            "bind_ip": self.host,
            "zone": zone,
            "region": "cairo",
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": f"{self.host}:{ports[2]}",
            },
            "port_range": [ports[3], ports[3]],
            "platform": {"addr": store_address},
            "bounds": BOUNDS,
            "limits": {"cpu_share": 1.0, "cpu_cores": 1},
        }
        template = (ROOT / role["template"]).read_text()
        self._settings = folder / f"{self.name}.jsonc"
        self._settings.write_text(render(template, values))
        self._log = open(folder / f"{self.name}.log", "w", encoding="utf-8")
        self.process = None
        self.proxy = None
        self.start()

    def start(self):
        """Start the process."""
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["CHERVILCOVE_NODE_FILE"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        self._record.write("entry_started", entry=self.name)

    def kill(self):
        """Kill the process, as a loss of power does."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self._record.write("entry_killed", entry=self.name)

    def call(self, method, path, body=None, timeout_s=3.0):
        """Send a consumer's call; return status and body, or (None, None)."""
        host, port = self.front.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.request(
                method,
                path,
                body=None if body is None else json.dumps(body),
                headers={
                    "Host": HOST_NAME,
                    "X-Chervilcove-Key": KEY,
                    "Content-Type": "application/json",
                    "X-Chervilcove-Deadline-Ms": str(int(timeout_s * 1000)),
                },
            )
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            return None, None
        finally:
            connection.close()

    def is_ready(self):
        """Return whether the entry answers its readiness check with 200."""
        host, port = self.ready.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def read_owner(self):
        """Return name and epoch of the owner that the status page shows."""
        connection = http.client.HTTPConnection(self.host, 9464, timeout=1)
        try:
            connection.request("GET", "/v1/status")
            status = json.loads(connection.getresponse().read())
            owner = status["entries"][0]
            return owner["entry"].split("@")[0], owner["epoch"]
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            return "", 0
        finally:
            connection.close()


def _find_ports(host, count):
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((host, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Deployment:
    """A small deployment: a store, minions and entries in zones.

    Args:
        folder: Folder of the case, for `record.txt`.
        zones: Names of the zones.
        entries: Number of entries in each zone.
        minions: Number of minions in each zone.
        attempts: Attempts of the queues.
        stretch: Stretch of the queues.
    """

    def __init__(
        self, folder, *, zones, entries, minions, attempts=4, stretch=3.0
    ):
        # Ends the processes of the entries in `stop` also after a time-out.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self._temporary = pathlib.Path(tempfile.mkdtemp())
        self.starts = []  # (seconds, task, run, minion)
        self.fences = {}  # fence of the start, by task and run
        self.ends = []  # (seconds, task, run, minion, how)
        self.store = Store(self.record)
        self.store.put("keyed.op", "config", build_config(attempts, stretch))
        self.minions = [
            Minion(
                self.record,
                self.store,
                f"i-{zone}-{number}",
                zone,
                self._note_start,
                self._note_end,
            )
            for zone in zones
            for number in range(minions)
        ]
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.entries = []
        for zone in zones:
            for _ in range(entries):
                proxy = Proxy(self.store.address)
                entry = Entry(
                    self.record,
                    self._temporary,
                    len(self.entries),
                    zone,
                    proxy.address,
                    network,
                )
                entry.proxy = proxy
                self.entries.append(entry)

    def wait_until(self, is_met, timeout_s, what):
        """Wait until `is_met`; raise TimeoutError after `timeout_s`."""
        until = time.monotonic() + timeout_s
        while not is_met():
            if time.monotonic() > until:
                raise TimeoutError(what)
            time.sleep(0.01)

    def cut_zone(self, zone, is_cut):
        """Partition the minions and entries of a zone, or join them again.

        The minions reach no entry and no store; the entries reach no store.
        """
        self.record.write("zone_cut" if is_cut else "zone_joined", zone=zone)
        for minion in self.minions:
            if minion.zone == zone:
                minion.is_cut = is_cut
        for entry in self.entries:
            if entry.zone == zone:
                entry.proxy.is_cut = is_cut

    def wait_ready(self):
        """Wait until all entries are ready and the minions are in use."""
        self.wait_until(
            lambda: all(entry.is_ready() for entry in self.entries),
            20,
            "entries are not ready",
        )
        self.wait_until(lambda: self.find_owner() is not None, 10, "no owner")
        self.wait_until(
            lambda: all(minion.held_at for minion in self.minions),
            10,
            "minions get no leases",
        )
        time.sleep(1.0)

    def find_owner(self):
        """Return the entry that is the owner, None if there is none."""
        names = {entry.name: entry for entry in self.entries}
        for entry in self.entries:
            if entry.process.poll() is None:
                owner = names.get(entry.read_owner()[0])
                if owner is not None and owner.process.poll() is None:
                    return owner
        return None

    def submit(self, entry, job, steps, spec, prefix=PREFIX):
        """Submit a job; raise TimeoutError unless it is accepted."""
        body = {"spec": spec, "steps": steps}
        for _ in range(5):
            status, _ = entry.call("POST", prefix + job, body)
            self.record.write("submit", job=job, entry=entry.name, status=status)
            if status == 200:
                return
            time.sleep(1.0)
        raise TimeoutError(f"job {job} is not accepted")

    def ask(self, entry, job, timeout_s=3.0):
        """Return the state that `entry` shows, empty if there is no answer."""
        status, body = entry.call("GET", PREFIX + job, timeout_s=timeout_s)
        state = body.get("state", "") if status == 200 else ""
        self.record.write(
            "ask", job=job, entry=entry.name, status=status, state=state
        )
        return state

    def stop(self):
        """End all processes; keep the logs of the entries beside the record."""
        for entry in self.entries:
            if entry.process.poll() is None:
                entry.process.kill()
            entry.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(
                self._temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True
            )
        shutil.rmtree(self._temporary, ignore_errors=True)

    def _note_start(self, task, run, minion, fence):
        at = self.record.write(
            "start", task=task, run=run, minion=minion.name, fence=fence
        )
        self.starts.append((at, task, run, minion.name))
        self.fences[task, run] = fence

    def _note_end(self, task, run, minion, how):
        at = self.record.write(
            "end", task=task, run=run, minion=minion.name, how=how
        )
        self.ends.append((at, task, run, minion.name, how))


def build_config(attempts, stretch):
    """Return a config with two queues, one service and one tenant."""
    routes = [
        {
            "name": name,
            "host": HOST_NAME,
            "path_prefix": prefix,
            "kind": "mutating",
            "timeout_ms": 3000,
            "target_latency_ms": 1000,
            "priority": priority,
            "service": "pool",
            "attempts": attempts,
            "stretch": stretch,
            "public": False,
        }
        for name, prefix, priority in (
            ("r-0", URGENT_PREFIX, 0),
            ("r-1", PREFIX, 1),
        )
    ]
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {"name": "pool", "health_path": "/health", "rejects_overload": False}
        ],
        "limits": {"max_body_bytes": 262144},
        "tenants": [
            {"name": "t", "api_keys": [KEY], "guaranteed": {"gpu": 8}}
        ],
    }


def find_overlaps(starts, ends):
    """Return pairs of runs of one task that ran at the same time.

    Args:
        starts: As `Deployment.starts`.
        ends: As `Deployment.ends`.
    """
    ended = {(task, run, minion): at for at, task, run, minion, _ in ends}
    runs = {}
    for at, task, run, minion in starts:
        until = ended.get((task, run, minion), float("inf"))
        runs.setdefault(task, []).append((at, until, run, minion))
    found = []
    for task, ones in runs.items():
        ones.sort()
        for before, after in zip(ones, ones[1:]):
            if after[0] < before[1]:
                found.append((task, before, after))
    return found


def find_starts_after_done(system):
    """Return starts after a run had ended `done` whose end was taken note of.

    Ends after which the minion's lease lapsed before they were taken note of
    don't count.

    Args:
        system: The deployment.
    """
    noted = {
        (task, run)
        for minion in system.minions
        for task, run, how in minion.noted
        if how == "done"
    }
    done = {
        (task, run): at
        for at, task, run, _, how in system.ends
        if how == "done" and (task, run) in noted
    }
    return [
        (task, run, at, earlier, ended_at)
        for at, task, run, _ in system.starts
        for (one, earlier), ended_at in done.items()
        if one == task and at > ended_at
    ]
