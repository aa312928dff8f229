# endingcase.py -- An answer of a server whose end is drawn from a seed, and what a caller may get
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An answer of a server whose end is drawn from a seed, and what a caller may get of it."""

import random
from dataclasses import dataclass

FRAMINGS = ("length", "chunks", "neither")
# How the connection ends behind what is sent.
ENDS = ("closed", "reset", "closed, then reset", "closed later", "reset later", "second answer")
PLAIN_KINDS = ("safe", "unsafe")
STREAM_KINDS = ("stream", "resumable")
VERSIONS = (b"1.1", b"1.0")
MAX_PLAIN_BYTES = 6_000
MAX_EVENTS = 12
MAX_PARTS = 4
# How often an answer is cut, and how often so between two lines or events.
CUT_SHARE = 0.7
BOUNDARY_SHARE = 0.5
MAX_PAUSE_S = 0.2
CHUNK_BYTES = 500


@dataclass(frozen=True)
class EndingCase:
    """An answer of a server whose end is drawn from a seed.

    Attributes:
        kind: The kind of the request.
        version: The version of HTTP that the caller speaks.
        framing: What shows where the body ends.
        end: How the connection ends.
        share: Which share of the body is sent.
        at_boundary: Whether a part of it ends with a line, or with an event of a stream.
        parts: In how many parts it is sent.
        pause_s: The pause before an end that comes later, or a second answer.
        size: The number of bytes of a plain body, or of events of a stream.
    """

    kind: str
    version: bytes
    framing: str
    end: str
    share: float
    at_boundary: bool
    parts: int
    pause_s: float
    size: int

    @classmethod
    def draw(cls, seed, kinds):
        """Return the case of a seed, for one of the kinds of requests."""
        draw = random.Random(seed)
        framing, end = draw.choice(FRAMINGS), draw.choice(ENDS)
        share = draw.random() if draw.random() < CUT_SHARE else 1.0
        if end == "second answer" and framing != "neither":
            # Behind a part of it a second answer would be read as the rest.
            share = 1.0
        return cls(
            kind=draw.choice(kinds),
            version=draw.choice(VERSIONS),
            framing=framing,
            end=end,
            share=share,
            at_boundary=draw.random() < BOUNDARY_SHARE,
            parts=draw.randint(1, MAX_PARTS),
            pause_s=draw.uniform(0.0, MAX_PAUSE_S),
            size=draw.randint(1, MAX_EVENTS if kinds == STREAM_KINDS else MAX_PLAIN_BYTES),
        )

    def body(self, id_, last_event=0):
        """Return the whole body, or that of a stream behind an event."""
        if self.kind in STREAM_KINDS:
            numbers = range(last_event + 1, self.size + 1)
            return b"".join(b"id: %d\ndata: of %b\n\n" % (number, id_) for number in numbers)
        lines = (b"line %d of %b\n" % (number, id_) for number in range(self.size // 10 + 1))
        return b"".join(lines)[: self.size]

    def framed(self, body):
        """Return the header that frames a body, and the framed body."""
        if self.framing == "length":
            return b"Content-Length: %d" % len(body), body
        if self.framing == "neither":
            return b"Connection: close", body
        starts = range(0, len(body), CHUNK_BYTES)
        chunks = [body[start : start + CHUNK_BYTES] for start in starts]
        framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in [*chunks, b""])
        return b"Transfer-Encoding: chunked", framed

    def cut(self, framed):
        """Return what is sent of a framed body."""
        sent = framed[: int(len(framed) * self.share)]
        if self.share < 1.0 and self.at_boundary:
            boundary = b"\n\n" if self.kind in STREAM_KINDS else b"\n"
            last, separator, _ = sent.rpartition(boundary)
            return last + separator
        return sent

    def may_seem_whole(self):
        """Return whether a part of the body may look whole to a caller that gets no framing."""
        return self.framing == "neither" and self.end in {"closed", "closed later"}
