# charge.py -- Key by which cost is accumulated
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Key by which cost is accumulated."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Charge:
    """Key by which the cost of time on backend servers is accumulated.

    Attributes:
        team: The team.
        pipeline: The pipeline.
        stage: The stage.
        accelerator: The generation of the accelerator; the kind of server if it has none.
        use: "useful", or why the work was wasted: "late", "retried", "cancelled" or "failed".
    """

    team: str
    pipeline: str
    stage: str
    accelerator: str
    use: str
