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
    """A model.

    Attributes:
        version: The version that engines are to serve.
        adapters: The adapters that may be loaded on top of it.
        selector: A selector that every backend server running it must meet.
        replicas: How many backend servers each data centre should load it on; 0 leaves it alone.
    """

    kind: ClassVar[str] = "model"
    version: str
    adapters: tuple[str, ...]
    selector: str
    replicas: int

    @classmethod
    def read(cls, fields: Fields) -> Model:
        """Read a model from its table."""
        return cls(
            name=fields.text("name"),
            labels=fields.labels("labels"),
            version=fields.text("version", "1"),
            adapters=fields.texts("adapters"),
            selector=fields.text("selector", ""),
            replicas=int(fields.number("replicas", 0)),
        )

    def table(self) -> dict[str, object]:
        """Return the table it is read from."""
        return asdict(self)
