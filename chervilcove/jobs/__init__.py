"""Jobs, steps and units: specifications, ledger records and job table."""
