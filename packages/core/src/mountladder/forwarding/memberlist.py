# memberlist.py -- The instances that a peer knows
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The instances that a peer knows."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.membership.instance import Instance


@dataclass(frozen=True, slots=True)
class MemberList:
    """The instances that a peer knows.

    Attributes:
        instances: The instances, the peer itself not among them.
    """

    instances: tuple[Instance, ...]
