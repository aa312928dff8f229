# promptchoice.py -- The model server chosen for a prompt
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The model server chosen for a prompt."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.routing.choice import Choice
from mountladder.routing.readingplan import ReadingPlan


@dataclass(frozen=True, slots=True)
class PromptChoice:
    """The model server chosen for a prompt.

    Attributes:
        choice: The server, and why it was chosen.
        plan: How it comes by the prompt.
    """

    choice: Choice
    plan: ReadingPlan
