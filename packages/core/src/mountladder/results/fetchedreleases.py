# fetchedreleases.py -- Passes on which results servers have fetched to their coordinators
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Passes on which results servers have fetched to their coordinators."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.serverrecord import SERVICE_LABEL
from mountladder.forwarding.stagerelease import StageRelease
from mountladder.membership.link import Link

if TYPE_CHECKING:
    from mountladder.forwarding.batcher import Batcher

Owner = tuple[str, str]


class FetchedReleases:
    """Passes on which results servers have fetched to the coordinators that account for them.

    Such a message is only a hint: whoever does not account for a result ignores it, and the
    instance that runs the request releases all results again at the end of the stage.

    Args:
        fleet: The other instances.
        batcher: Returns this instance's batcher of a service.
    """

    def __init__(self, fleet: Fleet, batcher: Callable[[str], Batcher]) -> None:
        self.fleet = fleet
        self.batcher = batcher

    def send(self, handles: Sequence[str]) -> None:
        """Report results that servers have fetched, of any service."""
        for owner, grouped in self.by_owner(handles).items():
            link = self.link_to_owner(owner)
            service = owner[0]
            if link is None:
                self.batcher(service).surplus.keep(grouped)
            else:
                self.fleet.send_later(link, StageRelease(service, tuple(grouped), fetched=True))

    def handle(self, release: StageRelease) -> None:
        """Keep fetched results of this data centre as releasable, and pass on the others."""
        here = self.fleet.membership.me.datacentre
        for (service, datacentre), grouped in self.by_owner(release.handles).items():
            if datacentre in {"", here}:
                self.batcher(service).surplus.keep(grouped)
                continue
            link = self.fleet.coordinator_links(service).get(datacentre)
            if link is not None:
                self.fleet.send_later(link, StageRelease(service, tuple(grouped), fetched=True))

    def by_owner(self, handles: Sequence[str]) -> dict[Owner, list[str]]:
        """Return handles by the service and data centre of their servers.

        The data centre is empty for services that are not divided. Results of servers that are not
        listed any more are gone.
        """
        found: dict[Owner, list[str]] = {}
        for handle in handles:
            server = self.fleet.directory.by_address.get(handle.partition("/")[0])
            if server is not None:
                service = server.labels[SERVICE_LABEL]
                divided = self.fleet.division.is_divided(service)
                owner = (service, server.datacentre if divided else "")
                found.setdefault(owner, []).append(handle)
        return found

    def link_to_owner(self, owner: Owner) -> Link | None:
        """Return the link to send fetched results of an owner over; None for this instance.

        An instance that has no link to the coordinator of another data centre sends them to that of
        its own, which has one.
        """
        service, datacentre = owner
        if datacentre not in {"", self.fleet.membership.me.datacentre}:
            link = self.fleet.coordinator_links(service).get(datacentre)
            if link is not None:
                return link
        return self.fleet.coordinator(service)
