import pytest

from chervilcove.conf import checks
from chervilcove.conf import core


class TestLoadSettings:
    def _load(self, tmp_path, text, environment=None):
        path = tmp_path / "settings.jsonc"
        path.write_text(text)
        return core.load_settings(path=str(path), environment=environment or {})

    def test_file_overrides_defaults_and_environment_overrides_file(
        self, tmp_path
    ):
        loaded = self._load(
            tmp_path,
            '{"entry": {"name": "a", "port": 1} /* comment */}',
            {"CHERVILCOVE_ENTRY__PORT": "2"},
        )
        assert loaded.problems == []
        assert loaded.settings["entry"]["name"] == "a"
        assert loaded.settings["entry"]["port"] == 2
        assert loaded.settings["log_level"] == "INFO"

    def test_all_errors_are_reported_together(self, tmp_path):
        loaded = self._load(
            tmp_path,
            '{"entry": {"port": 70000, "colour": 1}, "log_level": "LOUD"}',
            {"CHERVILCOVE_LOG__PORT": "many"},
        )
        found = {problem.path: problem for problem in loaded.problems}
        assert set(found) == {
            "entry.port",
            "entry.colour",
            "log_level",
            "log.port",
        }
        assert found["entry.port"].found == "70000"
        assert "at most 65535" in found["entry.port"].allowed
        assert "settings.jsonc" in found["entry.port"].source
        assert found["log.port"].source == "CHERVILCOVE_LOG__PORT"
        assert "WARNING" in found["log_level"].allowed
        assert "peer_port" in found["entry.colour"].allowed

    @pytest.mark.parametrize("text", ["[1]", "{", '"x"', '{"entry": 3}'])
    def test_a_file_with_a_wrong_structure_is_one_error(self, tmp_path, text):
        loaded = self._load(tmp_path, text)
        assert len(loaded.problems) == 1

    def test_findings_have_id_message_and_hint(self, tmp_path):
        loaded = self._load(
            tmp_path,
            '{"entry": {"port": 9, "peer_port": 9}, "log": {"port": 0},'
            ' "statsd": {"host": "127.0.0.1"}}',
        )
        findings = checks.run_checks(loaded.settings)
        assert [finding.id for finding in findings] == [
            "entry.E001",
            "platform.E001",
            "statsd.E001",
        ]
        assert all(finding.message and finding.hint for finding in findings)

    def test_a_fleet_needs_all_addresses_and_time_for_a_stop(self, tmp_path):
        loaded = self._load(
            tmp_path,
            '{"fleet": {"front": "127.0.0.1:1", "stop_ms": 3000}}',
        )
        findings = checks.run_checks(loaded.settings)
        assert {"fleet.E001", "fleet.E002"} <= {
            finding.id for finding in findings
        }
        assert "ready, metrics, ledger" in findings[0].message
