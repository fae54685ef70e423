"""Random faults on one real proxy, drawn from a seed; see `run`."""
