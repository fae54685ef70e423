"""What an attempt over HTTP/3 held is freed when it ends, by reference counts alone.

`tests/endings/test_released.py` does the same for HTTP/1.1, and says why.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from cloverrouter.http3.carrier import Exchange
from cloverrouter.interface import Outcome
from cloverrouter.lab.quic import Respond, ServerRequest, done, silent
from cloverrouter.proxy.messages import Answer, AnswerSink, Upload
from tests.http3.scenes import until
from tests.http3.test_carrier import Scene, Sink, StubCall, in_scene
from tests.standins.collector import alive, collector_disabled

LONG_ANSWER_BYTES = 100_000
INTERNAL_ERROR = 0x102
SETTLE_S = 0.1  # for the last steps of the loop after an end


@pytest.fixture(autouse=True)
def without_collector() -> Iterator[None]:
    with collector_disabled():
        yield


class Owner:
    """Refers to its attempt, and is referred to by it, as an attempt of the node."""

    ended = 0

    def __init__(self, scene: Scene, address: tuple[str, tuple[str, int]], call: StubCall) -> None:
        self.call, self.sink = call, Sink()
        self.exchange = scene.carrier.send(address, call, 1500.0, self.end, self.begin)

    def begin(self, answer: Answer) -> AnswerSink:
        return self.sink

    def end(self, outcome: Outcome, answer: Answer | None) -> None:
        Owner.ended += 1


def long_answer(asked: ServerRequest) -> None:
    asked.head(200)
    asked.data(bytes(LONG_ANSWER_BYTES), end=True)


def cut_answer(asked: ServerRequest) -> None:
    asked.head(200)
    asked.data(bytes(LONG_ANSWER_BYTES))
    asked.reset(INTERNAL_ERROR)


# Guards against: an attempt over HTTP/3 that is over keeps its request in a reference cycle.
@pytest.mark.parametrize("respond", [done, long_answer, cut_answer, silent])
@pytest.mark.parametrize("uploads", [False, True], ids=["whole", "streamed body"])
def test_attempt_is_freed_when_it_has_ended(
    respond: Respond, uploads: bool, tmp_path_factory: pytest.TempPathFactory
) -> None:
    @in_scene()
    async def scene(s: Scene) -> None:
        host = await s.host(respond)
        upload = Upload(None, lambda: None, lambda: None) if uploads else None
        owners = [Owner(s, ("s-1", ("127.0.0.1", host.port)), StubCall(b"x" * 5000, upload))]
        if upload is not None:
            upload.end()
        upload = None
        if respond is silent:
            await until(lambda: owners[0].exchange.written)
            owners[0].exchange.abandon()
        else:
            await until(lambda: Owner.ended > 0)
        owners.clear()
        await asyncio.sleep(SETTLE_S)
        assert alive(Owner, Exchange, Upload) == []

    Owner.ended = 0
    scene(tmp_path_factory.mktemp("scene"))
