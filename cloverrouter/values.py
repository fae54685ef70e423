"""Values: small immutable objects with named fields, cheap to define, for what every process loads.

`dataclasses` writes and compiles the methods of each class when it is defined: a frozen one with slots takes
1.3 ms of processor time, and the proxy's forty took a third of its start, which each restart pays anew. Here
the methods are shared and compiled once, ahead; type checkers read the classes as dataclasses (PEP 681).
"""

from __future__ import annotations

from inspect import get_annotations
from typing import Any, ClassVar, NoReturn, TypeVar, dataclass_transform

V = TypeVar("V", bound="Value")


@dataclass_transform(frozen_default=True)
class Value:
    """Subclasses name their fields by annotations, with defaults behind those without; a default is shared,
    so it must be immutable. `aside`: fields that do not count when two are compared. `__post_init__`, where a
    class has one, checks what was given.
    """

    names: ClassVar[tuple[str, ...]] = ()
    _all: ClassVar[frozenset[str]] = frozenset()
    _required: ClassVar[frozenset[str]] = frozenset()
    _compared: ClassVar[tuple[str, ...]] = ()
    _checked: ClassVar[bool] = False

    def __init_subclass__(cls, aside: tuple[str, ...] = ()) -> None:
        cls.names = (*cls.names, *get_annotations(cls))  # those of the class that it is made from come first
        cls._all = frozenset(cls.names)
        cls._required = frozenset(name for name in cls.names if not hasattr(cls, name))
        cls._compared = tuple(name for name in cls.names if name not in aside)
        cls._checked = hasattr(cls, "__post_init__")

    def __init__(self, *args: Any, **told: Any) -> None:
        names = self.names
        if len(args) == len(names) and not told:  # as all that is made for each request
            self.__dict__.update(zip(names, args, strict=False))
        else:
            given = len(args) + len(told)
            told.update(zip(names, args, strict=False))
            if len(told) != given or not self._required <= told.keys() <= self._all:
                self._complain(args, told)
            self.__dict__.update(told)
        if self._checked:
            self.__post_init__()  # type: ignore[attr-defined]

    def _complain(self, args: tuple[Any, ...], told: dict[str, Any]) -> NoReturn:
        right = ", ".join(name if name in self._required else f"{name}=..." for name in self.names)
        given = ", ".join([*("..." for _ in args), *(f"{name}=..." for name in told)])
        raise TypeError(f"{type(self).__name__}({given}); right is {type(self).__name__}({right})")

    def __setattr__(self, name: str, value: object) -> NoReturn:
        raise AttributeError(f"{type(self).__name__}.{name} can't be set: values do not change")

    def __delattr__(self, name: str) -> NoReturn:
        raise AttributeError(f"{type(self).__name__}.{name} can't be deleted: values do not change")

    def _key(self) -> tuple[Any, ...]:
        return tuple([getattr(self, name) for name in self._compared])

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return self._key() == other._key()

    def __hash__(self) -> int:
        return hash((type(self), self._key()))

    def __repr__(self) -> str:
        told = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.names)
        return f"{type(self).__name__}({told})"


def replace(value: V, **changes: Any) -> V:
    """Another of the same kind, with these fields changed. Raises TypeError for a field that it has not."""
    return type(value)(**{**vars(value), **changes})
