"""Values are what frozen dataclasses are, to those who use them."""

from __future__ import annotations

import pickle

import pytest

from cloverrouter.interface import Idempotency, Limits, RequestClass, Send, Settings, Subscribe
from cloverrouter.values import Value, replace


class Point(Value, aside=("note",)):
    x: int
    y: int = 2
    note: str = ""


def test_fields_come_by_place_by_name_or_by_default() -> None:
    assert Point(1) == Point(1, 2) == Point(x=1, y=2) == Point(1, y=2, note="")
    assert (Point(1, 3).x, Point(1, 3).y, Point(1, 3).note) == (1, 3, "")
    assert repr(Point(1)) == "Point(x=1, y=2, note='')"


@pytest.mark.parametrize(
    ("args", "told"),
    [
        ((), {}),
        ((), {"y": 1}),
        ((1, 2, "", 4), {}),
        ((1,), {"x": 1}),
        ((1,), {"z": 1}),
        ((1, 2, ""), {"x": 1}),
    ],
)
def test_a_field_that_lacks_is_not_there_or_comes_twice_is_named(
    args: tuple[int, ...], told: dict[str, int]
) -> None:
    with pytest.raises(TypeError, match=r"right is Point\(x, y=\.\.\., note=\.\.\.\)"):
        Point(*args, **told)  # type: ignore[arg-type]


def test_what_stands_aside_is_not_compared_and_other_kinds_are_other_values() -> None:
    assert Point(1, note="a") == Point(1, note="b") and hash(Point(1, note="a")) == hash(Point(1, note="b"))
    assert Point(1) != Point(2) and Point(1) != (1, 2, "")
    assert Send(1, "s", 5.0, fresh=True) == Send(1, "s", 5.0) and Subscribe() == Subscribe()
    assert len({Point(1), Point(1), Point(2)}) == 2


def test_nothing_changes_in_place() -> None:
    point = Point(1)
    with pytest.raises(AttributeError, match=r"Point\.x can't be set"):
        point.x = 5  # type: ignore[misc]
    with pytest.raises(AttributeError, match="deleted"):
        del point.x
    assert replace(point, y=7) == Point(1, 7) and point == Point(1)
    with pytest.raises(TypeError, match=r"z=\.\.\."):
        replace(point, z=1)
    assert pickle.loads(pickle.dumps(point)) == point


def test_what_is_made_from_another_has_its_fields_first() -> None:
    class Place(Point):
        name: str = "here"

    assert Place(1, name="there").x == 1 and Place(1) != Place(1, name="there")
    with pytest.raises(TypeError, match=r"Place\(x, y="):
        Place()  # type: ignore[call-arg]


def test_a_check_holds_for_replaced_ones_too() -> None:
    settings = Settings((RequestClass("a", 1.0, 2.0, idempotency=Idempotency.SAFE),))
    assert settings.limits is Settings(settings.classes).limits and settings.limits == Limits()
    with pytest.raises(ValueError, match="proxies"):
        replace(settings, proxies=0)
