import pytest

from chervilcove.core import http
from tests.control import system as systems
from tests.platform import standin


@pytest.fixture
def platform():
    instance = standin.Platform()
    yield instance
    instance.stop()


@pytest.fixture
def peer(platform):
    """Return a client of a started entry that has read a configuration."""
    platform.store.put("keyed.op", "config", standin.CONFIG)
    platform.start_entry()
    entry = platform.entry
    systems.wait_until(lambda: entry._operator_feed.get().configuration)
    client = http.HttpPeer(host="127.0.0.1", port=entry.caller_server.port)
    yield client
    client.close()
