# streamversion.py -- The software version at which one stream continues
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The software version at which one stream continues."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mountladder.code import Code
from mountladder.configuration.softwareversion import running_version
from mountladder.errors import MountladderError, RefusalError, StageError
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.retryrules import caller_error
from mountladder.forwarding.versionrules import check_version

if TYPE_CHECKING:
    from mountladder.forwarding.streamrun import StreamRun


class StreamVersion:
    """The software version of the server that began a stream, which its next servers must run.

    Args:
        run: The execution of the request.

    Attributes:
        required: The version, or None before the first event.
    """

    def __init__(self, run: StreamRun) -> None:
        self.run = run
        self.context = run.context
        self.directory = run.context.picker.directory
        self.required: str | None = None

    def find(self) -> None:
        """Find the version of a stream that its caller resumes.

        Raises:
            RefusalError: The version is not known, or no server runs it.
        """
        run, budgets = self.run, self.context.budgets
        origin = self.context.origins.find(run.request, run.tracked.fingerprint, run.service)
        if origin.service != run.service and run.route.leads_to(origin.service):
            budgets.of_requests(run.service).take_back()
            run.service = origin.service
            budgets.of_requests(run.service).earn()
        if origin.service == run.service:
            self.required = origin.version
            check_version(self.directory, run.service, self.required)

    def check(self, attempt: ForwardAttempt) -> str:
        """Return the version of the server that sends the events of an attempt.

        Raises:
            StageError: It is another one: the server has started again since it was chosen.
        """
        version = self.directory.current_version(attempt.choice.state.server)
        if self.required is not None and version != self.required:
            detail = f"the server runs version {version}, not {self.required}"
            raise StageError(detail, Code.SERVER_REPLACED)
        return version

    def settle(self, version: str) -> None:
        """Have the stream continue at a version from here on, in this answer and later ones."""
        self.required = version
        run = self.run
        if run.route.resumable:
            origins, fingerprint = self.context.origins, run.tracked.fingerprint
            origins.record(run.request, fingerprint, run.service, version)

    def is_alone(self, server: str) -> bool:
        """Return whether a server is the only one left that could continue the stream."""
        available = running_version(self.directory.available(self.run.service), self.required)
        return all(one.name in self.run.excluded | {server} for one in available)

    def error(self) -> MountladderError | None:
        """Return the error for the caller if no server of the version is left, or None."""
        try:
            check_version(self.directory, self.run.service, self.required)
        except RefusalError as error:
            return caller_error(self.run, error)
        return None
