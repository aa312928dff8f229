# answer.py -- The complete answer to a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The complete answer to a request."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

from mountladder.errors import MALFORMED, BadRowError
from mountladder.routing.stagetiming import StageTiming


@dataclass(frozen=True, slots=True)
class Answer:
    """The complete answer to one request.

    Attributes:
        request: The id of the request that ran.
        revision: The configuration revision it was admitted under.
        result: The result of the last stage as JSON; a stream's full text as a JSON string.
        tokens: The number of streamed tokens.
        timings: The server and duration of each stage.
    """

    request: str
    revision: int
    result: bytes
    tokens: int
    timings: tuple[StageTiming, ...]

    def encode(self) -> bytes:
        """Return the answer as JSON."""
        table = {
            "request": self.request,
            "class": "done",
            "revision": self.revision,
            "result": json.loads(self.result),
            "tokens": self.tokens,
            "stages": [asdict(timing) for timing in self.timings],
        }
        return json.dumps(table, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Answer:
        """Parse a stored answer.

        Raises:
            BadRowError: The value is not an answer.
        """
        try:
            table = json.loads(value)
            return cls(
                request=str(table["request"]),
                revision=int(table["revision"]),
                result=json.dumps(table["result"]).encode(),
                tokens=int(table["tokens"]),
                timings=tuple(StageTiming(**timing) for timing in table["stages"]),
            )
        except MALFORMED as error:
            raise BadRowError(f"a stored answer cannot be parsed: {error}") from error
