# settingsfile.py -- Reads the settings file of a process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Reads the settings file of a process."""

from __future__ import annotations

import tomllib
from pathlib import Path

from mountladder.configuration.fields import Fields
from mountladder.errors import SettingsError


def settings_fields(text: str, source: str) -> Fields:
    """Return the fields of a settings file, which collect errors as they are read.

    Raises:
        ExceptionGroup: With one SettingsError if the text is not TOML.
    """
    try:
        table = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, ValueError) as error:
        fault = SettingsError(f"{source}: not TOML: {error}")
        raise ExceptionGroup("settings", [fault]) from error
    return Fields(table, source, SettingsError)


def check_fields(fields: Fields, source: str) -> None:
    """Raise all errors that were collected.

    Raises:
        ExceptionGroup: With a SettingsError for each error.
    """
    faults = fields.finish()
    if faults:
        raise ExceptionGroup(f"{source}: {len(faults)} errors", faults)


def settings_text(path: Path) -> str:
    """Return the text of a settings file.

    Raises:
        ExceptionGroup: With one SettingsError if it cannot be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = SettingsError(f"{path}: cannot be read: {error}")
        raise ExceptionGroup("settings", [fault]) from error
