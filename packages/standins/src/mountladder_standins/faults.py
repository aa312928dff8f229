# faults.py -- Faults that a stand-in shows on request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Faults that a stand-in shows on request."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from mountladder.configuration.fields import Fields
from mountladder.errors import DocumentError


@dataclass(frozen=True, slots=True)
class Faults:
    """What is wrong with a stand-in; all fields off by default.

    Attributes:
        down: Nothing is answered.
        slow_ms: Every call takes this much longer.
        lose_answers: The answers to so many coming calls are lost after they took effect.
        late_ms: The next transaction takes effect so much later, and its answer is lost.
        fail: So many coming calls fail.
        stall: Calls are taken and never answered.
        cut_after: Streams break off after so many tokens; 0 for never.
        garbage: Answers are malformed.
        repeat_event: Every token is sent twice.
        foreign: Answers carry another attempt's id.
        draining: New calls are refused, since the server is leaving.
        slowness: Calls take so many times longer.
        ignore_fencing: Orders with an old fencing number are carried out.
        most_writes: The most transactions a second; 0 for no limit.
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

    def without_one(self, name: str) -> Faults:
        """Return the faults with one of a counted kind used up."""
        return dataclasses.replace(self, **{name: getattr(self, name) - 1})
