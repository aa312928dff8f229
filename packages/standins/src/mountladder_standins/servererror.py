# servererror.py -- Errors of stand-in backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Errors of stand-in backend servers."""

from __future__ import annotations


class ServerRefusalError(Exception):
    """The server refused a call without running it; the text says why."""


class ServerCrashedError(Exception):
    """The server crashed, with all the calls that it ran."""


class ServerFailureError(Exception):
    """The server accepted a call and failed."""
