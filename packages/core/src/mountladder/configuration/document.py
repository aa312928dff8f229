# document.py -- Base class of the documents of the configuration
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Base class of the documents of the configuration."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Document(ABC):
    """A named document, with one subclass for each kind.

    Attributes:
        name: The name, unique within the kind.
        labels: The labels assigned by operators.
    """

    kind: ClassVar[str] = ""
    name: str
    labels: dict[str, str]

    @property
    def key(self) -> str:
        """Return the kind and name, unique among all documents."""
        return f"{self.kind}/{self.name}"

    @abstractmethod
    def table(self) -> dict[str, object]:
        """Return the table from which the document can be parsed."""
