"""A job under a guarantee gets its workers from a full pool in time.

Other customers' batch jobs fill the pool, and each case injects one fault.
"""

import pytest

from tests.integration import case_runner
from tests.integration import reclaim_cases


@pytest.fixture(scope="module")
def outcomes():
    return case_runner.run_in_processes(
        reclaim_cases.__name__, list(reclaim_cases.CASES), reclaim_cases.Outcome
    )


class TestReclaim:
    @pytest.mark.timeout(120)
    @pytest.mark.parametrize("name", reclaim_cases.CASES)
    def test_the_shape_runs_in_time(self, name, outcomes):
        findings, error = outcomes[name]
        assert error == ""
        assert findings["guarantee_reclaimable"].checked == 1
        assert findings["gang_whole"].checked > 0
        broken = {
            condition: finding.examples
            for condition, finding in findings.items()
            if finding.violations
        }
        assert broken == {}
