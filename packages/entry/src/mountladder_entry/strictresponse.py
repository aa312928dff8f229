# strictresponse.py -- A response of the HTTP library whose head is well-formed
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A response of the HTTP library whose head is well-formed."""

from __future__ import annotations

from email import errors

from urllib3.connection import HTTPConnection, HTTPException

# Lines that the library leaves out, in part with all lines behind them. It also records that a body
# of several parts is missing, which is not read yet.
_LEFT_OUT = (
    errors.MissingHeaderBodySeparatorDefect,
    errors.FirstHeaderLineIsContinuationDefect,
    errors.MisplacedEnvelopeHeaderDefect,
    errors.InvalidHeaderDefect,
)


class StrictResponse(HTTPConnection.response_class):
    """A response that fails where the library leaves out lines of its head.

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
