# servernotices.py -- Message with notices of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message with notices of backend servers."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.notices.servernotice import ServerNotice


@dataclass(frozen=True, slots=True)
class ServerNotices:
    """Message that announces notices of backend servers to another instance.

    Attributes:
        entries: The notices, with times relative to the sending, so negative.
    """

    entries: tuple[ServerNotice, ...]
