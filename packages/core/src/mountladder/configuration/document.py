# document.py -- One document of the operators' configuration
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One document of the operators' configuration."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Document(ABC):
    """A named document; its kind is fixed by its class.

    Attributes:
        name: The name, unique within the kind.
        labels: The labels an operator gave it.
    """

    kind: ClassVar[str] = ""
    name: str
    labels: dict[str, str]

    @property
    def key(self) -> str:
        """Return the kind and name, unique over all documents."""
        return f"{self.kind}/{self.name}"

    @abstractmethod
    def table(self) -> dict[str, object]:
        """Return the document as the table it is read from."""
