# change.py -- One revision of the configuration's change log
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""One revision of the configuration's change log."""

from __future__ import annotations

import json
from dataclasses import dataclass

from mountladder.configuration.document import Document
from mountladder.configuration.documents import read_document
from mountladder.errors import MALFORMED, BadRowError, DocumentError


@dataclass(frozen=True, slots=True)
class Change:
    """One entry of the configuration's change log.

    Attributes:
        revision: The resulting revision, one above the previous one.
        operation: An id chosen by the author, which shows whether the change was accepted if the
            store's answer was lost.
        author: The author.
        at_ms: When it was made, in milliseconds since the Unix epoch, by the author's clock.
        puts: The documents it adds or replaces.
        deletes: The keys of the documents it removes.
    """

    revision: int
    operation: str
    author: str
    at_ms: float
    puts: tuple[Document, ...]
    deletes: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the change as the value of a row."""
        table = {
            "revision": self.revision,
            "operation": self.operation,
            "author": self.author,
            "at_ms": self.at_ms,
            "puts": [[document.kind, document.table()] for document in self.puts],
            "deletes": list(self.deletes),
        }
        return json.dumps(table, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Change:
        """Parse a change from the value of a row.

        Raises:
            BadRowError: The value is not a change.
        """
        try:
            table = json.loads(value)
            return cls(
                revision=int(table["revision"]),
                operation=str(table["operation"]),
                author=str(table["author"]),
                at_ms=float(table["at_ms"]),
                puts=tuple(read_document(kind, entry) for kind, entry in table["puts"]),
                deletes=tuple(str(key) for key in table["deletes"]),
            )
        except (*MALFORMED, DocumentError) as error:
            raise BadRowError(f"a change of the configuration cannot be parsed: {error}") from error
