"""Operators' drains over discovery's list: rules, the guard on the last healthy server, and the file."""

from cloverrouter.roster.keeper import Keeper

__all__ = ["Keeper"]
