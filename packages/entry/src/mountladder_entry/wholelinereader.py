# wholelinereader.py -- A buffered reader of answers whose lines are whole
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A buffered reader of answers whose lines are whole."""

from __future__ import annotations

import io
from http.client import IncompleteRead


class WholeLineReader(io.BufferedReader):
    """A buffered reader that fails where the connection ends within a line.

    The HTTP library takes what is there of such a line for all of it, and the beginning of the size
    of a chunk, if that is a zero, for the end of the body.
    """

    def readline(self, size: int | None = -1) -> bytes:
        """Return the next line, or no bytes at the end; see io.BufferedReader.

        Raises:
            IncompleteRead: The connection ended within it.
        """
        line = super().readline(size)
        is_cut_short = size is not None and 0 <= size <= len(line)
        if line and not line.endswith(b"\n") and not is_cut_short:
            raise IncompleteRead(line)
        return line
