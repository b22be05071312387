"""Command line of the project."""
