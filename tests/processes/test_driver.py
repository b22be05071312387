"""The command of the soak: errors, and that it leaves no process behind."""

import os
import signal
import socket
import subprocess
import sys
import time

import psutil
import pytest

from tests.processes import entries
from tests.processes import layout
from tests.processes import record

BLOCK = 1 + os.getpid() % 95  # test runs side by side need others
OPTIONS = ("--entries", "2", "--workers", "4", "--zones", "2")


def start(folder, *options):
    return subprocess.Popen(
        [
            *(sys.executable, "-m", "tests.processes"),
            *("--run-folder", str(folder), "--block", str(BLOCK)),
            *(*OPTIONS, *options),
        ],
        cwd=entries.ROOT,
        stderr=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def wait_for_line(folder, kind):
    def is_there():
        lines = record.read_folder(folder)
        return any(line["kind"] == kind for line in lines)

    assert entries.wait_for(is_there, seconds=40, pause=time.sleep)


class TestErrors:
    @pytest.mark.parametrize(
        "options",
        [
            ("--plan", "x"),
            ("--entries", "0"),
            ("--block", "999"),
            ("--seconds", "1"),
            ("--tree", "/nowhere"),
        ],
    )
    def test_bad_option(self, tmp_path, options):
        driver = start(tmp_path, *options)
        _, text = driver.communicate(timeout=30)
        assert driver.returncode == 2
        assert options[0] in text

    def test_port_in_use(self, tmp_path):
        place = layout.Layout(block=BLOCK, entries=2, workers=4, zones=2)
        address = (place.get_entry_host(0), layout.FRONT_PORT)
        with socket.create_server(address):
            driver = start(tmp_path)
            _, text = driver.communicate(timeout=30)
        assert driver.returncode == 2
        assert f"{address[0]}:{address[1]} can't be used" in text


class TestRun:
    def test_run_without_faults_is_clean(self, tmp_path):
        driver = start(tmp_path, "--plan", "none", "--seconds", "5")
        text, errors = driver.communicate(timeout=90)
        assert driver.returncode == 0, text + errors
        kinds = {line["kind"] for line in record.read_folder(tmp_path)}
        assert kinds >= {"plan", "claim", "start", "end", "answer", "shutdown"}
        assert "breaks=0" in text


class TestInterruption:
    @pytest.mark.parametrize(
        "number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL]
    )
    def test_no_process_is_left(self, tmp_path, number):
        driver = start(tmp_path, "--plan", "none", "--seconds", "60")
        try:
            wait_for_line(tmp_path, "answer")
            children = psutil.Process(driver.pid).children(recursive=True)
            assert len(children) >= 5  # store, workers, callers, entries
            children[-1].send_signal(signal.SIGSTOP)
            driver.send_signal(number)
            driver.communicate(timeout=30)
            assert driver.returncode in (130, -signal.SIGKILL)
            _, alive = psutil.wait_procs(children, timeout=5)
            assert not alive
        finally:
            driver.kill()
            driver.communicate()
