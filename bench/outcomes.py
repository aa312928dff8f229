# outcomes.py -- Figures of benchmarks, their bounds and their output
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Figures of benchmarks, their bounds and their output."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from pathlib import Path

OUT = Path(__file__).parent / "out"


@dataclass(frozen=True)
class Figure:
    """A measured value and its bounds.

    Attributes:
        name: What was measured.
        value: The value.
        unit: Its unit.
        most: Its upper bound, or None.
        least: Its lower bound, or None.
    """

    name: str
    value: float
    unit: str
    most: float | None = None
    least: float | None = None

    @property
    def is_within_bounds(self) -> bool:
        return (self.most is None or self.value <= self.most) and (
            self.least is None or self.value >= self.least
        )

    def format_row(self) -> str:
        bounds = [f"at most {self.most:g}"] if self.most is not None else []
        bounds += [f"at least {self.least:g}"] if self.least is not None else []
        mark = "ok  " if self.is_within_bounds else "FAIL"
        return f"{mark} {self.name:<64} {self.value:>10.4g} {self.unit:<12} {', '.join(bounds)}"


def write(name: str, figures: list[Figure]) -> None:
    """Write the figures of one benchmark as JSON."""
    OUT.mkdir(exist_ok=True)
    text = json.dumps([asdict(one) for one in figures], indent=1)
    (OUT / f"{name}.json").write_text(text + "\n")
