"""Reading and checking settings files.

A file is checked as a whole before the daemon opens a port; each fault names
the file, the key path and what was expected there.
"""

import tomllib
import types
import typing
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, TypeVar

import attrs
from expression import Error, Ok, Result

from sequoiawind.options import Address, parse_port

T = TypeVar("T")

CHOICES: Final[Mapping[str, tuple[str, ...]]] = {
    "logs.format": ("json", "console"),
    "logs.level": ("debug", "info", "warning", "error"),
    "agent.service": ("engine", "plain"),
}
MIN_SECRET_CHARS: Final = 16


@attrs.frozen(kw_only=True)
class Fault:
    """One fault of a settings file."""

    file: str
    # Key path, with dots.
    path: str
    expected: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f"{self.file}: {self.path}: expected {self.expected}"


def load(file: str, kind: type[T]) -> Result[T, list[Fault]]:
    """Read a settings file.

    Args:
      file: The file's path.
      kind: The class of its settings.

    Returns:
      The settings, or all faults of the file.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error([Fault(file=file, path=".", expected=f"a file: {error}")])
    return parse(file, text, kind)


def parse(file: str, text: str, kind: type[T]) -> Result[T, list[Fault]]:
    """Parse and check the text of a settings file.

    Returns:
      The settings, or all faults of the file.
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error([Fault(file=file, path=".", expected=f"TOML: {error}")])
    checker = Checker(file=file)
    settings = checker.check_table(values, kind, "")
    if checker.faults:
        return Error(checker.faults)
    return Ok(settings)


@attrs.define(kw_only=True)
class Checker:
    """Converts TOML tables to options classes and collects the faults."""

    file: str
    faults: list[Fault] = attrs.field(factory=list)

    def add_fault(self, path: str, expected: str) -> None:
        """Record a fault."""
        self.faults.append(Fault(file=self.file, path=path, expected=expected))

    def check_table(self, values: object, kind: type[Any], path: str) -> Any:
        """Convert a table to an options class; None after any fault."""
        if not isinstance(values, dict):
            self.add_fault(path, "a table")
            return None
        hints = typing.get_type_hints(kind)
        fields = {field.name: field for field in attrs.fields(kind)}
        for name in sorted(set(values) - set(fields)):
            self.add_fault(join_path(path, name), f"one of {', '.join(fields)}")
        converted: dict[str, Any] = {}
        for name, field in fields.items():
            where = join_path(path, name)
            if name in values:
                converted[name] = self.check_value(
                    values[name], hints[name], where
                )
            elif field.default is attrs.NOTHING:
                self.add_fault(
                    where, f"{describe(hints[name])}, but it is missing"
                )
        if self.faults:
            return None
        return kind(**converted)

    def check_value(self, value: object, hint: Any, path: str) -> Any:
        """Convert one value to its declared type; None if it does not fit."""
        if attrs.has(hint) and hint is not Address:
            return self.check_table(value, hint, path)
        if typing.get_origin(hint) is types.UnionType:
            hint = typing.get_args(hint)[0]
        if typing.get_origin(hint) is tuple:
            return self.check_list(value, typing.get_args(hint)[0], path)
        converted = convert_scalar(value, hint)
        if converted is None:
            self.add_fault(path, describe(hint))
            return None
        return self.check_limits(converted, path)

    def check_list(self, value: object, hint: Any, path: str) -> Any:
        """Convert each item of a list; an empty tuple if it is no list."""
        if not isinstance(value, list):
            self.add_fault(path, f"a list of {describe(hint)}")
            return ()
        return tuple(
            self.check_value(item, hint, f"{path}[{number}]")
            for number, item in enumerate(value)
        )

    def check_limits(self, value: Any, path: str) -> Any:
        """Check a value of the right type for its choices and limits."""
        choices = CHOICES.get(path)
        if choices is not None and value not in choices:
            self.add_fault(path, f"one of {', '.join(choices)}")
        if path == "peers.secret" and len(value) < MIN_SECRET_CHARS:
            self.add_fault(path, f"at least {MIN_SECRET_CHARS} characters")
        if isinstance(value, int | float) and value < 0:
            self.add_fault(path, "a number of at least 0")
        if path.endswith("name") and not value:
            self.add_fault(path, "a name")
        return value


def join_path(path: str, name: str) -> str:
    """Return the key path of a name in a table."""
    return f"{path}.{name}" if path else name


def convert_scalar(value: object, hint: Any) -> Any:
    """Return a scalar converted to a type; None if it does not fit."""
    if hint is Address:
        return parse_address(value)
    if hint is float and type(value) in (int, float):
        return float(typing.cast(float, value))
    return value if type(value) is hint else None


def parse_address(value: object) -> Address | None:
    """Return an address written as host:port; None if it is not one."""
    if not isinstance(value, str):
        return None
    host, _, text = value.rpartition(":")
    port = parse_port(text)
    if not host or port is None:
        return None
    return Address(host=host, port=port)


def describe(hint: Any) -> str:
    """Return what a fault states as expected for a type."""
    names: dict[Any, str] = {
        str: "a string",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
        Address: "an address as host:port",
    }
    return names.get(hint, "a table")
