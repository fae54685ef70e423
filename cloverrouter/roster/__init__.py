"""Operators' drains applied to discovery's list: rules, last-healthy-server check and persistence."""

from cloverrouter.roster.keeper import Keeper

__all__ = ["Keeper"]
