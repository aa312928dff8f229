# localupstream.py -- Backend servers within this process
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Backend servers within this process."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Sequence

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.backendserver import BackendServer
from mountladder.errors import StageError
from mountladder.forwarding.forwardcall import ForwardCall
from mountladder.forwarding.piece import Piece
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.upstream import Upstream
from mountladder.forwarding.upstreamanswer import UpstreamAnswer
from mountladder_standins.localanswer import LocalAnswer
from mountladder_standins.piececall import PieceCall
from mountladder_standins.serverfault import ServerFault

WORK_MS = 40.0
EVENT_MS = 10.0
EVENTS = 6
CALL_MS = 150.0
PIECE_MS = 10.0
SLOWER = 5.0
_REFUSALS = {
    ServerFault.UNREACHABLE: Code.CONNECT_FAILED,
    ServerFault.FULL: Code.SERVER_FULL,
    ServerFault.REPLACED: Code.SERVER_REPLACED,
}


class LocalUpstream(Upstream):
    """Backend servers within this process, whose faults can be switched on.

    Args:
        clock: The clock that they work on.

    Attributes:
        faults: What is wrong with a server, by its name.
        runs: The servers that ran each request, by its id.
        arrivals: The servers that each request was sent to, by its id.
        calls: The calls with pieces.
        freed: The results that were given up.
        answers: The answers that were handed out.
        tokens_per_ms: How fast prompts are read; without it every request takes the same time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.faults: dict[str, ServerFault] = {}
        self.runs: dict[str, list[str]] = defaultdict(list)
        self.arrivals: dict[str, list[str]] = defaultdict(list)
        self.calls: list[PieceCall] = []
        self.freed: list[str] = []
        self.answers: list[LocalAnswer] = []
        self.numbers = itertools.count(1)
        self.tokens_per_ms: float | None = None

    def open(self, server: BackendServer, call: ForwardCall, limit_ms: float) -> UpstreamAnswer:
        """Run a request; see Upstream."""
        fault = self.faults.get(server.name)
        self.arrivals[call.request.id].append(server.name)
        if fault in _REFUSALS:
            raise StageError("", _REFUSALS[fault], False)
        call.connected()
        self.runs[call.request.id].append(server.name)
        if fault is ServerFault.SILENT:
            self.clock.sleep(limit_ms)
            raise StageError("", Code.STAGE_STALLED)
        self.clock.sleep(self.work_ms(call))
        if fault is ServerFault.RESET:
            raise StageError("", Code.STREAM_CUT)
        answer = self.answer(server, call, fault)
        self.answers.append(answer)
        return answer

    def work_ms(self, call: ForwardCall) -> float:
        """Return how long a request takes to its answer."""
        prompt = call.request.prompt
        if self.tokens_per_ms is None or prompt is None:
            return WORK_MS
        return WORK_MS + prompt.tokens / self.tokens_per_ms

    def answer(
        self, server: BackendServer, call: ForwardCall, fault: ServerFault | None
    ) -> LocalAnswer:
        """Return the answer to a request that ran."""
        signed = fault is not ServerFault.UNSIGNED
        if fault is ServerFault.ERROR:
            return LocalAnswer(self.clock, 500, True, [b"failed"])
        if call.request.method == "POST" and call.request.prompt is not None:
            first = int(call.after_event or 0) + 1
            events = [b"id: %d\ndata: x\n\n" % n for n in range(first, EVENTS + 1)]
            if fault is ServerFault.CUT:
                events = [events[0], events[1] + b"id: 3\nda"]
            cut = fault is ServerFault.CUT
            return LocalAnswer(self.clock, 200, signed, events, EVENT_MS, cut)
        return LocalAnswer(self.clock, 200, signed, [server.name.encode()])

    def run_pieces(
        self, server: BackendServer, pieces: Sequence[Piece], limit_ms: float
    ) -> tuple[PieceResult, ...]:
        """Work on pieces; see Upstream."""
        fault = self.faults.get(server.name)
        if fault in _REFUSALS:
            raise StageError("", _REFUSALS[fault], False)
        self.calls.append(PieceCall(server.name, self.clock.now(), tuple(pieces)))
        if fault is ServerFault.SILENT:
            self.clock.sleep(limit_ms)
            raise StageError("", Code.STAGE_STALLED)
        slower = SLOWER if fault is ServerFault.SLOW else 1.0
        self.clock.sleep((CALL_MS + PIECE_MS * len(pieces)) * slower)
        if fault is ServerFault.NO_ROOM:
            return tuple(PieceResult("", PieceFailure.NO_ROOM) for _ in pieces)
        return tuple(PieceResult(f"{server.address}/{next(self.numbers)}") for _ in pieces)

    def free(self, handles: Sequence[str]) -> None:
        """Note which results were given up; see Upstream."""
        self.freed += handles

    def close(self) -> None:
        """Do nothing, since there are no connections."""
