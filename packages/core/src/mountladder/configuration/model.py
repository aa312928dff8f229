# model.py -- A model that engines serve
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A model that engines serve."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import ClassVar

from mountladder.configuration.document import Document
from mountladder.configuration.fields import Fields


@dataclass(frozen=True, slots=True)
class Model(Document):
    """A model, its version and the backend servers that should load it.

    Attributes:
        version: The version that engines should serve.
        adapters: The adapters that may be loaded for it.
        selector: A selector that every backend server running it must match.
        replicas: The number of backend servers per data centre that should load it; 0 sends no
            orders for it.
    """

    kind: ClassVar[str] = "model"
    version: str
    adapters: tuple[str, ...]
    selector: str
    replicas: int

    @classmethod
    def read(cls, fields: Fields) -> Model:
        """Parse a model from its table."""
        return cls(
            name=fields.text("name"),
            labels=fields.labels("labels"),
            version=fields.text("version", "1"),
            adapters=fields.texts("adapters"),
            selector=fields.text("selector", ""),
            replicas=int(fields.number("replicas", 0)),
        )

    def table(self) -> dict[str, object]:
        """Return the table from which it can be parsed."""
        return asdict(self)
