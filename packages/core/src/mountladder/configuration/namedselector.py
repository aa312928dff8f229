# namedselector.py -- A selector that several documents share
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A selector that several documents share."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import ClassVar

from mountladder.configuration.document import Document
from mountladder.configuration.fields import Fields


@dataclass(frozen=True, slots=True)
class NamedSelector(Document):
    """A selector with a name.

    Attributes:
        match: The selector's text.
    """

    kind: ClassVar[str] = "selector"
    match: str

    @classmethod
    def read(cls, fields: Fields) -> NamedSelector:
        """Read a named selector from its table."""
        return cls(fields.text("name"), fields.labels("labels"), fields.text("match"))

    def table(self) -> dict[str, object]:
        """Return the table it is read from."""
        return asdict(self)
