"""Commands `job submit|status|wait|cancel|explain|list`."""

import datetime
import pathlib
from typing import Any

from cleo import helpers

from chervilcove.core import errors
from chervilcove.management import job_plans
from chervilcove.management import utils

_OPTIONS = [utils.ENTRY_OPTION, utils.JSON_OPTION]
_JOB_ARGUMENTS = [helpers.argument("job", "Job id.")]
LONG_POLL_S = 30.0


class SubmitCommand(utils.EntryClientCommand):
    """Submit a job."""

    name = "job submit"
    description = "Submits a job from a file and prints its id."
    arguments = [
        helpers.argument("file", "Job file, JSON with comments; - for stdin.")
    ]
    options = _OPTIONS
    help = (
        "Example:\n  chervilcove job submit survey.jsonc\n\n"
        "The job's key makes the command idempotent: submitting the same file "
        "again prints the same id."
    )

    def handle(self) -> int:
        """Print the id of the job."""
        spec = utils.read_document(self.argument("file"))
        if errors.is_refusal(spec):
            return self.print_refusal(spec)
        outcome = self.call_entry("POST", "/v1/jobs", spec)
        if errors.is_refusal(outcome):
            return self.print_refusal(outcome)
        return self.print_outcome(outcome, outcome["job"])


class StatusCommand(utils.EntryClientCommand):
    """Show the state of a job."""

    name = "job status"
    description = "Shows the state of a job."
    arguments = _JOB_ARGUMENTS
    options = _OPTIONS
    help = "Example:\n  chervilcove job status JOB"

    def handle(self) -> int:
        """Print the state of the job."""
        outcome = self.call_entry("GET", f"/v1/jobs/{self.argument('job')}")
        return self.print_outcome(outcome, _format_job(outcome))


class WaitCommand(utils.EntryClientCommand):
    """Wait until a job ends."""

    name = "job wait"
    description = "Waits until a job ends; exit code 0 if it completed."
    arguments = _JOB_ARGUMENTS
    options = [
        *_OPTIONS,
        helpers.option(
            "seconds",
            None,
            "Maximum time to wait, seconds.",
            flag=False,
            default="3600",
        ),
    ]
    help = "Example:\n  chervilcove job wait JOB --seconds 600"

    def handle(self) -> int:
        """Print the job when it has ended or the time is up."""
        remaining_s = float(self.option("seconds"))
        while True:
            poll_s = min(remaining_s, LONG_POLL_S)
            outcome = self.call_entry(
                "GET",
                f"/v1/jobs/{self.argument('job')}?wait_s={poll_s}",
                timeout_s=poll_s + utils.CALL_TIMEOUT_S,
            )
            if errors.is_refusal(outcome):
                return self.print_refusal(outcome)
            remaining_s -= poll_s
            if outcome["finished_at"] or remaining_s <= 0:
                break
        code = self.print_outcome(outcome, _format_job(outcome))
        if outcome["state"] == "completed":
            return code
        return utils.ExitCode.REFUSED


class CancelCommand(utils.EntryClientCommand):
    """Cancel a job."""

    name = "job cancel"
    description = "Cancels a job; stops it first if it is running."
    arguments = _JOB_ARGUMENTS
    options = _OPTIONS
    help = "Example:\n  chervilcove job cancel JOB"

    def handle(self) -> int:
        """Print the state after the cancellation."""
        path = f"/v1/jobs/{self.argument('job')}/cancel"
        outcome = self.call_entry("POST", path)
        if errors.is_refusal(outcome):
            return self.print_refusal(outcome)
        return self.print_outcome(outcome, outcome["state"])


class ExplainCommand(utils.EntryClientCommand):
    """Show why a job waits, or where one that was not sent would start."""

    name = "job explain"
    description = (
        "Shows the history of a job and why it waits, or where a job that was "
        "not sent would start now."
    )
    arguments = [
        helpers.argument(
            "job",
            "Job id; or a file with a job as it would be sent, JSON with "
            "comments; - for stdin.",
        )
    ]
    options = _OPTIONS
    help = (
        "Example:\n  chervilcove job explain JOB\n"
        "  chervilcove job explain survey.jsonc --entry IP:PORT\n\n"
        "An argument that names a file, has a slash or ends with .json or "
        ".jsonc is a file.\nOn the platform, the file holds "
        '{"queue": NAME, "customer": NAME, "body": JOB}, and the\naddress is '
        "fleet.metrics of the owner. Nothing is submitted. Exit code 1: the "
        "job\nwould be refused, for the printed reason."
    )

    def handle(self) -> int:
        """Print the history of a job, or the plan for the job in a file."""
        name = self.argument("job")
        if _is_file(name):
            return self._explain_file(name)
        return self._explain_job(name)

    def _explain_file(self, name: str) -> int:
        """Print what each step of a job that was not sent would do."""
        question = utils.read_document(name)
        if errors.is_refusal(question):
            return self.print_refusal(question)
        outcome = self.call_entry("POST", "/v1/explain", question)
        if errors.is_refusal(outcome):
            if outcome.kind is errors.Kind.NOT_FOUND:
                # Other ports have no such route, nor has an earlier build.
                outcome = outcome._replace(
                    reason="this address explains no jobs that were not sent: "
                    "on the platform, name the one in fleet.metrics"
                )
            return self.print_refusal(outcome)
        return self.print_outcome(outcome, job_plans.format_plan(outcome))

    def _explain_job(self, job: str) -> int:
        """Print one line for each event, then the state and the wait."""
        path = f"/v1/jobs/{job}/explain"
        outcome = self.call_entry("GET", path)
        if errors.is_refusal(outcome):
            return self.print_refusal(outcome)
        lines = [_format_event(event) for event in outcome["history"]]
        lines.append(f"state: {outcome['state']}")
        wait = outcome["wait"]
        if wait:
            lines.append(f"waits: {wait['reason']} {wait['detail']}".rstrip())
        return self.print_outcome(outcome, "\n".join(lines))


class ListCommand(utils.EntryClientCommand):
    """List jobs."""

    name = "job list"
    description = "Lists the latest jobs."
    options = _OPTIONS
    help = "Example:\n  chervilcove job list --json"

    def handle(self) -> int:
        """Print one line for each job."""
        outcome = self.call_entry("GET", "/v1/jobs")
        if errors.is_refusal(outcome):
            return self.print_refusal(outcome)
        lines = [_format_job(job) for job in outcome["jobs"]]
        return self.print_outcome(outcome, "\n".join(lines) or "no jobs")


def _is_file(name: str) -> bool:
    return (
        name == "-"
        or "/" in name
        or name.endswith((".json", ".jsonc"))
        or pathlib.Path(name).is_file()
    )


def _format_job(job: Any) -> str:
    if errors.is_refusal(job):
        return ""
    text = (
        f"{job['job']} {job['customer']} {job['urgency']} {job['state']} "
        f"attempt={job['attempt']}"
    )
    if job["workers"]:
        text += " workers=" + ",".join(job["workers"])
    if job["reason"]:
        text += f" reason={job['reason']}"
    return text


def _format_event(event: dict[str, Any]) -> str:
    time = datetime.datetime.fromtimestamp(event["time"], tz=datetime.UTC)
    parts = [
        f"{event['offset']:>8}",
        time.strftime("%Y-%m-%dT%H:%M:%SZ"),
        event["event"],
        event["reason"],
        event["detail"],
    ]
    return " ".join(part for part in parts if part)


COMMANDS = [
    SubmitCommand,
    StatusCommand,
    WaitCommand,
    CancelCommand,
    ExplainCommand,
    ListCommand,
]
