"""The control socket: what the proxy tells operators, and what it takes from them."""

from cloverrouter.control.book import Book
from cloverrouter.control.events import Events
from cloverrouter.control.server import ControlError, Server

__all__ = ["Book", "ControlError", "Events", "Server"]
