# serverrecord.py -- What the platform's list says of a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What the platform's list says of a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.configuration.backendserver import BackendServer


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One entry of the platform's list of backend servers.

    Attributes:
        id: The id of this start of the server.
        version: Which change of the store wrote the entry; higher ones are newer.
        service: The service it belongs to, or an empty string where the entry was removed.
        server: The server, or None where the entry was removed.
    """

    id: str
    version: int
    service: str = ""
    server: BackendServer | None = None


def listed_server(
    id_: str, service: str, address: str, datacentre: str, slots: int, draining: bool
) -> BackendServer:
    """Return a server of the platform's list, which tells less than operators' documents do.

    Args:
        id_: The id of this start of the server, which becomes its name.
        service: The service it belongs to, which becomes a label.
        address: Its IP number and port.
        datacentre: The data centre it stands in.
        slots: How many calls it runs at once.
        draining: Whether it is to get no new work.
    """
    return BackendServer(
        name=id_,
        labels={"service": service},
        serves="service",
        address=address,
        datacentre=datacentre,
        accelerator="",
        price=1.0,
        slots=max(1, slots),
        draining=draining,
        models=(),
    )
