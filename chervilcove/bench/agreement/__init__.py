"""Benchmarks of the agreement over the log; `core.run` runs all of them."""
