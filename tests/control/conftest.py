import pytest

from tests.control import system as systems


@pytest.fixture
def system():
    made = systems.System()
    yield made
    made.kill_all()


@pytest.fixture
def owner_entry(system):
    """Return an entry that is the owner."""
    made = system.add_entry("a")
    systems.wait_until(lambda: made._owner)
    return made
