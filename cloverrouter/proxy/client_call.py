"""A request of a client on HTTP/1.1, as the decisions' side knows it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from cloverrouter.proxy.messages import Answer, AnswerSink, Upload
from cloverrouter.proxy.validity import ParsedCall

if TYPE_CHECKING:
    from cloverrouter.proxy.client_connection import ClientConnection


class ClientCall(ParsedCall):
    """One request on a client's connection, which its answer goes back on."""

    __slots__ = ("_client", "keep_alive", "old", "upload")

    def __init__(
        self, client: ClientConnection, method: bytes, target: bytes, head: Mapping[bytes, bytes], body: bytes
    ) -> None:
        super().__init__(method, target, head, body)
        self._client = client
        self.keep_alive = True
        self.old = False  # HTTP/1.0: knows no chunks
        self.upload: Upload | None = None

    def reply(self, status: int, body: bytes, content_type: bytes = b"", retry_after: bytes = b"") -> None:
        headers = b"Content-Type: %b\r\n" % content_type if content_type else b""
        if retry_after:
            headers += b"Retry-After: %b\r\n" % retry_after
        self._client.answer(self, status, body, headers)

    def left(self) -> bool:
        return self._client.left(self)

    def begin(self, answer: Answer) -> AnswerSink | None:
        return self._client.begin(self, answer)
