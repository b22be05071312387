"""A real entry process whose settings file is rewritten."""

import json
import signal
import socket

from gevent import hub

from chervilcove.core import errors
from chervilcove.core import http
from tests import waits
from tests.clients import processes
from tests.platform import calls


class TestSettingsOfAProcess:
    def test_requests_are_answered_before_during_and_after_a_change(
        self, tmp_path
    ):
        """Guards against SIGHUP that ends the process or a connection."""
        entry = processes.PlatformEntry(folder=tmp_path)
        process = entry.process._process
        path, log = tmp_path / "entry.jsonc", tmp_path / "entry.log"
        front = ("127.0.0.1", entry.ports["front"])
        peer = http.HttpPeer(host=front[0], port=front[1])

        def change(**fleet):
            settings = json.loads(path.read_text())
            settings["fleet"].update(fleet)
            path.write_text(json.dumps(settings))

        def submit(number):
            body = json.dumps(calls.BODY).encode()
            reply = calls.call(peer, "POST", f"{number:016x}", body)
            assert not errors.is_refusal(reply), reply
            assert reply.status == 200

        def wait_for_log(text):
            waits.wait_until(
                lambda: text in log.read_text(),
                max_polls=processes.START_POLLS,
                describe=lambda: f"no {text!r} in {log.read_text()}",
            )

        def is_listening():
            with socket.socket() as sock:
                return not sock.connect_ex(front)

        try:
            waits.wait_until(is_listening, max_polls=processes.START_POLLS)
            process.send_signal(signal.SIGHUP)  # while it is imported
            wait_for_log("event=ownership_gained")
            submit(1)
            for number in range(2, 8):
                change(stop_ms=900 - number)
                process.send_signal(signal.SIGHUP)
                submit(number)
            wait_for_log("after=893")
            change(stop_ms=700, policy="127.0.0.1:1")  # without a signal
            wait_for_log("name=fleet.stop_ms before=893 after=700")
            wait_for_log("settings_need_restart names=fleet.policy")
            submit(8)
            process.send_signal(signal.SIGTERM)
            wait_for_log("event=entry_leaves")
            process.send_signal(signal.SIGHUP)
            assert hub.get_hub().threadpool.apply(process.wait) == 0
            wait_for_log("event=settings_not_reloaded")
        finally:
            peer.close()
            entry.stop()
