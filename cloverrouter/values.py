"""Immutable value objects with named fields whose classes are cheap to define.

`dataclasses` generates and compiles the methods of each class when it is defined: a frozen class with slots
takes 1.3 ms of CPU time, and the forty classes of the proxy took a third of the time of each start. Here all
classes share methods that are compiled once; type checkers treat the classes as dataclasses (PEP 681).
"""

from __future__ import annotations

from inspect import get_annotations
from typing import Any, ClassVar, NoReturn, TypeVar, dataclass_transform

V = TypeVar("V", bound="Value")


@dataclass_transform(frozen_default=True)
class Value:
    """Base class of value objects.

    Subclasses declare their fields by annotations, those with defaults last. All instances share a default,
    so it must be immutable. `uncompared`: names of fields that equality and hash ignore. A class may define
    `__post_init__` to validate its fields.
    """

    names: ClassVar[tuple[str, ...]] = ()
    _all: ClassVar[frozenset[str]] = frozenset()
    _required: ClassVar[frozenset[str]] = frozenset()
    _compared: ClassVar[tuple[str, ...]] = ()
    _checked: ClassVar[bool] = False

    def __init_subclass__(cls, uncompared: tuple[str, ...] = ()) -> None:
        cls.names = (*cls.names, *get_annotations(cls))  # inherited fields come first
        cls._all = frozenset(cls.names)
        cls._required = frozenset(name for name in cls.names if not hasattr(cls, name))
        cls._compared = tuple(name for name in cls.names if name not in uncompared)
        cls._checked = hasattr(cls, "__post_init__")

    def __init__(self, *args: Any, **fields: Any) -> None:
        names = self.names
        if len(args) == len(names) and not fields:  # fast path: objects made for each request are positional
            self.__dict__.update(zip(names, args, strict=False))
        else:
            given = len(args) + len(fields)
            fields.update(zip(names, args, strict=False))
            if len(fields) != given or not self._required <= fields.keys() <= self._all:
                self._raise_type_error(args, fields)
            self.__dict__.update(fields)
        if self._checked:
            self.__post_init__()  # type: ignore[attr-defined]

    def _raise_type_error(self, args: tuple[Any, ...], fields: dict[str, Any]) -> NoReturn:
        expected = ", ".join(name if name in self._required else f"{name}=..." for name in self.names)
        given = ", ".join([*("..." for _ in args), *(f"{name}=..." for name in fields)])
        raise TypeError(f"{type(self).__name__}({given}); expected {type(self).__name__}({expected})")

    def __setattr__(self, name: str, value: object) -> NoReturn:
        raise AttributeError(f"{type(self).__name__}.{name} can't be set: value objects are immutable")

    def __delattr__(self, name: str) -> NoReturn:
        raise AttributeError(f"{type(self).__name__}.{name} can't be deleted: value objects are immutable")

    def _key(self) -> tuple[Any, ...]:
        return tuple([getattr(self, name) for name in self._compared])

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return self._key() == other._key()

    def __hash__(self) -> int:
        return hash((type(self), self._key()))

    def __repr__(self) -> str:
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.names)
        return f"{type(self).__name__}({fields})"


def replace(value: V, **changes: Any) -> V:
    """Return a copy with these fields changed. Raises TypeError for an unknown field."""
    return type(value)(**{**vars(value), **changes})
