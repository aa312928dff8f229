# selector.py -- Selectors over labels
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Selectors over labels."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from mountladder.configuration.requirement import Requirement
from mountladder.errors import SelectorError

_NAME = r"[A-Za-z0-9][A-Za-z0-9._/-]*"
_EQUALITY = re.compile(rf"({_NAME})\s*(!=|==|=)\s*({_NAME})")
_MEMBERSHIP = re.compile(rf"({_NAME})\s+(in|notin|not in)\s*\(([^()]*)\)")
_EXISTENCE = re.compile(rf"(!?)\s*({_NAME})")
_SEPARATOR = re.compile(r",(?![^()]*\))")


@dataclass(frozen=True, slots=True)
class Selector:
    """A conjunction of conditions over labels, such as "tier = new, region in (a, b), !old".

    Attributes:
        text: The selector as its operator wrote it.
        requirements: Its conditions, all of which must hold.
    """

    text: str
    requirements: tuple[Requirement, ...]

    @classmethod
    def parse(cls, text: str) -> Selector:
        """Read a selector; an empty text selects everything.

        Raises:
            SelectorError: The text is not a selector.
        """
        if not text.strip():
            return cls(text, ())
        return cls(text, tuple(_requirement(part.strip()) for part in _SEPARATOR.split(text)))

    def meets(self, labels: Mapping[str, str]) -> bool:
        """Tell whether a set of labels meets every condition."""
        return all(requirement.meets(labels) for requirement in self.requirements)


def _requirement(part: str) -> Requirement:
    if match := _EQUALITY.fullmatch(part):
        name, operator, value = match.groups()
        return Requirement(name, frozenset({value}), operator == "!=")
    if match := _MEMBERSHIP.fullmatch(part):
        name, operator, inner = match.groups()
        values = frozenset(value.strip() for value in inner.split(","))
        if not all(re.fullmatch(_NAME, value) for value in values):
            raise SelectorError(f"a list of values was expected in {part!r}")
        return Requirement(name, values, operator != "in")
    if match := _EXISTENCE.fullmatch(part):
        return Requirement(match.group(2), frozenset(), match.group(1) == "!")
    raise SelectorError(f"a condition was expected, found {part!r}")
