# team.py -- A team that sends requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A team that sends requests."""

from __future__ import annotations

import re
from dataclasses import asdict, dataclass
from typing import ClassVar

from mountladder.configuration.document import Document
from mountladder.configuration.fields import Fields

_SHA256 = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True, slots=True)
class Team(Document):
    """A team, with its token, share and limits.

    Attributes:
        token_sha256: The SHA-256 of its token, in hexadecimal.
        share: Its weight relative to other teams under overload.
        most_running: The max. number of its requests running on one instance; 0 sets no limit.
        selector: A selector that every backend server used for it must match.
    """

    kind: ClassVar[str] = "team"
    token_sha256: str
    share: float
    most_running: int
    selector: str

    @classmethod
    def read(cls, fields: Fields) -> Team:
        """Parse a team from its table."""
        team = cls(
            name=fields.text("name"),
            labels=fields.labels("labels"),
            token_sha256=fields.text("token_sha256"),
            share=fields.number("share", 1.0, min_value=0.001),
            most_running=int(fields.number("most_running", 0)),
            selector=fields.text("selector", ""),
        )
        if team.token_sha256 and not _SHA256.fullmatch(team.token_sha256):
            fields.fault("token_sha256", "64 hexadecimal digits", team.token_sha256)
        return team

    def table(self) -> dict[str, object]:
        """Return the table from which it can be parsed."""
        return asdict(self)
