"""Start one client proxy; slow imports come after this process has become visible to a running one."""

from __future__ import annotations

import gc
import os
import signal
import sys
import threading
import time

from cloverrouter.proxy.presence import Presence

# In an upgrade this process shares a core with one that serves. That one looks for other processes ten times
# a second, and then keeps more connections free for requests that arrive while it waits for the core.
DETECTION_DELAY_S = 0.25
# Gets about a tenth of a core that another process keeps busy, and all of an idle one.
LOADER_NICE = 10


def import_asyncio_without_tls() -> None:
    """Import asyncio without `ssl`, which is optional for it and takes an eighth of its import time.

    Its loops then reject TLS. Only extensions in the operators' file need TLS: with such a file, this
    function does nothing.
    """
    if os.environ.get("PROXY_SITE") or "asyncio" in sys.modules:
        return
    sys.modules["ssl"] = None  # type: ignore[assignment]  # importing it raises ImportError
    try:
        import asyncio  # noqa: F401
    finally:
        del sys.modules["ssl"]


def load_at_low_priority() -> None:
    """Import the program in a thread of low priority; on Linux setpriority(2) applies to a single thread.

    The imports take a quarter of a second of CPU time, in which the serving process on the same core would
    answer no requests.
    """

    def load() -> None:
        os.setpriority(os.PRIO_PROCESS, threading.get_native_id(), LOADER_NICE)
        import_asyncio_without_tls()
        import cloverrouter.management
        import cloverrouter.proxy.service  # noqa: F401

    loader = threading.Thread(target=load)
    loader.start()
    loader.join()


def main() -> int:
    # The default action would end the process during its imports; `service.main` handles SIGHUP from then on.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    presence = None
    # Imported modules are never freed, and each garbage collection would traverse them again.
    gc.disable()
    if os.environ.get("PROXY_INHERITED_FD"):
        presence = Presence.open_if_usable(os.environ.get("TMPDIR"))
        if presence is not None and presence.has_others():
            time.sleep(DETECTION_DELAY_S)
            load_at_low_priority()
    import_asyncio_without_tls()
    from cloverrouter.proxy.service import main as serve

    gc.enable()
    gc.freeze()
    return serve(presence=presence)


if __name__ == "__main__":
    sys.exit(main())
