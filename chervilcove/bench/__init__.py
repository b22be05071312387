"""Benchmarks of parts of the system, run by the `bench` commands."""
