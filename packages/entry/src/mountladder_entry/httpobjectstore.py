# httpobjectstore.py -- The platform's object store over HTTP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The platform's object store over HTTP."""

from __future__ import annotations

from urllib.parse import quote

from mountladder.store.objectstore import ObjectStore
from mountladder_entry.httpclient import HttpClient


class HttpObjectStore(ObjectStore):
    """The platform's object store.

    Args:
        client: The client with the platform's base URL.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    def get(self, name: str) -> bytes | None:
        """Return an object; see ObjectStore."""
        response = self.client.read("/objects/" + quote(name))
        return None if response.status == 404 else response.data

    def put(self, name: str, value: bytes) -> None:
        """Write an object; see ObjectStore."""
        self.client.call("PUT", "/objects/" + quote(name), value)
