# fits.py -- Linear fits of measured values
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Linear fits of measured values."""

from __future__ import annotations

import statistics
from dataclasses import dataclass

from outcomes import Figure


@dataclass(frozen=True)
class Fit:
    """A straight line through measured points.

    Attributes:
        name: What was measured.
        unit: The unit of the values.
        of: The unit of the sizes.
        sizes: The sizes, such as numbers of servers.
        values: The measured value at each size.
    """

    name: str
    unit: str
    of: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def line(self):
        return statistics.linear_regression(self.sizes, self.values)

    @property
    def residual(self) -> float:
        """The largest distance of a point from the line, as a fraction of the largest value."""
        distances = [abs(y - self.predict(x)) for x, y in zip(self.sizes, self.values)]
        return max(distances) / max(map(abs, self.values))

    def predict(self, size: float) -> float:
        return self.line.intercept + self.line.slope * size

    def figures(self, max_at: tuple[float, float] | None = None) -> list[Figure]:
        points = [
            Figure(f"{self.name}, {size:g} {self.of}", value, self.unit)
            for size, value in zip(self.sizes, self.values)
        ]
        points.append(Figure(f"{self.name}: slope", self.line.slope, f"{self.unit}/{self.of}"))
        points.append(Figure(f"{self.name}: intercept", self.line.intercept, self.unit))
        points.append(Figure(f"{self.name}: residual", self.residual, "share", most=0.35))
        if max_at is not None:
            size, max_value = max_at
            name = f"{self.name}, worked out for {size:g} {self.of}"
            points.append(Figure(name, self.predict(size), self.unit, most=max_value))
        return points
