# crashwatch.py -- Has crashes limit the bytes of requests at the servers of a service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Has crashes limit the bytes of requests at the servers of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from eliot import log_message

from mountladder.memory.serverbytes import ServerBytes

if TYPE_CHECKING:
    from mountladder.forwarding.forwardingcomponents import ForwardingComponents


def watch_crashes(components: ForwardingComponents, server_bytes: ServerBytes) -> None:
    """Have limits learnt from every crash that is reported from now on, while that is switched on.

    Args:
        components: The components of the instance.
        server_bytes: The limits.
    """
    registry, directory = components.quarantine.registry, components.directory
    report_crash = registry.on_server_crashed
    server_bytes.is_enabled = lambda: components.settings.bound_memory

    def handle_crash(server: str) -> None:
        """Learn from a crash and log what it sets."""
        report_crash(server)
        learnt = server_bytes.crashed(server, components.clock.now())
        if learnt is not None:
            log_message(
                "server-bytes-limited",
                service=learnt.service,
                server=server,
                held=learnt.held,
                safe=learnt.safe,
                limit=round(learnt.limit),
            )

    registry.on_server_crashed = handle_crash
    directory.listeners.append(lambda: server_bytes.drop_unlisted(directory.kept_names()))
