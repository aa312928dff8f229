# fields.py -- Validated access to the keys of a table
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Validated access to the keys of a table."""

from __future__ import annotations

import reprlib
import sys
from collections.abc import Mapping

from mountladder.errors import MountladderError

# The largest integer that the messages between instances can hold.
MAX_INTEGER = 2**63 - 1
# How much of a value that is not as expected is shown.
MAX_SHOWN_CHARS = 80
_REQUIRED = object()
_SHOWN = reprlib.Repr()
_SHOWN.maxstring = _SHOWN.maxlong = _SHOWN.maxother = MAX_SHOWN_CHARS


class Fields:
    """Reads the keys of one table and collects all errors instead of stopping at the first.

    Args:
        table: The table as parsed by the TOML or JSON library.
        location: The location of the table for error messages, such as a file and a key.
        error: The class of the errors.
    """

    def __init__(self, table: object, location: str, error: type[MountladderError]) -> None:
        self.location = location
        self.error = error
        self.faults: list[MountladderError] = []
        self.read_keys: set[str] = set()
        self.table: Mapping[str, object] = {}
        if isinstance(table, Mapping):
            self.table = table
        else:
            self.fault("", "a table", table)

    def fault(self, key: str, expected: str, found: object) -> None:
        """Record an error with the key, the expected and the actual value."""
        where = f"{self.location}: {key}" if key else self.location
        self.faults.append(self.error(f"{where}: expected {expected}, found {_SHOWN.repr(found)}"))

    def typed_value(self, key: str, kind: type, expected: str, default: object) -> object:
        """Return a key's value, or its default; record an error if it has the wrong type."""
        self.read_keys.add(key)
        value = self.table.get(key, default)
        if value is _REQUIRED:
            self.fault(key, expected, None)
            return kind()
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            self.fault(key, expected, value)
            return kind() if default is _REQUIRED else default
        return value

    def text(self, key: str, default: object = _REQUIRED) -> str:
        """Return a string; without a default, an empty string is an error."""
        value = self.typed_value(key, str, "a string", default)
        if value == "" and default is _REQUIRED and isinstance(self.table.get(key), str):
            self.fault(key, "a string that is not empty", value)
        return str(value)

    def flag(self, key: str, default: bool) -> bool:
        """Return a boolean."""
        return bool(self.typed_value(key, bool, "true or false", default))

    def number(self, key: str, default: object = _REQUIRED, min_value: float = 0.0) -> float:
        """Return a finite number that is not below a minimum."""
        self.read_keys.add(key)
        value = self.table.get(key, default)
        is_valid = isinstance(value, (int, float)) and not isinstance(value, bool)
        # An integer may be too large for a float.
        if not is_valid or not min_value <= value <= sys.float_info.max:
            self.fault(
                key, f"a number of at least {min_value:g}", None if value is _REQUIRED else value
            )
            return min_value
        return float(value)

    def integer(
        self,
        key: str,
        default: object = _REQUIRED,
        min_value: int = 0,
        max_value: int = MAX_INTEGER,
    ) -> int:
        """Return an integer within limits; the limits do not apply to the default."""
        self.read_keys.add(key)
        value = self.table.get(key, default)
        if key not in self.table and default is not _REQUIRED:
            return default
        is_valid = isinstance(value, int) and not isinstance(value, bool)
        if not is_valid or not min_value <= value <= max_value:
            expected = f"an integer from {min_value} to {max_value}"
            self.fault(key, expected, None if value is _REQUIRED else value)
            return min_value
        return value

    def texts(self, key: str, default: object = ()) -> tuple[str, ...]:
        """Return a list of strings."""
        self.read_keys.add(key)
        value = self.table.get(key, default)
        if not isinstance(value, (list, tuple)) or not all(isinstance(one, str) for one in value):
            self.fault(key, "a list of strings", value)
            return ()
        return tuple(value)

    def numbers(self, key: str) -> tuple[float, ...]:
        """Return a list of finite, non-negative numbers."""
        self.read_keys.add(key)
        value = self.table.get(key, ())
        listed = value if isinstance(value, (list, tuple)) else (None,)
        is_valid = all(
            isinstance(one, (int, float)) and not isinstance(one, bool) for one in listed
        )
        if not is_valid or not all(0 <= one <= sys.float_info.max for one in listed):
            self.fault(key, "a list of numbers", value)
            return ()
        return tuple(float(one) for one in listed)

    def labels(self, key: str) -> dict[str, str]:
        """Return a table of labels."""
        self.read_keys.add(key)
        value = self.table.get(key, {})
        if not isinstance(value, Mapping) or not all(
            isinstance(name, str) and isinstance(one, str) for name, one in value.items()
        ):
            self.fault(key, "a table of strings", value)
            return {}
        return dict(value)

    def choice(self, key: str, choices: tuple[str, ...], default: object = _REQUIRED) -> str:
        """Return a string that is one of the choices."""
        value = self.text(key, default)
        if value not in choices:
            self.fault(key, "one of " + ", ".join(choices), value)
            return choices[0]
        return value

    def finish(self) -> list[MountladderError]:
        """Record an error for each key that was not read, and return all errors."""
        for key in self.table:
            if key not in self.read_keys:
                self.fault(str(key), "no such key", self.table[key])
        return self.faults
