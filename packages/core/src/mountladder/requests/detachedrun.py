# detachedrun.py -- A run that continues after its caller disconnects
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A run that continues after its caller disconnects."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from gevent.event import Event
from gevent.pool import Group

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import MountladderError, RunError
from mountladder.requests.chunk import Chunk
from mountladder.requests.pipelinerun import PipelineRun


class DetachedRun:
    """Runs a pipeline in its own task and passes the chunks to a caller while one reads them.

    A request that must not be repeated is not cancelled when its caller disconnects or its
    deadline passes: its outcome is recorded for repeats with the same key.

    Args:
        run: The run.
        clock: The clock.
        on_finished: Called once the run finished, with its error or None.
        tasks: The group that the task is added to.
    """

    def __init__(
        self,
        run: PipelineRun,
        clock: Clock,
        on_finished: Callable[[MountladderError | None], None],
        tasks: Group,
    ) -> None:
        self.run = run
        self.clock = clock
        self.on_finished = on_finished
        self.chunks: list[Chunk] = []
        self.updated = Event()
        self.error: MountladderError | None = None
        self.task = tasks.spawn(self.execute)

    def execute(self) -> None:
        """Run the pipeline to completion."""
        try:
            for chunk in self.run.chunks():
                self.chunks.append(chunk)
                self.updated.set()
        except MountladderError as error:
            self.error = error
        except BaseException as error:
            self.error = RunError(f"{type(error).__name__}: {error}", Code.OUTCOME_UNKNOWN)
        finally:
            self.on_finished(self.error)
            self.updated.set()

    def read(self) -> Iterator[Chunk]:
        """Yield the chunks as they arrive, until the run finishes or the deadline passes.

        Raises:
            RunError: The run failed, or the deadline passed before its outcome was known.
        """
        deadline = self.run.request.deadline
        yielded = 0
        while True:
            self.updated.clear()
            while yielded < len(self.chunks):
                yield self.chunks[yielded]
                yielded += 1
            if self.task.ready():
                break
            if not self.clock.wait(self.updated, deadline - self.clock.now()):
                raise self.deadline_error()
        if self.error is not None:
            raise self.error

    def deadline_error(self) -> RunError:
        """Return the error for a caller whose deadline passed while the run continues."""
        if self.run.attempts.unrepeatable:
            detail = "the deadline passed; a repeat with the same key may get the answer"
            return RunError(detail, Code.OUTCOME_UNKNOWN, retry_after_ms=1_000.0)
        return RunError("", Code.DEADLINE_PASSED)
