# localupstream.py -- In-memory backend servers of the forwarding instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""In-memory backend servers of the forwarding instances."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from functools import partial

from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.errors import StageError
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.piece import Piece
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.upstream import Upstream
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder.notices.backoff import BackOff
from mountladder.notices.leaving import Leaving
from mountladder.notices.notice import Notice, NoticeHandler
from mountladder.notices.ratelimit import UNLIMITED, RateLimit
from mountladder.notices.rejectionlimit import RejectionLimit
from mountladder_standins.fragileservers import FragileServers
from mountladder_standins.localanswer import SILENCE_POLL_MS, LocalAnswer
from mountladder_standins.piececall import PieceCall
from mountladder_standins.serverfault import ServerFault

WORK_MS = 40.0
EVENT_MS = 10.0
EVENTS = 6
CALL_MS = 150.0
PIECE_MS = 10.0
START_CHECK_MS = 1.0
SLOW_FACTOR = 5.0
_REFUSALS = {
    ServerFault.UNREACHABLE: Code.CONNECT_FAILED,
    ServerFault.FULL: Code.SERVER_FULL,
    ServerFault.REPLACED: Code.SERVER_REPLACED,
}


class LocalUpstream(Upstream):
    """Backend servers in this process, with faults that can be set.

    Args:
        clock: The clock that they work on.

    Attributes:
        faults: The fault of each faulty server, by its name.
        runs: The servers that ran each request, by the request's id.
        arrivals: The servers that each request was sent to, by the request's id.
        piece_calls: The calls with pieces.
        released: The handles of the released results.
        answers: The answers that were returned.
        tokens_per_ms: How fast prompts are read; None if every request takes the same time.
        crash_after_ms: After how many milliseconds a server that works on a request crashes, by
            the request's body or the id of a part of its prompt; or on a piece, by its key.
        late_crash_ms: How long after its first event a server that answers a request crashes, in
            milliseconds, by the id of a part of the request's prompt.
        without_end: The prompt parts whose answers end with their connection, which a crash between
            two events looks like.
        event_ms: The time between the events of a stream, in milliseconds.
        crashed: The names of the crashed servers, in order; they refuse connections.
        silent_crashes: Whether crashed servers do not answer probes, in place of refusing them.
        on_crashed: Called with each server that a request crashed.
        limits: The rate limit that servers announce, in requests a second, by name.
        leaving: The names of servers that announce in their answers that they are leaving.
        refuse_every: A server refuses one of this many requests, by name.
        backoff_ms: The back-off that servers announce in a refusal, in milliseconds, by name.
        reported_cold_ms: How much longer servers are cold by their health checks, in milliseconds,
            by name; servers that are missing do not answer.
        health_checks: The names of the servers that were asked for their health, in order.
        started_at_ms: When servers started by their reports, in milliseconds since 1970, by their
            addresses; servers that are missing do not answer.
        start_checks: The addresses of the servers that were asked when they started, in order.
        copies: The copies of requests' caches, as the address of their server and the request's id.
        without_copies: The names of servers that have no room for copies.
        freed_copies: The copies that were freed by request, in order.
        continued: The name of the server and the call of each request that continued from a copy.
        silent: The names of servers that are silent: they accept requests, send neither answers nor
            events, and go on where they were once they are not silent any more.
        unreachable: The names of servers to which no connection can be opened any more.
        fragile: Servers that crash if they reject many requests.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.faults: dict[str, ServerFault] = {}
        self.runs: dict[str, list[str]] = defaultdict(list)
        self.arrivals: dict[str, list[str]] = defaultdict(list)
        self.piece_calls: list[PieceCall] = []
        self.released: list[str] = []
        self.answers: list[LocalAnswer] = []
        self.numbers = itertools.count(1)
        self.tokens_per_ms: float | None = None
        self.crash_after_ms: dict[bytes | str, float] = {}
        self.late_crash_ms: dict[str, float] = {}
        self.without_end: set[str] = set()
        self.event_ms = EVENT_MS
        self.crashed: list[str] = []
        self.silent_crashes = False
        self.on_crashed: Callable[[BackendServer], None] = lambda server: None
        self.limits: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.refuse_every: dict[str, int] = {}
        self.backoff_ms: dict[str, float] = {}
        self.reported_cold_ms: dict[str, float] = {}
        self.health_checks: list[str] = []
        self.started_at_ms: dict[str, int] = {}
        self.start_checks: list[str] = []
        self.copies: set[tuple[str, str]] = set()
        self.without_copies: set[str] = set()
        self.freed_copies: list[tuple[str, str]] = []
        self.continued: list[tuple[str, ForwardCall]] = []
        self.silent: set[str] = set()
        self.unreachable: set[str] = set()
        self.fragile = FragileServers(clock)

    def open(self, server: BackendServer, call: ForwardCall, limit_ms: float) -> UpstreamAnswer:
        """Run a request; see Upstream."""
        fault = self.faults.get(server.name)
        sent_at = self.clock.now()
        self.arrivals[call.request.id].append(server.name)
        self.check_connection(server)
        shut_down = Event()
        call.connected(shut_down.set)
        self.check_refusal(server, call.on_notices)
        self.check_copy(server, call)
        self.check_room(server, call.on_notices)
        self.runs[call.request.id].append(server.name)
        if fault is ServerFault.SILENT:
            self.clock.wait(shut_down, limit_ms)
            raise StageError("", Code.STAGE_STALLED)
        with self.fragile.request(server.name):
            self.work(server, self.work_ms(call), _contents(call.request))
        self.wait_until_heard(server, shut_down, sent_at + limit_ms)
        if fault is ServerFault.RESET:
            raise StageError("", Code.STREAM_CUT)
        call.on_notices(server, self.notices(server), sent_at)
        answer = self.answer(server, call, fault)
        answer.headers = (("X-Server", server.name),)
        answer.shut_down = shut_down
        self.answers.append(answer)
        self.crash_late(server, call)
        return answer

    def crash_late(self, server: BackendServer, call: ForwardCall) -> None:
        """Crash a server some time after the first event of an answer, if a part does that."""
        contents = _contents(call.request)
        for ms in [ms for part, ms in self.late_crash_ms.items() if part in contents]:
            self.clock.call_later(self.event_ms + ms, lambda: self.crash(server))

    def wait_until_heard(self, server: BackendServer, shut_down: Event, until: float) -> None:
        """Wait while a server is silent.

        Raises:
            StageError: It is silent for too long, or this side has broken the connection.
        """
        while server.name in self.silent and not shut_down.is_set():
            if self.clock.now() >= until:
                raise StageError("no answer in time", Code.STAGE_STALLED)
            self.clock.wait(shut_down, min(SILENCE_POLL_MS, until - self.clock.now()))
        if shut_down.is_set():
            raise StageError("the connection was shut down", Code.STREAM_CUT)

    def check_copy(self, server: BackendServer, call: ForwardCall) -> None:
        """Keep the copy that a request asks for, and look for the one that it continues from.

        Raises:
            StageError: The server does not have the copy.
        """
        if call.backup:
            self.copies.add((call.backup, call.request.id))
        if not call.copy:
            return
        self.continued.append((server.name, call))
        address, _, id_ = call.copy.rpartition("/")
        has_copy = (address, id_) in self.copies and server.name not in self.without_copies
        if address != server.address or not has_copy:
            raise StageError("the server has no copy", Code.SERVER_FULL, False)

    def reaches(self, server: BackendServer) -> bool:
        """Return whether a connection to a server can be opened; see Upstream."""
        if self.fragile.is_down(server.name):
            return False
        return not self.has_crashed(server) and server.name not in self.unreachable

    def free_copy(self, server: BackendServer, request: str, on_notices: NoticeHandler) -> None:
        """Free the copy of a request's cache; see Upstream."""
        self.freed_copies.append((server.name, request))

    def notices(self, server: BackendServer) -> tuple[Notice, ...]:
        """Return the notices that a server's answers carry."""
        limit = RateLimit(self.limits.get(server.name, UNLIMITED))
        per_s = self.fragile.max_rejections.get(server.name, UNLIMITED)
        notices = (limit, RejectionLimit(per_s))
        return (*notices, Leaving()) if server.name in self.leaving else notices

    def check_refusal(self, server: BackendServer, on_notices: NoticeHandler) -> None:
        """Refuse a request if the server's faults say so.

        Raises:
            StageError: The request is refused.
        """
        fault = self.faults.get(server.name)
        every = self.refuse_every.get(server.name)
        if every and next(self.numbers) % every == 0:
            fault = ServerFault.FULL
        if fault is ServerFault.FULL:
            leaving = (Leaving(),) if server.name in self.leaving else ()
            backoff_ms = self.backoff_ms.get(server.name, 0.0)
            backoff = (BackOff(backoff_ms),) if backoff_ms else ()
            on_notices(server, leaving + backoff, self.clock.now())
        if fault in _REFUSALS:
            raise StageError("", _REFUSALS[fault], False)

    def check_room(self, server: BackendServer, on_notices: NoticeHandler) -> None:
        """Send the notices of a server that is about to reject a request for lack of room."""
        if self.fragile.is_full(server.name):
            on_notices(server, self.notices(server)[1:], self.clock.now())

    def work_ms(self, call: ForwardCall) -> float:
        """Return the time from a request to the start of its answer, in milliseconds."""
        prompt = call.request.prompt
        if self.tokens_per_ms is None or prompt is None:
            return WORK_MS
        return WORK_MS + prompt.tokens / self.tokens_per_ms

    def work(self, server: BackendServer, ms: float, contents: Sequence[bytes | str]) -> None:
        """Work for a time, unless the work crashes the server before.

        Args:
            server: The server.
            ms: The time in milliseconds.
            contents: The request body or the keys of pieces that are worked on.

        Raises:
            StageError: The server has crashed.
        """
        crash_ms = min((self.crash_after_ms.get(one, ms) for one in contents), default=ms)
        self.clock.sleep(min(ms, crash_ms))
        if any(one in self.crash_after_ms for one in contents):
            self.crash(server)
        if self.has_crashed(server):
            raise StageError("the server has crashed", Code.STREAM_CUT)

    def crash(self, server: BackendServer) -> None:
        """Crash a server, which breaks all its connections."""
        if not self.has_crashed(server):
            self.crashed.append(server.name)
            self.on_crashed(server)

    def cold_ms(self, server: BackendServer, health_path: str, limit_ms: float) -> float | None:
        """Return how much longer a server is cold by its health check; see Upstream."""
        self.health_checks.append(server.name)
        return self.reported_cold_ms.get(server.name)

    def started_at(self, server: BackendServer, limit_ms: float) -> int | None:
        """Return when the server at a server's address started; see Upstream."""
        self.start_checks.append(server.address)
        self.clock.sleep(min(limit_ms, START_CHECK_MS))
        return self.started_at_ms.get(server.address) if self.reaches(server) else None

    def check_connection(self, server: BackendServer) -> None:
        """Refuse a connection if the server has crashed.

        Raises:
            StageError: The server has crashed.
        """
        is_down = self.has_crashed(server) or self.fragile.is_down(server.name)
        if is_down or server.name in self.unreachable:
            raise StageError("connection refused", Code.CONNECT_FAILED, False)

    def refuses(self, server: BackendServer, limit_ms: float = math.inf) -> bool:
        """Return whether a server's address refuses connections; see Upstream."""
        return self.has_crashed(server) and not self.silent_crashes

    def has_crashed(self, server: BackendServer) -> bool:
        """Return whether a server has crashed."""
        return server.name in self.crashed

    def answer(
        self, server: BackendServer, call: ForwardCall, fault: ServerFault | None
    ) -> LocalAnswer:
        """Return the answer to a request that ran."""
        signed = fault is not ServerFault.UNSIGNED
        if fault is ServerFault.ERROR:
            return LocalAnswer(self.clock, 500, True, [b"failed"])
        if call.request.method == "POST" and call.request.prompt is not None:
            first = int(call.last_event_id or 0) + 1
            events = [b"id: %d\ndata: x\n\n" % n for n in range(first, EVENTS + 1)]
            if fault is ServerFault.CUT:
                events = [events[0], events[1] + b"id: 3\nda"]
            cut = fault is ServerFault.CUT
            has_crashed = partial(self.has_crashed, server)
            is_silent = partial(self.silent.__contains__, server.name)
            answer = LocalAnswer(
                self.clock, 200, signed, events, self.event_ms, cut, has_crashed, is_silent
            )
            answer.ends_with_connection = not self.without_end.isdisjoint(_contents(call.request))
            return answer
        return LocalAnswer(self.clock, 200, signed, [server.name.encode()])

    def run_pieces(
        self,
        server: BackendServer,
        pieces: Sequence[Piece],
        limit_ms: float,
        on_notices: NoticeHandler,
    ) -> tuple[PieceResult, ...]:
        """Run pieces and return their results; see Upstream."""
        fault = self.faults.get(server.name)
        self.check_refusal(server, on_notices)
        self.check_connection(server)
        sent_at = self.clock.now()
        self.piece_calls.append(PieceCall(server.name, self.clock.now(), tuple(pieces)))
        if fault is ServerFault.SILENT:
            self.clock.sleep(limit_ms)
            raise StageError("", Code.STAGE_STALLED)
        factor = SLOW_FACTOR if fault is ServerFault.SLOW else 1.0
        ms = (CALL_MS + PIECE_MS * len(pieces)) * factor
        self.check_room(server, on_notices)
        with self.fragile.request(server.name):
            self.work(server, ms, tuple(piece.key for piece in pieces))
        self.wait_until_heard(server, Event(), sent_at + limit_ms)
        on_notices(server, self.notices(server), sent_at)
        if fault is ServerFault.NO_ROOM:
            return tuple(PieceResult("", PieceFailure.NO_ROOM) for _ in pieces)
        return tuple(PieceResult(f"{server.address}/{next(self.numbers)}") for _ in pieces)

    def free(
        self, server: BackendServer, handles: Sequence[str], on_notices: NoticeHandler
    ) -> None:
        """Record which results were released; see Upstream."""
        try:
            self.check_refusal(server, on_notices)
        except StageError:
            return
        self.released += handles

    def close(self) -> None:
        """Do nothing, as there are no connections."""


def _contents(request: ForwardRequest) -> tuple[bytes | str, ...]:
    return (request.body, *(request.prompt.shared_parts() if request.prompt else ()))
