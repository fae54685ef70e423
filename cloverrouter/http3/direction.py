"""The HTTP/3 directions of the operators' file: the frontend for clients, and the carrier to servers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cloverrouter.proxy.config import StartError, read_address
from cloverrouter.seams import Core, Direction, Json
from cloverrouter.site.settings import Http3, Http3Servers

if TYPE_CHECKING:
    from cloverrouter.http3.front import Http3Frontend
    from cloverrouter.proxy.frontend import Frontend

log = logging.getLogger(__name__)


class Clients(Direction):
    """Serves clients over HTTP/3 as well."""

    table: Http3

    def __init__(self, core: Core, table: Http3) -> None:
        super().__init__(core, table)
        self._http3_frontend: Http3Frontend | None = None

    @staticmethod
    def descriptors(table: Http3) -> int:
        """Count the UDP socket."""
        return 1

    async def start(self, frontend: Frontend) -> None:
        """Open the UDP socket, and advertise it with Alt-Svc if configured."""
        try:
            from cloverrouter.http3.front import Http3Frontend
        except ImportError as error:
            raise StartError(f"[http3] needs the packages of requirements-http3.txt: {error}") from error

        settings, gate = self.table, frontend.gate
        try:
            http3_frontend = Http3Frontend(
                gate, frontend.buffer_budget, (settings.certificate, settings.key), settings.connections
            )
            _, port = http3_frontend.listen(read_address(settings.listen))
        except (OSError, ValueError) as error:
            raise StartError(f"[http3]: {error}") from error
        if settings.alt_svc:
            gate.alt_svc = b'Alt-Svc: h3=":%d"; ma=%d\r\n' % (port, settings.alt_svc_s)
        self._http3_frontend = http3_frontend
        log.info("http3: listens at %s", settings.listen)

    def started(self, frontend: Frontend) -> None:
        """Set the observer of rejected requests."""
        if self._http3_frontend is not None:
            self._http3_frontend.observer = frontend.observer

    def add_status(self, status: Json) -> None:
        """Add the number of connections, and the counters."""
        if self._http3_frontend is not None:
            status["clients"] += self._http3_frontend.open
            status["protocols"]["clients"]["HTTP/3"] = self._http3_frontend.open
            status["protocols"]["HTTP/3 from clients"] = dict(self._http3_frontend.count)

    def reload(self) -> None:
        """Reload the certificate and its key."""
        if self._http3_frontend is not None:
            self.core.reload_file("http3", "certificate and key", self._http3_frontend.reload_certificate)

    def prepare_shutdown(self, final: bool) -> None:
        """Send GOAWAY to all clients."""
        if self._http3_frontend is not None:
            self._http3_frontend.leave(final=final)

    async def close(self) -> None:
        """Close the frontend."""
        if self._http3_frontend is not None:
            await self._http3_frontend.close()


class Servers(Direction):
    """Sends requests to servers over HTTP/3, with a carrier that wraps the node's HTTP/1.1 carrier."""

    table: Http3Servers

    def __init__(self, core: Core, table: Http3Servers) -> None:
        super().__init__(core, table)
        try:
            from cloverrouter.http3.carrier import Carrier
            from cloverrouter.http3.ways import Http3Availability
            from cloverrouter.http3.wire import client_settings
        except ImportError as error:
            raise StartError(
                f"[http3_servers] needs the packages of requirements-http3.txt: {error}"
            ) from error

        try:
            settings = client_settings(table.authority)
        except (OSError, ValueError) as error:
            raise StartError(f"[http3_servers]: {error}") from error
        node, config = core.node, core.config
        availability = Http3Availability(frozenset(table.servers), table.fallback)
        connect_timeout_ms, idle_ms = config.settings.limits.connect_timeout_ms, config.conn_idle_ms
        self._carrier = Carrier(
            node.carrier,
            availability,
            settings,
            table.name,
            table.connections,
            connect_timeout_ms,
            idle_ms,
            node.report_signal,
        )
        self._client_settings = client_settings
        node.carrier = self._carrier

    @staticmethod
    def descriptors(table: Http3Servers) -> int:
        """Count the sockets of all connections."""
        return table.connections

    def add_status(self, status: Json) -> None:
        """Add the carrier's counters."""
        status["protocols"]["HTTP/3 to servers"] = dict(self._carrier.count)

    def add_server_status(self, server: str, status: Json) -> None:
        """Add the protocol that is used for a server."""
        status["protocol"] = self._carrier.protocol_of(server)

    def reload(self) -> None:
        """Reload the certificate authority."""
        path = self.table.authority
        self.core.reload_file(
            "http3_servers", "authority", lambda: self._carrier.replace_settings(self._client_settings(path))
        )

    async def close(self) -> None:
        """Close all connections to servers."""
        self._carrier.close()
