"""State charts in JSON files and their interpreter."""
