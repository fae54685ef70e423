"""Leases for tasks of a fleet: named rights, one holder at a time or k at most, with tokens that grow."""
