"""Benchmarks of cost by size, the source of docs/CAPACITY.md.

The slopes apply to the machine on which they were measured.
"""
