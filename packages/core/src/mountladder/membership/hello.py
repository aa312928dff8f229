# hello.py -- First message of a handshake, which identifies the sender
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""First message of a handshake, which identifies the sender."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.membership.instance import Instance


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of a handshake, which identifies the sender.

    Attributes:
        version: The sender's protocol version.
        instance: The sender itself.
        nonce: Random bytes that the receiver's proof must cover.
    """

    version: int
    instance: Instance
    nonce: bytes
