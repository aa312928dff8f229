# wiring.py -- Connects admission over the whole pipeline to the components of an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Connects admission over the whole pipeline to the components of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mountladder.admission.pipelineadmission import PipelineAdmission
from mountladder.forwarding.placementcoordinator import PlacementCoordinator

if TYPE_CHECKING:
    from mountladder.forwarding.forwardingcomponents import ForwardingComponents


def connect_admission(
    components: ForwardingComponents, coordinator: PlacementCoordinator
) -> PipelineAdmission:
    """Return the admission of an instance, which announces backlogs in its beacons.

    Args:
        components: The instance's components; stages must be connected already.
        coordinator: Places prompts on this instance.
    """
    return PipelineAdmission(
        components.fleet,
        coordinator,
        components.dispatch.backlogs,
        lambda: components.settings.admit_pipeline,
        components.metrics,
    )
