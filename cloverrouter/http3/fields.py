"""HTTP/3's field sections to a request's parts and back (RFC 9114, 4.2 and 4.3). Total: anything gives a
value or the status of an error. What a field means is `proxy.validity`'s."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cloverrouter.proxy.messages import MOST_BODY, Call
from cloverrouter.proxy.validity import Head

Fields = Sequence[tuple[bytes, bytes]]
# They frame messages on HTTP/1.1 and mean nothing here: whoever passes them on lets a request hide in a body.
FRAMING = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade")
)  # fmt: skip
MOST_DIGITS = 10


@dataclass(frozen=True, slots=True)
class Request:
    """A request's head. `length`: of its body in bytes, where its client said."""

    method: bytes
    target: bytes
    head: Head
    length: int | None


def request_of(fields: Fields) -> Request | int:
    """What a request's field section says; or the status of the error that it earns."""
    pseudo: dict[bytes, bytes] = {}
    head = Head()
    for name, value in fields:
        if name[:1] == b":":
            # Danger: behind an ordinary field, or twice, it is open which of them counts (RFC 9114, 4.3).
            if head or name in pseudo:
                return 400
            pseudo[name] = value
        elif name in FRAMING or (name == b"te" and value != b"trailers"):
            return 400
        elif fault := head.add(name, value):
            return fault
    method, target = pseudo.get(b":method", b""), pseudo.get(b":path", b"")
    if not method or target[:1] != b"/" or pseudo.get(b":scheme") not in (b"https", b"http"):
        return 400
    said = head.get(b"content-length")
    if said is not None and not (said.isdigit() and len(said) <= MOST_DIGITS):
        return 400
    length = None if said is None else int(said)
    if length is not None and length > MOST_BODY:
        return 413
    return Request(method, target, head, length)


def answer_fields(
    status: int, length: int | None, content_type: bytes = b"", retry_after: bytes = b""
) -> list[tuple[bytes, bytes]]:
    """An answer's field section; `length` of its body in bytes, if it is known."""
    fields = [(b":status", b"%d" % status)]
    if length is not None:
        fields.append((b"content-length", b"%d" % length))
    if content_type:
        fields.append((b"content-type", content_type))
    if retry_after:
        fields.append((b"retry-after", retry_after))
    return fields


def request_fields(call: Call, authority: str, timeout_ms: float) -> list[tuple[bytes, bytes]]:
    """A request's field section, to a server: what HTTP/1.1 says in its head, in the same words."""
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
