import pytest

from chervilcove.core import errors
from chervilcove.customers import notes
from chervilcove.customers import schema as customers
from chervilcove.demo import deployments


class TestDeployments:
    @pytest.mark.parametrize("name", ["nile-limescale", "hooghly-towpath"])
    def test_the_first_note_is_accepted_on_the_empty_configuration(self, name):
        deployment = deployments.load_deployment(name)
        empty = customers.create_configuration()
        configuration = notes.apply_note(empty, deployment.note)
        assert not errors.is_refusal(configuration)
        assert len(configuration["workers"]) == 24
        assert len(configuration["customers"]) == 4

    def test_an_unknown_name_is_refused_with_the_known_ones(self):
        refusal = deployments.load_deployment("nowhere")
        assert refusal.kind is errors.Kind.UNKNOWN_NAME
        assert "nile-limescale" in refusal.reason
