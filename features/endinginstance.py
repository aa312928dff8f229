# endinginstance.py -- An instance on loopback, one answer of whose servers ends in some way
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An instance on loopback, one answer of whose servers ends in some way."""

from answerends import end, framed, within_body
from loopbackinstance import LoopbackInstance
from rawanswers import HEAD

FIRST_BODY = b"the first body"
OTHER_BODY = b"another body"
EVENTS = tuple(b"id: %d\ndata: x\n\n" % number for number in range(1, 5))


class EndingInstance(LoopbackInstance):
    """An instance on loopback; its servers answer whole, except once.

    Args:
        stack: Closes what was opened.
        framing: How that answer is framed.
        how: How it ends, within its body or whole with a second answer behind it.
        cut: For a stream, where it ends: "between two events" or "within an event".

    Attributes:
        ends_next: Whether the next answer is the one that ends so.
        rest: For a stream, how its rest is framed, and whether it is sent whole; None if it has a
            length and is whole.
    """

    def __init__(self, stack, framing, how, cut=""):
        self.framing, self.how, self.cut = framing, how, cut
        self.ends_next, self.rest = False, None
        super().__init__(stack, "end one answer")

    def treat(self, connection, head):
        """Treat a request; see LoopbackInstance."""
        self.treated += 1
        if self.rest is not None and head.get(b"last-event-id") == b"2":
            self.send_rest(connection, head)
            return False
        if not self.ends_next:
            connection.sendall(self.whole("a length", OTHER_BODY, head))
            return True
        self.ends_next = False
        data = self.whole(self.framing, FIRST_BODY, head)
        if "second answer" in self.how:
            connection.sendall(data + self.whole("a length", OTHER_BODY, head))
            if self.framing == "neither":
                end(connection, "end of stream")
            return self.framing != "neither"
        connection.sendall(self.up_to_cut(data))
        end(connection, self.how)
        return False

    def send_rest(self, connection, head):
        """Send the rest of a stream, or a part of it, and end the connection."""
        framing, is_whole = self.rest
        data = self.whole(framing, b"", head)
        connection.sendall(data if is_whole else data[: data.index(EVENTS[3])])
        end(connection, "end of stream")

    def whole(self, framing, body, head):
        """Return a whole answer: a body, or the events that the caller does not have."""
        if self.cut:
            body = b"".join(EVENTS[int(head.get(b"last-event-id", 0)) :])
        return framed(framing, body, HEAD).replace(b"@ID", head[b"mountladder-request-id"])

    def up_to_cut(self, data):
        """Return a part of an answer."""
        if not self.cut:
            return within_body(data)
        place = data.index(EVENTS[2])
        return data[: place + (4 if self.cut == "within an event" else 0)]
