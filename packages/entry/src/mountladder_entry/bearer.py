# bearer.py -- Checks the bearer token of a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Checks the bearer token of a request."""

from __future__ import annotations

import hmac

import bottle


def has_token(token: str) -> bool:
    """Return whether the current request carries a token; an empty token accepts every request."""
    sent = bottle.request.get_header("Authorization", "")
    return not token or hmac.compare_digest(sent.encode(), f"Bearer {token}".encode())
