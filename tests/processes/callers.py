"""Callers of a soak: a process that submits jobs, polls and cancels them.

Each target is HOST:PORT, or NAME=HOST:PORT if the record is to name the entry
as the others do. A connection stays open until a call on it fails or its entry
closes it. A call that gets no answer, 502 or 504 is made again at another
entry, a job under the same id. After 429 or 503, half of the callers give up
and the others try a few times more.

`draws.py` tells what is drawn: `spec` is JSON, {"work_ms": N}, by which the
workers know how long a task takes. What is sent depends on the seed alone, but
not when answers come and so which entry is asked next.

Besides `job` and `answer`, each call is recorded when it is sent, as `call`
{job, entry, call}. An answer that doesn't come has the status 0. A job's line
also has its `spec`.

After `--seconds` no new jobs come, and lasting ones are cancelled. Callers go
on for up to `--settle` seconds until all jobs have ended. Then each job's state
is asked for at each entry, and the process ends with exit code 0. SIGTERM ends
it at once, with whole lines written.
"""

import argparse
import json
import math
import pathlib
import random
import sys
import time

import gevent
from gevent import pool as gevent_pool

from chervilcove.core import errors
from chervilcove.core import http
from tests.processes import draws
from tests.processes import record

DEADLINE_MS = 3_000
TRIES = 4  # of a job that is refused
PAUSE_S = 0.2  # before a call is made again
CONNECTIONS = 128  # to each entry
POLL_S = (0.3, 2.0)  # shortest and longest time between two polls
FINAL_CALLS = 16  # at a time in the polling phase at the end
ENDED = ("done", "failed", "cancelled")
UNKNOWN = (0, 502, 504)
BUSY = (429, 503)


class Entry:
    """One entry that callers know.

    Args:
        name: Name for the record.
        host: IP address.
        port: TCP port.
    """

    def __init__(self, *, name, host, port):
        self.name = name
        self.peer = http.HttpPeer(
            host=host,
            port=port,
            connections=CONNECTIONS,
            max_idle_s=math.inf,
        )


class Callers:
    """All callers of one process.

    Args:
        entries: Entries to call.
        recorder: Takes what is sent and seen.
        host: Host of the queues.
        queues: Path prefixes of the queues.
        key: Key of the customer.
        seed: Seed of all that is drawn.
    """

    def __init__(self, *, entries, recorder, host, queues, key, seed):
        self._entries = entries
        self._recorder = recorder
        self._host = host
        self._queues = queues
        self._key = key
        self._rng = random.Random(f"jobs {seed}")
        self._routing = random.Random(f"calls {seed}")
        self._is_closing = False
        self._plans = []
        self._open_jobs = gevent_pool.Group()

    def run(self, *, seconds, rate, settle_s):
        """Submit jobs for a time, and follow all of them to their ends.

        Args:
            seconds: How long new jobs come.
            rate: Mean number of new jobs in a second.
            settle_s: How long callers go on at most after that.
        """
        end = time.monotonic() + seconds
        while True:
            gap_s = self._rng.expovariate(rate)
            if time.monotonic() + gap_s >= end:
                break
            gevent.sleep(gap_s)
            plan = draws.draw_plan(self._rng, self._queues)
            self._plans.append(plan)
            self._open_jobs.spawn(self._follow, plan)
        gevent.sleep(max(0.0, end - time.monotonic()))
        self._is_closing = True
        self._open_jobs.join(timeout=settle_s)
        self._open_jobs.kill()
        self.ask_all()

    def ask_all(self):
        """Ask for the state of every job at every entry."""
        pool = gevent_pool.Pool(FINAL_CALLS)
        for plan in self._plans:
            for entry in self._entries:
                pool.spawn(self._call, entry, "get", plan)
        pool.join()

    def _follow(self, plan):
        """Submit a job, then poll and cancel it until it has ended."""
        self._recorder.write(
            "job",
            job=plan.job,
            queue=plan.queue,
            steps=plan.steps,
            spec=plan.spec,
        )
        if not self._submit(plan):
            return
        accepted = time.monotonic()
        cancel_at = accepted + _or_never(plan.cancel_after_s)
        repeat_at = accepted + _or_never(plan.repeat_after_s)
        is_cancelled = False
        silent = None
        while True:
            now = time.monotonic()
            if plan.kind == "lasting" and self._is_closing:
                cancel_at = now
            if now >= cancel_at and not is_cancelled:
                is_cancelled = self._cancel(plan)
            if now >= repeat_at:
                repeat_at = math.inf
                gevent.spawn(self._call, self._choose(), "submit", plan)
            entry = self._choose(silent)
            status, state = self._call(entry, "get", plan)
            silent = entry if status in UNKNOWN else None
            if state in ENDED or status == 410:
                return
            pause_s = PAUSE_S
            if silent is None:
                next_s = max(PAUSE_S, min(cancel_at, repeat_at) - now)
                pause_s = min(self._routing.uniform(*POLL_S), next_s)
            gevent.sleep(pause_s)

    def _submit(self, plan):
        """Return whether a job was accepted."""
        entry, refusals = None, 0
        while refusals < TRIES:
            entry = self._choose(entry)
            status, _ = self._call(entry, "submit", plan)
            if 200 <= status < 300:
                return True
            if status in BUSY:
                refusals += 1
                if plan.gives_up:
                    return False
            elif status not in UNKNOWN:
                return False
            gevent.sleep(PAUSE_S * (1 + refusals))
        return False

    def _cancel(self, plan):
        """Return whether a job was cancelled, at one of three entries."""
        entry = None
        for _ in range(3):
            entry = self._choose(entry)
            status, _ = self._call(entry, "delete", plan)
            if 200 <= status < 300 or status == 410:
                return True
            gevent.sleep(PAUSE_S)
        return False

    def _choose(self, last=None):
        """Return an entry, another one than `last` if there is one."""
        others = [entry for entry in self._entries if entry is not last]
        return self._routing.choice(others or self._entries)

    def _call(self, entry, call, plan):
        """Make a call and record it; return its status and the job's state."""
        method = {"submit": "POST", "get": "GET", "delete": "DELETE"}[call]
        body = b""
        if call == "submit":
            content = {"spec": plan.spec, "steps": plan.steps}
            body = json.dumps(content).encode()
        self._recorder.write("call", job=plan.job, entry=entry.name, call=call)
        reply = entry.peer.call(
            method,
            plan.queue + plan.job,
            body=body,
            headers={
                "Host": self._host,
                "Content-Type": "application/json",
                "X-Chervilcove-Key": self._key,
                "X-Chervilcove-Deadline-Ms": str(DEADLINE_MS),
            },
            timeout_s=DEADLINE_MS / 1000,
        )
        status, state = 0, ""
        if not errors.is_refusal(reply):
            status, state = reply.status, _read_state(reply)
        self._recorder.write(
            "answer",
            job=plan.job,
            entry=entry.name,
            call=call,
            status=status,
            state=state,
        )
        return status, state


def _or_never(seconds):
    return math.inf if seconds is None else seconds


def _read_state(reply):
    content = reply.decode()
    if errors.is_refusal(content) or not isinstance(content, dict):
        return ""
    return str(content.get("state", ""))


def _parse_targets(text):
    targets = []
    for target in text.split(","):
        name, _, address = target.rpartition("=")
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise argparse.ArgumentTypeError(
                f"{target!r} is neither HOST:PORT nor NAME=HOST:PORT"
            )
        targets.append((name or address, host, int(port)))
    return targets


def _parse_positive(text):
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 < value < math.inf:
        raise argparse.ArgumentTypeError(f"{text!r} is not a positive number")
    return value


def _parse_options(arguments):
    parser = argparse.ArgumentParser(prog="python -m tests.processes.callers")
    parser.add_argument("--run-folder", required=True, type=pathlib.Path)
    parser.add_argument("--targets", required=True, type=_parse_targets)
    parser.add_argument("--host", required=True)
    parser.add_argument("--prefix", required=True, nargs="+")
    parser.add_argument("--key", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=_parse_positive, default=60.0)
    parser.add_argument(
        "--rate",
        type=_parse_positive,
        default=4.0,
        help="new jobs in a second; their work is about 6 s on average",
    )
    parser.add_argument("--settle", type=_parse_positive, default=40.0)
    parser.add_argument("--name", default="callers", help="of the record file")
    options = parser.parse_args(arguments)
    if not options.run_folder.is_dir():
        parser.error(f"--run-folder: {options.run_folder} is no folder")
    return options


def main(arguments=None):
    options = _parse_options(arguments)
    callers = Callers(
        entries=[
            Entry(name=name, host=host, port=port)
            for name, host, port in options.targets
        ],
        recorder=record.Recorder(options.run_folder, options.name),
        host=options.host,
        queues=options.prefix,
        key=options.key,
        seed=options.seed,
    )
    callers.run(
        seconds=options.seconds, rate=options.rate, settle_s=options.settle
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
