# logrecorder.py -- Records the log lines of a scenario
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Records the log lines of a scenario."""

from eliot import add_destinations, remove_destination


def record_lines(context):
    """Record the log lines that are written from now on as the context's lines."""
    context.lines = []
    add_destinations(context.lines.append)
    context.stack.callback(remove_destination, context.lines.append)
    # The first destination in a process is sent what was logged before, by other scenarios.
    context.lines.clear()
