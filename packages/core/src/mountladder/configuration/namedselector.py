# namedselector.py -- A selector that documents refer to by name
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A selector that documents refer to by name."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import ClassVar

from mountladder.configuration.document import Document
from mountladder.configuration.fields import Fields


@dataclass(frozen=True, slots=True)
class NamedSelector(Document):
    """A selector that documents refer to by name.

    Attributes:
        match: The selector's text.
    """

    kind: ClassVar[str] = "selector"
    match: str

    @classmethod
    def read(cls, fields: Fields) -> NamedSelector:
        """Parse a named selector from its table."""
        return cls(fields.text("name"), fields.labels("labels"), fields.text("match"))

    def table(self) -> dict[str, object]:
        """Return the table from which it can be parsed."""
        return asdict(self)
