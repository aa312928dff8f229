# enginestate.py -- What a model engine serves
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What a model engine serves."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine serves at present.

    Attributes:
        models: The loaded models, each with its version, by name.
        loading: The models that it is loading.
        fence: The highest fencing number it was given.
    """

    models: tuple[tuple[str, str], ...]
    loading: tuple[tuple[str, str], ...]
    fence: int
