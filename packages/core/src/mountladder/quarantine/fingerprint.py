# fingerprint.py -- Fingerprints that all attempts at the same request share
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Fingerprints that all attempts at the same request share."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

# With 16 bytes, two different requests among all that a fleet receives in a year collide with a
# probability of about 1e-16.
DIGEST_BYTES = 16
# Separator of the hashed texts; none of them can contain it.
SEPARATOR = b"\0"
# The number of digits of an abbreviated fingerprint.
LOGGED_DIGITS = 8


def fingerprint(secret: str, texts: Sequence[str], body: bytes) -> str:
    """Return a hash that all attempts at the same request share and that reveals no content.

    Headers are not hashed, since some of them differ between attempts.

    Args:
        secret: The key that all instances share.
        texts: The sending team and what the request asks for, without the body.
        body: The body of the request.

    Returns:
        A keyed hash, 32 hexadecimal digits.
    """
    key = hashlib.blake2b(secret.encode()).digest()
    digest = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES)
    for text in texts:
        digest.update(text.encode(errors="surrogateescape") + SEPARATOR)
    digest.update(body)
    return digest.hexdigest()


def part_fingerprint(secret: str, part: str) -> str:
    """Return the fingerprint of a part of a prompt, which reveals no content.

    Args:
        secret: The key that all instances share.
        part: The id of the part, whose letters may be of either case.
    """
    return fingerprint(secret, ("prompt part",), part.lower().encode())


def abbreviated(fingerprint: str) -> str:
    """Return the first digits of a fingerprint, by which it is found in other log lines."""
    return fingerprint[:LOGGED_DIGITS]


def stage_fingerprint(request_fingerprint: str, service: str) -> str:
    """Return the fingerprint of a request's pieces at a stage service.

    It differs from the request's own, so that pieces that run well do not clear a request which
    crashes the servers that run the request itself.

    Args:
        request_fingerprint: The fingerprint of the request.
        service: The name of the stage service.
    """
    return hashlib.blake2b(
        f"{request_fingerprint}/{service}".encode(), digest_size=DIGEST_BYTES
    ).hexdigest()
