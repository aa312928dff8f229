# softwareversion.py -- The software versions of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The software versions of backend servers.

Several versions may serve side by side. They have no order, and what two of them write in one
stream does not fit together.
"""

from __future__ import annotations

from collections.abc import Sequence

from mountladder.configuration.backendserver import BackendServer

# The label that holds the version of a server's software, which is missing where it is not known.
VERSION_LABEL = "version"
# Recorded in place of the version that began a stream if its server may run another one than its
# entry says. No server has it, so that nobody continues the stream.
UNVERIFIED_VERSION = "(unverified)"


def running_version(
    servers: Sequence[BackendServer], version: str | None
) -> tuple[BackendServer, ...]:
    """Return the servers that run a software version.

    Args:
        servers: The servers of a service.
        version: The version; an empty string if it is unknown, or None if any will do. An unknown
            one is only taken to be the same where the version of no server is known.
    """
    if version is None:
        return tuple(servers)
    if not version and any(version_of(one) for one in servers):
        return ()
    return tuple(one for one in servers if version_of(one) == version)


def version_of(server: BackendServer) -> str:
    """Return the version of a server's software, or an empty string if that is unknown."""
    return server.labels.get(VERSION_LABEL, "")
