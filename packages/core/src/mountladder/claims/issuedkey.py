# issuedkey.py -- A key that an instance issued
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A key that an instance issued."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from mountladder.code import Code
from mountladder.errors import RefusalError

PREFIX = "ml1"
MAC_DIGITS = 16


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A key that names the only incarnation that may run its request.

    Since no other incarnation ever runs it, its claim needs no write to the store.

    Attributes:
        instance: The name of the instance that issued it.
        incarnation: Its incarnation.
        number: A number that the incarnation never gives twice.
        at_ms: When it was issued, by the incarnation's own monotonic clock, in milliseconds.
    """

    instance: str
    incarnation: str
    number: int
    at_ms: int

    def text(self, secret: bytes, team: str) -> str:
        """Return the key as callers see it, sealed for one team."""
        body = f"{PREFIX}~{self.instance}~{self.incarnation}~{self.number}~{self.at_ms}"
        return f"{body}~{_mac(body, secret, team)}"

    @classmethod
    def parse(cls, text: str, secret: bytes, team: str) -> IssuedKey:
        """Read a key and check its seal.

        Raises:
            RefusalError: The key was not issued to this team by this fleet.
        """
        body, _, mac = text.rpartition("~")
        if not hmac.compare_digest(mac.encode(), _mac(body, secret, team).encode()):
            raise RefusalError("the key was not issued to this team", Code.KEY_INVALID)
        _, instance, incarnation, number, at_ms = body.split("~")
        return cls(instance, incarnation, int(number), int(at_ms))


def is_issued(text: str) -> bool:
    """Tell whether a key claims to be an issued one."""
    return text.startswith(PREFIX + "~")


def _mac(body: str, secret: bytes, team: str) -> str:
    digest = hmac.new(secret, f"{team}\0{body}".encode(), hashlib.sha256).hexdigest()
    return digest[:MAC_DIGITS]
