# issuedkey.py -- Idempotency keys that an instance issues
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Idempotency keys that an instance issues."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from mountladder.code import Code
from mountladder.errors import RefusalError

PREFIX = "ml1"
# Length of the truncated MAC in hexadecimal digits.
MAC_DIGITS = 16


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """An idempotency key that names the only incarnation that may run its request.

    Since no other incarnation ever runs it, no claim has to be written to the store.

    Attributes:
        instance: The name of the instance that issued it.
        incarnation: The incarnation of that instance.
        number: A number that is unique within the incarnation.
        at_ms: When it was issued, by the incarnation's own monotonic clock, in milliseconds.
    """

    instance: str
    incarnation: str
    number: int
    at_ms: int

    def text(self, secret: bytes, team: str) -> str:
        """Return the key as callers see it, authenticated for one team."""
        body = f"{PREFIX}~{self.instance}~{self.incarnation}~{self.number}~{self.at_ms}"
        return f"{body}~{_mac(body, secret, team)}"

    @classmethod
    def parse(cls, text: str, secret: bytes, team: str) -> IssuedKey:
        """Parse a key and verify its MAC.

        Raises:
            RefusalError: The key was not issued to this team by this fleet.
        """
        body, _, mac = text.rpartition("~")
        if not hmac.compare_digest(mac.encode(), _mac(body, secret, team).encode()):
            raise RefusalError("the key was not issued to this team", Code.KEY_INVALID)
        _, instance, incarnation, number, at_ms = body.split("~")
        return cls(instance, incarnation, int(number), int(at_ms))


def is_issued(text: str) -> bool:
    """Return whether a key has the form of an issued one; its MAC is not verified."""
    return text.startswith(PREFIX + "~")


def _mac(body: str, secret: bytes, team: str) -> str:
    digest = hmac.new(secret, f"{team}\0{body}".encode(), hashlib.sha256).hexdigest()
    return digest[:MAC_DIGITS]
