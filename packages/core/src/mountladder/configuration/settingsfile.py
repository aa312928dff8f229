# settingsfile.py -- Reading a process's settings file
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reading a process's settings file."""

from __future__ import annotations

import tomllib
from pathlib import Path

from mountladder.configuration.fields import Fields
from mountladder.errors import SettingsError


def settings_fields(text: str, source: str) -> Fields:
    """Return the fields of a settings file, whose faults are gathered as they are read.

    Raises:
        ExceptionGroup: Of one SettingsError where the text is not TOML.
    """
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, ValueError) as error:
        fault = SettingsError(f"{source}: not TOML: {error}")
        raise ExceptionGroup("settings", [fault]) from error
    return Fields(table, source, SettingsError)


def check_fields(fields: Fields, source: str) -> None:
    """Raise every fault that was found.

    Raises:
        ExceptionGroup: Of a SettingsError for each fault.
    """
    faults = fields.finish()
    if faults:
        raise ExceptionGroup(f"{source}: {len(faults)} faults", faults)


def settings_text(path: Path) -> str:
    """Return the text of a settings file.

    Raises:
        ExceptionGroup: Of one SettingsError where it cannot be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = SettingsError(f"{path}: cannot be read: {error}")
        raise ExceptionGroup("settings", [fault]) from error
