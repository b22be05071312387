"""Layers of links: overlap, and which calls they concern."""

from tests.processes import links


def draw(table, path="/hold", command=b""):
    return table.draw("0:1", path, command).name


class TestLinks:
    def test_faults_end_independently(self):
        table = links.Links(seed=1)
        table.set_layer(["0:1"], "a", links.Layer(silent=True))
        table.set_layer(["0:1"], "b", links.Layer(silent=True))
        table.set_layer(["0:1"], "a", None)
        assert draw(table) == "silent"
        table.set_layer(["0:1"], "b", None)
        assert draw(table) == "normal"

    def test_only_the_link_and_paths_named(self):
        table = links.Links(seed=1)
        layer = links.Layer(lost=1.0, paths=("/run-start",))
        table.set_layer(["0:1"], "a", layer)
        assert draw(table, "/run-start") == "no_answer"
        assert draw(table, "/hold") == "normal"
        assert table.draw("1:1", "/run-start").name == "normal"

    def test_second_try_of_a_command_is_not_late(self):
        table = links.Links(seed=1)
        layer = links.Layer(late=1.0, first_try=True)
        table.set_layer(["0:1"], "a", layer)
        names = [draw(table, command=each) for each in (b"x", b"x", b"y")]
        assert names == ["late", "normal", "late"]
        assert table.count_late(["0:1"], "a") == 2

    def test_most_late_calls(self):
        table = links.Links(seed=1)
        table.set_layer(["0:1"], "a", links.Layer(late=1.0, most=1))
        assert [draw(table) for _ in range(2)] == ["late", "normal"]

    def test_layer_of_a_document(self):
        layer = links.parse_layer({"late": 0.5, "late_s": [2, 3]})
        assert layer == links.Layer(late=0.5, late_s=(2, 3))
        assert links.parse_layer(None) is None
