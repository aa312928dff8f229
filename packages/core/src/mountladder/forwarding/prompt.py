# prompt.py -- The prompt of a request to a model
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The prompt of a request to a model."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.forwarding.promptpart import PromptPart


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a request to a model.

    Attributes:
        tokens: How many tokens it has.
        most_output: How many tokens are generated at most.
        parts: Its parts in order; the last one belongs to the request or its session alone.
    """

    tokens: int
    most_output: int
    parts: tuple[PromptPart, ...]
