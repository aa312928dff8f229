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
        tokens: The length of the prompt, in tokens.
        max_output: The maximum number of tokens to generate.
        parts: Its parts in order; only the last one is specific to the request or its session.
    """

    tokens: int
    max_output: int
    parts: tuple[PromptPart, ...]

    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the parts that other requests may share."""
        return tuple(one.id for one in self.parts[:-1])
