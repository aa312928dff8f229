# requirement.py -- One requirement of a selector
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One requirement of a selector."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Requirement:
    """One requirement of a selector: the values that a label may have.

    Attributes:
        label: The label's name.
        values: The allowed values; if empty, the label must exist with any value.
        negated: Whether the requirement is negated. A missing label meets a negated one.
    """

    label: str
    values: frozenset[str]
    negated: bool

    def meets(self, labels: Mapping[str, str]) -> bool:
        """Return whether labels meet this requirement."""
        value = labels.get(self.label)
        holds = value is not None and (not self.values or value in self.values)
        return holds != self.negated
