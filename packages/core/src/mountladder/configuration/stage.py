# stage.py -- One stage of a pipeline
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One stage of a pipeline."""

from __future__ import annotations

from dataclasses import asdict, dataclass

from mountladder.configuration.fields import Fields

WORK_KINDS = ("encode", "retrieve", "rerank", "generate", "call")


@dataclass(frozen=True, slots=True)
class Stage:
    """One stage of a pipeline.

    Attributes:
        name: The stage's name, unique in its pipeline.
        work: The kind of work: encode, retrieve, rerank, generate, or call for a plain service.
        model: The required model, or an empty string.
        selector: A selector over backend servers, or the name of a selector document.
        after: The stages whose results it depends on.
        idempotent: Whether it may be run more than once.
        stream: Whether its result is streamed to the caller; at the last stage only.
        share: The fraction of the deadline it may use; 0 derives it from the learned times.
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
        """Parse a stage from its table; without "after" it depends on the previous stage."""
        return cls(
            name=fields.text("name"),
            work=fields.choice("work", WORK_KINDS),
            model=fields.text("model", ""),
            selector=fields.text("selector", ""),
            after=fields.texts("after", previous),
            idempotent=fields.flag("idempotent", True),
            stream=fields.flag("stream", False),
            share=fields.number("share", 0.0),
        )

    def table(self) -> dict[str, object]:
        """Return the table from which it can be parsed."""
        return asdict(self)
