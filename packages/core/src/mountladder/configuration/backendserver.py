# backendserver.py -- A backend server and its labels
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A backend server and its labels."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import ClassVar

from mountladder.configuration.document import Document
from mountladder.configuration.fields import Fields

SERVER_KINDS = ("engine", "service")


@dataclass(frozen=True, slots=True)
class BackendServer(Document):
    """A backend server, with its location, price, capacity and models.

    Attributes:
        serves: "engine" for a model engine, "service" for a plain service.
        address: Its IP number and port.
        datacentre: Its data centre.
        accelerator: The generation of its accelerator, or an empty string.
        price: The cost of one second of its time, in the operator's unit.
        slots: The number of calls it can run concurrently without queueing.
        draining: Whether it receives no new work.
        models: The models it serves; if empty, every model whose selector it matches.
    """

    kind: ClassVar[str] = "server"
    serves: str
    address: str
    datacentre: str
    accelerator: str
    price: float
    slots: int
    draining: bool
    models: tuple[str, ...]

    @classmethod
    def read(cls, fields: Fields) -> BackendServer:
        """Parse a backend server from its table."""
        return cls(
            name=fields.text("name"),
            labels=fields.labels("labels"),
            serves=fields.choice("serves", SERVER_KINDS, "engine"),
            address=fields.text("address"),
            datacentre=fields.text("datacentre"),
            accelerator=fields.text("accelerator", ""),
            price=fields.number("price", 1.0),
            slots=int(fields.number("slots", 8, min_value=1)),
            draining=fields.flag("draining", False),
            models=fields.texts("models"),
        )

    def table(self) -> dict[str, object]:
        """Return the table from which it can be parsed."""
        return asdict(self)

    def all_labels(self) -> dict[str, str]:
        """Return its labels and the built-in labels that selectors may refer to."""
        built_in = {
            "name": self.name,
            "datacentre": self.datacentre,
            "accelerator": self.accelerator,
            "serves": self.serves,
        }
        return {**built_in, **self.labels}
