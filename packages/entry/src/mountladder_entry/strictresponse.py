# strictresponse.py -- A response of the HTTP library whose head is well-formed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A response of the HTTP library whose head is well-formed."""

from __future__ import annotations

import re
from email import errors
from typing import BinaryIO

from urllib3.connection import HTTPConnection, HTTPException

# Lines that the library leaves out, in part with all lines behind them. It also records that a body
# of several parts is missing, which is not read yet.
# Of three digits, from 100 to 599; see RFC 9110, section 15. Another one says nothing that a caller
# or this system understands.
_STATUS = re.compile(rb"[1-5][0-9]{2}")
_LEFT_OUT = (
    errors.MissingHeaderBodySeparatorDefect,
    errors.FirstHeaderLineIsContinuationDefect,
    errors.MisplacedEnvelopeHeaderDefect,
    errors.InvalidHeaderDefect,
)


class _StatusLineReader:
    """Reads the lines of a head, and keeps the last one.

    Args:
        inner: Reads the answer.
    """

    def __init__(self, inner: BinaryIO) -> None:
        self.inner = inner
        self.line = b""

    def readline(self, size: int) -> bytes:
        """Return the next line."""
        self.line = self.inner.readline(size)
        return self.line

    def close(self) -> None:
        """Close the answer."""
        self.inner.close()


class StrictResponse(HTTPConnection.response_class):
    """A response that fails where the library leaves out lines of its head, or misreads its status.

    The length of the body may be among them. It is read by an AnswerReader, which it tells whether
    the body ends with the connection.
    """

    def begin(self) -> None:
        """Read the head.

        Raises:
            HTTPException: The head is incomplete or malformed.
        """
        super().begin()
        for defect in self.headers.defects:
            if isinstance(defect, _LEFT_OUT):
                raise HTTPException(f"a line of the head is malformed: {defect!r}")
        self.fp.raw.ends_with_connection = self.length is None and not self.chunked

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line; the library reads any number up to 999, with zeros in front.

        Raises:
            HTTPException: It is malformed, or has a status that does not exist.
        """
        reader = _StatusLineReader(self.fp)
        self.fp = reader
        try:
            found = super()._read_status()
        finally:
            # The library closes and drops the reader where the line is none.
            if self.fp is reader:
                self.fp = reader.inner
        status = reader.line.split(None, 2)[1]
        if not _STATUS.fullmatch(status):
            raise HTTPException(f"there is no status {status!r}")
        return found
