"""Value objects behave like frozen dataclasses."""

from __future__ import annotations

import pickle

import pytest

from cloverrouter.interface import Idempotency, Limits, RequestClass, Send, Settings, Subscribe
from cloverrouter.values import Value, replace


class Point(Value, uncompared=("note",)):
    x: int
    y: int = 2
    note: str = ""


def test_fields_are_given_by_position_by_name_or_by_default() -> None:
    assert Point(1) == Point(1, 2) == Point(x=1, y=2) == Point(1, y=2, note="")
    assert (Point(1, 3).x, Point(1, 3).y, Point(1, 3).note) == (1, 3, "")
    assert repr(Point(1)) == "Point(x=1, y=2, note='')"


@pytest.mark.parametrize(
    ("args", "fields"),
    [
        ((), {}),
        ((), {"y": 1}),
        ((1, 2, "", 4), {}),
        ((1,), {"x": 1}),
        ((1,), {"z": 1}),
        ((1, 2, ""), {"x": 1}),
    ],
)
def test_missing_unknown_and_repeated_fields_raise_an_error_that_lists_the_fields(
    args: tuple[int, ...], fields: dict[str, int]
) -> None:
    with pytest.raises(TypeError, match=r"expected Point\(x, y=\.\.\., note=\.\.\.\)"):
        Point(*args, **fields)  # type: ignore[arg-type]


def test_uncompared_fields_are_ignored_and_other_classes_are_unequal() -> None:
    assert Point(1, note="a") == Point(1, note="b") and hash(Point(1, note="a")) == hash(Point(1, note="b"))
    assert Point(1) != Point(2) and Point(1) != (1, 2, "")
    assert Send(1, "s", 5.0, new_connection=True) == Send(1, "s", 5.0) and Subscribe() == Subscribe()
    assert len({Point(1), Point(1), Point(2)}) == 2


def test_fields_cannot_be_set_or_deleted() -> None:
    point = Point(1)
    with pytest.raises(AttributeError, match=r"Point\.x can't be set"):
        point.x = 5  # type: ignore[misc]
    with pytest.raises(AttributeError, match="deleted"):
        del point.x
    assert replace(point, y=7) == Point(1, 7) and point == Point(1)
    with pytest.raises(TypeError, match=r"z=\.\.\."):
        replace(point, z=1)
    assert pickle.loads(pickle.dumps(point)) == point


def test_inherited_fields_come_first() -> None:
    class Place(Point):
        name: str = "here"

    assert Place(1, name="there").x == 1 and Place(1) != Place(1, name="there")
    with pytest.raises(TypeError, match=r"Place\(x, y="):
        Place()  # type: ignore[call-arg]


def test_replace_validates_the_copy() -> None:
    settings = Settings((RequestClass("a", 1.0, 2.0, idempotency=Idempotency.SAFE),))
    assert settings.limits is Settings(settings.classes).limits and settings.limits == Limits()
    with pytest.raises(ValueError, match="proxies"):
        replace(settings, proxies=0)
