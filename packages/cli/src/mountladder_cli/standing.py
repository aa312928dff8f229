# standing.py -- How an instance stands
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""How an instance stands."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.membership.instance import Instance


@dataclass(frozen=True, slots=True)
class Standing:
    """How an instance stands.

    Attributes:
        instance: The instance as the platform lists it.
        table: Its own status page, empty where it did not answer.
        trouble: Why it did not answer, or an empty string.
    """

    instance: Instance
    table: dict[str, object]
    trouble: str

    @property
    def revision(self) -> int:
        """Return the revision in force there; -1 where it did not answer."""
        return int(self.table.get("revision", -1))
