# stage.py -- One stage of a pipeline
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One stage of a pipeline."""

from __future__ import annotations

from dataclasses import asdict, dataclass

from mountladder.configuration.fields import Fields

WORKS = ("encode", "retrieve", "rerank", "generate", "call")


@dataclass(frozen=True, slots=True)
class Stage:
    """One stage of a pipeline.

    Attributes:
        name: The stage's name, unique in its pipeline.
        work: The kind of work: encode, retrieve, rerank, generate, or call for a plain service.
        model: The model it needs, or an empty string.
        selector: A selector over backend servers, or the name of a selector document.
        after: The stages whose results it needs.
        idempotent: Whether it may be run again.
        stream: Whether its result is streamed to the caller; at the last stage only.
        share: Its share of the deadline; 0 leaves it to the learnt cost.
    """

    name: str
    work: str
    model: str
    selector: str
    after: tuple[str, ...]
    idempotent: bool
    stream: bool
    share: float

    @classmethod
    def read(cls, fields: Fields, previous: tuple[str, ...]) -> Stage:
        """Read a stage from its table; without "after" it follows the stage before it."""
        return cls(
            name=fields.text("name"),
            work=fields.choice("work", WORKS),
            model=fields.text("model", ""),
            selector=fields.text("selector", ""),
            after=fields.texts("after", previous),
            idempotent=fields.flag("idempotent", True),
            stream=fields.flag("stream", False),
            share=fields.number("share", 0.0),
        )

    def table(self) -> dict[str, object]:
        """Return the table it is read from."""
        return asdict(self)
