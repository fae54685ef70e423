"""One client proxy: configuration, wiring, signals, exit code."""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import signal
from contextlib import suppress
from typing import TYPE_CHECKING

from cloverrouter.decide import retry_after_ms
from cloverrouter.interface import ListKind
from cloverrouter.proxy import config, descriptors, logs, signals
from cloverrouter.proxy.config import Config, HostList
from cloverrouter.proxy.containment import Periodic
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.node import Node, longest_ms
from cloverrouter.proxy.observer import joined
from cloverrouter.proxy.presence import Presence
from cloverrouter.proxy.shutdown import KILLED_S, LONGEST_S, drain
from cloverrouter.proxy.signals import EarlySignals
from cloverrouter.proxy.startup import retried
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.proxy.validity import Gate
from cloverrouter.proxy.wake import Loop
from cloverrouter.values import replace

if TYPE_CHECKING:
    from cloverrouter.site import Site

KEPT_SHARE = 0.06  # of the memory is for long bodies that are held; on their way they are there twice
LOOK_S = 0.1  # for another process of this proxy
log = logging.getLogger("cloverrouter.proxy")


def opened_by_now() -> int:
    """Descriptors that are open; as many as are expected where the system does not tell."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # it takes one to look
    except OSError:
        return descriptors.AT_START


async def serve(
    told: Config, early: EarlySignals, site: Site | None = None, presence: Presence | None = None
) -> int:
    """Run until SIGTERM, or until the module fails; the exit code.

    `early`: signals that came before; `site`: the operators' settings; `presence`: tells of another process
    of this proxy, if there may be one.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        # Danger: from the first connection on, its default action would lose what was taken.
        loop.add_signal_handler(number, stop.set)
    crashes: list[BaseException] = []
    first = told

    def crash(error: BaseException) -> None:
        log.critical("the decisions crashed; what is owed is answered without them", exc_info=error)
        node.errors.recorder.write()
        crashes.append(error)
        stop.set()

    def on_list(found: HostList) -> None:
        listed(ListKind.FULL if found.full else ListKind.DELTA, found)

    others, callers = 0, descriptors.callers(told.sockets)
    if told.management is not None:
        others += descriptors.MANAGEMENT + callers
    if site is not None:
        # What an installation has turned off it does not import: this is the only way to a direction.
        from cloverrouter import compose

        others += compose.descriptors(site)
    most, opened = resource.getrlimit(resource.RLIMIT_NOFILE)[0], opened_by_now()

    def shared(processes: int) -> descriptors.Budget:
        return descriptors.budget(told.sockets, most, processes, others, opened)

    try:
        budget = shared(1)
    except ValueError as error:
        raise config.StartError(str(error)) from error

    def reload() -> None:
        """Danger: a bad file must not cost what works; whatever is wrong with it, the watch goes on."""
        nonlocal told
        if appliance is not None:
            appliance.reload()
        try:
            new = config.reload(os.environ, told)
        except Exception as error:
            log.error("configuration not reread: %s: %s", type(error).__name__, error)
            if management is not None:
                management.figures.reloads_failed += 1
            return
        old, told = told, new
        for text in config.kept(new.told, first.told):
            log.warning("not changed: %s", text)
        if new.conn_idle_ms != old.conn_idle_ms or new.settings.limits != old.settings.limits:
            upstream.retime(new.conn_idle_ms, new.settings.limits.connect_timeout_ms)
        if new.settings != old.settings:
            # One step: a class that the front lets in, the module knows.
            resettle()
            if new.settings.classes != old.settings.classes:
                gate.reclass({cls.name: cls.idempotency for cls in new.settings.classes})
            log.info("settings: classes %s from now on", ", ".join(gate.classes))
        if new.discovery != old.discovery:
            log.info("discovery is at %s:%d from now on", *new.discovery)
            watch.move(new.discovery)
        if management is not None:
            management.figures.reloads_ok += 1

    processes = 1
    kept = int(told.memory_mb * KEPT_SHARE) * 1024 * 1024

    def resettle() -> None:
        limits = told.settings.limits
        limits = replace(limits, max_open=limits.max_open // processes)
        node.resettle(replace(told.settings, limits=limits))
        gate.retry_after_ms = retry_after_ms(told.settings)

    def share() -> None:
        """Danger: two processes that each keep to the whole limit hold twice as much as the proxy may."""
        nonlocal processes
        assert presence is not None
        loop.call_later(LOOK_S, share)
        try:
            count = presence.count()
        except OSError as error:
            log.error("whether another process is there can't be told: %s", error)
            return
        if count != processes:
            log.info("processes that share the limits: %d", count)
            processes = count
            upstream.resize(shared(processes).hosts)
            frontend.resize(shared(processes).clients)
            frontend.keeping.budget = kept // processes
            resettle()

    upstream = Upstream(budget.hosts, told.conn_idle_ms, told.settings.limits.connect_timeout_ms)
    pushed = not told.settings.subscribe
    grace_s = told.settings.safety.drain_grace_ms / 1000
    watch = Watch(told.discovery, told.clock, pushed, on_list, lambda: node.discovery_failed(), grace_s)
    node = Node(told.settings, told.seed, upstream, watch.start, crash)
    upstream.on_sign = node.seen
    appliance = None if site is None else compose.Appliance(site, told, node)
    listed = node.listed if appliance is None else appliance.listed
    management = None
    if told.management is not None:
        # Imported here: where the platform names no place for it, it costs nothing.
        import tempfile
        from pathlib import Path

        from cloverrouter.management import Management

        folder = Path(os.environ.get("TMPDIR") or tempfile.gettempdir())
        management = Management(told.clock, folder, lambda: gate.classes, lambda: gate.stopping, callers)
        management.attach(node, listed)
        listed = management.listed
        node.observer = joined(node.observer, management.figures, node.errors)
    if os.environ.get("PROXY_TALLY"):
        from cloverrouter.proxy.tally import EVERY_S, Tally

        def counted() -> dict[str, int]:
            contained = node.errors.counts.total()
            return {
                "connections": upstream.open,
                "connects": upstream.connects,
                "contained_errors": contained,
                "clients": frontend.count,
                **frontend.load.total,
            }

        tally = Tally(node.view, counted)
        node.observer = joined(node.observer, tally, node.errors)
        Periodic(loop, node.errors, "tally", EVERY_S, tally.tell)
    if told.known is not None:
        watch.resume(told.known.version, told.known.entries)
        listed(ListKind.RESTORED, told.known)
    if pushed or told.known is None:
        watch.start()
    loop.add_signal_handler(signal.SIGHUP, reload)
    if early.reload_wanted:
        # The file may have been read before it was changed.
        loop.call_soon(reload)
    classes = {cls.name: cls.idempotency for cls in told.settings.classes}
    gate = Gate(node, classes, loop.time)
    gate.retry_after_ms = retry_after_ms(told.settings)
    frontend = Frontend(gate, budget.clients, kept)
    if appliance is not None:
        await appliance.start(frontend)
    try:
        if not stop.is_set():
            await frontend.listen(told.listen, told.inherited)
    except OSError as error:
        text = f"listen: {told.listen[0]}:{told.listen[1]} can't be listened on: {error}"
        if told.inherited is not None:
            text = f"PROXY_INHERITED_FD={told.inherited} is no listening socket: {error}"
        raise config.StartError(text) from error
    if management is not None and told.management is not None:
        frontend.observer = joined(frontend.observer, management.figures, node.errors)
        await management.listen(told.management)
    if presence is not None:
        share()
    log.info("%s serves at %s:%d", told.name, *told.listen)

    await stop.wait()
    if appliance is not None:
        appliance.leave()
    if crashes:
        watch.stop()
    killed_s = min(LONGEST_S, longest_ms(told.settings) / 1000) + KILLED_S
    await drain(frontend, node, told.inherited is not None, appliance, killed_s)
    node.errors.run("close", watch.stop)
    if management is not None:
        node.errors.run("close", management.close)
    if appliance is not None:
        await appliance.close()
    signals.block()
    if crashes:
        log.critical("ends after the crash of the decisions: %s", crashes[0])
        return 1
    return 0


def main(site_path: str | None = None, presence: Presence | None = None) -> int:
    """`site_path`: the operators' file; without it `PROXY_SITE` names one, or there is none."""
    logs.configure()
    early = EarlySignals()
    site = None
    try:
        told = config.load(os.environ)
        site_path = site_path or os.environ.get("PROXY_SITE")
        if site_path:
            from cloverrouter import compose

            site = compose.read_site(site_path)
    except Exception as error:  # whatever is wrong with a file
        log.critical("no usable configuration: %s: %s", type(error).__name__, error)
        return 2
    runner = asyncio.Runner(loop_factory=Loop)
    try:
        retried(runner.get_loop)
        return runner.run(serve(told, early, site, presence))
    except config.StartError as error:
        log.critical("the settings can't be carried out: %s", error)
        return 2
    finally:
        with suppress(OSError):  # of closing its own descriptors: all is done
            runner.close()
