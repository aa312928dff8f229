# instancestatus.py -- The status of an instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The status of an instance."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.membership.instance import Instance


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """The status of an instance, or why it could not be fetched.

    Attributes:
        instance: The instance as the platform lists it.
        table: Its status page, empty if it did not answer.
        error: Why it did not answer, or an empty string.
    """

    instance: Instance
    table: dict[str, object]
    error: str

    @property
    def revision(self) -> int:
        """Return the revision that the instance uses; -1 if it did not answer."""
        return int(self.table.get("revision", -1))
