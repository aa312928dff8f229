# fingerprint.py -- What attempts at the same request have in common
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What attempts at the same request have in common."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

# 16 bytes: two different requests of all that a fleet takes in a year share one by chance with a
# probability of some 1e-16.
DIGEST_BYTES = 16
# A byte that none of the hashed texts can hold.
END = b"\0"


def fingerprint(secret: str, texts: Sequence[str], body: bytes) -> str:
    """Return the same text for all attempts at the same request, and nothing of its content.

    Headers are not part of it, since each attempt has some of its own.

    Args:
        secret: The key that all instances share.
        texts: The team that sends it and what it asks for, without the body.
        body: The body.

    Returns:
        A keyed hash, 32 hexadecimal digits.
    """
    key = hashlib.blake2b(secret.encode()).digest()
    digest = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    for text in texts:
        digest.update(text.encode(errors="surrogateescape") + END)
    digest.update(body)
    return digest.hexdigest()


def stage_fingerprint(whole: str, service: str) -> str:
    """Return the fingerprint of a request's pieces at a stage service.

    Servers that make its pieces well clear nothing of those that run the request itself.

    Args:
        whole: The fingerprint of the request.
        service: The name of the stage service.
    """
    return hashlib.blake2b(f"{whole}/{service}".encode(), digest_size=DIGEST_BYTES).hexdigest()
