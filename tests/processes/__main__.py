"""Soak of the real programs: starts them all, injects faults, judges.

`python -m tests.processes --seed N --seconds S [--plan P] [--tree FOLDER]`

Exit codes: 0 no rule was broken, 1 one was, 2 bad options, a port in use, or
programs that could not be started or ended early.
"""

import argparse
import pathlib
import random
import signal
import socket
import sys
import tempfile

import gevent
from gevent import event

from chervilcove.core import errors
from chervilcove.core import http
from tests.processes import entries
from tests.processes import faults
from tests.processes import injector
from tests.processes import layout
from tests.processes import record
from tests.processes import report
from tests.processes import serving

START_S = 30.0
LEAD_S = 3.0
SETTLE_S = 25.0
JUDGE = "tests.processes.judge"


class FailedRunError(Exception):
    """The run could not be done."""


class Driver:
    """One run.

    Args:
        options: Options of the command.
        folder: Run folder.
    """

    def __init__(self, *, options, folder):
        self._options = options
        self._folder = folder
        self._place = layout.from_options(options)
        self._record = record.Recorder(folder, "driver")
        self._entries = entries.Entries(
            place=self._place,
            folder=folder,
            recorder=self._record,
            tree=options.tree,
        )
        self._programs = []
        self._injector = None
        self._greenlets = []

    def run(self):
        """Start all, let it run, and end all."""
        self._check_addresses()
        try:
            self._play()
        finally:
            self._record.write("shutdown")
            gevent.killall(self._greenlets)
            if self._injector is not None:
                self._injector.stop()
            self._entries.stop_all()
            for program in reversed(self._programs):
                program.kill()

    def _check_addresses(self):
        """Raise `FailedRunError` if another run uses the addresses."""
        place = self._place
        for host, port in (
            (place.get_control_host("store"), layout.CONTROL_PORT),
            (place.get_control_host("workers"), layout.CONTROL_PORT),
            (place.get_entry_host(0), layout.FRONT_PORT),
        ):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((host, port))
                except OSError as error:
                    raise FailedRunError(
                        f"{host}:{port} can't be used ({error.strerror});"
                        " choose another --block"
                    ) from error

    def _play(self):
        options = self._options
        self._record.write(
            "plan",
            seed=options.seed,
            plan=options.plan,
            seconds=options.seconds,
            entries=options.entries,
            workers=options.workers,
            bounds={
                "attempts": {
                    prefix: attempts
                    for prefix, _, attempts, *_ in layout.QUEUES.values()
                }
            },
        )
        self._start_program("store")
        self._wait_for_control("store")
        self._start_program("workers")
        self._wait_for_control("workers")
        for entry in self._place.list_entries():
            self._entries.start(entry)
        self._wait_for_entries()
        callers = self._start_callers()
        self._injector = injector.Injector(
            place=self._place,
            entries=self._entries,
            recorder=self._record,
            folder=self._folder,
        )
        plan = faults.Plan(
            injector=self._injector,
            rng=random.Random(f"faults {options.seed}"),
            name=options.plan,
        )
        self._greenlets = [gevent.spawn(self._injector.keep_entries_up)]
        gevent.sleep(LEAD_S)
        playing = gevent.spawn(plan.run)
        self._greenlets.append(playing)
        self._watch(options.seconds - LEAD_S, callers)
        gevent.kill(playing)
        self._watch(SETTLE_S + 30.0, callers)
        if callers.poll() is None:
            raise FailedRunError("the callers don't end")

    def _watch(self, seconds, callers):
        """Wait for a time or the end of the callers."""
        with gevent.Timeout(seconds, False):
            while callers.poll() is None:
                for program in self._programs:
                    if program.poll() not in (None, 0):
                        raise FailedRunError(
                            f"{program.name} ended with {program.poll()},"
                            f" see {program.log}"
                        )
                gevent.sleep(0.1)

    def _start_program(self, name, *words):
        options = self._options
        program = entries.Process(
            name=name,
            words=[
                sys.executable,
                "-m",
                f"tests.processes.{name}",
                "--run-folder",
                str(self._folder),
                "--seed",
                str(options.seed),
                *(words or self._list_layout_words()),
            ],
            log=self._folder / f"{name}.log",
        )
        self._programs.append(program)
        return program

    def _list_layout_words(self):
        words = []
        for name in ("block", "entries", "workers", "zones"):
            words += [f"--{name}", str(getattr(self._options, name))]
        return words

    def _start_callers(self):
        options = self._options
        targets = [
            f"{self._place.get_entry_name(entry)}="
            f"{self._place.get_entry_host(entry)}:{layout.FRONT_PORT}"
            for entry in self._place.list_entries()
        ]
        prefixes = [prefix for prefix, *_ in layout.QUEUES.values()]
        rate = options.rate or options.workers / 8
        return self._start_program(
            "callers",
            *("--targets", ",".join(targets)),
            *("--host", layout.QUEUE_HOST),
            *("--prefix", *prefixes),
            *("--key", layout.KEY),
            *("--seconds", str(options.seconds)),
            *("--rate", str(rate)),
            *("--settle", str(SETTLE_S)),
        )

    def _wait_for_control(self, program):
        host = self._place.get_control_host(program)
        remote = serving.Remote(host=host, port=layout.CONTROL_PORT)

        def is_there():
            if self._programs[-1].poll() is not None:
                raise FailedRunError(
                    f"{program} doesn't start, see {self._programs[-1].log}"
                )
            try:
                return remote.call("status")
            except OSError:
                return None

        if not entries.wait_for(is_there, seconds=START_S, pause=gevent.sleep):
            raise FailedRunError(f"{program} doesn't answer")

    def _wait_for_entries(self):
        peers = [
            http.HttpPeer(
                host=self._place.get_entry_host(entry), port=layout.READY_PORT
            )
            for entry in self._place.list_entries()
        ]

        def are_ready():
            for entry in self._entries.collect():
                name = self._place.get_entry_name(entry)
                raise FailedRunError(f"{name} doesn't start, see {name}.log")
            replies = [peer.call("GET", "/ready") for peer in peers]
            return all(
                not errors.is_refusal(reply) and reply.status == 200
                for reply in replies
            )

        if not entries.wait_for(are_ready, seconds=START_S, pause=gevent.sleep):
            raise FailedRunError("the entries don't become ready")


def _judge(folder):
    """Judge the run and print what was found; return whether it is broken."""
    events = record.read_folder(folder)
    print(report.summarize(events))
    program = entries.Process(
        name="judge",
        words=[sys.executable, "-m", JUDGE, str(folder)],
        log=folder / "judge.log",
    )
    try:
        while program.poll() is None:
            gevent.sleep(0.1)
    finally:
        program.kill()
    text = program.log.read_text()
    print(text, end="")
    if program.poll() not in (0, 1) or "breaks=" not in text:
        raise FailedRunError(f"the judge failed, see {program.log}")
    for task in report.find_tasks(text):
        print("\n".join(report.describe_task(task, events, folder)))
    return program.poll() == 1


def _parse(arguments):
    parser = argparse.ArgumentParser(prog="python -m tests.processes")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--plan", choices=faults.PLANS, default="mixed")
    parser.add_argument("--rate", type=float, default=0.0, help="jobs a second")
    parser.add_argument(
        "--tree",
        type=pathlib.Path,
        default=entries.ROOT,
        help="source tree of the entries",
    )
    parser.add_argument("--run-folder", type=pathlib.Path)
    layout.add_options(parser)
    options = parser.parse_args(arguments)
    limits = {
        "entries": (1, layout.MOST_ENTRIES),
        "workers": (1, layout.MOST_WORKERS),
        "zones": (1, len(layout.ZONES)),
        "block": (1, 254),
        "seconds": (5, 86_400),
        "rate": (0, 1_000),
    }
    for name, (least, most) in limits.items():
        if not least <= getattr(options, name) <= most:
            parser.error(f"--{name} must be from {least} to {most}")
    if not (options.tree / "deploy" / "system.toml").is_file():
        parser.error(f"--tree: no deploy/system.toml in {options.tree}")
    options.tree = options.tree.resolve()
    return options


def main(arguments=None):
    options = _parse(arguments)
    folder = options.run_folder or pathlib.Path(
        tempfile.mkdtemp(prefix="soak-")
    )
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.glob("*.jsonl")):
        print(f"--run-folder: {folder} holds a run", file=sys.stderr)
        return 2
    driver = Driver(options=options, folder=folder.resolve())
    running = gevent.spawn(driver.run)
    stopped = event.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stopped.set)
    running.link(lambda _: stopped.set())
    stopped.wait()
    if not running.ready():
        running.kill()
        print("interrupted", file=sys.stderr)
        return 130
    try:
        running.get()
        broken = _judge(folder)
    except FailedRunError as failure:
        print(failure, file=sys.stderr)
        return 2
    verdict = "broken" if broken else "clean"
    print(
        f"seed={options.seed} plan={options.plan} seconds={options.seconds:g}"
        f" {verdict} folder={folder}"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
