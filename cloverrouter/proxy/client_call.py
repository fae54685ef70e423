"""A client's HTTP/1.x request in the form that the node handles."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from cloverrouter.proxy.messages import Answer, AnswerSink, Upload
from cloverrouter.proxy.validity import ParsedCall

if TYPE_CHECKING:
    from cloverrouter.proxy.client_connection import ClientConnection


class ClientCall(ParsedCall):
    """One request on a client's connection; its answer is written to the same connection."""

    __slots__ = ("_client", "keep_alive", "lacks_chunking", "upload")

    def __init__(
        self, client: ClientConnection, method: bytes, target: bytes, head: Mapping[bytes, bytes], body: bytes
    ) -> None:
        super().__init__(method, target, head, body)
        self._client = client
        self.keep_alive = True
        self.lacks_chunking = False  # HTTP/1.0 has no chunked transfer coding
        self.upload: Upload | None = None

    def reply(self, status: int, body: bytes, content_type: bytes = b"", retry_after: bytes = b"") -> None:
        headers = b"Content-Type: %b\r\n" % content_type if content_type else b""
        if retry_after:
            headers += b"Retry-After: %b\r\n" % retry_after
        self._client.answer(self, status, body, headers)

    def is_disconnected(self) -> bool:
        return self._client.check_disconnected(self)

    def may_be_disconnected(self) -> bool:
        return self._client.may_be_disconnected()

    def begin(self, answer: Answer) -> AnswerSink | None:
        return self._client.begin_stream(self, answer)
