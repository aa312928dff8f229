# eventreader.py -- Parses an engine's token stream
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Parses an engine's token stream."""

from __future__ import annotations

import json
import re

from mountladder.code import Code
from mountladder.errors import MALFORMED, StageError
from mountladder.forwarding.eventsplitter import EventSplitter
from mountladder.requests.chunk import Chunk

MAX_EVENT_BYTES = 65_536
_EVENT_END = b"\n\n"
_EVENT = re.compile(rb"id: (\d+)\ndata: (.+)")
_DONE = b"event: done\ndata: "
_ERROR = b"event: error\ndata: "


class EventReader:
    """Splits bytes into events and checks that every token arrives once and in order.

    Args:
        held: The number of tokens received by earlier attempts; their events are skipped.

    Attributes:
        ended: Whether the end of the stream was received.
    """

    def __init__(self, held: int) -> None:
        self.held = held
        self.ended = False
        self.splitter = EventSplitter(max_bytes=MAX_EVENT_BYTES)

    def feed(self, data: bytes, load: int | None) -> Chunk | None:
        """Add received bytes and return the new complete tokens, or None.

        Raises:
            StageError: The engine reported an error, or the stream is malformed.
        """
        first = self.held + 1
        is_single_event = not self.splitter.incomplete and data.find(_EVENT_END) == len(data) - len(
            _EVENT_END
        )
        if is_single_event and data.startswith(b'id: %d\ndata: "' % first):
            self.held = first
            return Chunk(first, 1, data, load)
        try:
            *events, _ = self.splitter.feed(data).split(_EVENT_END)
        except ValueError as error:
            raise StageError(str(error), Code.BAD_ANSWER) from error
        new_events = [event for event in events if self.is_next_token(event)]
        if not new_events:
            return None
        return Chunk(first, len(new_events), _EVENT_END.join(new_events) + _EVENT_END, load)

    def is_next_token(self, event: bytes) -> bool:
        """Check an event and return whether it holds the next token."""
        match = _EVENT.fullmatch(event)
        if match is None:
            self.handle_other(event)
            return False
        number = int(match.group(1))
        if number <= self.held:
            return False
        if number != self.held + 1 or self.ended:
            raise StageError(f"token {number} follows token {self.held}", Code.BAD_ANSWER)
        if match.group(2)[:1] != b'"':
            raise StageError("a token is not a JSON string", Code.BAD_ANSWER)
        self.held = number
        return True

    def handle_other(self, event: bytes) -> None:
        """Handle an event that holds no token."""
        if event.startswith(_DONE):
            self.check_end(event[len(_DONE) :])
        elif event.startswith(_ERROR):
            raise StageError(event[len(_ERROR) :].decode("utf-8", "replace")[:200])
        elif not event.startswith(b":"):
            raise StageError("an event cannot be parsed", Code.BAD_ANSWER)

    def check_end(self, data: bytes) -> None:
        """Check the token count in the end event against the tokens received."""
        try:
            tokens = int(json.loads(data)["tokens"])
        except MALFORMED as error:
            raise StageError(
                "the end event of a stream cannot be parsed", Code.BAD_ANSWER
            ) from error
        if tokens != self.held:
            raise StageError(f"{tokens} tokens were sent, {self.held} received", Code.STREAM_CUT)
        self.ended = True
