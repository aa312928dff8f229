# forwardcall.py -- A request as it is sent to one backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A request as it is sent to one backend server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.notices.notice import NoticeHandler


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """A request as it is sent to one backend server.

    Attributes:
        request: The caller's request.
        team: The team that sent it, or an empty string.
        deadline: When the answer must be complete, in the clock's milliseconds.
        inputs: Handles of the stage results that the request needs.
        last_event_id: The id of the last event that the caller has, or an empty string.
        may_reuse_connection: Whether it may be sent on an idle connection that was kept open.
        source: The address of the server to fetch cached prompt parts from, or an empty string.
        backup: The address of the server that keeps a copy of the run's cache, or an empty string.
        copy: The handle of the copy to continue from, or an empty string.
        on_notices: Called with the server, the notices in its answer and the time of the request.
        connected: Called when the connection is open, before the request is written, with a
            function that breaks it, so that waiting for the answer or reading it fails.
    """

    request: ForwardRequest
    team: str
    deadline: float
    inputs: tuple[str, ...] = ()
    last_event_id: str = ""
    may_reuse_connection: bool = True
    source: str = ""
    backup: str = ""
    copy: str = ""
    on_notices: NoticeHandler = lambda server, notices, sent_at: None
    connected: Callable[[Callable[[], None]], None] = lambda break_connection: None
