# stageplan.py -- The order of stages and the time each may take
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The order of stages and the time each may take."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.configuration.pipeline import Pipeline
from mountladder.configuration.stage import Stage
from mountladder.routing.costmodel import CostModel

QUANTILE = 0.9


def levels(stages: Sequence[Stage]) -> list[list[Stage]]:
    """Return the stages in groups; the stages of a group need only those of earlier groups."""
    depth: dict[str, int] = {}
    for stage in stages:
        depth[stage.name] = 1 + max((depth[name] for name in stage.after), default=-1)
    groups: list[list[Stage]] = [[] for _ in range(max(depth.values(), default=-1) + 1)]
    for stage in stages:
        groups[depth[stage.name]].append(stage)
    return groups


def weight(costs: CostModel, pipeline: Pipeline, stage: Stage) -> float:
    """Return a stage's weight in the split of the remaining time.

    It is the share of the pipeline's deadline that its operator set, in milliseconds, or else a
    high quantile of the time that the stage was seen to take.
    """
    if stage.share > 0:
        return stage.share * pipeline.deadline_ms
    histogram = costs.histograms.get((pipeline.name, stage.name))
    if histogram is None:
        return costs.least_expected(stage, 0)
    return histogram.quantile(QUANTILE)


def stage_budget(
    costs: CostModel, pipeline: Pipeline, stage: Stage, left: Sequence[Stage], remaining_ms: float
) -> float:
    """Return the part of the remaining time that a stage may take.

    Args:
        costs: The learnt times.
        pipeline: The pipeline.
        stage: The stage about to run.
        left: The stages not yet run, this one included.
        remaining_ms: The time to the deadline.
    """
    total = sum(weight(costs, pipeline, one) for one in left)
    own = weight(costs, pipeline, stage)
    return remaining_ms * own / total if total > 0 else remaining_ms
