# serverrecord.py -- What the platform's list says of a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""What the platform's list says of a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.configuration.backendserver import BackendServer
from mountladder.store.position import Position

# The label of a listed server that holds its id.
ID_LABEL = "id"
# And that which holds its service.
SERVICE_LABEL = "service"


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One entry of the platform's list of backend servers.

    Attributes:
        id: The id of the server, which it keeps when it starts again.
        position: Which change of the store wrote the entry; higher ones are newer.
        service: The service it belongs to, or an empty string where the entry was removed.
        server: The server, or None where the entry was removed.
        born: When it started, in milliseconds since 1970, or 0 where that is not told.
        sequence: How often the server had written its entry by then since it started; of a removed
            entry, as far as is known.
        cold_ms: How much longer it stays cold after its start, from when this is told.
    """

    id: str
    position: Position
    service: str = ""
    server: BackendServer | None = None
    born: int = 0
    sequence: int = 0
    cold_ms: float = 0.0

    def is_older_copy(self, known: ServerRecord) -> bool:
        """Tell whether a store that came back older tells of a server what was known before.

        Such an entry has a newer position than the known one, and yet it may call a server ready
        that has said since that it leaves, or name one that has gone.
        """
        told, before = (self.born, self.sequence), (known.born, known.sequence)
        newer_era = self.position.era > known.position.era
        return newer_era and self.server is not None and told <= before


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
