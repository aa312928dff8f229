# pipeline.py -- A pipeline and its stages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A pipeline and its stages."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import ClassVar

from mountladder.configuration.document import Document
from mountladder.configuration.fields import Fields
from mountladder.configuration.stage import Stage

DEFAULT_DEADLINE_MS = 5_000.0
MAX_STAGES = 16


@dataclass(frozen=True, slots=True)
class Pipeline(Document):
    """A pipeline: its stages, default deadline and load shedding order.

    Attributes:
        deadline_ms: The default deadline of a request, in milliseconds.
        stages: Its stages, each after those it depends on.
        urgency: The order of load shedding: a lower number is shed later.
    """

    kind: ClassVar[str] = "pipeline"
    deadline_ms: float
    stages: tuple[Stage, ...]
    urgency: int

    @classmethod
    def read(cls, fields: Fields) -> Pipeline:
        """Parse a pipeline and its stages from its table."""
        return cls(
            name=fields.text("name"),
            labels=fields.labels("labels"),
            deadline_ms=fields.number("deadline_ms", DEFAULT_DEADLINE_MS, min_value=1),
            stages=_stages(fields),
            urgency=int(fields.number("urgency", 1)),
        )

    @property
    def idempotent(self) -> bool:
        """Return whether every stage may be run again."""
        return all(stage.idempotent for stage in self.stages)

    def table(self) -> dict[str, object]:
        """Return the table from which it can be parsed."""
        return {
            "name": self.name,
            "labels": self.labels,
            "deadline_ms": self.deadline_ms,
            "urgency": self.urgency,
            "stage": [stage.table() for stage in self.stages],
        }


def _stages(fields: Fields) -> tuple[Stage, ...]:
    tables = fields.typed_value("stage", list, "a list of tables", [])
    if not 1 <= len(tables) <= MAX_STAGES:
        fields.fault("stage", f"1 to {MAX_STAGES} stages", len(tables))
    stages: list[Stage] = []
    for table in tables:
        stages.append(_stage(fields, table, stages))
    for stage in stages[:-1]:
        if stage.stream:
            fields.fault(f"stage {stage.name}: stream", "false before the last stage", True)
    return tuple(stages)


def _stage(fields: Fields, table: Mapping[str, object], earlier: list[Stage]) -> Stage:
    location = f"{fields.location}: stage {len(earlier) + 1}"
    inner = Fields(table, location, fields.error)
    stage = Stage.read(inner, tuple(one.name for one in earlier[-1:]))
    names = {one.name for one in earlier}
    if stage.name in names:
        inner.fault("name", "a name of its own", stage.name)
    for name in stage.after:
        if name not in names:
            inner.fault("after", "an earlier stage", name)
    fields.faults.extend(inner.finish())
    return stage
