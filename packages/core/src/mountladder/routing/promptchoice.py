# promptchoice.py -- Result of choosing a model server for a prompt
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Result of choosing a model server for a prompt."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.routing.choice import Choice
from mountladder.routing.prefillplan import PrefillPlan


@dataclass(frozen=True, slots=True)
class PromptChoice:
    """The model server chosen for a prompt, and how its cache is to be filled.

    Attributes:
        choice: The chosen server, with the estimates behind the choice.
        plan: Which tokens the server reads and which it fetches from another one.
    """

    choice: Choice
    plan: PrefillPlan
