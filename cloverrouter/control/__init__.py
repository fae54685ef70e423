"""The control socket: operators query the proxy's state and send it commands."""

from cloverrouter.control.book import TrafficStats
from cloverrouter.control.events import Events
from cloverrouter.control.server import ControlError, Server

__all__ = ["ControlError", "Events", "Server", "TrafficStats"]
