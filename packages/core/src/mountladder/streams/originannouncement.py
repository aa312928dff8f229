# originannouncement.py -- Message with the origins of streams
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message with the origins of streams."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.streams.streamorigin import StreamOrigin


@dataclass(frozen=True, slots=True)
class OriginAnnouncement:
    """Message that tells another instance which versions began streams.

    Attributes:
        origins: The origins, with times relative to the sending.
    """

    origins: tuple[StreamOrigin, ...]
