"""Benchmarks of the request plane; `core.run` runs all of them."""
