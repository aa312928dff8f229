# localbackend.py -- Calls to stand-in servers in the same process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Calls to stand-in servers in the same process."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.errors import StageError, WaitTimeoutError
from mountladder.requests.backend import Backend
from mountladder.requests.chunk import Chunk
from mountladder.requests.eventreader import EventReader
from mountladder.requests.silencewatch import SilenceWatch
from mountladder.requests.stagecall import StageCall
from mountladder.requests.stageresult import StageResult
from mountladder_standins.servererror import (
    ServerCrashedError,
    ServerFailureError,
    ServerRefusalError,
)
from mountladder_standins.standinserver import NOT_LOADED, StandinServer

_FAILURES = (ServerCrashedError, ServerFailureError, ServerRefusalError, WaitTimeoutError)


class LocalBackend(Backend):
    """Calls stand-ins directly, in place of HTTP.

    Args:
        servers: The stand-ins by the server's name.
        clock: The clock.
    """

    def __init__(self, servers: Mapping[str, StandinServer], clock: Clock) -> None:
        self.servers = servers
        self.clock = clock

    def run(self, server: BackendServer, call: StageCall) -> StageResult:
        """Run a stage; see Backend."""
        standin = self.find_standin(server)
        work = call.stage.work if server.serves == "engine" else call.stage.name
        watch = SilenceWatch(call, self.clock)
        try:
            with watch.waiting():
                value = standin.run(work, call.attempt, call.body)
        except _FAILURES as error:
            raise _stage_error(error) from error
        finally:
            watch.stop()
        self.apply_faults(standin, value)
        return StageResult(value, standin.reported_load())

    def stream(self, server: BackendServer, call: StageCall) -> Iterator[Chunk]:
        """Run a stage and yield its tokens; see Backend."""
        standin = self.find_standin(server)
        self.apply_faults(standin, b"")
        reader = EventReader(call.tokens_held)
        events = standin.stream(call.attempt, call.body, call.tokens_held)
        watch = SilenceWatch(call, self.clock)
        try:
            while not reader.ended:
                with watch.waiting():
                    event = next(events, b"")
                if not event:
                    raise StageError("the stream broke off before its last event", Code.STREAM_CUT)
                chunk = reader.feed(event, standin.reported_load())
                if chunk is not None:
                    watch.heard()
                    yield chunk
        except _FAILURES as error:
            raise _stage_error(error) from error
        finally:
            watch.stop()
            events.close()

    def find_standin(self, server: BackendServer) -> StandinServer:
        """Return the stand-in of a server.

        Raises:
            StageError: The server does not exist or is down.
        """
        standin = self.servers.get(server.name)
        if standin is None or standin.faults.down:
            raise StageError(f"{server.name}: cannot be reached", Code.CONNECT_FAILED, False)
        return standin

    def apply_faults(self, standin: StandinServer, value: bytes) -> None:
        """Apply the faults of a connection.

        Raises:
            StageError: The answer is lost, malformed or another attempt's.
        """
        faults = standin.faults
        if faults.foreign:
            raise StageError("the answer is for another attempt", Code.FOREIGN_ANSWER)
        if value and faults.garbage:
            raise StageError("a result is not JSON", Code.BAD_ANSWER)
        if value and faults.lose_answers:
            standin.faults = faults.decremented("lose_answers")
            raise StageError("the answer was lost", Code.STREAM_CUT)

    def refuses(self, server: BackendServer) -> bool:
        """Return whether a server's address refuses connections; see Backend."""
        standin = self.servers.get(server.name)
        return standin is None or standin.faults.down

    def cancel(self, server: BackendServer, attempt: str) -> None:
        """Cancel an attempt on a server; see Backend."""
        standin = self.servers.get(server.name)
        if standin is not None:
            standin.cancel(attempt)


def _stage_error(error: Exception) -> StageError:
    if isinstance(error, ServerRefusalError):
        code = Code.MODEL_MISSING if str(error) == NOT_LOADED else Code.SERVER_REFUSED
        return StageError(str(error), code, False)
    if isinstance(error, ServerCrashedError):
        return StageError(str(error), Code.STREAM_CUT)
    if isinstance(error, WaitTimeoutError):
        return StageError("no answer in time", Code.STAGE_STALLED)
    return StageError(str(error), Code.BAD_ANSWER)
