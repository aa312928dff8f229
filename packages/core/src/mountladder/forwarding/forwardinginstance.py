# forwardinginstance.py -- An instance that forwards requests, without its HTTP interface
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An instance that forwards requests, without its HTTP interface."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from mountladder.forwarding.forwardingcomponents import ForwardingComponents
from mountladder.forwarding.readerelection import READER_BEACON_MS
from mountladder.supervision import keep_running

# How often an instance that decides which data centres are unreachable checks them: a small
# fraction of the silence after which one counts as unreachable. Other instances only check whether
# the reports they received are outdated.
REACHABILITY_POLL_MS = 100.0
REACHABILITY_IDLE_POLL_MS = 600.0


class ForwardingInstance(ForwardingComponents):
    """Runs the components that forward requests, except HTTP; see ForwardingComponents."""

    @property
    def leaving(self) -> bool:
        """Return whether the instance is shutting down."""
        return self.shutdown.requested_at is not None

    @property
    def ready(self) -> bool:
        """Return whether the instance can accept requests."""
        is_loaded = self.follower.catalogue is not None and self.directory.ready
        return is_loaded and not self.leaving and not self.is_cut_off

    @property
    def is_cut_off(self) -> bool:
        """Return whether the instance reaches neither a backend server nor any known instance."""
        if not self.isolation.isolated or not self.membership.addressed():
            return False
        return not any(self.fleet.is_answering(link) for link in self.fleet.links.values())

    @property
    def accepts_relayed(self) -> bool:
        """Return whether the instance runs requests for others that reach no backend server."""
        return self.ready and not self.isolation.isolated

    def start(self) -> None:
        """Start the background tasks; closing the stack stops them."""
        self.network.listen(self.me, self.fleet.serve, self.stack)
        loops: tuple[Callable[[], None], ...] = (
            self.catalogue_source.run,
            self.directory_source.run,
            self.member_reader.run,
            self.suspicion_persister.run,
            self.part_persister.run,
            self.origins.updates.run,
            self.origins.absent.run,
            self.origins.contact.run,
            self.origins.version_record.run,
            self.origins.archive.run,
            self.keep_announcing,
            self.keep_checking_reachability,
            self.speed_exchange.run,
            self.handover.run,
            self.cold.leadership.run,
            self.budgets.claim.run,
            self.demand.run,
            self.isolation.run,
            self.fleet.standstill.run,
            self.fleet.run,
        )
        tasks = [gevent.spawn(keep_running, loop, self.clock, self.metrics) for loop in loops]
        self.stack.callback(self.fleet.close)
        self.stack.callback(gevent.killall, tasks, block=False)
        self.stack.callback(self.upstream.close)

    def keep_announcing(self) -> None:
        """Announce periodically that this instance follows the store, while it does."""
        while True:
            self.clock.sleep(READER_BEACON_MS)
            if self.fleet.reader_election.reading:
                self.fleet.announce_reader()

    def keep_checking_reachability(self) -> None:
        """Poll which data centres are reachable, more often where this instance decides it."""
        while True:
            decides_here = bool(self.fleet.coordinators.remote_candidates())
            self.clock.sleep(REACHABILITY_POLL_MS if decides_here else REACHABILITY_IDLE_POLL_MS)
            self.fleet.check_datacentres()

    def leave(self) -> None:
        """Begin the shutdown and announce it to the load balancer and the peers."""
        self.shutdown.begin()
        self.handover.report_all()
        self.fleet.leaving = self.fleet.ranking.leaving = True
        self.fleet.send_heartbeats()

    def close(self) -> None:
        """Stop every task and close all connections."""
        self.stack.close()
