"""Guarantees as slots, and whether a configuration can honour all of them.

A guarantee of `count` shapes yields `count` slots, each of which reserves one
shape for its customer. A slot includes the share of processors and memory
that belongs to its accelerators.
"""

import collections
from typing import NamedTuple

from chervilcove.core import errors
from chervilcove.customers import schema
from chervilcove.topology import cells
from chervilcove.topology import packing
from chervilcove.topology import shapes

MAX_DESCRIBED = 4


class Slot(NamedTuple):
    """Describe one guaranteed shape.

    Attributes:
        name: "customer/guarantee/number", number from 0.
        customer: Customer that holds it.
        demand: Shape and allowed data centres.
    """

    name: str
    customer: str
    demand: packing.Demand


class Shortage(NamedTuple):
    """Describe how many shapes of a guarantee can't be honoured.

    Attributes:
        customer: Customer that holds the guarantee.
        guarantee: Name of the guarantee.
        accelerators: Accelerators of one shape.
        adjacent: Level within which one shape lies.
        data_centres: Allowed data centres; empty for all.
        missing: Number of shapes that don't fit.
    """

    customer: str
    guarantee: str
    accelerators: int
    adjacent: str
    data_centres: list[str]
    missing: int


def make_demand(guarantee: schema.Guarantee) -> packing.Demand | None:
    """Return the demand of one shape, or None for an impossible shape."""
    shape = shapes.make_shape(
        accelerators=guarantee["accelerators"], adjacent=guarantee["adjacent"]
    )
    if shape is None:
        return None
    centres = tuple(sorted(set(guarantee["data_centres"])))
    return packing.Demand(shape.level, shape.size, centres)


def list_slots(configuration: schema.Configuration) -> list[Slot]:
    """Return the slots of all customers, in configuration order."""
    slots = []
    for customer in configuration["customers"].values():
        for guarantee in customer["guarantees"]:
            demand = make_demand(guarantee)
            if demand is None:
                continue
            prefix = f"{customer['name']}/{guarantee['name']}"
            for number in range(guarantee["count"]):
                name = f"{prefix}/{number}"
                slots.append(Slot(name, customer["name"], demand))
    return slots


def make_supply(
    configuration: schema.Configuration, *, in_service_only: bool
) -> dict[str, packing.DataCentreSupply]:
    """Return the capacity of an empty pool by data centre.

    Workers with all accelerators count as whole workers of their rack,
    smaller ones as blocks of 1, 2 and 4 accelerators.
    """
    racks: dict[str, collections.Counter[str]] = {}
    blocks: dict[str, list[int]] = {}
    for name, centre in configuration["data_centres"].items():
        if centre["in_service"] or not in_service_only:
            racks[name] = collections.Counter()
            blocks[name] = [0, 0, 0]
    for worker in configuration["workers"].values():
        centre = worker["data_centre"]
        if centre not in racks:
            continue
        if worker["accelerators"] == cells.ACCELERATORS_PER_WORKER:
            racks[centre][worker["rack"]] += 1
            continue
        counts = cells.count_blocks((1 << worker["accelerators"]) - 1)
        for index in range(3):
            blocks[centre][index] += counts[index]
    return {
        name: packing.DataCentreSupply(list(racks[name].values()), blocks[name])
        for name in racks
    }


def list_shortages(
    configuration: schema.Configuration, unmet: packing.UnmetDemands
) -> list[Shortage]:
    """Attribute unmet demands to guarantees, the latest customers first."""
    left = dict(unmet)
    shortages = []
    for customer in reversed(configuration["customers"].values()):
        for guarantee in reversed(customer["guarantees"]):
            demand = make_demand(guarantee)
            missing = min(left.get(demand, 0), guarantee["count"])
            if demand is None or not missing:
                continue
            left[demand] -= missing
            shortages.append(
                Shortage(
                    customer["name"],
                    guarantee["name"],
                    guarantee["accelerators"],
                    guarantee["adjacent"],
                    guarantee["data_centres"],
                    missing,
                )
            )
    return shortages


def find_unmet_demands(
    configuration: schema.Configuration, *, in_service_only: bool
) -> packing.UnmetDemands:
    """Return the guaranteed shapes that don't all fit into an empty pool."""
    demands = collections.Counter(
        slot.demand for slot in list_slots(configuration)
    )
    supply = make_supply(configuration, in_service_only=in_service_only)
    return packing.pack(supply, demands)


def check_feasibility(
    before: schema.Configuration, after: schema.Configuration
) -> errors.Refusal | None:
    """Refuse a change that makes guarantees infeasible, or more so.

    A data centre out of service still counts as capacity, since it is
    expected back; taking one out is therefore never refused. While one is
    out, any other change must not put more guarantees at risk.
    """
    unmet = find_unmet_demands(after, in_service_only=False)
    if unmet and packing.increases_unmet(
        find_unmet_demands(before, in_service_only=False), unmet
    ):
        return create_shortage_refusal(list_shortages(after, unmet))
    if _takes_data_centre_out(before, after):
        return None
    unmet = find_unmet_demands(after, in_service_only=True)
    if unmet and packing.increases_unmet(
        find_unmet_demands(before, in_service_only=True), unmet
    ):
        return create_shortage_refusal(list_shortages(after, unmet))
    return None


def create_shortage_refusal(shortages: list[Shortage]) -> errors.Refusal:
    """Return the refusal that lists the guarantees that don't fit."""
    parts = [
        _describe_shortage(shortage) for shortage in shortages[:MAX_DESCRIBED]
    ]
    if len(shortages) > MAX_DESCRIBED:
        parts.append(
            f"{len(shortages) - MAX_DESCRIBED} more, listed in the detail"
        )
    return errors.refuse(
        errors.Kind.INFEASIBLE_GUARANTEE,
        "guarantees can't all be honoured: " + "; ".join(parts),
        shortages=[shortage._asdict() for shortage in shortages],
    )


def _describe_shortage(shortage: Shortage) -> str:
    places = ", ".join(shortage.data_centres) or "any data centre"
    return (
        f"{shortage.customer}/{shortage.guarantee} lacks "
        f"{shortage.missing} x {shortage.accelerators} accelerators "
        f"within one {shortage.adjacent} in {places}"
    )


def _takes_data_centre_out(
    before: schema.Configuration, after: schema.Configuration
) -> bool:
    for name, centre in before["data_centres"].items():
        left = after["data_centres"].get(name)
        if centre["in_service"] and left and not left["in_service"]:
            return True
    return False
