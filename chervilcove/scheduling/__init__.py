"""Placement of gangs on adjacent accelerators under tenant guarantees."""
