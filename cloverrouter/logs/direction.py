"""The extension that writes the log as JSON lines in place of text.

It formats the records of the standard library's logging with msgspec. See docs/logs.md for names and fields.
"""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from cloverrouter.clock import now_s
from cloverrouter.seams import Core, Direction, Json
from cloverrouter.site.settings import Log

MAX_TEXT_CHARS = 8192  # longer texts are truncated and end with an ellipsis
EVENTS = (
    "cloverrouter.event"  # logger of events; the name and fields of an event are attributes of its record
)
encoder = msgspec.json.Encoder(enc_hook=str)


class LogLine(msgspec.Struct, omit_defaults=True):
    """One line of the log; the fields of an event are in `fields`."""

    ts: float  # Unix time, s
    boot_s: (
        float  # CLOCK_BOOTTIME, s: shared by all processes of a machine and unaffected by clock adjustments
    )
    proxy: str
    life: str  # identifies the process; a new value with each start
    level: str
    event: str
    logger: str = ""
    text: str = ""
    error: str = ""
    fields: Json = {}


def truncate(text: str) -> str:
    return text if len(text) <= MAX_TEXT_CHARS else text[: MAX_TEXT_CHARS - 1] + "\u2026"


class JsonFormatter(logging.Formatter):
    """Formats log records as JSON lines.

    Never raises: a record that can't be formatted is written as a line that says so, not lost.
    """

    def __init__(self, proxy: str, life: str) -> None:
        super().__init__()
        self._proxy, self._life = proxy, life

    def format(self, record: logging.LogRecord) -> str:
        event, fields = getattr(record, "event", ""), getattr(record, "fields", {})
        try:
            text = "" if event else record.getMessage()
        except (TypeError, ValueError) as failure:
            text = f"{record.msg!r} does not fit its arguments: {failure}"
        error = self.formatException(record.exc_info) if record.exc_info else ""
        level, logger = record.levelname, "" if event else record.name
        # The boot clock is read here, just after the record was created: handlers have no queue.
        content = truncate(text), truncate(error), fields
        line = LogLine(
            record.created, now_s(), self._proxy, self._life, level, event or "log", logger, *content
        )
        try:
            return encoder.encode(line).decode()
        except (TypeError, ValueError, RecursionError) as failure:
            line.fields = {"unwritable": f"{type(failure).__name__}: {truncate(str(failure))}"}
            return encoder.encode(line).decode()


class Entry(Direction):
    """The log extension, set up before all others so that it receives all events."""

    table: Log

    def __init__(self, core: Core, table: Log) -> None:
        super().__init__(core, table)
        formatter = JsonFormatter(core.config.name, core.boot)
        self._original_formatters = [(handler, handler.formatter) for handler in logging.getLogger().handlers]
        for handler, _ in self._original_formatters:
            handler.setFormatter(formatter)
        core.event_listeners.append(self._log_event)

    def _log_event(self, kind: str, fields: Json) -> None:
        extra: dict[str, Any] = {"event": kind, "fields": fields}
        logging.getLogger(EVENTS).info("", extra=extra)

    async def close(self) -> None:
        for handler, formatter in self._original_formatters:
            handler.setFormatter(formatter)
