import pytest

from tests.platform import standin


@pytest.fixture
def platform():
    instance = standin.Platform()
    yield instance
    instance.stop()
