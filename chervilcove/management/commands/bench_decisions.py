"""Command `bench decisions`."""

import pathlib

from cleo import helpers
from cleo.commands import command
import msgspec

from chervilcove.bench.decisions import core
from chervilcove.bench.decisions import scenarios
from chervilcove.bench.decisions import tables
from chervilcove.bench.replay import core as replays
from chervilcove.bench.replay import recording as recordings
from chervilcove.core import errors
from chervilcove.management import utils


class BenchDecisionsCommand(command.Command):
    """Run one scenario with one policy and one seed, or replay a recording."""

    name = "bench decisions"
    description = "Measures the decisions of one policy in one scenario."
    options = [
        helpers.option(
            "scenario",
            None,
            "Scenario file, or a recording (.json).",
            flag=False,
        ),
        helpers.option(
            "policy", None, "Name of the policy.", flag=False, default=""
        ),
        helpers.option("seed", None, "Seed.", flag=False, default="1"),
        helpers.option("report", None, "JSON report to write.", flag=False),
        helpers.option(
            "log",
            None,
            "Log lines of all entries for one day, to record and replay.",
            flag=False,
        ),
        helpers.option(
            "record",
            None,
            "File to write the recording of --log to.",
            flag=False,
        ),
    ]
    help = (
        "Example:\n"
        "  chervilcove bench decisions \\\n"
        "    --scenario bench/scenarios/nile-day.jsonc \\\n"
        "    --policy guarantee --seed 1 --report reports/nile-day.json\n\n"
        "Policies: fifo-first-fit, backfill-best-fit, guarantee.\n\n"
        "A recorded day of a fleet is replayed through the scheduling rounds,\n"
        "with and without headroom for urgent work:\n"
        "  chervilcove bench decisions --log day.log --record day.json\n"
        "  chervilcove bench decisions --scenario day.json --seed 1"
    )

    def handle(self) -> int:
        """Run the trial; return the exit code."""
        seed = self.option("seed")
        if not seed.isdecimal():
            self.line_error(f"--seed: found {seed!r}, allowed is a number")
            return utils.ExitCode.USAGE
        path = self.option("scenario") or ""
        if self.option("log") or path.endswith(".json"):
            return self._replay(path, int(seed))
        scenario = scenarios.load_scenario(path)
        if errors.is_refusal(scenario):
            self.line_error(scenario.reason)
            return utils.ExitCode.USAGE
        policy = self.option("policy")
        policy_factory = core.find_policy(policy, scenario)
        if errors.is_refusal(policy_factory):
            self.line_error(policy_factory.reason)
            return utils.ExitCode.USAGE
        report, _ = core.run_scenario(
            scenario, {policy: policy_factory}, [int(seed)]
        )
        self.line(tables.format_reports([report]))
        if self.option("report"):
            core.write_report(self.option("report"), report)
        return utils.ExitCode.DONE

    def _replay(self, path: str, seed: int) -> int:
        recording = self._load_recording(path)
        if errors.is_refusal(recording):
            self.line_error(recording.reason)
            return utils.ExitCode.USAGE
        for has_headroom in (True, False):
            replay = replays.Replay(
                recording=recording, seed=seed, has_headroom=has_headroom
            )
            result = msgspec.json.encode(replay.run()).decode()
            self.line(f"headroom={has_headroom} {result}")
        return utils.ExitCode.DONE

    def _load_recording(
        self, path: str
    ) -> recordings.Recording | errors.Refusal:
        log = self.option("log")
        if not log:
            return recordings.load_recording(path)
        try:
            with open(log, encoding="utf-8") as lines:
                recording = recordings.read_log(lines, pathlib.Path(log).name)
            if self.option("record"):
                encoded = msgspec.json.encode(recording)
                pathlib.Path(self.option("record")).write_bytes(encoded)
        except OSError as error:
            return errors.refuse(errors.Kind.INVALID_VALUE, str(error))
        return recording


COMMANDS = [BenchDecisionsCommand]
