# keyrecord.py -- What is known of one idempotency key
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What is known of one idempotency key."""

from __future__ import annotations

import json
from dataclasses import dataclass

from mountladder.claims.keystate import KeyState
from mountladder.code import Code
from mountladder.errors import MALFORMED, BadRowError


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """What is known of a key, in memory and as a row of the store.

    Attributes:
        key: The team and the caller's key.
        nonce: An id of this claim, by which a lost answer of the store is settled.
        incarnation: The incarnation of the instance that holds the key.
        fingerprint: A hash of what the request asked for.
        at_ms: When it was claimed, in milliseconds since the Unix epoch.
        state: What became of the request.
        answer: The whole answer as JSON, where it is done and the answer is kept.
        code: The code it failed with, or None.
        detail: The detail of that failure.
    """

    key: str
    nonce: str
    incarnation: str
    fingerprint: str
    at_ms: float
    state: KeyState = KeyState.RUNNING
    answer: bytes | None = None
    code: Code | None = None
    detail: str = ""

    def encode(self) -> bytes:
        """Return the record as the value of a row."""
        table = {
            "key": self.key,
            "nonce": self.nonce,
            "incarnation": self.incarnation,
            "fingerprint": self.fingerprint,
            "at_ms": self.at_ms,
            "state": self.state.value,
            "answer": None if self.answer is None else json.loads(self.answer),
            "code": self.code.name if self.code else "",
            "detail": self.detail,
        }
        return json.dumps(table, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> KeyRecord:
        """Read a record from the value of a row.

        Raises:
            BadRowError: The value is not a record.
        """
        try:
            table = json.loads(value)
            answer = table["answer"]
            return cls(
                key=str(table["key"]),
                nonce=str(table["nonce"]),
                incarnation=str(table["incarnation"]),
                fingerprint=str(table["fingerprint"]),
                at_ms=float(table["at_ms"]),
                state=KeyState(table["state"]),
                answer=None if answer is None else json.dumps(answer).encode(),
                code=Code[table["code"]] if table["code"] else None,
                detail=str(table["detail"]),
            )
        except MALFORMED as error:
            raise BadRowError(f"a claim cannot be read: {error}") from error
