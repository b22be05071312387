import math

import pytest

from chervilcove.core import errors
from chervilcove.scheduling import spec_checks
from tests.scheduling import utils

Kind = errors.Kind
CONFIGURATION = utils.make_configuration(
    {"n": [6], "s": [8]}, [utils.make_customer("a", quota=64)]
)


class TestCheckSpec:
    @pytest.mark.parametrize(
        "fields",
        [
            {},
            {"tasks": 8, "adjacent": "rack"},
            {"tasks": 64, "accelerators": 1, "adjacent": "data_centre"},
            {"tasks": 6, "adjacent": "rack", "data_centres": ["n"]},
            {"tasks": 64, "accelerators": 0, "adjacent": "worker"},
            {"accelerators": 0, "processors": 64.0},
        ],
    )
    def test_accepts_jobs_that_fit_an_empty_pool(self, fields):
        spec = utils.make_spec(**fields)
        assert spec_checks.check_spec(CONFIGURATION, spec) is None

    @pytest.mark.parametrize(
        ("fields", "kind"),
        [
            ({"customer": "x"}, Kind.UNKNOWN_CUSTOMER),
            ({"team": "x"}, Kind.UNKNOWN_TEAM),
            ({"data_centres": ["x"]}, Kind.UNKNOWN_NAME),
            ({"tasks": 0}, Kind.INVALID_VALUE),
            ({"tasks": 65, "accelerators": 0}, Kind.INVALID_VALUE),
            ({"accelerators": 3}, Kind.INVALID_VALUE),
            ({"accelerators": -1}, Kind.INVALID_VALUE),
            ({"processors": -1.0}, Kind.INVALID_VALUE),
            ({"memory_gb": math.nan}, Kind.INVALID_VALUE),
            ({"declared_run_s": math.inf}, Kind.INVALID_VALUE),
            ({"adjacent": "shelf"}, Kind.INVALID_VALUE),
            ({"urgency": "now"}, Kind.INVALID_VALUE),
            ({"adjacent": "quad"}, Kind.IMPOSSIBLE_SHAPE),
            ({"tasks": 2}, Kind.IMPOSSIBLE_SHAPE),
            ({"tasks": 9, "adjacent": "rack"}, Kind.IMPOSSIBLE_SHAPE),
            ({"processors": 65.0}, Kind.IMPOSSIBLE_SHAPE),
            ({"memory_gb": 129.0}, Kind.IMPOSSIBLE_SHAPE),
            (
                {"tasks": 7, "adjacent": "rack", "data_centres": ["n"]},
                Kind.IMPOSSIBLE_SHAPE,
            ),
        ],
    )
    def test_refuses_jobs_that_can_never_run(self, fields, kind):
        spec = utils.make_spec(**fields)
        assert spec_checks.check_spec(CONFIGURATION, spec).kind == kind
