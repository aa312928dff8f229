# enginestate.py -- State that a model engine reports
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""State that a model engine reports."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineState:
    """The models that an engine serves and loads at present.

    Attributes:
        models: The loaded models as pairs of name and version, sorted by name.
        loading: The models that it is loading, in the same form.
        fence: The highest fencing number that it has received.
    """

    models: tuple[tuple[str, str], ...]
    loading: tuple[tuple[str, str], ...]
    fence: int
