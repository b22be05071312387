"""Scheduler for gang jobs under customer guarantees."""

__version__ = "0.1.0"
