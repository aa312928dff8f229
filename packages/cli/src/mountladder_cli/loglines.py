# loglines.py -- Finding and formatting the log lines of a request
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Finding and formatting the log lines of a request."""

from __future__ import annotations

import json
from collections.abc import Iterable

# Fields that format_lines leaves out: they identify the line or the request, or are shown apart.
_HIDDEN_FIELDS = frozenset(
    {"timestamp", "message_type", "task_uuid", "task_level", "request", "requests"}
)


def lines_of_request(request: str, lines: Iterable[str]) -> list[dict[str, object]]:
    """Return the log messages that name a request, oldest first.

    Args:
        request: The request's id.
        lines: JSON lines, in any order; text before the first brace is ignored.
    """
    found = []
    for line in lines:
        message = parse_message(line) if request in line else {}
        if message.get("request") == request or request in message.get("requests", ()):
            found.append(message)
    return sorted(found, key=lambda one: one.get("timestamp", 0.0))


def format_lines(messages: list[dict[str, object]]) -> str:
    """Return messages as text, one line each, with the milliseconds since the first one."""
    start = float(messages[0].get("timestamp", 0.0)) if messages else 0.0
    rows = []
    for message in messages:
        at_ms = (float(message.get("timestamp", 0.0)) - start) * 1000
        fields = " ".join(f"{k}={v!r}" for k, v in message.items() if k not in _HIDDEN_FIELDS)
        rows.append(f"{at_ms:9.1f} ms  {message.get('message_type', '')}  {fields}")
    return "\n".join(rows)


def parse_message(line: str) -> dict[str, object]:
    """Return the message of a log line, empty if it contains no JSON object."""
    try:
        message = json.loads(line[line.index("{") :])
    except ValueError:
        return {}
    return message if isinstance(message, dict) else {}
