"""Some seeds of `chaos`: random faults of clients, servers, links and signals round one real proxy."""

from __future__ import annotations

import asyncio

import pytest

from tests.faults.chaos.run import Chaos

SECONDS = 4.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_process_stays_and_behaving_clients_are_answered(seed: int) -> None:
    outcome = asyncio.run(Chaos(seed, SECONDS).play())
    assert not outcome.troubles(), outcome.log
    assert outcome.statuses.total() >= 20, outcome.statuses
    assert outcome.kept >= 20, outcome.kept
