# instanceclient.py -- HTTP client for the entry instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0
"""HTTP client for the entry instances."""

from __future__ import annotations

import json
from collections.abc import Iterator

import urllib3

from mountladder.code import Code
from mountladder.errors import DocumentError

INSTANCE_SECONDS = 2.0


def fetch(web: str, path: str, token: str, method: str = "GET") -> dict[str, object]:
    """Request a JSON page of an instance and return it decoded.

    Args:
        web: The instance's IP number and port.
        path: The path of the page.
        token: The operator token, or an empty string to send none.
        method: The HTTP method.

    Raises:
        DocumentError: The instance does not answer, or its status is not 200.
    """
    url = f"http://{web}{path}"
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    try:
        response = urllib3.request(
            method, url, headers=headers, timeout=INSTANCE_SECONDS, retries=False
        )
        table = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        raise DocumentError(f"{url}: no answer", Code.PEER_UNREACHABLE) from error
    if response.status != 200:
        raise DocumentError(f"{url}: {table.get('detail', response.status)}", Code.NOT_FOUND)
    return table


def request(
    web: str,
    pipeline: str,
    token: str,
    input_: object,
    deadline_ms: float | None = None,
    key: str = "",
    stream: bool = True,
) -> Iterator[bytes]:
    """Send a request to an instance and yield the body of the response as it arrives.

    Args:
        web: The instance's IP number and port.
        pipeline: The pipeline's name.
        token: The team's token.
        input_: The input, of any JSON type.
        deadline_ms: How long the request may take, or None for the pipeline's deadline.
        key: The Idempotency-Key, or an empty string.
        stream: Whether to ask for server-sent events.

    Raises:
        DocumentError: The instance cannot be reached or the connection broke.
    """
    body: dict[str, object] = {"input": input_}
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    headers = _headers(token, key, stream)
    url = f"http://{web}/v1/pipelines/{pipeline}"
    try:
        response = urllib3.request(
            "POST",
            url,
            body=json.dumps(body),
            headers=headers,
            preload_content=False,
            retries=False,
        )
        yield from response.stream()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise DocumentError(f"{url}: {error}", Code.PEER_UNREACHABLE) from error


def issue_keys(web: str, token: str, count: int = 1) -> list[str]:
    """Have an instance issue idempotency keys and return them.

    Raises:
        DocumentError: The instance does not answer, or issues no keys.
    """
    url = f"http://{web}/v1/keys?count={count}"
    headers = {"Authorization": f"Bearer {token}"}
    try:
        response = urllib3.request("POST", url, headers=headers, retries=False)
        table = json.loads(response.data)
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        raise DocumentError(f"{url}: no answer", Code.PEER_UNREACHABLE) from error
    if "keys" not in table:
        raise DocumentError(f"{url}: {table.get('detail', '')}", Code.UNAUTHENTICATED)
    return table["keys"]


def _headers(token: str, key: str, stream: bool) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {token}",
        "Content-Type": "application/json",
        "Accept": "text/event-stream" if stream else "application/json",
    }
    if key:
        headers["Idempotency-Key"] = key
    return headers
