# forwardcall.py -- A request on its way to one backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A request on its way to one backend server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.notices.notice import NoticeHandler


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """A request on its way to one backend server.

    Attributes:
        request: The caller's request.
        team: The team that sent it, or an empty string.
        deadline: When it must be done, in the clock's milliseconds.
        inputs: The handles of the results that it needs.
        after_event: The last event that the caller has already, or an empty string.
        reusable: Whether a connection that was idle may carry it.
        source: The address of the server to fetch kept parts of the prompt from, or empty.
        heard: Called with the server, what its answer says of it, and when the request was sent.
        connected: Called once the server can be reached, as the request is about to be written.
    """

    request: ForwardRequest
    team: str
    deadline: float
    inputs: tuple[str, ...] = ()
    after_event: str = ""
    reusable: bool = True
    source: str = ""
    heard: NoticeHandler = lambda server, notices, sent_at: None
    connected: Callable[[], None] = lambda: None
