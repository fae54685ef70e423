"""The VRRP extension: its lifecycle, status, health faults and operators' command."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any

from cloverrouter.proxy.config import StartError, read_address
from cloverrouter.seams import Argument, Command, CommandError, Core, Direction, Json, Operator
from cloverrouter.site.settings import Vrrp
from cloverrouter.vrrp.compose import make_vrrp_node
from cloverrouter.vrrp.shell import VrrpNode
from cloverrouter.vrrp.tracking import Fault

if TYPE_CHECKING:
    from cloverrouter.proxy.frontend import Frontend

log = logging.getLogger(__name__)


class Entry(Direction):
    """Runs this process as one node of a pair: it accepts work, or refuses it while its peer is active."""

    table: Vrrp

    def __init__(self, core: Core, table: Vrrp) -> None:
        super().__init__(core, table)
        self._node: VrrpNode | None = None
        self._frontend: Frontend | None = None

    @staticmethod
    def descriptors(table: Vrrp) -> int:
        return 1

    async def start(self, frontend: Frontend) -> None:
        core, self._frontend = self.core, frontend
        frontend.gate.refusing = True
        try:
            node = make_vrrp_node(
                self.table,
                lambda accepting: core.set_accepting(frontend, accepting),
                lambda text: core.event("vrrp", {"text": text}),
                core.alarms.set,
            )
            core.node.admission = node
            await node.open(read_address(self.table.listen))
        except (OSError, ValueError) as error:
            raise StartError(f"[vrrp]: {error}") from error
        self._node = node

    def commands(self) -> Iterable[Command]:
        assert self._node is not None
        yield vrrp_command(self._node, self.core.event)

    def add_status(self, status: Json) -> None:
        if self._node is not None:
            status["pair"] = self._node.role()

    def tick(self) -> None:
        if self._node is not None and self._frontend is not None:
            self._node.track(self._faults(self._frontend))

    def _faults(self, frontend: Frontend) -> frozenset[Fault]:
        view = self.core.node.view()
        present_faults = {
            Fault.NO_SERVER: not any(endpoint.healthy for endpoint in view.endpoints),
            Fault.DISCOVERY: view.discovery_lost,
            Fault.DESCRIPTORS: frontend.nearly_full,
        }
        return frozenset(fault for fault, present in present_faults.items() if present)

    def prepare_shutdown(self, final: bool) -> None:
        """Hand over to the peer when shutdown begins; the `final` call needs no action."""
        if self._node is not None and not final:
            self._node.hand_over()

    async def close(self) -> None:
        if self._node is not None:
            self._node.close()


def vrrp_command(node: VrrpNode, event: Callable[[str, Json], None]) -> Command:
    """The operators' `vrrp` command, with its actions status, handover, resume and alone."""

    def run(operator: Operator, arguments: Mapping[str, Any]) -> Json:
        before = node.status()
        match arguments["action"]:
            case "status":
                return before
            case "handover":
                node.hand_over()
            case "resume":
                node.resume()
            case "alone":
                if arguments["confirm"] != "off":
                    raise CommandError(
                        "not_confirmed",
                        "alone is for a peer that is switched off: if it is not, both boxes may take work",
                        "switch it off, then say: vrrp alone confirm=off",
                    )
                node.declare_peer_off()
            case action:
                right = "status, handover, resume or alone"
                raise CommandError("bad_argument", f"action is {action!r}", right)
        after = node.status()
        log.warning("vrrp %s by %s: %s -> %s", arguments["action"], operator, before["state"], after["state"])
        event("vrrp", {"text": f"{arguments['action']} by {operator}: {before['state']} -> {after['state']}"})
        return {**after, "by": str(operator), "before": before["state"], "at_ms": time.time() * 1000}

    return Command(
        "vrrp",
        "The pair: role, votes and reasons; hand over, resume, or go alone.",
        run,
        (
            Argument("action", str, "status, handover, resume or alone", required=True),
            Argument("confirm", str, "off: the peer is switched off"),
        ),
        changes=True,
    )
