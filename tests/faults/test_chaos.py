"""Fixed seeds of `chaos`: random faults of clients, servers, links and signals on one real proxy."""

from __future__ import annotations

import asyncio

import pytest

from tests.faults.chaos.run import Chaos

SECONDS = 4.0


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 20, 50])  # the last two with hungry clients
def test_process_survives_and_answers_well_behaved_clients(seed: int) -> None:
    outcome = asyncio.run(Chaos(seed, SECONDS).run())
    assert not outcome.failures(), outcome.log
    assert outcome.statuses.total() >= 20, outcome.statuses
    assert outcome.kept_answered >= 20, outcome.kept_answered
