# absentinstances.py -- Keeps versions that instances may use which nobody hears of
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Keeps versions that instances may use which nobody hears of."""

from __future__ import annotations

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.fleet import Fleet
from mountladder.membership.instance import Instance
from mountladder.membership.membership import DROPPED_MS
from mountladder.streams.originregistry import MAX_STREAM_MS
from mountladder.streams.versionhistory import VersionHistory

CHECK_MS = 500.0
# By then an instance that is heard of has heard of a change of the list of servers.
CHANGE_KNOWN_MS = 1_500.0
# By then an instance that has just become known has been heard of, unless it is silent.
FIRST_CONTACT_MS = 3_000.0


class AbsentInstances:
    """Tracks instances that fell silent without having ended, and the versions that they may use.

    An instance that is cut off goes on with the list of servers that it had, for up to an hour, so
    that it may begin streams at versions which are not listed any more. It has ended if it said
    that it leaves, or if it has started again. One that has crashed looks like one that is cut off.

    Args:
        fleet: The other instances.
        history: The versions that have lately served each service.
        clock: The clock.

    Attributes:
        started: When this was created.
        noticed_at: Since when a link is kept to each instance, by incarnation.
        lost: Instances that are silent, and when they were last heard of, by name.
        ended: The instances that have ended, by incarnation.
    """

    def __init__(self, fleet: Fleet, history: VersionHistory, clock: Clock) -> None:
        self.fleet = fleet
        self.history = history
        self.clock = clock
        self.started = clock.now()
        self.noticed_at: dict[str, float] = {}
        self.lost: dict[str, tuple[Instance, float]] = {}
        self.ended: set[str] = set()

    def run(self) -> None:
        """Keep the versions that silent instances may use, forever."""
        while True:
            self.check()
            self.clock.sleep(CHECK_MS)

    def check(self) -> None:
        """Find the silent instances, and keep the versions that they may use."""
        known = self.fleet.membership.known
        # In a large fleet not all instances hear of each other.
        targets = {one.name: one for one in self.fleet.targets()}
        noticed_at, now = self.noticed_at, self.clock.now()
        incarnations = [one.incarnation for one in targets.values()]
        self.noticed_at = {one: noticed_at.get(one, now) for one in incarnations}
        lost = {name: known[name] for name in self.lost.keys() & known.keys()}
        for one in (targets | lost).values():
            self.check_instance(one)
        self.ended &= {one.incarnation for one in known.values()}
        oldest = now - DROPPED_MS
        # Those that are known stay, so that they are not taken for newly lost.
        self.lost = {
            name: found for name, found in self.lost.items() if found[1] > oldest or name in known
        }
        absent_since = [at for _, at in self.lost.values() if at > oldest]
        if absent_since:
            self.history.mark_used(min(absent_since) - CHANGE_KNOWN_MS)

    def check_instance(self, instance: Instance) -> None:
        """Note whether an instance is silent."""
        name, incarnation = instance.name, instance.incarnation
        if incarnation in self.fleet.membership.leaving:
            self.ended.add(incarnation)
        is_absent = not (self.fleet.is_alive(instance) or incarnation in self.ended)
        found = self.lost.get(name)
        if found is not None and (not is_absent or found[0].incarnation != incarnation):
            del self.lost[name]
            log_message("instance-not-absent", instance=name, incarnation=found[0].incarnation)
        known_ms = self.clock.now() - self.noticed_at.get(incarnation, float("-inf"))
        if is_absent and name not in self.lost and known_ms >= FIRST_CONTACT_MS:
            self.lost[name] = (instance, self.last_heard(instance))
            log_message("instance-absent", instance=name, incarnation=incarnation)

    def last_heard(self, instance: Instance) -> float:
        """Return when an instance was last heard of, or if never, may have been by others."""
        now = self.clock.now()
        at = self.fleet.membership.last_seen.get(instance.incarnation)
        if at is not None:
            return at
        return self.started if now - self.started < MAX_STREAM_MS else now
