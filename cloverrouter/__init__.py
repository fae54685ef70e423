"""Decisions of a client-side load balancer, as a library without I/O."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cloverrouter.decide import Balancer

__all__ = ["Balancer"]
__version__ = "0.2.0"


def __getattr__(name: str) -> Any:
    """Import `Balancer` on first access (PEP 562), which keeps its import out of the start of a process."""
    if name == "Balancer":
        from cloverrouter.decide import Balancer

        return Balancer
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
