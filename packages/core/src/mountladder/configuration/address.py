# address.py -- Checks addresses
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Checks addresses."""

from __future__ import annotations

import re
from ipaddress import ip_address

MAX_PORT = 65_535
# The function int takes more than a port may hold, such as digits of other scripts.
_PORT = re.compile(r"[0-9]{1,5}")


def is_address(text: str) -> bool:
    """Return whether a text is an IP number and a port."""
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    return _PORT.fullmatch(port) is not None and int(port) <= MAX_PORT
