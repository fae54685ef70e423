"""The last answers of a client's HTTP/1.x connection, where a request on it is rejected. No I/O.

A rejection concerns one request, which no host has received as a whole. It says nothing about the requests
before it on the same connection: one that was forwarded and is still open may have run, so that its answer is
a failure, never the rejection's status. A refusal would tell its client that trying again is harmless.
"""

from __future__ import annotations

from typing import NamedTuple

from cloverrouter.proxy.client_answers import encode_answer

FAILED_STATUS = 502  # the request may have run
REFUSED_STATUS = 503  # the request has not run


class Rejection(NamedTuple):
    """The answer to a request that is invalid or not accepted."""

    status: int
    # Until when the answers before it are waited for, on the clock that excludes process pauses.
    answer_by_s: float


def encode_last_answers(rejection: Rejection, has_open_call: bool, queued_calls: int) -> bytes:
    """Return the answers that end a connection, in the order of its requests.

    `has_open_call`: a request before the rejected one has been forwarded and is not answered; `queued_calls`:
    how many behind that have not been forwarded.
    """
    answers = [encode_answer(FAILED_STATUS, b"", b"", False)] if has_open_call else []
    answers += [encode_answer(REFUSED_STATUS, b"", b"", False)] * queued_calls
    return b"".join(answers) + encode_answer(rejection.status, b"", b"", True)
