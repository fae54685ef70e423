"""The line fits of `benchmarks/slopes.py`: how shapes are classified, and which are not extrapolated."""

from __future__ import annotations

import argparse
import asyncio
import json
from random import Random
from typing import Any

import pytest

from benchmarks.slopes import (
    Listing,
    Row,
    describe_bound,
    first_crossing,
    fit,
    lines_of,
    read_numbers,
    rows_of,
    t_quantile,
)
from cloverrouter.lab.peers import read_message

SIZES = [16.0, 300.0, 1000.0, 2000.0, 4000.0, 7000.0]


def test_fit_of_points_on_a_line_is_that_line() -> None:
    line = fit(SIZES, [0.5 + 0.002 * n for n in SIZES])
    assert line.slope == pytest.approx(0.002) and line.intercept == pytest.approx(0.5)
    assert line.residual == pytest.approx(0, abs=1e-9) and line.furthest == pytest.approx(0, abs=1e-9)
    assert line.shape == "straight" and (line.points, line.first_x, line.last_x) == (6, 16, 7000)
    assert line.at(14_000) == pytest.approx(28.5)
    assert line.reach(1.6) == pytest.approx(550)


def test_slope_interval_and_residual_match_a_worked_example() -> None:
    """By hand: means 3 and 4, Sxx 10, Sxy 9; squared residuals 0.04, 0.01, 0, 1.21, 0.64, in total 1.9."""
    line = fit([1, 2, 3, 4, 5], [2, 3, 4, 6, 5])
    assert line.slope == pytest.approx(0.9) and line.intercept == pytest.approx(1.3)
    assert line.residual == pytest.approx((1.9 / 3) ** 0.5)
    half = 3.182 * (1.9 / 3) ** 0.5 / 10**0.5
    assert line.low == pytest.approx(0.9 - half) and line.high == pytest.approx(0.9 + half)


def test_confidence_interval_contains_the_true_slope_as_often_as_stated() -> None:
    random = Random(7)
    covered = 0
    for _ in range(1000):
        line = fit(SIZES, [1.0 + 0.003 * n + random.gauss(0, 2.0) for n in SIZES])
        covered += line.low <= 0.003 <= line.high
    assert 920 < covered < 980


@pytest.mark.parametrize("power", [0.4, 2.0, 3.0])
def test_curve_is_classified_as_bent_and_not_extrapolated(power: float) -> None:
    line = fit(SIZES, [1.0 + (n / 1000) ** power for n in SIZES])
    assert line.shape == "bent"
    assert line.reach(1000.0) is None
    with pytest.raises(ValueError, match="bent: not extended from 7000 to 14000"):
        line.at(14_000)
    assert line.at(4000) > 0  # interpolation is allowed


def test_slight_curvature_is_classified_as_straight() -> None:
    assert fit(SIZES, [n + 0.02 * n * n / 7000 for n in SIZES]).shape == "straight"


def test_noise_without_a_slope_is_flat_and_has_no_reach() -> None:
    random = Random(3)
    line = fit(SIZES, [5.0 + random.gauss(0, 0.5) for _ in SIZES])
    assert line.shape == "flat" and line.low < 0 < line.high
    assert line.reach(1000.0) is None


def test_outlier_makes_a_fit_scattered() -> None:
    line = fit([1, 2, 3, 4, 5, 6, 7, 8], [1, 2, 3, 6.5, 5, 6, 5.2, 8])
    assert line.shape == "scattered"
    with pytest.raises(ValueError, match="scattered: not extended"):
        line.at(100)


def test_falling_line_never_reaches_a_bound_above_it() -> None:
    line = fit(SIZES, [100 - n / 100 for n in SIZES])
    assert line.shape == "straight" and line.reach(200) is None


def test_three_points_are_too_few_for_a_line() -> None:
    line = fit([1, 2, 3], [1, 2, 3])
    assert line.shape == "too few points" and line.reach(10) is None
    with pytest.raises(ValueError, match="too few points"):
        line.at(10)
    with pytest.raises(ValueError, match="2 points at 2 lengths: at least 3"):
        fit([1, 2], [1, 2])
    with pytest.raises(ValueError, match="at 2 lengths"):
        fit([1, 2, 1, 2], [1, 2, 1, 2])


def test_repeated_lengths_count_as_points() -> None:
    line = fit([*SIZES, *SIZES], [1 + n for n in SIZES] + [1.5 + n for n in SIZES])
    assert line.points == 12 and line.intercept == pytest.approx(1.25) and line.shape == "straight"
    assert line.residual == pytest.approx((12 * 0.25**2 / 10) ** 0.5)


def test_t_quantiles_decrease_to_the_normal_quantile() -> None:
    found = [t_quantile(degrees) for degrees in range(1, 200)]
    assert found == sorted(found, reverse=True)
    assert found[3] == 2.776 and t_quantile(30) == pytest.approx(2.042, abs=0.005)
    assert t_quantile(10_000) == pytest.approx(1.96, abs=0.001)
    with pytest.raises(ValueError, match="0 degrees"):
        t_quantile(0)


def test_bound_is_interpolated_between_points() -> None:
    assert first_crossing([0, 10, 20], [0, 1, 3], 2) == 15
    assert first_crossing([20, 0, 10], [3, 0, 1], 0.5) == 5
    assert first_crossing([0, 10], [0, 1], 2) is None


def row(values: list[float], figure: str = "idle CPU") -> Row:
    return Row("t", 0.4, figure, SIZES, values, fit(SIZES, values))


def test_report_tells_where_a_bound_is_reached_and_whether_it_is_extrapolated() -> None:
    assert describe_bound(row([n / 1000 for n in SIZES])) == "1.6: 1,600"
    assert describe_bound(row([n / 10_000 for n in SIZES])) == "1.6: 16,000, extended"
    assert describe_bound(row([(n / 7000) ** 3 for n in SIZES])) == "1.6: not by the last"  # bent
    assert describe_bound(row([2 + n for n in SIZES])) == "1.6: over it from the first"
    assert describe_bound(row(list(SIZES), "CPU of a change")) == ""


def test_report_has_a_row_for_each_figure_and_marks_missing_values() -> None:
    points = [
        ("a 123", 0.4, int(n), {"idle CPU": 0.2 + n / 1000, **({"RSS": 20 + n / 500} if n > 500 else {})})
        for n in SIZES
    ]
    lines = lines_of(rows_of(points))
    idle = next(line for line in lines if line.startswith("| idle CPU"))
    assert "1 (1 to 1)" in idle and "straight" in idle and "1.6: 1,400" in idle
    rss = next(line for line in lines if line.startswith("| RSS |"))
    assert rss.count("not measured") == 2 and "straight" in rss
    assert "a 123, longest deadline 0.4 s" in lines


def test_command_line_numbers_are_bounded() -> None:
    assert read_numbers("16,300", 1, 8000) == [16, 300]
    with pytest.raises(argparse.ArgumentTypeError, match="from 1 to 8000"):
        read_numbers("16,9000", 1, 8000)
    with pytest.raises(argparse.ArgumentTypeError, match="numbers"):
        read_numbers("a", 1, 8000)


async def call(listing: Listing, target: str) -> dict[str, Any]:
    reader, writer = await asyncio.open_connection("127.0.0.1", listing.port)
    writer.write(f"GET /v1/servers{target} HTTP/1.1\r\n\r\n".encode())
    message = await read_message(reader)
    writer.close()
    answer: dict[str, Any] = json.loads(message.body)
    return answer


def test_listing_holds_calls_or_answers_at_once_and_sends_the_full_list_on_request() -> None:
    async def scene() -> None:
        watched, agent = Listing(True), Listing(False)
        for listing in (watched, agent):
            await listing.start()
            listing.entries = {"a": {"id": "a"}, "b": {"id": "b"}}
        pending = asyncio.get_running_loop().create_task(call(watched, "?from=1&hold_ms=30000"))
        await watched.wait_for_version(1)
        assert not pending.done()
        await watched.change({"id": "b", "state": "leaving"})
        assert await pending == {"version": 2, "full": False, "servers": [{"id": "b", "state": "leaving"}]}
        assert watched.answer_bytes > 0
        watched.full_list_next = True
        found = await call(watched, "?from=1&hold_ms=30000")
        assert found["full"] and len(found["servers"]) == 2 and not watched.full_list_next
        assert await call(agent, "?from=1&hold_ms=30000") == {"version": 1, "full": False, "servers": []}
        for listing in (watched, agent):
            listing.server.close()

    asyncio.run(scene())
