"""Strict conversion of tables (TOML 1.0, written by operators) to typed settings.

Every unknown name and every value out of range is a fault that names the setting, the problem and the valid
form; one pass reports all faults. Each field's type carries a `msgspec.Meta` whose description is the valid
form.
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
    """A problem in a settings file: the key, what is wrong, and the valid form."""

    key: str
    text: str
    right: str

    def __str__(self) -> str:
        return f"{self.key}: {self.text}; {self.right}" if self.key else f"{self.text}; {self.right}"


class FileError(ValueError):
    """A file can't be used; `faults` lists all problems."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        super().__init__("\n".join(f"{path}: {fault}" for fault in faults))
        self.path, self.faults = path, faults


def unknown_name(what: str, name: str, known: list[str]) -> Fault:
    """A fault for a name that is not in `known`, with the closest match as a suggestion."""
    matches = difflib.get_close_matches(name, known, 1)
    right = f"did you mean {matches[0]!r}? " if matches else ""
    return Fault(name, f"no such {what}", f"{right}known here: {', '.join(known)}")


def _bare_type(kind: Any) -> Any:
    """The bare type of a field: `X` of `Annotated[X, ...]` and of `X | None`."""
    if get_origin(kind) is Annotated:
        return _bare_type(get_args(kind)[0])
    if get_origin(kind) in (Union, types.UnionType):
        return _bare_type(next(arg for arg in get_args(kind) if arg is not type(None)))
    return kind


def _valid_form(kind: Any) -> str:
    """The description of a field's type, from the outermost `Meta` that has one."""
    metas = [meta for meta in getattr(kind, "__metadata__", ()) if isinstance(meta, Meta)]
    return next((meta.description for meta in reversed(metas) if meta.description), f"of type {kind}")


def convert_value(name: str, kind: Any, given: Any, faults: list[Fault]) -> Any:
    """Convert `given` to the type `kind`. Appends to `faults` and returns None if any part is invalid."""
    bare = _bare_type(kind)
    if isinstance(bare, type) and issubclass(bare, Struct):
        return convert_table(name, bare, given, faults)
    if get_origin(bare) is tuple and isinstance(given, list):
        item = get_args(bare)[0]
        bare_item = _bare_type(item)
        if isinstance(bare_item, type) and issubclass(bare_item, Struct):
            return tuple(
                convert_table(f"{name}[{i}]", bare_item, entry, faults) for i, entry in enumerate(given)
            )
    try:
        return convert(given, kind)
    except ValidationError:
        faults.append(Fault(name, f"is {given!r}", f"must be {_valid_form(kind)}"))
        return None


def convert_table(name: str, kind: type[T], given: Any, faults: list[Fault]) -> T | None:
    """Convert a table to the Struct `kind`. Appends to `faults` and returns None if any part is invalid.
    `name` is the name of the table, empty for the whole file."""
    if not isinstance(given, dict):
        faults.append(Fault(name, f"is {given!r}", f"must be a table, written [{name}]"))
        return None
    faults_before, known = len(faults), {field.encode_name: field for field in fields(kind)}
    values: dict[str, Any] = {}
    for key, entry in given.items():
        path = f"{name}.{key}" if name else key
        if key not in known:
            fault = unknown_name("setting", key, list(known))
            faults.append(Fault(path, fault.text, fault.right))
        else:
            values[known[key].name] = convert_value(path, known[key].type, entry, faults)
    for field in known.values():
        if field.required and field.encode_name not in given:
            path = f"{name}.{field.encode_name}" if name else field.encode_name
            faults.append(Fault(path, "is missing", f"must be {_valid_form(field.type)}"))
    return kind(**values) if len(faults) == faults_before else None


def read_file(path: str, max_bytes: int) -> tuple[str | None, list[Fault]]:
    """Read a text file of at most `max_bytes`. Returns None and a fault if it is missing, too large or not
    UTF-8."""
    try:
        with open(Path(path), "rb") as file:
            data = file.read(max_bytes + 1)
    except OSError as error:
        return None, [Fault("", f"can't be read: {error.strerror}", "give a readable file")]
    if len(data) > max_bytes:
        return None, [Fault("", "is too large", f"at most {max_bytes} bytes")]
    try:
        return data.decode(), []
    except UnicodeDecodeError as error:
        return None, [Fault("", f"is no UTF-8 text: byte {error.start} can't be read", "save it as UTF-8")]
