"""Program: the platform's store of the cases 6 to 10.

It is the store of `tests/processes`, and keeps to two limits of PROTOCOL.md
that that one doesn't know: `record_bytes` of one record and `call_bytes` of one
call. An append beyond them is refused with 400 and stores nothing. The first
config may come from a file, and an operator can write further records.

`python3 store.py --run-folder F --seed N [--config FILE] [layout options]`
"""

import argparse
import json
import pathlib

import gevent

from tests.processes import layout
from tests.processes import record
from tests.processes import serving
from tests.processes import store
from tests.processes import topics

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
OPERATOR_PORT = 9001


class LimitedStore(store.Store):
    """The store, with the limits of one record and of one call."""

    def __init__(self, *, place, recorder, seed, config):
        super().__init__(place=place, recorder=recorder, seed=seed)
        self._config = config
        self._recorder = recorder
        self._operator = serving.Control(
            host=place.get_control_host("store"),
            port=OPERATOR_PORT,
            commands={"put": self._put},
        )

    def run(self):
        """Serve until the process is ended."""
        self._topics["keyed.op"].put([("config", self._config)])
        self._server.start()
        self._control.start()
        self._operator.start()
        while True:
            gevent.sleep(0.25)
            self._expire()

    def _append(self, call):
        sizes = [
            1 + len(key.encode()) + len(value)
            for key, value in topics.decode_items(call.body)
        ]
        if (
            any(size > RECORD_BYTES for size in sizes)
            or sum(sizes) > CALL_BYTES
        ):
            self._recorder.write(
                "append_refused", entry=call.key, sizes=sizes, status=400
            )
            return 400, {"reason": "size"}
        return super()._append(call)

    def _put(self, key, value):
        """Write as the operator; None drops the key."""
        content = b"" if value is None else json.dumps(value).encode()
        self._topics["keyed.op"].put([(key, content)])
        self._announce()
        return True


def main():
    """Run the store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--run-folder", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--config", type=pathlib.Path)
    layout.add_options(parser)
    options = parser.parse_args()
    if options.config:
        config = options.config.read_bytes()
    else:
        config = json.dumps(layout.build_config()).encode()
    LimitedStore(
        place=layout.from_options(options),
        recorder=record.Recorder(options.run_folder, "store"),
        seed=options.seed,
        config=config,
    ).run()


if __name__ == "__main__":
    main()
