import json

import json5

from chervilcove.bench.decisions import core
from chervilcove.bench.decisions import targets
from chervilcove.management import core as management
from tests.bench.decisions import examples


class TestRunAll:
    def write(self, tmp_path, **changes):
        value = {
            "name": "tiny",
            "about": "Two jobs.",
            "horizon_s": 100,
            "pool": {
                "data_centres": [{"name": "Giza", "racks": [2]}],
                "processors": 16,
                "memory_gb": 32,
            },
            "customers": [
                {"name": "hotels", "teams": [{"name": "all", "quota": 64}]}
            ],
            "events": [examples.submit(0, "a"), examples.submit(1, "b")],
            **changes,
        }
        (tmp_path / "tiny.jsonc").write_text(json5.dumps(value))

    def run(self, tmp_path):
        lines = []
        is_done = core.run_all(
            directory=str(tmp_path),
            seeds=[1, 2],
            report_path=str(tmp_path / "out" / "report.json"),
            plot_path=str(tmp_path / "out" / "page.html"),
            write=lines.append,
        )
        return is_done, "\n".join(lines)

    def test_runs_all_policies_and_writes_report_and_page(self, tmp_path):
        self.write(tmp_path)
        is_done, text = self.run(tmp_path)
        assert is_done
        report = json.loads((tmp_path / "out" / "report.json").read_text())
        policies = report["scenarios"][0]["policies"]
        assert set(policies) == {
            "fifo-first-fit",
            "backfill-best-fit",
            targets.SHIPPED_POLICY,
        }
        assert {p["jobs"]["completed"] for p in policies.values()} == {4}
        page = (tmp_path / "out" / "page.html").read_text()
        assert "data:image/png;base64," in page
        assert "targets:" in text

    def test_invalid_file_is_reported_before_any_scenario_runs(self, tmp_path):
        self.write(tmp_path, horizon_s="long")
        is_done, text = self.run(tmp_path)
        assert not is_done
        assert "horizon_s: found 'long', allowed is a number" in text
        assert not (tmp_path / "out").exists()

    def test_directory_without_scenarios_is_reported(self, tmp_path):
        is_done, text = self.run(tmp_path)
        assert not is_done
        assert "contains no *.jsonc file" in text


class TestCommands:
    def test_bench_commands_are_listed(self):
        names = {command.name for command in management.list_commands()}
        assert {"bench decisions", "bench all"} <= names
