"""Leases for a fleet's tasks: one holder at a time, or at most k, each with a fencing token that grows."""
