import ast
import pathlib

from chervilcove.core import catalogue
from chervilcove.core import error_responses
from chervilcove.core import errors
from chervilcove.management import core
from chervilcove.management import reference

ROOT = pathlib.Path(__file__).parent.parent.parent
METRIC_TYPES = {
    "count": "counter",
    "set_gauge": "gauge",
    "record_time": "timing",
}


def _list_sent_metrics():
    # Yields pattern and type of each metric that the source sends.
    for path in (ROOT / "chervilcove").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            if not isinstance(node.func, ast.Attribute):
                continue
            if node.func.attr in METRIC_TYPES:
                pattern = _extract_pattern(node.args[0])
                if pattern:
                    yield pattern, METRIC_TYPES[node.func.attr]


def _extract_pattern(node):
    # Returns the metric name in a literal, with "*" for each replacement field
    # of an f-string; None for other calls of a method with the same name.
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value if "." in node.value else None
    if isinstance(node, ast.JoinedStr):
        return "".join(
            part.value if isinstance(part, ast.Constant) else "*"
            for part in node.values
        )
    return None


class TestReferencePages:
    # docs/ref is committed: a changed setting, error kind, metric or command
    # leaves a stale page until the pages are generated again.
    def test_committed_pages_match_generated_pages(self):
        for name, content in reference.build_pages(
            core.list_commands()
        ).items():
            page = (ROOT / "docs" / "ref" / name).read_text()
            assert page == content, f"run `chervilcove reference` for {name}"

    # A sent metric that the catalogue lacks is missing from docs/ref.
    def test_every_sent_metric_is_in_catalogue_with_its_type(self):
        listed = {(metric.pattern, metric.type) for metric in catalogue.METRICS}
        assert set(_list_sent_metrics()) - listed == set()

    # A metric that the code no longer sends must not stay in the catalogue:
    # its page would describe a metric that never arrives.
    def test_every_metric_in_catalogue_is_sent(self):
        sent = {pattern for pattern, _ in _list_sent_metrics()}
        listed = {metric.pattern for metric in catalogue.METRICS}
        assert listed - sent == set()

    def test_every_error_kind_has_an_answer(self):
        assert set(error_responses.ERROR_RESPONSES) == set(errors.Kind)


class TestCommands:
    def test_every_command_has_description_and_example(self):
        for command in core.list_commands():
            assert command.description, command.name
            assert "Example:" in command.help, command.name
