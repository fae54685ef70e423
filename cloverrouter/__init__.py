"""Decisions of a client-side load balancer, as a library without I/O."""

from cloverrouter.decide import Balancer

__all__ = ["Balancer"]
__version__ = "0.2.0"
