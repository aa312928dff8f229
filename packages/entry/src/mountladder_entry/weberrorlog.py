# weberrorlog.py -- Logs the web server's error messages
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Logs the web server's error messages."""

from __future__ import annotations

from eliot import log_message


class WebErrorLog:
    """Writes the web server's error messages to the log as JSON lines."""

    def write(self, text: str) -> None:
        """Log a message."""
        if text.strip():
            log_message("web-server-error", text=text.rstrip())

    def flush(self) -> None:
        """Do nothing: every message is logged at once."""
