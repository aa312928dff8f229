# instance.py -- An entry instance as its peers know it
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An entry instance as its peers know it."""

from __future__ import annotations

from dataclasses import dataclass, field

# Messages and fields that are added without a new version of the protocol are only sent to, or
# expected of, instances that know them. Builds that do not tell their set have 0; 1 adds software
# versions in the entries of servers, and the messages about the origins of streams; 2 adds the
# suspicions of prompt parts.
VERSIONS_MESSAGE_SET = 1
PARTS_MESSAGE_SET = 2
MESSAGE_SET = PARTS_MESSAGE_SET


@dataclass(frozen=True, slots=True)
class Instance:
    """An entry instance as its peers know it.

    Attributes:
        name: Its name on the platform's list.
        incarnation: An id that changes with every start of its process; empty if unknown.
        datacentre: The data centre it runs in.
        web: The IP number and port of its HTTP interface.
        peer: The IP number and port that its peers connect to.
        leaving: Whether it is shutting down.
        cores: How many processor cores it may use; those with many are preferred as coordinators.
        since: When it started, in milliseconds since 1970; older ones are preferred as
            coordinators.
        message_set: The newest set of messages that it understands; see MESSAGE_SET.
        joined: When its name was first listed, in milliseconds since 1970; 0 if that is unknown.
    """

    name: str
    incarnation: str
    datacentre: str
    web: str
    peer: str
    leaving: bool = False
    cores: float = 1.0
    since: int = 0
    message_set: int = MESSAGE_SET
    joined: int = field(default=0, compare=False)

    @property
    def knows_versions(self) -> bool:
        """Return whether it knows the software versions of servers."""
        return self.message_set >= VERSIONS_MESSAGE_SET

    @property
    def knows_prompt_parts(self) -> bool:
        """Return whether it knows suspicions of prompt parts."""
        return self.message_set >= PARTS_MESSAGE_SET
