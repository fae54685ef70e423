"""The log's entry for the composition root: JSON lines in place of text, by msgspec, on the standard
library's logging. See docs/logs.md for the names and fields."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from cloverrouter.clock import now_s
from cloverrouter.seams import Core, Direction, Json
from cloverrouter.site.settings import Log

MOST_TEXT = 8192  # characters of a text; what is cut ends with an ellipsis
EVENTS = "cloverrouter.event"  # the logger of events; their names and fields are in the record
encoder = msgspec.json.Encoder(enc_hook=str)


class Line(msgspec.Struct, omit_defaults=True):
    """What every line has; an event's own fields are in `fields`."""

    ts: float  # Unix time, s
    boot_s: float  # CLOCK_BOOTTIME, one for all processes of a machine, which no setting of a clock moves
    proxy: str
    life: str  # of the process: another with each start
    level: str
    event: str
    logger: str = ""
    text: str = ""
    error: str = ""
    fields: Json = {}


def cut(text: str) -> str:
    return text if len(text) <= MOST_TEXT else text[: MOST_TEXT - 1] + "\u2026"


class Formatter(logging.Formatter):
    """Total: what can't be formatted is told as such, and no record is lost for it."""

    def __init__(self, proxy: str, life: str) -> None:
        super().__init__()
        self._proxy, self._life = proxy, life

    def format(self, record: logging.LogRecord) -> str:
        event, fields = getattr(record, "event", ""), getattr(record, "fields", {})
        try:
            text = "" if event else record.getMessage()
        except (TypeError, ValueError) as wrong:
            text = f"{record.msg!r} does not fit its arguments: {wrong}"
        error = self.formatException(record.exc_info) if record.exc_info else ""
        level, logger = record.levelname, "" if event else record.name
        # The boot clock of when it is written, which is at once: handlers have no queue.
        said = cut(text), cut(error), fields
        line = Line(record.created, now_s(), self._proxy, self._life, level, event or "log", logger, *said)
        try:
            return encoder.encode(line).decode()
        except (TypeError, ValueError, RecursionError) as wrong:
            line.fields = {"unwritable": f"{type(wrong).__name__}: {cut(str(wrong))}"}
            return encoder.encode(line).decode()


class Entry(Direction):
    """The first of the directions, so that it hears all events."""

    table: Log

    def __init__(self, core: Core, table: Log) -> None:
        super().__init__(core, table)
        formatter = Formatter(core.told.name, core.boot)
        self._before = [(handler, handler.formatter) for handler in logging.getLogger().handlers]
        for handler, _ in self._before:
            handler.setFormatter(formatter)
        core.hear.append(self._event)

    def _event(self, kind: str, what: Json) -> None:
        extra: dict[str, Any] = {"event": kind, "fields": what}
        logging.getLogger(EVENTS).info("", extra=extra)

    async def close(self) -> None:
        for handler, formatter in self._before:
            handler.setFormatter(formatter)
