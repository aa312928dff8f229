# servererror.py -- Errors of stand-in backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Errors of stand-in backend servers."""

from __future__ import annotations


class ServerRefusalError(Exception):
    """The server did not take a call; its text says why."""


class ServerEndedError(Exception):
    """The server has ended, with all that it had under way."""


class ServerFailureError(Exception):
    """The server took a call and failed."""
