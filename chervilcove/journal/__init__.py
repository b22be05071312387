"""Package journal."""
