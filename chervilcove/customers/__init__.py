"""Customers, their guarantees, and release notes."""
