"""Conditions that must hold under injected faults.

The cases run in several processes, with fault-injecting proxies on every path.
"""

import pytest

from tests.integration import case_runner
from tests.integration import fault_cases


@pytest.fixture(scope="module")
def outcomes(request):
    """Run the selected cases, each in a system of its own."""
    selected = {
        item.callspec.params["case"].name
        for item in request.session.items
        if item.module is request.module and hasattr(item, "callspec")
    }
    return case_runner.run_in_processes(
        fault_cases.__name__, sorted(selected), fault_cases.Outcome
    )


class TestFaultCases:
    @pytest.mark.timeout(180)
    @pytest.mark.parametrize(
        "case", fault_cases.CASES, ids=[case.name for case in fault_cases.CASES]
    )
    def test_conditions_hold(self, case, outcomes):
        outcome = outcomes[case.name]
        assert outcome.error == ""
        broken = {
            name: finding.examples
            for name, finding in outcome.findings.items()
            if finding.violations
        }
        assert broken == {}
        for name in case.conditions:
            assert outcome.findings[name].checked > 0, name
        first, second = outcome.jobs
        assert first == (
            "cancelled" if "cancelled" in case.name else "completed"
        )
        assert second in ("completed", "failed")


class TestTable:
    def test_cases_are_many_and_differ(self):
        assert len(fault_cases.CASES) >= 40
        assert len(set(fault_cases.CASES)) == len(fault_cases.CASES)
        assert sum(len(case.faults) > 1 for case in fault_cases.CASES) >= 12
