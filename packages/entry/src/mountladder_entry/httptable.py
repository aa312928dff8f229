# httptable.py -- The platform's table service over HTTP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The platform's table service over HTTP."""

from __future__ import annotations

import base64
import json
from collections.abc import Sequence

from mountladder.errors import BadRowError, ConditionFailedError, StoreAmbiguousError
from mountladder.store.row import Row
from mountladder.store.table import Table
from mountladder.store.write import Write
from mountladder_entry.httpclient import HttpClient, parse

FIRST_ERROR_STATUS = 400
CONFLICT_STATUS = 409


class HttpTable(Table):
    """The platform's table service.

    Args:
        client: The client with the platform's base URL.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    def read(self, key: str) -> Row | None:
        """Return a row; see Table."""
        response = self.client.read("/table/row", {"key": key})
        return None if response.status == 404 else _row(parse(response))

    def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return rows in order; see Table."""
        fields = {"prefix": prefix, "after": after, "limit": str(limit)}
        entries = parse(self.client.read("/table/rows", fields))
        if not isinstance(entries, list):
            raise BadRowError("the answer is not a list of rows")
        return [_row(entry) for entry in entries]

    def commit(self, writes: Sequence[Write]) -> int:
        """Apply every write or none; see Table."""
        entries = [
            {
                "key": write.key,
                "value": None if write.value is None else base64.b64encode(write.value).decode(),
                "expected": write.expected,
            }
            for write in writes
        ]
        response = self.client.call("POST", "/table/commit", json.dumps(entries).encode())
        try:
            table = parse(response)
            if response.status == CONFLICT_STATUS:
                raise ConditionFailedError(tuple(table["failed"]))
            return int(table["version"])
        except (BadRowError, KeyError, TypeError, ValueError) as error:
            detail = f"the answer to a transaction cannot be read: {error}"
            if response.status >= FIRST_ERROR_STATUS:
                raise BadRowError(detail) from error
            raise StoreAmbiguousError(detail) from error


def _row(entry: object) -> Row:
    try:
        value = base64.b64decode(entry["value"], validate=True)
        return Row(str(entry["key"]), value, int(entry["version"]))
    except (KeyError, TypeError, ValueError) as error:
        raise BadRowError(f"a row cannot be read: {error}") from error
