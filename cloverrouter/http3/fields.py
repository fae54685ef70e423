"""Parses and builds HTTP/3 field sections (RFC 9114, 4.2 and 4.3).

Any input yields a request or the status of an error. The values of fields are validated by `proxy.validity`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cloverrouter.proxy.messages import MAX_BODY_BYTES, Call
from cloverrouter.proxy.validity import Head

Fields = Sequence[tuple[bytes, bytes]]
# They frame messages in HTTP/1.1 and are forbidden in HTTP/3: forwarding them would allow request smuggling.
FRAMING_FIELDS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade")
)  # fmt: skip
MAX_LENGTH_DIGITS = 10


@dataclass(frozen=True, slots=True)
class Request:
    """The head of a request. `length`: of its body in bytes, if declared."""

    method: bytes
    target: bytes
    head: Head
    length: int | None


def parse_request(fields: Fields) -> Request | int:
    """Parse the field section of a request; an int is the status of the error to answer."""
    pseudo: dict[bytes, bytes] = {}
    head, in_pseudo_fields = Head(), True
    for name, value in fields:
        if name[:1] == b":":
            # After a regular field, or repeated, it would be ambiguous which value counts (RFC 9114, 4.3).
            if not in_pseudo_fields or name in pseudo:
                return 400
            pseudo[name] = value
            continue
        in_pseudo_fields = False
        if name in FRAMING_FIELDS or (name == b"te" and value != b"trailers"):
            return 400
        elif fault := head.add(name, value):
            return fault
    method, target = pseudo.get(b":method", b""), pseudo.get(b":path", b"")
    if not method or target[:1] != b"/" or pseudo.get(b":scheme") not in (b"https", b"http"):
        return 400
    length_text = head.get(b"content-length")
    if length_text is not None and not (length_text.isdigit() and len(length_text) <= MAX_LENGTH_DIGITS):
        return 400
    length = None if length_text is None else int(length_text)
    if length is not None and length > MAX_BODY_BYTES:
        return 413
    return Request(method, target, head, length)


def answer_fields(
    status: int, length: int | None, content_type: bytes = b"", retry_after: bytes = b""
) -> list[tuple[bytes, bytes]]:
    """Return the field section of an answer; `length`: of its body in bytes, if known."""
    fields = [(b":status", b"%d" % status)]
    if length is not None:
        fields.append((b"content-length", b"%d" % length))
    if content_type:
        fields.append((b"content-type", content_type))
    if retry_after:
        fields.append((b"retry-after", retry_after))
    return fields


def request_fields(call: Call, authority: str, timeout_ms: float) -> list[tuple[bytes, bytes]]:
    """Return the field section of a request to a server, with the same fields as over HTTP/1.1."""
    fields = [
        (b":method", call.method),
        (b":scheme", b"https"),
        (b":authority", authority.encode()),
        (b":path", call.target),
        (b"x-request-id", call.request_id),
        (b"x-timeout-ms", b"%d" % max(1, int(timeout_ms))),
    ]
    if call.idempotency_key:
        fields.append((b"idempotency-key", call.idempotency_key))
    if call.content_type:
        fields.append((b"content-type", call.content_type))
    length = len(call.body) if call.upload is None else call.upload.length
    if length is not None and (length or call.method not in (b"GET", b"HEAD")):
        fields.append((b"content-length", b"%d" % length))
    return fields
