"""Tables to typed settings, strictly: whatever is not known, or not in range, is a fault that names the
place, what is wrong and what would be right; all faults are found in one go.

For settings that operators write (TOML 1.0). Each field's type carries a `msgspec.Meta` whose description
says what would be right.
"""

from __future__ import annotations

import difflib
import types
from pathlib import Path
from typing import Annotated, Any, TypeVar, Union, get_args, get_origin

from msgspec import Meta, Struct, ValidationError, convert
from msgspec.structs import fields

T = TypeVar("T", bound=Struct)


class Fault(Struct, frozen=True):
    """One thing that is wrong: where, what, and what would be right."""

    key: str
    text: str
    right: str

    def __str__(self) -> str:
        return f"{self.key}: {self.text}; {self.right}" if self.key else f"{self.text}; {self.right}"


class FileError(ValueError):
    """A file can't be used. `faults` has everything that is wrong with it."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        super().__init__("\n".join(f"{path}: {fault}" for fault in faults))
        self.path, self.faults = path, faults


def unknown(what: str, name: str, known: list[str]) -> Fault:
    close = difflib.get_close_matches(name, known, 1)
    right = f"did you mean {close[0]!r}? " if close else ""
    return Fault(name, f"no such {what}", f"{right}known here: {', '.join(known)}")


def _inner(kind: Any) -> Any:
    """A field's type without what stands round it: `X` of `Annotated[X, ...]` and of `X | None`."""
    if get_origin(kind) is Annotated:
        return _inner(get_args(kind)[0])
    if get_origin(kind) in (Union, types.UnionType):
        return _inner(next(arg for arg in get_args(kind) if arg is not type(None)))
    return kind


def _described(kind: Any) -> str:
    metas = [meta for meta in getattr(kind, "__metadata__", ()) if isinstance(meta, Meta)]
    return next((meta.description for meta in reversed(metas) if meta.description), f"of type {kind}")


def value(name: str, kind: Any, told: Any, faults: list[Fault]) -> Any:
    """`told` as `kind`; None, and the reasons in `faults`, if anything in it is wrong."""
    inner = _inner(kind)
    if isinstance(inner, type) and issubclass(inner, Struct):
        return table(name, inner, told, faults)
    if get_origin(inner) is tuple and isinstance(told, list):
        each = get_args(inner)[0]
        plain = _inner(each)
        if isinstance(plain, type) and issubclass(plain, Struct):
            return tuple(table(f"{name}[{i}]", plain, one, faults) for i, one in enumerate(told))
    try:
        return convert(told, kind)
    except ValidationError:
        faults.append(Fault(name, f"is {told!r}", f"must be {_described(kind)}"))
        return None


def table(name: str, kind: type[T], told: Any, faults: list[Fault]) -> T | None:
    """One table's settings; None, and the reasons in `faults`, if anything in it is wrong. `name` is the
    table's own, empty for the whole file."""
    if not isinstance(told, dict):
        faults.append(Fault(name, f"is {told!r}", f"must be a table, written [{name}]"))
        return None
    before, known = len(faults), {field.encode_name: field for field in fields(kind)}
    values: dict[str, Any] = {}
    for key, given in told.items():
        path = f"{name}.{key}" if name else key
        if key not in known:
            fault = unknown("setting", key, list(known))
            faults.append(Fault(path, fault.text, fault.right))
        else:
            values[known[key].name] = value(path, known[key].type, given, faults)
    for field in known.values():
        if field.required and field.encode_name not in told:
            path = f"{name}.{field.encode_name}" if name else field.encode_name
            faults.append(Fault(path, "is missing", f"must be {_described(field.type)}"))
    return kind(**values) if len(faults) == before else None


def read_file(path: str, most: int) -> tuple[str | None, list[Fault]]:
    """The text of a file, or why it can't be had: missing, over `most` bytes, or no UTF-8."""
    try:
        with open(Path(path), "rb") as file:
            data = file.read(most + 1)
    except OSError as error:
        return None, [Fault("", f"can't be read: {error.strerror}", "give a readable file")]
    if len(data) > most:
        return None, [Fault("", "is too large", f"at most {most} bytes")]
    try:
        return data.decode(), []
    except UnicodeDecodeError as error:
        return None, [Fault("", f"is no UTF-8 text: byte {error.start} can't be read", "save it as UTF-8")]
