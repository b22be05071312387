"""Scheduling decisions of the owner: ranking, placement and preemption."""
