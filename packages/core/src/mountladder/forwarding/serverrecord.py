# serverrecord.py -- What the platform's list says of a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What the platform's list says of a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.configuration.backendserver import BackendServer

# The label of a listed server that holds its id.
ID_LABEL = "id"
# And that which holds its service.
SERVICE_LABEL = "service"


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One entry of the platform's list of backend servers.

    Attributes:
        id: The id of the server, which it keeps when it starts again.
        version: Which change of the store wrote the entry; higher ones are newer.
        service: The service it belongs to, or an empty string where the entry was removed.
        server: The server, or None where the entry was removed.
        born: When it started, in milliseconds since 1970, or 0 where that is not told.
    """

    id: str
    version: int
    service: str = ""
    server: BackendServer | None = None
    born: int = 0


def listed_server(
    id_: str,
    service: str,
    address: str,
    datacentre: str,
    slots: int,
    draining: bool,
    born: int = 0,
) -> BackendServer:
    """Return a server of the platform's list, which tells less than operators' documents do.

    A server that starts again holds nothing of before, so that each start has a name of its own:
    whatever is kept by name, such as parts of prompts, room for results, load or failures, is then
    not taken to hold for the next start.

    Args:
        id_: The id of the server, which becomes a label, and with its start its name.
        service: The service it belongs to, which becomes a label.
        address: Its IP number and port.
        datacentre: The data centre it stands in.
        slots: How many calls it runs at once.
        draining: Whether it is to get no new work.
        born: When it started, in milliseconds since 1970, or 0 where that is not told.
    """
    return BackendServer(
        name=f"{id_}@{born}" if born else id_,
        labels={SERVICE_LABEL: service, ID_LABEL: id_},
        serves="service",
        address=address,
        datacentre=datacentre,
        accelerator="",
        price=1.0,
        slots=max(1, slots),
        draining=draining,
        models=(),
    )
