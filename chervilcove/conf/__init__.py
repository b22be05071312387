"""Settings: their schema, loading and checks before start."""
