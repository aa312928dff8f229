# holder.py -- Bytes held for one caller, server or peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Bytes held for one caller, server or peer."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mountladder.memory.memoryaccount import MemoryAccount


# The least time after which timers run, by which connections are ended.
YIELD_MS = 1.0


class Holder:
    """Counts the bytes that are held for one caller, server or peer; see MemoryAccount.

    Args:
        account: The account that it belongs to.
        kind: For whom the bytes are held: "caller", "server" or "peer".
        end: Ends the connection, given the reason, so that the bytes are released soon.

    Attributes:
        request: The id of the request that the bytes belong to, or an empty string.
        bytes: The number of bytes held.
        body_bytes: Those of them that are the body of a request.
        answer_bytes: Those of them that are a server's whole answer.
        is_streaming: Whether an answer is passed on while it is read from a server.
        waiting_since: When data last began to wait for the other side or was last taken by it, in
            the clock's milliseconds, or None if no data waits.
        blocked_since: When a caller last sent a part of a body, or a server or a peer began to
            take data, in the clock's milliseconds, or None if none of this is in progress.
        is_cut: Whether its connection was ended to release the bytes.
        measure: Updates waiting_since.
        interrupt: Ends the request in progress, of a caller whose connection is ended.
    """

    __slots__ = (
        "account",
        "answer_bytes",
        "body_bytes",
        "bytes",
        "end",
        "interrupt",
        "is_cut",
        "is_streaming",
        "kind",
        "measure",
        "request",
        "blocked_since",
        "waiting_since",
    )

    def __init__(self, account: MemoryAccount, kind: str, end: Callable[[str], None]) -> None:
        self.account = account
        self.kind = kind
        self.end = end
        self.request = ""
        self.bytes = 0
        self.body_bytes = 0
        self.answer_bytes = 0
        self.is_streaming = False
        self.waiting_since: float | None = None
        self.blocked_since: float | None = None
        self.is_cut = False
        self.measure: Callable[[], None] = lambda: None
        self.interrupt: Callable[[], None] = lambda: None

    def add(self, number: int) -> None:
        """Count bytes that are held from now on, or, if negative, that are not held any more."""
        self.bytes += number
        self.account.add(number)

    def set_body(self, number: int) -> None:
        """Set how many bytes of a request's body are held."""
        added = number - self.body_bytes
        self.body_bytes = number
        self.add(added)

    def set_answer(self, number: int) -> None:
        """Set how many bytes of a server's whole answer are held."""
        added = number - self.answer_bytes
        self.answer_bytes = number
        self.add(added)

    def let_others_end(self) -> None:
        """Have connections ended before more is read for this holder, if too much is held.

        Where data comes faster than it is read, a task that reads it would go on meanwhile.
        """
        account = self.account
        if account.held > account.notify_above:
            account.clock.sleep(YIELD_MS)

    def stalled_ms(self, now: float) -> float:
        """Return how long data has waited without any of it being taken, in milliseconds."""
        self.measure()
        times = (self.waiting_since, self.blocked_since)
        return max(0.0 if since is None else now - since for since in times)

    def end_request(self) -> None:
        """Release the body and the answer of a request; what waits to be written stays counted."""
        self.set_body(0)
        self.set_answer(0)
        self.is_streaming = False
        self.interrupt = lambda: None

    def release(self) -> None:
        """Release every byte."""
        self.body_bytes = self.answer_bytes = 0
        self.waiting_since = self.blocked_since = None
        self.add(-self.bytes)
