"""The management interface for operators: readiness, metrics and banned hosts.

Imported only if an address for it is configured.
"""

from cloverrouter.management.shell import Management

__all__ = ["Management"]
