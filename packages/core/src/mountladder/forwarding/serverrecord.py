# serverrecord.py -- An entry of the platform's list of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An entry of the platform's list of backend servers."""

from __future__ import annotations

from dataclasses import dataclass, replace

from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.softwareversion import VERSION_LABEL, version_of
from mountladder.store.position import Position

# The label of a listed server that holds its id.
ID_LABEL = "id"
# The label that holds its service.
SERVICE_LABEL = "service"


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """An entry of the platform's list of backend servers.

    Attributes:
        id: The id of the server, which it keeps when it restarts.
        position: The change in the store that wrote the entry; higher ones are newer.
        service: The service it belongs to, or an empty string where the entry was removed.
        server: The server, or None where the entry was removed.
        born: When it started, in milliseconds since 1970, or 0 if that is unknown.
        sequence: How often the server has written its entry since it started; of a removed entry,
            the last known number.
        cold_ms: How much longer the server stays cold after its start, from when this is sent.
    """

    id: str
    position: Position
    service: str = ""
    server: BackendServer | None = None
    born: int = 0
    sequence: int = 0
    cold_ms: float = 0.0

    def after(self, known: ServerRecord) -> ServerRecord:
        """Return the same with what it does not tell but the known entry does.

        A removed entry tells no start, and one that an instance of an older build passed on no
        software version, which stays the same from a server's start to its end.
        """
        before, server = known.server, self.server
        if server is None:
            return replace(self, born=known.born, sequence=known.sequence)
        if before is None or not lacks_version(self) or lacks_version(known):
            return self
        if not self.born or self.born != known.born:
            return self
        labels = server.labels | {VERSION_LABEL: before.labels[VERSION_LABEL]}
        return replace(self, server=replace(server, labels=labels))

    def is_older_copy(self, known: ServerRecord) -> bool:
        """Return whether this entry comes from a restored store and is older than the known one.

        Such an entry has a newer position than the known one, and yet it may list a server as ready
        that has announced since that it is leaving, or one that is gone.
        """
        own, before = (self.born, self.sequence), (known.born, known.sequence)
        newer_era = self.position.era > known.position.era
        return newer_era and self.server is not None and own <= before


def listed_server(
    id_: str,
    service: str,
    address: str,
    datacentre: str,
    slots: int,
    draining: bool,
    born: int = 0,
    version: str = "",
) -> BackendServer:
    """Return a server of the platform's list, with defaults for what the list does not contain.

    A restarted server has lost its state, so each start gets its own name: state that is tracked
    by name, such as cached prompt parts, memory for results, load or failures, is then not carried
    over to the next start.

    Args:
        id_: The id of the server, which becomes a label and, with its start time, its name.
        service: The service it belongs to, which becomes a label.
        address: Its IP number and port.
        datacentre: The data centre it runs in.
        slots: How many calls it runs at the same time.
        draining: Whether it is to get no new work.
        born: When it started, in milliseconds since 1970, or 0 if that is unknown.
        version: The version of its software, or an empty string if that is unknown.
    """
    labels = {SERVICE_LABEL: service, ID_LABEL: id_}
    return BackendServer(
        # Unless its id is marked as well, one that contains the mark could be another one's name.
        name=f"{id_}@{born}" if born or "@" in id_ else id_,
        labels=labels | {VERSION_LABEL: version} if version else labels,
        serves="service",
        address=address,
        datacentre=datacentre,
        accelerator="",
        price=1.0,
        slots=max(1, slots),
        draining=draining,
        models=(),
    )


def start_of(server: BackendServer) -> int:
    """Return when a listed server started, in milliseconds since 1970; 0 if that is unknown."""
    _, mark, born = server.name.rpartition("@")
    return int(born) if mark else 0


def lacks_version(record: ServerRecord) -> bool:
    """Return whether an entry names a server, but not the version of its software."""
    return record.server is not None and not version_of(record.server)
