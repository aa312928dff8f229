# stageplan.py -- Execution order and time budgets of stages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Execution order and time budgets of stages."""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.configuration.pipeline import Pipeline
from mountladder.configuration.stage import Stage
from mountladder.routing.costmodel import CostModel

# The quantile of a stage's observed times by which the remaining time is split among stages.
QUANTILE = 0.9


def levels(stages: Sequence[Stage]) -> list[list[Stage]]:
    """Return the stages in groups; stages of a group depend only on those of earlier groups."""
    depth: dict[str, int] = {}
    for stage in stages:
        depth[stage.name] = 1 + max((depth[name] for name in stage.after), default=-1)
    groups: list[list[Stage]] = [[] for _ in range(max(depth.values(), default=-1) + 1)]
    for stage in stages:
        groups[depth[stage.name]].append(stage)
    return groups


def weight(cost_model: CostModel, pipeline: Pipeline, stage: Stage) -> float:
    """Return a stage's weight in the split of the remaining time.

    It is the configured share of the pipeline's deadline, in milliseconds, or else a high
    quantile of the observed times of the stage.
    """
    if stage.share > 0:
        return stage.share * pipeline.deadline_ms
    histogram = cost_model.histograms.get((pipeline.name, stage.name))
    if histogram is None:
        return cost_model.min_expected(stage, 0)
    return histogram.quantile(QUANTILE)


def stage_budget(
    cost_model: CostModel,
    pipeline: Pipeline,
    stage: Stage,
    remaining_stages: Sequence[Stage],
    remaining_ms: float,
) -> float:
    """Return the time budget of a stage, in milliseconds.

    Args:
        cost_model: The learned durations of stages.
        pipeline: The pipeline.
        stage: The stage about to run.
        remaining_stages: The stages not yet run, this one included.
        remaining_ms: The time until the deadline.
    """
    total = sum(weight(cost_model, pipeline, one) for one in remaining_stages)
    own = weight(cost_model, pipeline, stage)
    return remaining_ms * own / total if total > 0 else remaining_ms
