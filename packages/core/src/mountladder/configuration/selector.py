# selector.py -- Label selectors
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Label selectors."""

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
    """A conjunction of requirements for labels, such as "tier = new, region in (a, b), !old".

    Attributes:
        text: The selector as written.
        requirements: Its requirements, all of which must be met.
    """

    text: str
    requirements: tuple[Requirement, ...]

    @classmethod
    def parse(cls, text: str) -> Selector:
        """Parse a selector; an empty text matches everything.

        Raises:
            SelectorError: The text is not a valid selector.
        """
        if not text.strip():
            return cls(text, ())
        return cls(text, tuple(_requirement(part.strip()) for part in _SEPARATOR.split(text)))

    def meets(self, labels: Mapping[str, str]) -> bool:
        """Return whether labels meet all requirements."""
        return all(requirement.meets(labels) for requirement in self.requirements)


def _requirement(part: str) -> Requirement:
    if match := _EQUALITY.fullmatch(part):
        name, operator, value = match.groups()
        return Requirement(name, frozenset({value}), operator == "!=")
    if match := _MEMBERSHIP.fullmatch(part):
        name, operator, inner = match.groups()
        values = frozenset(value.strip() for value in inner.split(","))
        if not all(re.fullmatch(_NAME, value) for value in values):
            raise SelectorError(f"expected a list of values in {part!r}")
        return Requirement(name, values, operator != "in")
    if match := _EXISTENCE.fullmatch(part):
        return Requirement(match.group(2), frozenset(), match.group(1) == "!")
    raise SelectorError(f"expected a condition, found {part!r}")
