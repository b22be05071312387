"""Demonstration: a whole system in one process, with real sockets."""
