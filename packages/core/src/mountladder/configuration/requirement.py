# requirement.py -- One condition of a selector
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One condition of a selector."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Requirement:
    """One condition over labels.

    Attributes:
        label: The label's name.
        values: The values it is compared with; empty means that the label must exist.
        negated: Whether the condition is turned round. A missing label meets a negated one.
    """

    label: str
    values: frozenset[str]
    negated: bool

    def meets(self, labels: Mapping[str, str]) -> bool:
        """Tell whether a set of labels meets this condition."""
        value = labels.get(self.label)
        holds = value is not None and (not self.values or value in self.values)
        return holds != self.negated
