"""Benchmark of scheduling decisions in simulated time."""
