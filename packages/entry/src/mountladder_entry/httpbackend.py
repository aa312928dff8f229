# httpbackend.py -- Calls backend servers over HTTP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Calls backend servers over HTTP."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator

import urllib3
from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.errors import StageError, WaitTimeoutError
from mountladder.membership.listener import split_address
from mountladder.requests.backend import Backend
from mountladder.requests.chunk import Chunk
from mountladder.requests.eventreader import EventReader
from mountladder.requests.silencewatch import SilenceWatch
from mountladder.requests.stagecall import StageCall
from mountladder.requests.stageresult import StageResult
from mountladder_entry.dialect import (
    ATTEMPT_HEADER,
    LOAD_HEADER,
    REFUSED_HEADER,
    call_path,
    cancel_path,
    dialect_of,
    requires_attempt,
)
from mountladder_entry.framing import is_framed
from mountladder_entry.timedpools import TimedPools

MS_PER_SECOND = 1000.0
CONNECT_SECONDS = 1.0
CANCEL_MS = 1_000.0
POOLS = 256
POOL_SIZE = 64
READ_BYTES = 65_536
MAX_RESULT_BYTES = 8 * 1024 * 1024
_NOT_SENT = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)


class HttpBackend(Backend):
    """Calls backend servers over HTTP, each answer matched with the attempt that asked for it.

    A connection is reused only after a whole answer. A call that must not be repeated has the
    server close its connection, since an idle one may have been closed unnoticed.

    Args:
        clock: The clock that times calls out.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.pool = TimedPools(num_pools=POOLS, maxsize=POOL_SIZE, retries=False)

    def run(self, server: BackendServer, call: StageCall) -> StageResult:
        """Run a stage and return its result; see Backend."""
        watch = SilenceWatch(call, self.clock)
        try:
            return self.run_watched(server, call, watch)
        finally:
            watch.stop()

    def run_watched(
        self, server: BackendServer, call: StageCall, watch: SilenceWatch
    ) -> StageResult:
        """Run a stage while its server is watched; see run."""
        response = self.open(server, call, watch, False)
        try:
            data = self.read(response, watch)
            if len(data) > MAX_RESULT_BYTES:
                raise StageError("a result is too long", Code.BAD_ANSWER)
            result = json.loads(data)
            if isinstance(result, (int, float)) and not is_framed(response):
                # Other JSON shows its end by itself.
                raise StageError("a number without a length may be incomplete", Code.STREAM_CUT)
        except (ValueError, RecursionError) as error:
            # Deeply nested JSON raises RecursionError.
            response.close()
            raise StageError(f"a result is not JSON: {error}", Code.BAD_ANSWER) from error
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return StageResult(data, _load(response))

    def stream(self, server: BackendServer, call: StageCall) -> Iterator[Chunk]:
        """Run a stage and yield its tokens; see Backend."""
        watch = SilenceWatch(call, self.clock)
        try:
            yield from self.stream_watched(server, call, watch)
        finally:
            watch.stop()

    def stream_watched(
        self, server: BackendServer, call: StageCall, watch: SilenceWatch
    ) -> Iterator[Chunk]:
        """Run a stage and yield its tokens while its server is watched; see stream."""
        reader = EventReader(call.tokens_held)
        response = self.open(server, call, watch, True)
        load = _load(response)
        parts = self.read_parts(response, call, watch)
        try:
            while not reader.ended:
                data = next(parts, b"")
                if not data:
                    raise StageError("the stream is incomplete", Code.STREAM_CUT)
                chunk = reader.feed(data, load)
                if chunk is not None:
                    yield chunk
        except BaseException:
            response.close()
            raise
        response.drain_conn()
        response.release_conn()

    def read_parts(
        self, response: urllib3.BaseHTTPResponse, call: StageCall, watch: SilenceWatch
    ) -> Iterator[bytes]:
        """Yield the parts of a stream's body as they arrive, while they arrive in time.

        The connection's limit is the deadline. The watch limits the time between two parts with one
        timer, which costs less than one for each of them.
        """
        body = response.stream(READ_BYTES)
        remaining_ms = call.deadline - self.clock.now()
        while remaining_ms > 0:
            try:
                with watch.waiting():
                    part = next(body, b"")
            except WaitTimeoutError as error:
                raise StageError("no data came in time", Code.STAGE_STALLED) from error
            except (urllib3.exceptions.HTTPError, OSError) as error:
                raise _read_error(error) from error
            watch.heard()
            yield part
            remaining_ms = call.deadline - self.clock.now()
        raise StageError("the deadline passed during the stream", Code.STAGE_STALLED)

    def open(
        self, server: BackendServer, call: StageCall, watch: SilenceWatch, stream: bool
    ) -> urllib3.BaseHTTPResponse:
        """Send a call and return the answer once its head is read and checked."""
        dialect = dialect_of(server)
        url = f"http://{server.address}{call_path(dialect, call)}"
        headers = self.headers(call, stream)
        remaining_ms = max(1.0, call.deadline - self.clock.now())
        timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=remaining_ms / MS_PER_SECOND)
        try:
            with watch.waiting():
                response = self.pool.request(
                    "POST",
                    url,
                    body=call.body,
                    headers=headers,
                    preload_content=False,
                    timeout=timeout,
                )
        except _NOT_SENT as error:
            raise StageError(f"{url}: cannot be reached", Code.CONNECT_FAILED, False) from error
        except (WaitTimeoutError, urllib3.exceptions.ReadTimeoutError, TimeoutError) as error:
            raise StageError(f"{url}: no answer in time", Code.STAGE_STALLED) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StageError(f"{url}: {error}", Code.STREAM_CUT) from error
        try:
            self.check(response, call, requires_attempt(dialect), url)
        except StageError:
            response.close()
            raise
        return response

    def headers(self, call: StageCall, stream: bool) -> dict[str, str]:
        """Return the headers of a call."""
        headers = {
            "Content-Type": "application/json",
            "Accept": "text/event-stream" if stream else "application/json",
            ATTEMPT_HEADER: call.attempt,
            "X-Deadline-Ms": str(max(1, int(call.deadline - self.clock.now()))),
            "X-Priority": str(call.priority),
        }
        if call.tokens_held:
            headers["Last-Event-ID"] = str(call.tokens_held)
        if not call.stage.idempotent:
            headers["Connection"] = "close"
        return headers

    def check(
        self, response: urllib3.BaseHTTPResponse, call: StageCall, attempt_required: bool, url: str
    ) -> None:
        """Check the head of an answer."""
        attempt = response.headers.get(ATTEMPT_HEADER)
        if attempt != call.attempt and (attempt_required or attempt is not None):
            detail = f"{url}: the answer is for attempt {attempt!r}"
            raise StageError(detail, Code.FOREIGN_ANSWER)
        refused = response.headers.get(REFUSED_HEADER)
        if response.status == 503 and refused == "draining":
            raise StageError(f"{url}: draining", Code.SERVER_REFUSED, False)
        if response.status == 503 and refused == "not-loaded":
            raise StageError(f"{url}: the model is not loaded", Code.MODEL_MISSING, False)
        if response.status == 503 and refused is not None:
            raise StageError(f"{url}: refused: {refused}", Code.STREAM_CUT, False)
        if response.status >= 500:
            raise StageError(f"{url}: status {response.status}", Code.BAD_ANSWER)
        if response.status != 200:
            raise StageError(f"{url}: status {response.status}", Code.STAGE_FAILED)

    def read(self, response: urllib3.BaseHTTPResponse, watch: SilenceWatch) -> bytes:
        """Read a whole body."""
        try:
            with watch.waiting():
                return response.read()
        except WaitTimeoutError as error:
            raise StageError("no data came in time", Code.STAGE_STALLED) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _read_error(error) from error

    def refuses(self, server: BackendServer) -> bool:
        """Return whether a server's address refuses connections; see Backend."""
        host, port = split_address(server.address)
        try:
            socket.create_connection((host, port), CONNECT_SECONDS).close()
        except ConnectionRefusedError:
            return True
        except OSError as error:
            log_message("server-unreachable", server=server.name, reason=repr(error))
        return False

    def cancel(self, server: BackendServer, attempt: str) -> None:
        """Ask a server to stop an attempt; see Backend."""
        cancel_target = cancel_path(dialect_of(server))
        if not cancel_target:
            return
        body = json.dumps({"attempt": attempt}).encode()
        try:
            with self.clock.time_limit(CANCEL_MS):
                self.pool.request(
                    "POST",
                    f"http://{server.address}{cancel_target}",
                    body=body,
                    timeout=CONNECT_SECONDS,
                )
        except (urllib3.exceptions.HTTPError, WaitTimeoutError, OSError):
            return

    def close(self) -> None:
        """Close every connection."""
        self.pool.clear()


def _read_error(error: Exception) -> StageError:
    if isinstance(error, (urllib3.exceptions.ReadTimeoutError, TimeoutError)):
        return StageError("no data came in time", Code.STAGE_STALLED)
    return StageError(f"reading the answer failed: {error}", Code.STREAM_CUT)


def _load(response: urllib3.BaseHTTPResponse) -> int | None:
    text = response.headers.get(LOAD_HEADER, "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 7 else None
