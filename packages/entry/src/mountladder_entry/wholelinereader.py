# wholelinereader.py -- A buffered reader of answers whose lines are whole
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A buffered reader of answers whose lines are whole."""

from __future__ import annotations

import io
from http.client import HTTPException, IncompleteRead


class WholeLineReader(io.BufferedReader):
    """A buffered reader that fails where the connection ends before the lines of an answer do.

    The HTTP library takes the end of the connection for the end of a line, of a head and of the
    trailer, and the beginning of the size of a chunk, if that is a zero, for the end of the body. A
    carriage return within a line ends the line for it, but not for other readers.

    Attributes:
        has_begun: Whether a line was read.
    """

    def __init__(self, raw: io.RawIOBase) -> None:
        super().__init__(raw)
        self.has_begun = False

    def readline(self, size: int | None = -1) -> bytes:
        """Return the next line, or no bytes if the connection ends before the first one.

        Raises:
            IncompleteRead: The connection ended before the line did; another line was due, since an
                empty one ends the head and the trailer.
            HTTPException: A carriage return stands within the line.
        """
        line = super().readline(size)
        is_cut_short = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_cut_short and (line or self.has_begun):
            raise IncompleteRead(line)
        if b"\r" in line.removesuffix(b"\n").removesuffix(b"\r"):
            raise HTTPException("a carriage return stands within a line")
        self.has_begun = True
        return line
