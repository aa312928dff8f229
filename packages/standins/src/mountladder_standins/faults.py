# faults.py -- Faults of a stand-in
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Faults of a stand-in."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from mountladder.configuration.fields import Fields
from mountladder.errors import DocumentError


@dataclass(frozen=True, slots=True)
class Faults:
    """The faults of a stand-in; none by default.

    Attributes:
        down: Nothing is answered.
        slow_ms: Every call takes this many milliseconds longer.
        lose_answers: For how many of the next calls the answer is lost after the call took effect.
        late_ms: The next transaction takes effect this many milliseconds later, and its answer is
            lost.
        fail: How many of the next calls fail.
        stall: Calls are accepted and never answered.
        cut_after: Streams break off after this many tokens; 0 for never.
        garbage: Answers are malformed.
        repeat_event: Every token is sent twice.
        foreign: Answers carry the id of another attempt.
        draining: New calls are refused because the server is leaving.
        slowness: The factor by which calls take longer.
        ignore_fencing: Orders with an outdated fencing number are carried out.
        most_writes: The maximum number of transactions a second; 0 for no limit.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: int = 0
    late_ms: float = 0.0
    fail: int = 0
    stall: bool = False
    cut_after: int = 0
    garbage: bool = False
    repeat_event: bool = False
    foreign: bool = False
    draining: bool = False
    slowness: float = 1.0
    ignore_fencing: bool = False
    most_writes: int = 0

    @classmethod
    def read(cls, table: object) -> Faults:
        """Read faults from a JSON table.

        Raises:
            DocumentError: The table is malformed.
        """
        fields = Fields(table, "faults", DocumentError)
        values = {}
        for field in dataclasses.fields(cls):
            if isinstance(field.default, bool):
                values[field.name] = fields.flag(field.name, field.default)
            else:
                number = fields.number(field.name, field.default)
                values[field.name] = type(field.default)(number)
        faults = fields.finish()
        if faults:
            raise faults[0]
        return cls(**values)

    def decremented(self, name: str) -> Faults:
        """Return the faults with a counted one, such as "fail", lowered by one."""
        return dataclasses.replace(self, **{name: getattr(self, name) - 1})
