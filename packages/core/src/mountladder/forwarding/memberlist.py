# memberlist.py -- Message with the instances that a peer knows
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Message with the instances that a peer knows."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.membership.instance import Instance


@dataclass(frozen=True, slots=True)
class MemberList:
    """Message with the instances that a peer knows.

    Attributes:
        instances: The instances, without the sender itself.
    """

    instances: tuple[Instance, ...]
