"""Foundations used by all packages: errors, HTTP, logs, metrics, tasks."""
