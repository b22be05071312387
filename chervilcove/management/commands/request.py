"""Command `request`."""

from cleo import helpers

from chervilcove.core import errors
from chervilcove.management import utils


class RequestCommand(utils.EntryClientCommand):
    """Send one request to a service."""

    name = "request"
    description = "Sends one request to a service and prints the answer."
    arguments = [
        helpers.argument("service", "Service name."),
        helpers.argument(
            "file", "Request body, JSON with comments; - for stdin."
        ),
    ]
    options = [
        utils.ENTRY_OPTION,
        utils.JSON_OPTION,
        helpers.option(
            "customer", "c", "Customer name.", flag=False, default=""
        ),
        helpers.option("key", "k", "Idempotency key.", flag=False, default=""),
        helpers.option(
            "once",
            None,
            "The request is not idempotent; run it at most once.",
            flag=True,
        ),
        helpers.option(
            "urgency",
            "u",
            "Urgency: urgent, normal or batch.",
            flag=False,
            default="normal",
        ),
        helpers.option(
            "deadline-ms",
            "d",
            "Deadline, milliseconds from now.",
            flag=False,
            default="10000",
        ),
    ]
    help = (
        "Example:\n"
        "  chervilcove request notice-desk booking.json --customer hotels "
        "--key booking-17 --once\n\n"
        "Exit code 1: the request did not run; 3: it may have run."
    )

    def handle(self) -> int:
        """Send the request and print the body of the answer."""
        body = utils.read_document(self.argument("file"))
        if errors.is_refusal(body):
            return self.print_refusal(body)
        headers = {
            "X-Customer": self.option("customer"),
            "X-Request-Key": self.option("key"),
            "X-Idempotent": "false" if self.option("once") else "true",
            "X-Urgency": self.option("urgency"),
            "X-Deadline-Ms": self.option("deadline-ms"),
        }
        path = f"/v1/services/{self.argument('service')}/requests"
        return self.print_outcome(
            self.call_entry("POST", path, body, headers=headers)
        )


COMMANDS = [RequestCommand]
