"""Processes of the system under clients that break the limits."""

import pytest

pytest.register_assert_rewrite("tests.clients.checks")
