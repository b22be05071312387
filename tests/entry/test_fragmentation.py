import pytest

from chervilcove.customers import schema as customers
from chervilcove.entry import fragmentation
from chervilcove.entry import jobs
from chervilcove.scheduling import core as scheduling
from chervilcove.scheduling import pool as pools


def _create_pool(masks):
    configuration = customers.create_configuration()
    configuration["data_centres"]["Giza"] = customers.DataCentre(
        name="Giza", region="cairo", in_service=True
    )
    for index in range(len(masks)):
        name = f"worker-{index}"
        configuration["workers"][name] = customers.Worker(
            name=name,
            data_centre="Giza",
            rack="giza-1",
            address="127.0.0.1:1",
            processors=64,
            memory_gb=64,
            accelerators=8,
        )
    pool = pools.Pool(configuration=configuration)
    for index, mask in enumerate(masks):
        if mask:
            place = scheduling.TaskPlace(f"worker-{index}", mask)
            pool.add_gang(
                scheduling.Gang(
                    job=f"job-{index}",
                    attempt=1,
                    customer="c",
                    team="",
                    kind="k",
                    urgency="batch",
                    slot="",
                    places=(place,),
                    processors=1.0,
                    memory_gb=1.0,
                    checkpointable=True,
                    idempotent=True,
                    since=0.0,
                )
            )
    return pool


def _create_spec(tasks, accelerators, adjacent):
    return jobs.parse_spec(
        {
            "key": "k",
            "customer": "c",
            "tasks": tasks,
            "accelerators": accelerators,
            "adjacent": adjacent,
        }
    )


class TestFragmentation:
    @pytest.mark.parametrize(
        ("masks", "shape", "share"),
        [
            ([0, 0], (1, 8, "worker"), 0.0),
            ([0b1, 0], (1, 8, "worker"), 1 - 8 / 15),
            ([0b1, 0b1], (1, 8, "worker"), 1.0),
            ([0b1, 0b1], (2, 4, "rack"), 1 - 8 / 14),
            ([0b10001, 0b10001], (1, 4, "quad"), 1.0),
            ([0b10001, 0b10001], (1, 2, "pair"), 1 - 8 / 12),
        ],
    )
    def test_share_is_what_the_largest_waiting_shape_cannot_use(
        self, masks, shape, share
    ):
        pool = _create_pool(masks)
        small = _create_spec(1, 1, "accelerator")
        result = fragmentation.compute_fragmentation(
            pool, [small, _create_spec(*shape)]
        )
        assert result == pytest.approx(share)

    def test_share_is_0_without_waiting_jobs(self):
        assert fragmentation.compute_fragmentation(_create_pool([1]), []) == 0.0
