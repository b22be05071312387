"""Program: the platform's store. Links are numbers of entries.

`python -m tests.processes.store --run-folder F --seed N [layout options]`
"""

import argparse
import base64
import collections
import json
import time

import gevent
from gevent import event
import msgspec

from tests.processes import layout
from tests.processes import links
from tests.processes import record
from tests.processes import serving
from tests.processes import topics

ANSWER_S = 0.004
APPEND_S = 0.002
MOST_WAIT_S = 2.0  # of appends for those before them; 503 beyond
KEEP_S = 20.0
RATES = {"/log-append": 600, "/log-read": 2000, "/log-newest": 2000}
READ_ONLY = ("keyed.op", "keyed.servers")
SERVERS = "keyed.servers"
LEDGER = "keyed.ledger"
SILENCES = 3  # heartbeats after which the entry of a worker is removed


class Store:
    """The store.

    Args:
        place: The layout.
        recorder: Where claims are written to.
        seed: Seed of the links.
    """

    def __init__(self, *, place, recorder, seed):
        self._place = place
        self._record = recorder
        self._topics = collections.defaultdict(topics.Topic)
        self._changed = event.Event()
        self._calls = collections.defaultdict(collections.deque)
        self._beats = {}
        self._slowness = 1.0
        self._is_down = False
        self._claims = []
        self.links = links.Links(seed=seed)
        keys = {
            (place.get_store_host(entry), layout.STORE_PORT): str(entry)
            for entry in place.list_entries()
        }
        self._server = serving.Server(
            keys=keys, handle=self._handle, table=self.links
        )
        self._control = serving.Control(
            host=place.get_control_host("store"),
            port=layout.CONTROL_PORT,
            commands={
                "set": self._set_layer,
                "reset": self._reset,
                "slow": self._set_slowness,
                "down": self._set_down,
                "drop": self._drop_history,
                "beat": self._take_beats,
                "remove": self._remove,
                "status": self._get_status,
            },
        )

    def run(self):
        """Serve until the process is ended."""
        config = json.dumps(layout.build_config()).encode()
        self._topics["keyed.op"].put([("config", config)])
        self._server.start()
        self._control.start()
        while True:
            gevent.sleep(0.25)
            self._expire()

    def _handle(self, call):
        if not self._is_within_rate(call.path):
            return 429, {}
        if call.path == "/log-append":
            answer = self._append(call)
        elif call.path == "/log-read":
            answer = self._read(call)
        elif call.path == "/log-newest":
            answer = self._read_newest(call)
        else:
            answer = 404, {}
        gevent.sleep(ANSWER_S * self._slowness)
        return answer

    def _is_within_rate(self, path):
        now = time.monotonic()
        calls = self._calls[path]
        while calls and calls[0] < now - 1:
            calls.popleft()
        calls.append(now)
        return len(calls) <= RATES.get(path, 2000)

    def _append(self, call):
        name = call.query["topic"]
        if name in READ_ONLY:
            return 403, {}
        topic = self._topics[name]
        now = time.monotonic()
        if topic.busy_until - now > MOST_WAIT_S:
            return 503, {}
        topic.busy_until = max(now, topic.busy_until)
        topic.busy_until += APPEND_S * self._slowness
        gevent.sleep(topic.busy_until - now)
        items = topics.decode_items(call.body)
        options = {}
        if "at" in call.query:
            options["at"] = int(call.query["at"])
        if "producer" in call.query:
            options["producer"] = call.query["producer"]
            options["epoch"] = int(call.query["epoch"])
            options["sequence"] = int(call.query["seq"])
        before = topic.end
        try:
            answer = topic.append(items, **options)
        except topics.ConflictError as conflict:
            return conflict.status, conflict.answer
        if topic.end > before:
            self._announce()
            if name == LEDGER:
                self._note_claims(items, before)
        return 200, answer

    def _note_claims(self, items, offset):
        for number, (key, value) in enumerate(items):
            if key != "owner":
                continue
            epoch, entry, *rest = msgspec.msgpack.decode(value)
            claim = {
                "epoch": epoch,
                "entry": entry.partition("@")[0],
                "offset": offset + number,
                "resigned": bool(rest[1]) if len(rest) > 1 else False,
            }
            self._claims.append(claim)
            self._record.write("claim", **claim)

    def _read(self, call):
        topic = self._topics[call.query["topic"]]
        offset = int(call.query["from"])
        until = time.monotonic() + int(call.query.get("wait_ms", 0)) / 1000
        while offset >= topic.end:
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            self._changed.wait(timeout=left_s)
        if offset < topic.first:
            return 410, {"first_offset": topic.first}
        most_bytes = int(call.query.get("max_kb", 1024)) * 1024
        items = topic.read(offset, most_bytes)
        if call.query["topic"] == SERVERS:
            items = [
                (key, self._translate(value, call.key)) for key, value in items
            ]
        head = topic.end.to_bytes(8, "big") + topic.first.to_bytes(8, "big")
        return 200, head + topics.encode_items(items)

    def _read_newest(self, call):
        topic = self._topics[call.query["topic"]]
        page, has_more = topic.read_newest(call.query.get("after", ""))
        items = []
        for key, offset, value in page:
            if call.query["topic"] == SERVERS:
                value = self._translate(value, call.key)
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        answer = {"items": items, "has_more": has_more, "end_offset": topic.end}
        return 200, answer

    def _translate(self, value, key):
        prefix = self._place.get_worker_prefix(int(key))
        return value.replace(self._place.placeholder.encode(), prefix.encode())

    def _announce(self):
        changed, self._changed = self._changed, event.Event()
        changed.set()

    def _expire(self):
        for topic in self._topics.values():
            topic.expire(KEEP_S)
        if self._is_down:
            return
        limit = time.monotonic() - SILENCES * layout.HEARTBEAT_S
        self._remove([key for key, at in self._beats.items() if at < limit])

    def _remove(self, workers):
        """Remove the entries of workers that left or are silent."""
        known = [key for key in workers if self._beats.pop(key, None)]
        if known:
            self._topics[SERVERS].put([(key, b"") for key in known])
            self._announce()

    def _take_beats(self, beats):
        """Store what workers say of themselves; False if it isn't stored."""
        if self._is_down:
            return False
        for key, value in beats.items():
            self._beats[key] = time.monotonic()
            content = json.dumps(value, separators=(",", ":")).encode()
            self._topics[SERVERS].put([(key, content)])
        self._announce()
        return True

    def _set_layer(self, keys, fault, layer):
        self.links.set_layer(keys, fault, links.parse_layer(layer))

    def _reset(self, keys):
        for key in keys:
            self._server.reset_connections(key)

    def _set_slowness(self, factor):
        self._slowness = factor

    def _set_down(self, is_down):
        self._is_down = is_down

    def _drop_history(self, kept):
        """Delete all but the last `kept` records of each topic."""
        for topic in self._topics.values():
            topic.trim(topic.end - kept)

    def _get_status(self):
        return {
            "claims": self._claims,
            "ends": {name: topic.end for name, topic in self._topics.items()},
        }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--run-folder", required=True)
    parser.add_argument("--seed", type=int, required=True)
    layout.add_options(parser)
    options = parser.parse_args()
    recorder = record.Recorder(options.run_folder, "store")
    place = layout.from_options(options)
    Store(place=place, recorder=recorder, seed=options.seed).run()


if __name__ == "__main__":
    main()
