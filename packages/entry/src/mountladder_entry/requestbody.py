# requestbody.py -- The body of a request, of which nothing more is read after an error
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The body of a request, of which nothing more is read after an error."""

from __future__ import annotations

from gevent.pywsgi import Input


class RequestBody(Input):
    """The body of a request, of which nothing more is read after an error.

    After an error it is not known where a chunk begins, so that the rest cannot be skipped.

    Attributes:
        has_failed: Whether the body is malformed, or was not read within the limits.
    """

    __slots__ = ("has_failed",)

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.has_failed = False

    @property
    def is_whole(self) -> bool:
        """Return whether the body was read to its end."""
        if self.chunked_input:
            return self.chunk_length == 0 and not self.has_failed
        return self.position >= (self.content_length or 0)

    def read(self, length: int | None = None) -> bytes:
        """Read a number of bytes, or all.

        Raises:
            OSError: The body is malformed, or was not sent within the limits.
        """
        try:
            return super().read(length)
        except ValueError as error:
            self.has_failed = True
            raise OSError(f"a chunk is malformed: {error}") from error
        except OSError:
            self.has_failed = True
            raise

    def _discard(self) -> None:
        """Skip the rest of the body, unless reading it has failed; called by the web server."""
        if not self.has_failed:
            super()._discard()
