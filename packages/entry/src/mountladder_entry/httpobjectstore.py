# httpobjectstore.py -- The platform's object store over HTTP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The platform's object store over HTTP."""

from __future__ import annotations

from urllib.parse import quote

from mountladder.errors import StoreUnavailableError
from mountladder.store.objectstore import ObjectStore
from mountladder_entry.framing import is_framed
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
        path = "/objects/" + quote(name)
        response = self.client.read(path)
        if response.status == 404:
            return None
        if not is_framed(response):
            raise StoreUnavailableError(f"{path}: the object may be incomplete, it has no length")
        return response.data

    def put(self, name: str, value: bytes) -> None:
        """Write an object; see ObjectStore."""
        self.client.call("PUT", "/objects/" + quote(name), value)
