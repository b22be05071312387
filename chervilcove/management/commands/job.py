"""Commands `job submit|status|wait|cancel|explain|list`."""

import datetime
from typing import Any

from cleo import helpers

from chervilcove.core import errors
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
    """Show the history of a job and why it waits."""

    name = "job explain"
    description = "Shows the history of a job in order, and why it waits."
    arguments = _JOB_ARGUMENTS
    options = _OPTIONS
    help = "Example:\n  chervilcove job explain JOB"

    def handle(self) -> int:
        """Print one line for each event, then the state and the wait."""
        path = f"/v1/jobs/{self.argument('job')}/explain"
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
