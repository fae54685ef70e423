"""Starts one client proxy. What takes long to load comes after what another process must hear at once."""

from __future__ import annotations

import gc
import os
import signal
import sys
import threading
import time

from cloverrouter.proxy.presence import Presence

# In an upgrade this process shares its core with one that serves. That one looks for company ten times a
# second, and then leaves more connections free for what comes while it has to wait for the core.
HEARD_S = 0.25
# About a tenth of a core that another process uses up; all of what it leaves.
NICE = 10


def load_without_tls() -> None:
    """asyncio without `ssl`, which it can do without (its loops refuse TLS then), and which takes an eighth
    of its time to load. What needs TLS is turned on by the operators' file alone: with one, nothing is done.
    """
    if os.environ.get("PROXY_SITE") or "asyncio" in sys.modules:
        return
    sys.modules["ssl"] = None  # type: ignore[assignment]  # importing it raises ImportError
    try:
        import asyncio  # noqa: F401
    finally:
        del sys.modules["ssl"]


def load_gently() -> None:
    """Load the program with a low priority, which belongs to the thread that does it and ends with it.

    Danger: loading takes a quarter of a second of the core, in which the process that serves answers nobody.
    """

    def load() -> None:
        os.setpriority(os.PRIO_PROCESS, threading.get_native_id(), NICE)
        load_without_tls()
        import cloverrouter.management
        import cloverrouter.proxy.service  # noqa: F401

    loader = threading.Thread(target=load)
    loader.start()
    loader.join()


def main() -> int:
    # Its default action would end the process while it loads; `service.main` remembers it from its start on.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    presence = None
    # Danger: what is loaded stays for good, and the collector would walk through it again and again.
    gc.disable()
    if os.environ.get("PROXY_INHERITED_FD"):
        presence = Presence.found(os.environ.get("TMPDIR"))
        if presence is not None and presence.others():
            time.sleep(HEARD_S)
            load_gently()
    load_without_tls()
    from cloverrouter.proxy.service import main as serve

    gc.enable()
    gc.freeze()
    return serve(presence=presence)


if __name__ == "__main__":
    sys.exit(main())
