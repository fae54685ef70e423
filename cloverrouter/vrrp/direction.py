"""The pair's entry for the composition root."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any

from cloverrouter.proxy.config import StartError, read_address
from cloverrouter.seams import Argument, Command, CommandError, Core, Direction, Json, Operator
from cloverrouter.site.settings import Vrrp
from cloverrouter.vrrp.compose import make_box
from cloverrouter.vrrp.shell import Box
from cloverrouter.vrrp.tracking import Fault

if TYPE_CHECKING:
    from cloverrouter.proxy.frontend import Frontend

log = logging.getLogger(__name__)


class Entry(Direction):
    """This box takes work, or leaves it to its peer."""

    table: Vrrp

    def __init__(self, core: Core, table: Vrrp) -> None:
        super().__init__(core, table)
        self._box: Box | None = None
        self._frontend: Frontend | None = None

    @staticmethod
    def descriptors(table: Vrrp) -> int:
        return 1

    async def start(self, frontend: Frontend) -> None:
        core, self._frontend = self.core, frontend
        frontend.gate.refusing = True
        try:
            box = make_box(
                self.table,
                lambda taking: core.take(frontend, taking),
                lambda text: core.event("vrrp", {"text": text}),
                core.alarms.set,
            )
            core.node.admission = box
            await box.open(read_address(self.table.listen))
        except (OSError, ValueError) as error:
            raise StartError(f"[vrrp]: {error}") from error
        self._box = box

    def commands(self) -> Iterable[Command]:
        assert self._box is not None
        yield vrrp_command(self._box, self.core.event)

    def tell(self, status: Json) -> None:
        if self._box is not None:
            status["pair"] = self._box.role()

    def tick(self) -> None:
        if self._box is not None and self._frontend is not None:
            self._box.track(self._faults(self._frontend))

    def _faults(self, frontend: Frontend) -> frozenset[Fault]:
        view = self.core.node.view()
        found = {
            Fault.NO_SERVER: not any(endpoint.healthy for endpoint in view.endpoints),
            Fault.DISCOVERY: view.discovery_lost,
            Fault.DESCRIPTORS: frontend.nearly_full,
        }
        return frozenset(fault for fault, there in found.items() if there)

    def leave(self, final: bool) -> None:
        """The other box may take from here on."""
        if self._box is not None and not final:
            self._box.hand_over()

    async def close(self) -> None:
        if self._box is not None:
            self._box.close()


def vrrp_command(box: Box, event: Callable[[str, Json], None]) -> Command:
    """`vrrp status`, `handover`, `resume` and `alone`."""

    def run(who: Operator, told: Mapping[str, Any]) -> Json:
        before = box.told()
        match told["action"]:
            case "status":
                return before
            case "handover":
                box.hand_over()
            case "resume":
                box.resume()
            case "alone":
                if told["confirm"] != "off":
                    raise CommandError(
                        "not_confirmed",
                        "alone is for a peer that is switched off: if it is not, both boxes may take work",
                        "switch it off, then say: vrrp alone confirm=off",
                    )
                box.vouch()
            case other:
                right = "status, handover, resume or alone"
                raise CommandError("bad_argument", f"action is {other!r}", right)
        after = box.told()
        log.warning("vrrp %s by %s: %s -> %s", told["action"], who, before["state"], after["state"])
        event("vrrp", {"text": f"{told['action']} by {who}: {before['state']} -> {after['state']}"})
        return {**after, "by": str(who), "before": before["state"], "at_ms": time.time() * 1000}

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
