# charge.py -- One entry of the cost ledger
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One entry of the cost ledger."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Charge:
    """What time on backend servers is charged to.

    Attributes:
        team: The team.
        pipeline: The pipeline.
        stage: The stage.
        accelerator: The generation of accelerator that it ran on.
        use: "useful", or why the work was wasted: "late", "retried", "cancelled" or "failed".
    """

    team: str
    pipeline: str
    stage: str
    accelerator: str
    use: str
