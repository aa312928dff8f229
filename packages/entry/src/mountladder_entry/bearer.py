# bearer.py -- What whoever asks an instance bears
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What whoever asks an instance bears."""

from __future__ import annotations

import hmac

import bottle


def bears(token: str) -> bool:
    """Tell whether the request that is being answered bears a token; any does an empty one."""
    sent = bottle.request.get_header("Authorization", "")
    return not token or hmac.compare_digest(sent.encode(), f"Bearer {token}".encode())
