# quietlog.py -- Where the web server's own messages go
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Where the web server's own messages go."""

from __future__ import annotations

from eliot import log_message


class QuietLog:
    """Takes the web server's error text into the log as JSON lines."""

    def write(self, text: str) -> None:
        """Log a piece of text."""
        if text.strip():
            log_message("web-server", text=text.rstrip())

    def flush(self) -> None:
        """Do nothing, since every message is written at once."""
