# hello.py -- The first message of a peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The first message of a peer."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.membership.instance import Instance


@dataclass(frozen=True, slots=True)
class Hello:
    """Who a peer is.

    Attributes:
        version: The version of the messages it speaks.
        instance: The peer itself.
        nonce: Random bytes that the other end's proof must cover.
    """

    version: int
    instance: Instance
    nonce: bytes
