"""Cells, shapes and packing of accelerators within a pool."""
