"""Run one client proxy: configuration, wiring, signals, exit code."""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import signal
from contextlib import ExitStack, suppress
from typing import TYPE_CHECKING

from cloverrouter.decide import retry_after_ms
from cloverrouter.interface import ListKind
from cloverrouter.proxy import config, descriptors, logs, signals
from cloverrouter.proxy.config import Config, HostList
from cloverrouter.proxy.containment import Periodic
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.memory import message_budget_bytes, peak_resident_mb
from cloverrouter.proxy.node import Node, max_timeout_ms
from cloverrouter.proxy.observer import with_observer
from cloverrouter.proxy.presence import Presence
from cloverrouter.proxy.run_ids import SHARED_IDS_DESCRIPTORS
from cloverrouter.proxy.shutdown import KILL_MARGIN_S, MAX_DEADLINE_S, drain
from cloverrouter.proxy.signals import EarlySignals
from cloverrouter.proxy.startup import retry
from cloverrouter.proxy.upstream import Upstream
from cloverrouter.proxy.validity import Gate
from cloverrouter.proxy.wake import Loop
from cloverrouter.values import replace

if TYPE_CHECKING:
    from cloverrouter.site import Site

BODY_BUFFER_SHARE = 0.06  # of the memory, for buffered long bodies; in transit each takes twice its size
PRESENCE_POLL_S = 0.1  # between checks for another process of this proxy
log = logging.getLogger("cloverrouter.proxy")


def open_descriptor_count() -> int:
    """Return the number of open descriptors, or the expected one without /proc."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # without the one that lists them
    except OSError:
        return descriptors.OPEN_AT_START


async def serve(
    current: Config, early: EarlySignals, site: Site | None = None, presence: Presence | None = None
) -> int:
    """Run until SIGTERM, or until the decisions raise an error; return the exit code.

    `current`: the configuration in force, which a reload replaces; `early`: signals before the loop ran;
    `site`: the operators' settings; `presence`: detects other processes of this proxy, if there may be any.
    """
    with ExitStack() as cleanup:
        return await _serve(current, early, site, presence, cleanup)


async def _serve(
    current: Config, early: EarlySignals, site: Site | None, presence: Presence | None, cleanup: ExitStack
) -> int:
    """Implement `serve`; `cleanup`: what has to be closed before the event loop is, also if a start fails."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        # From the first connection on, the default action would lose accepted requests.
        loop.add_signal_handler(number, stop.set)
    crashes: list[BaseException] = []
    initial = current

    def crash(error: BaseException) -> None:
        log.critical("the decisions crashed; open requests are answered without them", exc_info=error)
        node.errors.recorder.write()
        crashes.append(error)
        stop.set()

    def on_list(listing: HostList) -> None:
        handle_list(ListKind.FULL if listing.full else ListKind.DELTA, listing)

    extra_descriptors, operator_calls = 0, descriptors.max_operator_calls(current.sockets)
    if current.management is not None:
        extra_descriptors += descriptors.MANAGEMENT_DESCRIPTORS + operator_calls
    if presence is not None:
        extra_descriptors += SHARED_IDS_DESCRIPTORS
    if site is not None:
        # A disabled extension is not imported: extensions are reached through this import alone.
        from cloverrouter import compose

        extra_descriptors += compose.descriptors(site)
    max_descriptors, open_at_start = resource.getrlimit(resource.RLIMIT_NOFILE)[0], open_descriptor_count()

    def limits_for(processes: int) -> descriptors.ConnectionLimits:
        return descriptors.connection_limits(
            current.sockets, max_descriptors, processes, extra_descriptors, open_at_start
        )

    try:
        budget = limits_for(1)
    except ValueError as error:
        raise config.StartError(str(error)) from error

    def reload() -> None:
        """Reread the file; one that can't be used changes nothing, and the watch goes on."""
        nonlocal current
        if appliance is not None:
            appliance.reload()
        try:
            new = config.reload(os.environ, current)
        except Exception as error:
            log.error("configuration not reread: %s: %s", type(error).__name__, error)
            if management is not None:
                management.figures.reloads_failed += 1
            return
        old, current = current, new
        for text in config.unapplied_changes(new.parsed_file, initial.parsed_file):
            log.warning("not changed: %s", text)
        if new.conn_idle_ms != old.conn_idle_ms or new.settings.limits != old.settings.limits:
            upstream.set_timeouts(new.conn_idle_ms, new.settings.limits.connect_timeout_ms)
        if new.settings != old.settings:
            # In one step, so that the decisions know every class that the frontend accepts.
            apply_settings()
            if new.settings.classes != old.settings.classes:
                gate.update_classes({cls.name: cls.idempotency for cls in new.settings.classes})
            log.info("settings: classes %s from now on", ", ".join(gate.classes))
        if new.discovery != old.discovery:
            log.info("discovery is at %s:%d from now on", *new.discovery)
            watch.change_address(new.discovery)
        if management is not None:
            management.figures.reloads_ok += 1

    processes = 1
    buffer_bytes = int(current.memory_mb * BODY_BUFFER_SHARE) * 1024 * 1024

    def apply_settings() -> None:
        limits = current.settings.limits
        limits = replace(limits, max_open=limits.max_open // processes)
        node.apply_settings(replace(current.settings, limits=limits))
        gate.retry_after_ms = retry_after_ms(current.settings)

    def update_limits() -> None:
        """Divide the limits among this proxy's processes: two that used them in full would exceed them."""
        nonlocal processes
        assert presence is not None
        loop.call_later(PRESENCE_POLL_S, update_limits)
        try:
            count = presence.count()
        except OSError as error:
            log.error("can't determine whether another process of this proxy is running: %s", error)
            return
        if count != processes:
            log.info("processes that share the limits: %d", count)
            processes = count
            upstream.set_max_open(limits_for(processes).hosts)
            frontend.resize(limits_for(processes).clients)
            frontend.buffer_budget.limit_bytes = buffer_bytes // processes
            frontend.memory.limit_bytes = message_budget_bytes(current.memory_mb, processes)
            apply_settings()

    upstream = Upstream(budget.hosts, current.conn_idle_ms, current.settings.limits.connect_timeout_ms)
    pushed = not current.settings.subscribe
    drain_grace_s = current.settings.safety.drain_grace_ms / 1000
    watch = Watch(
        current.discovery, current.clock, pushed, on_list, lambda: node.discovery_failed(), drain_grace_s
    )
    cleanup.callback(watch.stop)
    node = Node(current.settings, current.seed, upstream, watch.start, crash)
    if presence is not None:
        node.run_ids.share(presence.directory)
    upstream.on_signal = node.report_signal
    appliance = None if site is None else compose.Appliance(site, current, node)
    handle_list = node.listed if appliance is None else appliance.listed
    management = None
    if current.management is not None:
        # Imported here, so that it costs nothing where the platform gives no address for it.
        import tempfile
        from pathlib import Path

        from cloverrouter.management import Management

        folder = Path(os.environ.get("TMPDIR") or tempfile.gettempdir())
        management = Management(
            current.clock, folder, lambda: gate.classes, lambda: gate.stopping, operator_calls
        )
        management.attach(node, handle_list)
        handle_list = management.forward_list
        node.observer = with_observer(node.observer, management.figures, node.errors)
    if os.environ.get("PROXY_TALLY"):
        from cloverrouter.proxy.tally import LINE_INTERVAL_S, Tally

        def counters() -> dict[str, int]:
            contained_errors = node.errors.counts.total()
            return {
                "connections": upstream.open,
                "connects": upstream.connects,
                "contained_errors": contained_errors,
                "clients": frontend.count,
                **frontend.load.total,
            }

        tally = Tally(node.view, counters)
        node.observer = with_observer(node.observer, tally, node.errors)
        Periodic(loop, node.errors, "tally", LINE_INTERVAL_S, tally.log_line)
    if current.known is not None:
        watch.resume(current.known.version, current.known.entries)
        handle_list(ListKind.RESTORED, current.known)
    if pushed or current.known is None:
        watch.start()
    loop.add_signal_handler(signal.SIGHUP, reload)
    if early.reload_wanted:
        # The file may have been read before the change that this signal announced.
        loop.call_soon(reload)
    classes = {cls.name: cls.idempotency for cls in current.settings.classes}
    gate = Gate(node, classes, loop.time)
    gate.retry_after_ms = retry_after_ms(current.settings)
    frontend = Frontend(gate, budget.clients, buffer_bytes, current.memory_mb)
    upstream.memory = frontend.memory
    node.on_answer_begun = frontend.load.answer_begun
    if appliance is not None:
        await appliance.start(frontend)
    try:
        if not stop.is_set():
            await frontend.listen(current.listen, current.inherited)
    except OSError as error:
        text = f"listen: {current.listen[0]}:{current.listen[1]} can't be listened on: {error}"
        if current.inherited is not None:
            text = f"PROXY_INHERITED_FD={current.inherited} is not a listening socket: {error}"
        raise config.StartError(text) from error
    if management is not None and current.management is not None:
        frontend.observer = with_observer(frontend.observer, management.figures, node.errors)
        await management.listen(current.management)
    if presence is not None:
        update_limits()
    log.info(
        "limits memory_mb=%g descriptors=%d client_connections=%d server_connections=%d buffer_kb=%d",
        current.memory_mb,
        current.sockets,
        budget.clients,
        budget.hosts,
        frontend.memory.limit_bytes // 1024,
    )
    log.info("%s serves at %s:%d", current.name, *current.listen)

    await stop.wait()
    if appliance is not None:
        appliance.leave()
    if crashes:
        watch.stop()
    kill_after_s = min(MAX_DEADLINE_S, max_timeout_ms(current.settings) / 1000) + KILL_MARGIN_S
    await drain(frontend, node, current.inherited is not None, appliance, kill_after_s)
    node.errors.run("close", watch.stop)
    if management is not None:
        node.errors.run("close", management.close)
    if appliance is not None:
        await appliance.close()
    signals.block()
    log.info("exiting code=%d peak_rss_mb=%.1f", bool(crashes), peak_resident_mb())
    if crashes:
        log.critical("exiting after a crash of the decisions: %s", crashes[0])
        return 1
    return 0


def main(site_path: str | None = None, presence: Presence | None = None) -> int:
    """Run the proxy and return its exit code.

    `site_path`: the operators' file; by default the one that `PROXY_SITE` names, if any.
    """
    logs.configure()
    early = EarlySignals()
    site = None
    try:
        loaded = config.load(os.environ)
        site_path = site_path or os.environ.get("PROXY_SITE")
        if site_path:
            from cloverrouter import compose

            site = compose.read_site(site_path)
    except Exception as error:  # any error in a file
        log.critical("no usable configuration: %s: %s", type(error).__name__, error)
        return 2
    runner = asyncio.Runner(loop_factory=Loop)
    try:
        retry(runner.get_loop)
        return runner.run(serve(loaded, early, site, presence))
    except config.StartError as error:
        log.critical("the settings can't be applied: %s", error)
        return 2
    finally:
        with suppress(OSError):  # from closing the loop's own descriptors; the work is done
            runner.close()
