"""HTTP/3's entries for the composition root: the front for clients, and the carrier to servers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from cloverrouter.proxy.config import StartError, read_address
from cloverrouter.seams import Core, Direction, Json
from cloverrouter.site.settings import Http3, Http3Servers

if TYPE_CHECKING:
    from cloverrouter.http3.front import Front
    from cloverrouter.proxy.frontend import Frontend

log = logging.getLogger(__name__)


class Clients(Direction):
    """Clients may also come by HTTP/3."""

    table: Http3

    def __init__(self, core: Core, table: Http3) -> None:
        super().__init__(core, table)
        self._front: Front | None = None

    @staticmethod
    def descriptors(table: Http3) -> int:
        return 1

    async def start(self, frontend: Frontend) -> None:
        try:
            from cloverrouter.http3.front import Front
        except ImportError as error:
            raise StartError(f"[http3] needs what requirements-http3.txt names: {error}") from error

        told, gate = self.table, frontend.gate
        try:
            front = Front(gate, frontend.keeping, (told.certificate, told.key), told.connections)
            _, port = front.listen(read_address(told.listen))
        except (OSError, ValueError) as error:
            raise StartError(f"[http3]: {error}") from error
        if told.alt_svc:
            gate.alt_svc = b'Alt-Svc: h3=":%d"; ma=%d\r\n' % (port, told.alt_svc_s)
        self._front = front
        log.info("http3: listens at %s", told.listen)

    def started(self, frontend: Frontend) -> None:
        if self._front is not None:
            self._front.observer = frontend.observer

    def tell(self, status: Json) -> None:
        if self._front is not None:
            status["clients"] += self._front.open
            status["protocols"]["clients"]["HTTP/3"] = self._front.open
            status["protocols"]["HTTP/3 from clients"] = dict(self._front.count)

    def reload(self) -> None:
        if self._front is not None:
            self.core.reread("http3", "certificate and key", self._front.recertify)

    def leave(self, final: bool) -> None:
        if self._front is not None:
            self._front.leave(final=final)

    async def close(self) -> None:
        if self._front is not None:
            await self._front.close()


class Servers(Direction):
    """Servers are asked by HTTP/3: its carrier stands before the node's own."""

    table: Http3Servers

    def __init__(self, core: Core, table: Http3Servers) -> None:
        super().__init__(core, table)
        try:
            from cloverrouter.http3.carrier import Carrier
            from cloverrouter.http3.ways import Speech
            from cloverrouter.http3.wire import client_settings
        except ImportError as error:
            raise StartError(f"[http3_servers] needs what requirements-http3.txt names: {error}") from error

        try:
            settings = client_settings(table.authority)
        except (OSError, ValueError) as error:
            raise StartError(f"[http3_servers]: {error}") from error
        node, told = core.node, core.told
        speech = Speech(frozenset(table.servers), table.fallback)
        wait_ms, idle_ms = told.settings.limits.connect_timeout_ms, told.conn_idle_ms
        self._carrier = Carrier(
            node.carrier, speech, settings, table.name, table.connections, wait_ms, idle_ms, node.seen
        )
        self._settings = client_settings
        node.carrier = self._carrier

    @staticmethod
    def descriptors(table: Http3Servers) -> int:
        return table.connections

    def tell(self, status: Json) -> None:
        status["protocols"]["HTTP/3 to servers"] = dict(self._carrier.count)

    def tell_server(self, server: str, told: Json) -> None:
        told["protocol"] = self._carrier.told(server)

    def reload(self) -> None:
        path = self.table.authority
        self.core.reread("http3_servers", "authority", lambda: self._carrier.retrust(self._settings(path)))

    async def close(self) -> None:
        self._carrier.close()
