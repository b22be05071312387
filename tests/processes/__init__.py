"""The platform's programs as real processes under faults."""
