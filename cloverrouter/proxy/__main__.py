"""Starts one client proxy. What takes long to load comes after what another process must hear at once."""

from __future__ import annotations

import os
import sys
import time

from cloverrouter.proxy.presence import Presence

# In an upgrade this process shares its core with one that serves. That one looks for company ten times a
# second, and then leaves more connections free for what comes while it has to wait for the core.
HEARD_S = 0.25
# Loading is cut in parts, with rests between them that let the other process catch up.
REST_S = 0.05
PARTS = ("dataclasses", "logging", "asyncio", "cloverrouter.interface", "cloverrouter.decide", "httptools")


def main() -> int:
    presence = None
    if os.environ.get("PROXY_INHERITED_FD"):
        presence = Presence.found(os.environ.get("TMPDIR"))
        if presence is not None and presence.count() > 1:
            time.sleep(HEARD_S)
            for part in PARTS:
                __import__(part)
                time.sleep(REST_S)
    from cloverrouter.proxy.service import main as serve

    return serve(presence=presence)


if __name__ == "__main__":
    sys.exit(main())
