"""Contract of the instance list, with its faults."""

import gevent
import pytest

from chervilcove.core import metrics as metric_values
from chervilcove.membership import conf
from chervilcove.membership import peers
from chervilcove.standins import instances
from tests import cluster

wait = cluster.Cluster.wait


def make_row(name, *, role="entry", state="live"):
    return instances.Instance(
        name=name,
        role=role,
        address="127.0.0.1:1",
        data_centre="Giza",
        state=state,
        incarnation="1",
    )


@pytest.fixture
def listed():
    listed = instances.InstanceList(lag_s=0.0)
    listed.start()
    yield listed
    listed.stop()


@pytest.fixture
def poller(listed, monkeypatch):
    monkeypatch.setattr(conf, "POLL_INTERVAL_S", 0.02)
    monkeypatch.setattr(conf, "POLL_TIMEOUT_S", 0.2)
    host, port = listed.address.split(":")
    poller = peers.InstanceListPoller(
        host=host,
        port=int(port),
        on_instances=lambda rows: poller.taken.append(rows),
        metrics=metric_values.Metrics(),
    )
    poller.taken = []
    poller.start()
    yield poller
    poller.stop()


class TestList:
    def test_changes_show_after_the_lag(self):
        listed = instances.InstanceList(lag_s=0.2)
        listed.put(make_row("one"))
        assert listed.list_instances() == []
        wait(lambda: listed.list_instances() == [make_row("one")])
        listed.remove("one")
        assert listed.list_instances() == [make_row("one")]
        wait(lambda: listed.list_instances() == [])

    def test_only_the_asked_roles_come(self, listed, poller):
        listed.put(make_row("one"))
        listed.put(make_row("two", role="worker"))
        listed.put(make_row("three", role="minion"))
        names = {"one", "three"}
        wait(
            lambda: (
                poller.taken
                and {row["name"] for row in poller.taken[-1]} == names
            )
        )

    FAULTS = {
        "down": ({"down": True}, "retried.list.log_unavailable"),
        "hang": ({"hang": True}, "retried.list.outcome_unknown"),
        "malformed": ({"is_malformed": True}, "refused.list"),
    }

    @pytest.mark.parametrize(("faults", "count"), FAULTS.values(), ids=FAULTS)
    def test_a_fault_is_counted_and_the_last_list_kept(
        self, listed, poller, faults, count
    ):
        listed.put(make_row("one"))
        wait(lambda: poller.taken and poller.taken[-1])
        listed.faults = instances.Faults(**faults)
        wait(lambda: poller._metrics.list_counts().get(f"membership.{count}"))
        taken = len(poller.taken)
        gevent.sleep(0.1)
        assert len(poller.taken) == taken
        listed.faults = instances.Faults()
        wait(lambda: len(poller.taken) > taken)
        assert poller.taken[-1] == [make_row("one")]

    def test_rows_that_are_no_instances_are_left_out(self, listed, poller):
        listed.put({**make_row("one"), "address": "nowhere"})
        listed.put(make_row("two"))
        wait(lambda: poller.taken and poller.taken[-1])
        assert [row["name"] for row in poller.taken[-1]] == ["two"]
