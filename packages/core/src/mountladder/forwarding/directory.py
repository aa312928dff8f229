# directory.py -- The list of backend servers as known from the store and from peers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The list of backend servers as known from the store and from peers."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.softwareversion import version_of
from mountladder.forwarding.datacentredrains import DatacentreDrains
from mountladder.forwarding.serverrecord import ID_LABEL, ServerRecord, lacks_version
from mountladder.store.position import BEGINNING, Position

# Entries that expired during an outage of the store are rewritten within about two seconds of its
# return, so that a server only counts as gone if its entry is missing for longer.
REAPPEAR_MS = 2_000.0
# An entry may also expire in an outage that this instance did not notice, so removed entries are
# always kept in use for a while. A leaving server serves for at least two seconds more; half of
# that is safe.
REMOVAL_GRACE_MS = 1_000.0
# Removed entries are remembered so that an older copy from a peer does not restore them.
MAX_REMOVED = 1_024


class Directory:
    """The backend servers of every service, merged from the platform's list and from peers.

    The position of an entry never decreases, whether the store or a peer reports it.

    Args:
        clock: The clock.

    Attributes:
        records: The newest entry of each server, removed ones included.
        position: The position of the store up to which the list is complete.
        newest: The highest position among the entries; compared with that of a peer.
        cold_until: When servers that reported a cold start will be warm, by id.
        by_address: The listed servers by their addresses.
        closed: The addresses of the listed servers that are leaving or in a drained data centre.
            Nothing at all is sent to them, not even releases: the results that they hold expire.
        avoided: The unreachable data centres, whose servers are not used if there are others.
        drains: The data centres that the operator drains.
        leaving_since: Returns when a server, given by name, first announced in an answer that it is
            leaving, or None.
        has_left: Returns whether all servers of a software version, given by service and version,
            leave or have left.
        listeners: Called after each change.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.records: dict[str, ServerRecord] = {}
        self.position = BEGINNING
        self.newest = BEGINNING
        self.cold_until: dict[str, float] = {}
        self.store_reachable_at = float("-inf")
        self.expiring: dict[str, tuple[ServerRecord, float]] = {}
        self.services: dict[str, tuple[BackendServer, ...]] = {}
        self.reachable: dict[str, tuple[BackendServer, ...]] = {}
        self.by_address: dict[str, BackendServer] = {}
        self.closed: frozenset[str] = frozenset()
        self.avoided: frozenset[str] = frozenset()
        self.listeners: list[Callable[[], None]] = []
        self.drains = DatacentreDrains(clock)
        self.drains.listeners.append(self.rebuild)
        self.leaving_since: Callable[[str], float | None] = lambda name: None
        self.has_left: Callable[[str, str], bool] = lambda service, version: False
        self.rebuild_at = math.inf

    @property
    def ready(self) -> bool:
        """Return whether the list was ever read."""
        return self.position > BEGINNING

    def reappear_ms(self) -> float:
        """Return for how long removed entries may still reappear after an outage, in ms."""
        return max(0.0, self.store_reachable_at + REAPPEAR_MS - self.clock.now())

    def apply(
        self,
        records: Iterable[ServerRecord],
        position: Position,
        source: str,
        reappear_ms: float = 0.0,
    ) -> None:
        """Apply changed entries.

        Args:
            records: The entries; those that are not newer than the known ones are ignored.
            position: The position of the store up to which the sender's list is complete.
            source: Where the entries came from, for the log.
            reappear_ms: For how long removed entries may still reappear, as known by the sender.
        """
        until = self.clock.now() + max(REMOVAL_GRACE_MS, reappear_ms, self.reappear_ms())
        changed = [one for one in records if self.is_newer(one)]
        for record in changed:
            self.apply_record(record, source, until)
        self.position = max(self.position, position)
        if changed:
            self.forget_oldest()
            self.rebuild()

    def replace(self, records: Iterable[ServerRecord], position: Position, source: str) -> None:
        """Apply the whole list; entries that it lacks were removed, unless it is an old copy.

        If the store was restored from an older copy, live servers rewrite missing entries, as after
        an outage.
        """
        listed = list(records)
        if self.position > BEGINNING and position.era > self.position.era:
            self.mark_store_reachable()
        if position >= self.position:
            names = {one.id for one in listed}
            missing = [one for one in self.records.values() if one.server and one.id not in names]
            listed += [ServerRecord(one.id, position) for one in missing]
        self.apply(listed, position, source)

    def is_newer(self, record: ServerRecord) -> bool:
        """Return whether an entry is newer than the known one."""
        known = self.records.get(record.id)
        if known is None or record.position > known.position:
            return True
        # An instance of an older build passes entries on without versions.
        adds_version = lacks_version(known) and not lacks_version(record)
        return record.position == known.position and adds_version

    def lacks_versions(self) -> bool:
        """Return whether the software version of a listed server is unknown."""
        return any(lacks_version(one) for one in self.records.values())

    def apply_record(self, record: ServerRecord, source: str, until: float) -> None:
        """Apply one newer entry; a removed server stays in use while its entry may reappear."""
        known = self.records.get(record.id)
        if known is not None and record.is_older_copy(known):
            self.keep_known(known, record, source)
            return
        if known is not None:
            record = record.after(known)
        self.records[record.id] = record
        self.newest = max(self.newest, record.position)
        self.note_cold(record)
        self.expiring.pop(record.id, None)
        served = known is not None and known.server is not None and not known.server.draining
        if record.server is None and served and self.clock.now() < until:
            self.expiring[record.id] = (known, until)
        log_message(
            "server-listed" if record.server else "server-removed",
            server=record.id,
            service=record.service,
            address=record.server.address if record.server else "",
            draining=bool(record.server and record.server.draining),
            software=version_of(record.server) if record.server else "",
            born=record.born,
            started_again=bool(known and known.born < record.born),
            era=record.position.era,
            version=record.position.version,
            cold_ms=round(record.cold_ms),
            kept_for_ms=round(until - self.clock.now()) if record.id in self.expiring else 0,
            source=source,
        )

    def keep_known(self, known: ServerRecord, copy: ServerRecord, source: str) -> None:
        """Keep the known entry of a server where a restored store holds an older one."""
        self.records[known.id] = replace(known, position=copy.position)
        self.newest = max(self.newest, copy.position)
        log_message(
            "older-copy-ignored",
            server=known.id,
            known="gone" if known.server is None else "draining" if known.server.draining else "",
            era=copy.position.era,
            version=copy.position.version,
            source=source,
        )

    def note_cold(self, record: ServerRecord) -> None:
        """Record until when a server is cold; kept while its entry is missing."""
        now = self.clock.now()
        self.cold_until = {id_: until for id_, until in self.cold_until.items() if until > now}
        if record.server is None:
            return
        self.cold_until.pop(record.id, None)
        if record.cold_ms > 0:
            self.cold_until[record.id] = now + record.cold_ms

    def forget_oldest(self) -> None:
        """Drop the oldest removed entries above the limit."""
        removed = [one for one in self.records.values() if one.server is None]
        if len(removed) > MAX_REMOVED:
            removed.sort(key=lambda one: one.position)
            for record in removed[: len(removed) - MAX_REMOVED]:
                del self.records[record.id]

    def mark_store_reachable(self) -> None:
        """Record that the store answers again after an outage."""
        self.store_reachable_at = self.clock.now()

    def available(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service that new work may be sent to."""
        if self.expiring:
            self.drop_expired()
        if self.rebuild_at < math.inf and self.clock.now() >= self.rebuild_at:
            self.rebuild()
        return self.reachable.get(service, ())

    def find(self, name: str) -> BackendServer | None:
        """Return a listed server by its name, which is unique to each start, or None."""
        for record in self.records.values():
            if record.server is not None and record.server.name == name:
                return record.server
        return None

    def current_version(self, server: BackendServer) -> str:
        """Return the software version by the newest entry with a server's id.

        It differs from that of the given server if that has started again at another version.
        """
        record = self.records.get(server.labels[ID_LABEL])
        newest = record.server if record is not None else None
        return version_of(newest or server)

    def avoid(self, datacentres: frozenset[str]) -> None:
        """Exclude the servers of unreachable data centres from services that have others."""
        self.avoided = datacentres
        self.rebuild()

    def drop_expired(self) -> None:
        """Drop servers whose entries have not reappeared in time."""
        now = self.clock.now()
        late = [id_ for id_, (_, until) in self.expiring.items() if until <= now]
        for id_ in late:
            del self.expiring[id_]
            log_message("server-expired", server=id_, waited_ms=REAPPEAR_MS)
        if late:
            self.rebuild()

    def rebuild(self) -> None:
        """Recompute the available servers of each service and notify the listeners."""
        records = [*self.records.values(), *(record for record, _ in self.expiring.values())]
        listed = [
            one for one in records if one.server is not None and self.accepts_work(one.server)
        ]
        staying = [one for one in listed if self.leaving_since(one.server.name) is None]
        self.services = _by_service(self.just_leaving(listed)) | _by_service(staying)
        self.reachable = {
            name: self.outside_unreachable(all_) for name, all_ in self.services.items()
        }
        servers = [one.server for one in self.records.values() if one.server is not None]
        self.by_address = {one.address: one for one in servers}
        self.closed = frozenset(one.address for one in servers if self.is_closed(one))
        for listener in self.listeners:
            listener()

    def just_leaving(self, records: Sequence[ServerRecord]) -> list[ServerRecord]:
        """Return the entries of servers that announced only a moment ago that they are leaving.

        A service that has no others goes on using them for a while, in which new ones may start.
        """
        now = self.clock.now()
        announced_at = {one.id: self.leaving_since(one.server.name) for one in records}
        until = {
            id_: since + REMOVAL_GRACE_MS
            for id_, since in announced_at.items()
            if since is not None
        }
        self.rebuild_at = min((at for at in until.values() if at > now), default=math.inf)
        return [one for one in records if until.get(one.id, now) > now]

    def accepts_work(self, server: BackendServer) -> bool:
        """Return whether new work may be sent to a listed server."""
        return not server.draining and not self.drains.is_drained(server.datacentre)

    def outside_unreachable(self, servers: tuple[BackendServer, ...]) -> tuple[BackendServer, ...]:
        """Return the servers outside unreachable data centres, or all if there are none."""
        return tuple(one for one in servers if one.datacentre not in self.avoided) or servers

    def is_unreachable(self, service: str) -> bool:
        """Return whether a service has servers, all of them in unreachable data centres."""
        servers = self.services.get(service, ())
        return bool(servers) and all(one.datacentre in self.avoided for one in servers)

    def is_drained(self, service: str) -> bool:
        """Return whether a service has servers, all of them in drained data centres."""
        if not self.drains.any_active:
            return False
        listed = [one.server for one in self.records.values() if one.service == service]
        found = [one for one in listed if one is not None and not one.draining]
        return bool(found) and all(self.drains.is_drained(one.datacentre) for one in found)

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a listed server is leaving, by its entry or by its answers."""
        return server.draining or self.leaving_since(server.name) is not None

    def may_have_left(self, server: BackendServer) -> bool:
        """Return whether a server is leaving, or its start is no longer listed."""
        id_ = server.labels[ID_LABEL]
        record, _ = self.expiring.get(id_, (self.records.get(id_), 0.0))
        listed = record.server if record is not None else None
        return listed is None or listed.name != server.name or self.is_leaving(listed)

    def is_closed(self, server: BackendServer) -> bool:
        """Return whether a listed server is leaving or in a drained data centre."""
        return self.is_leaving(server) or self.drains.is_drained(server.datacentre)

    def names(self) -> frozenset[str]:
        """Return the names of the listed servers."""
        return frozenset(one.server.name for one in self.records.values() if one.server is not None)

    def kept_names(self) -> frozenset[str]:
        """Return the names of the listed servers and of those whose entries may reappear."""
        expiring = (record.server.name for record, _ in self.expiring.values() if record.server)
        return self.names().union(expiring)

    def changed_since(self, position: Position) -> list[ServerRecord]:
        """Return the entries that changed after a position, the oldest change first.

        In this order, a receiver that gets only some of them lacks only newer ones. Their
        `cold_ms` counts from now.
        """
        now = self.clock.now()
        changed = [one for one in self.records.values() if one.position > position]
        ordered = sorted(changed, key=lambda one: one.position)
        cold_ms = {one.id: max(0.0, self.cold_until.get(one.id, now) - now) for one in ordered}
        return [replace(one, cold_ms=cold_ms[one.id]) for one in ordered]


def _by_service(records: Iterable[ServerRecord]) -> dict[str, tuple[BackendServer, ...]]:
    found: dict[str, list[BackendServer]] = {}
    for record in records:
        found.setdefault(record.service, []).append(record.server)
    return {name: tuple(servers) for name, servers in found.items()}
