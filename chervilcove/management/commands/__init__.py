"""Commands, one module for each or for a group with a common first word."""
