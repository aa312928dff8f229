# secondanswer.py -- The answer of the second server of a hedged request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The answer of the second server of a hedged request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mountladder.forwarding.forwardattempt import ForwardAttempt
from mountladder.forwarding.upstreamanswer import UpstreamAnswer


@dataclass(frozen=True, slots=True)
class SecondAnswer:
    """The answer of the second server of a hedged request.

    Attributes:
        attempt: The attempt at that server.
        answer: Its answer.
        data: The whole body, or what has arrived of a stream: its first events, the last of which
            may be incomplete.
        break_connection: Breaks the connection to the server.
        version: The version of the server's software, for a stream.
    """

    attempt: ForwardAttempt
    answer: UpstreamAnswer
    data: bytes
    break_connection: Callable[[], None]
    version: str = ""
