"""Program: the placement policy service that PROTOCOL.md calls `advice`.

It handles one call at a time for each calling machine, in turn, and answers
after `decide_ms` and `each_ms` for each minion named. A step whose job id
begins with "a" may run on the first minion only, any other on all others. That
never changes. A ticket is a text; the stand-ins of the minions take any.

`python3 policy.py --run-folder F --host H --decide-ms N --each-ms N
--valid-ms N`
"""

import argparse
import collections
import json

import gevent
from gevent import lock

from tests.processes import layout
from tests.processes import links
from tests.processes import record
from tests.processes import serving

MOST_WAITING = 32
FIRST = "i-000"


class Policy:
    """The service.

    Args:
        options: Options of the program.
        recorder: Where calls are written to.
    """

    def __init__(self, *, options, recorder):
        self._options = options
        self._record = recorder
        self._turns = collections.defaultdict(lock.Semaphore)
        self._waiting = 0

    def handle(self, call):
        """Answer one call."""
        if call.path != "/advise":
            return 404, {}
        if self._waiting >= MOST_WAITING:
            return 429, {}
        body = json.loads(call.body)
        workers = body["workers"]
        options = self._options
        self._waiting += 1
        try:
            with self._turns[call.key]:
                took_ms = options.decide_ms + options.each_ms * len(workers)
                gevent.sleep(took_ms / 1000)
        finally:
            self._waiting -= 1
        is_first = body["step"].startswith("a")
        granted = [
            [worker, f"{body['step']}-{worker}"]
            for worker in workers
            if (worker == FIRST) == is_first
        ]
        self._record.write(
            "advice", step=body["step"], asked=len(workers), granted=granted
        )
        return 200, {"granted": granted, "valid_ms": options.valid_ms}


def main():
    """Run the service."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--run-folder", required=True)
    parser.add_argument("--host", required=True)
    for name in ("decide", "each", "valid"):
        parser.add_argument(f"--{name}-ms", type=int, required=True)
    options = parser.parse_args()
    policy = Policy(
        options=options, recorder=record.Recorder(options.run_folder, "policy")
    )
    # One link: in these cases only the owner calls.
    serving.Server(
        keys={(options.host, layout.STORE_PORT): "owner"},
        handle=policy.handle,
        table=links.Links(seed=0),
    ).start()
    while True:
        gevent.sleep(1.0)


if __name__ == "__main__":
    main()
