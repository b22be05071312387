"""Membership: which entries are live, and which one is responsible."""
