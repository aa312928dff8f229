# submission.py -- A stage that was handed to a batcher, here or on another instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A stage that was handed to a batcher, here or on another instance."""

from __future__ import annotations

from mountladder.forwarding.jobprogress import Done, JobProgress
from mountladder.forwarding.stagejob import StageJob


class Submission:
    """A stage that was handed to the batcher of this instance or of another one.

    Args:
        number: Its number on this instance.
        job: The pieces.
        done: Called with their results.

    Attributes:
        assignee: The address of the instance that runs it, or an empty string for this one.
        lent: Whether that instance is the coordinator of another data centre.
        reassigned: Whether it was reassigned from another instance, which may have begun it.
        progress: Its progress if it runs here, or None.
    """

    def __init__(self, number: int, job: StageJob, done: Done) -> None:
        self.number = number
        self.job = job
        self.done = done
        self.assignee = ""
        self.lent = False
        self.reassigned = False
        self.progress: JobProgress | None = None
