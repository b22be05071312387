"""HTTP interface for release notes and the configuration."""

from collections.abc import Callable
from typing import Any

import gevent

from chervilcove.core import errors
from chervilcove.core import frames
from chervilcove.core import web
from chervilcove.customers import notes
from chervilcove.journal import client
from chervilcove.journal import configuration
from chervilcove.journal import records
from chervilcove.journal import replica as replicas
from chervilcove.journal import state as states

ADOPT_TIMEOUT_S = 10.0
READ_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.02


class NoteHandlers:
    """Handle HTTP requests about release notes.

    Args:
        replica: Replica that holds the configuration and outcomes of notes.
        log_client: Client of the log service.
    """

    def __init__(
        self, *, replica: replicas.Replica, log_client: client.LogClient
    ):
        self._replica = replica
        self._client = log_client

    def add_routes(self, server: web.WebServer) -> None:
        """Register the routes on `server`."""
        server.add_route("POST", "/v1/notes", self._submit)
        server.add_route("POST", "/v1/notes/validate", self._validate)
        server.add_route("GET", "/v1/notes", self._list)
        server.add_route("GET", "/v1/configuration", self._show)

    def _validate(self, request: web.WebRequest) -> Any:
        note = notes.parse_note(request.decode())
        if errors.is_refusal(note):
            return note
        core = self._replica.state.core
        if note["base_revision"] > core["configuration"]["revision"]:
            # The author saw a revision that this entry hasn't applied yet.
            self._replica.catch_up_decisions(timeout_s=READ_TIMEOUT_S)
            core = self._replica.state.core
        new_configuration = notes.apply_note(
            core["configuration"], note, level=core["format"]
        )
        if errors.is_refusal(new_configuration):
            return configuration.add_winning_note(core, new_configuration)
        return {"valid": True, "revision": new_configuration["revision"]}

    def _submit(self, request: web.WebRequest) -> Any:
        value = request.decode()
        if errors.is_refusal(value):
            return value
        note = notes.parse_note(value)
        if errors.is_refusal(note):
            return note
        checked = self._validate(request)
        if errors.is_refusal(checked):
            return checked
        first_offset = self._replica.state.core["config_offset"]
        offset = self._client.append(records.CONFIGURATION, frames.encode(note))
        if not errors.is_refusal(offset):
            return self._wait_for_outcome(
                lambda outcome: outcome["config_offset"] == offset
            )
        if offset.kind is not errors.Kind.OUTCOME_UNKNOWN:
            return offset
        # The note may be in the stream; if so, an outcome with its id follows.
        return self._wait_for_outcome(
            lambda outcome: (
                outcome["id"] == note["id"]
                and outcome["config_offset"] >= first_offset
            )
        )

    def _wait_for_outcome(
        self, is_wanted: Callable[[states.NoteOutcome], bool]
    ) -> Any:
        with gevent.Timeout(ADOPT_TIMEOUT_S, False):
            while True:
                for outcome in reversed(self._replica.state.core["notes"]):
                    if is_wanted(outcome):
                        return _build_response(outcome)
                gevent.sleep(POLL_INTERVAL_S)
        return errors.refuse(
            errors.Kind.OUTCOME_UNKNOWN,
            "no outcome of the note was seen in time",
        )

    def _list(self, request: web.WebRequest) -> Any:
        return {"notes": self._replica.state.core["notes"]}

    def _show(self, request: web.WebRequest) -> Any:
        return self._replica.state.core["configuration"]


def _build_response(outcome) -> Any:
    if outcome["accepted"]:
        return {"accepted": True, "revision": outcome["revision"]}
    return errors.refuse(
        errors.Kind(outcome["kind"]),
        outcome["reason"],
        **{**outcome["detail"], "revision": outcome["revision"]},
    )
