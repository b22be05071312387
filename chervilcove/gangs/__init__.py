"""Start, renewal and end of gangs of tasks on workers."""
