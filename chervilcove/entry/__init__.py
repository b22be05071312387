"""One entry process: its tasks, its HTTP interface and their wiring."""
