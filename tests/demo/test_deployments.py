import pytest

from chervilcove.core import errors
from chervilcove.customers import notes
from chervilcove.customers import schema as customers
from chervilcove.demo import deployments


class TestLoadDeployment:
    # A shipped release note that breaks a rule of the configuration stops the
    # demonstration and the outage bench at the start.
    @pytest.mark.parametrize("name", ["nile-limescale", "hooghly-towpath"])
    def test_first_note_is_accepted_by_empty_configuration(self, name):
        deployment = deployments.load_deployment(name)
        empty = customers.create_configuration()
        configuration = notes.apply_note(empty, deployment.note)
        assert not errors.is_refusal(configuration)
        assert len(configuration["workers"]) == 24
        assert len(configuration["customers"]) == 4

    def test_unknown_name_is_refused_with_list_of_known_names(self):
        refusal = deployments.load_deployment("nowhere")
        assert refusal.kind is errors.Kind.UNKNOWN_NAME
        assert "nile-limescale" in refusal.reason
