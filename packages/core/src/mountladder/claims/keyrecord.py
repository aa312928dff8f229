# keyrecord.py -- The record of one idempotency key, in memory and in the store
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The record of one idempotency key, in memory and in the store."""

from __future__ import annotations

import json
from dataclasses import dataclass

from mountladder.claims.keystate import KeyState
from mountladder.code import Code
from mountladder.errors import MALFORMED, BadRowError


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The state of a key and its request, in memory and as a row of the store.

    Attributes:
        key: The team and the caller's key, separated by a slash.
        nonce: A unique id of this claim, which shows whether a write without an answer was applied.
        incarnation: The incarnation of the instance that holds the key.
        fingerprint: A hash of the request.
        at_ms: When it was claimed, in milliseconds since the Unix epoch.
        state: The state of the request.
        answer: The complete answer as JSON, if the request is done and its answer is stored.
        code: The code the request failed with, or None.
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
            raise BadRowError(f"malformed claim: {error}") from error
