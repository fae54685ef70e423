"""Where operators call: readiness, figures, hosts taken out. Imported only where a place for it is named."""

from cloverrouter.management.shell import Management

__all__ = ["Management"]
