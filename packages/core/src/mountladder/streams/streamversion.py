# streamversion.py -- The software version at which one stream continues
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The software version at which one stream continues."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mountladder.code import Code
from mountladder.configuration.softwareversion import UNVERIFIED_VERSION, running_version
from mountladder.errors import MountladderError, RefusalError, StageError
from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.retryrules import caller_error
from mountladder.forwarding.versionrules import NO_VERSION_RETRY_MS, check_version
from mountladder.streams.streambeginning import StreamBeginning
from mountladder.streams.streamorigin import stream_of

if TYPE_CHECKING:
    from mountladder.forwarding.streamrun import StreamRun


class StreamVersion:
    """The software version of the server that began a stream, which its next servers must run.

    Args:
        run: The execution of the request.

    Attributes:
        required: The version, or None before the first event.
        beginning: Which server began the stream, or None if it is not known or an earlier attempt
            began it.
        is_checked: Whether that server was asked for its start before its first event.
    """

    def __init__(self, run: StreamRun) -> None:
        self.run = run
        self.context = run.context
        self.directory = run.context.picker.directory
        self.starts = run.context.starts
        self.required: str | None = None
        self.beginning: StreamBeginning | None = None
        self.is_checked = False

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
        if origin.version == UNVERIFIED_VERSION:
            raise unverified_error()
        if origin.service == run.service:
            self.required = origin.version
            check_version(self.directory, run.service, self.required)
            if self.exclude_restarted():
                self.check_left()

    def exclude_restarted(self) -> bool:
        """Exclude the servers that are known to have started again; return whether there are any.

        Their entries name the version of before.
        """
        restarted = self.starts.restarted(self.directory.available(self.run.service))
        self.run.excluded |= restarted
        return bool(restarted)

    def check_left(self) -> None:
        """Check that a server of the version is left, apart from those that are excluded.

        Raises:
            MountladderError: There is none.
        """
        run = self.run
        if not self.context.picker.has_server(run.service, self.required, run.excluded):
            detail = f"version {self.required or 'unknown'} of {run.service}"
            raise caller_error(
                run,
                RefusalError(detail, Code.VERSION_UNAVAILABLE, retry_after_ms=NO_VERSION_RETRY_MS),
            )

    def check_start(self, attempt: ForwardAttempt) -> None:
        """Check, before a stream continues at a server, that it still runs the version.

        Raises:
            StageError: It may run another one, and was not sent the request.
            MountladderError: The same, and no other server of the version is left; or the version
                is not known.
        """
        server = attempt.choice.state.server
        if self.required is None:
            return
        if not self.is_verified():
            raise caller_error(self.run, unverified_error())
        if self.starts.may_try(server) and self.directory.current_version(server) == self.required:
            return
        self.run.excluded |= {server.name}
        self.check_left()
        raise StageError("the server may have started again", Code.SERVER_REPLACED, False)

    def check(self, attempt: ForwardAttempt) -> str:
        """Return the version of the server that sends the events of an attempt.

        Returns:
            The version, or UNVERIFIED_VERSION if the server may run another one than its entry
            says.

        Raises:
            StageError: It is another one: the server has started again since it was chosen.
        """
        server, is_verified = attempt.choice.state.server, True
        if self.required is not None:
            is_verified = self.starts.may_continue_at(server)
        elif self.may_continue(attempt):
            self.is_checked = self.starts.must_ask(server)
            is_verified = self.starts.is_as_listed(server)
        version = self.directory.current_version(server) if is_verified else UNVERIFIED_VERSION
        if self.required is not None and not (is_verified and version == self.required):
            detail = f"the server runs version {version}, not {self.required}"
            raise StageError(detail, Code.SERVER_REPLACED)
        return version

    def may_continue(self, attempt: ForwardAttempt) -> bool:
        """Return whether the stream may continue at another server, or does so here."""
        has_copy = attempt.picked.backup is not None
        return self.run.route.resumable or has_copy or self.required is not None

    def settle(self, attempt: ForwardAttempt, version: str) -> None:
        """Have the stream continue at a version from here on, in this answer and later ones."""
        is_first = self.required is None and version != UNVERIFIED_VERSION
        # A server that was asked may have left by the time of a second question.
        is_checked_later = is_first and not self.is_checked and self.may_continue(attempt)
        self.required = version
        run, origins = self.run, self.context.origins
        fingerprint = run.tracked.fingerprint
        if run.route.resumable:
            origins.record(run.request, fingerprint, run.service, version)
        if is_checked_later:
            stream = stream_of(run.request, fingerprint)
            self.beginning = origins.beginnings.add(stream, attempt.choice.state.server)

    def is_verified(self) -> bool:
        """Return whether the server that began the stream ran the version that is required."""
        if self.required == UNVERIFIED_VERSION:
            return False
        return self.beginning is None or self.context.origins.beginnings.check(self.beginning)

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


def unverified_error() -> RefusalError:
    """Return the error for a stream whose first server may have run another version."""
    return RefusalError("the server that began the stream was not known", Code.STREAM_UNKNOWN)
