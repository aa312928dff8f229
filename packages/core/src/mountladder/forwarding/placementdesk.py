# placementdesk.py -- Placing the prompts of all instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Placing the prompts of all instances."""

from __future__ import annotations

from collections.abc import Hashable

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.placedprompt import PlacedPrompt
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.ranking import prompts_topic
from mountladder.routing.promptplacement import PromptPlacement
from mountladder.routing.router import Router

# Stands for this instance among those that have prompts placed.
HERE = 0


class PlacementDesk:
    """Places the prompts of a service for all instances that leave that to this one.

    It knows what every server reads and holds, which no instance knows by itself.

    Args:
        directory: Which servers there are.
        router: What is known of each server.
        clock: The clock.
        follower: The catalogue in force.
        cold: Limits what servers get that have just started.

    Attributes:
        placed: The prompts that are at servers, by who placed them and the order's number.
    """

    def __init__(
        self,
        directory: Directory,
        router: Router,
        clock: Clock,
        follower: CatalogueFollower,
        cold: ColdServers,
    ) -> None:
        self.directory = directory
        self.router = router
        self.clock = clock
        self.follower = follower
        self.cold = cold
        self.placement = PromptPlacement(clock, router)
        self.placed: dict[tuple[Hashable, int], PlacedPrompt] = {}
        self.unread: set[tuple[Hashable, int]] = set()

    def place(self, order: PlacementOrder, owner: Hashable) -> PlacementReply:
        """Return where a prompt is to go, and remember that it is sent there.

        Args:
            order: The prompt.
            owner: Stands for the instance that sends it.
        """
        servers = self.directory.available(order.service)
        cold = self.cold.cold(servers)
        spent = self.cold.spent(servers, cold, prompts_topic(order.service))
        excluded = frozenset(order.excluded) | spent
        service = self.follower.service(order.service)
        transfer = service.transfer if service else None
        chosen = self.placement.choose(servers, order.prompt, excluded, order.site, transfer, cold)
        if chosen is None:
            return PlacementReply(order.number, "", 0.0)
        choice = chosen.choice
        server = choice.state.server.name
        plan = chosen.plan
        ahead = self.placement.reading[server]
        choice.state.breaker.begin()
        self.cold.sent(choice.state.server)
        key = (owner, order.number)
        self.placed[key] = PlacedPrompt(
            server, plan.read, choice.unloaded_ms, 0 if plan.source else ahead + plan.read
        )
        self.unread.add(key)
        self.placement.began(server, order.prompt, plan.read)
        return PlacementReply(order.number, server, choice.expected_ms, plan.source, plan.read)

    def note(self, note: PlacementNote, owner: Hashable) -> None:
        """Take in what became of a prompt."""
        key = (owner, note.number)
        placed = self.placed.get(key)
        if placed is None:
            return
        if note.read_ms > 0 or note.ended:
            self.take_read(key, placed, note.read_ms)
        if note.gone and owner != HERE:
            self.take_out(placed.server)
        if note.ended:
            del self.placed[key]
            self.placement.ended(placed.server)

    def take_out(self, server: str) -> None:
        """Send no more prompts to a server that an instance could not reach, but for a trial.

        It has nothing to read, so that without this it is chosen first, by one instance after the
        other until each has learnt of it by a failed request of its own.
        """
        state = self.router.states.get(server)
        now = self.clock.now()
        # Those that were on their way when it went tell nothing new.
        if state is not None and (state.breaker.allows(now) or state.breaker.trying):
            state.breaker.trip(now)
            log_message("server-out", server=server, reason="an instance could not reach it")

    def take_read(self, key: tuple[Hashable, int], placed: PlacedPrompt, read_ms: float) -> None:
        """Take in that a server has read a prompt, and how long that took."""
        if key not in self.unread:
            return
        self.unread.discard(key)
        self.placement.read(placed.server, placed.read)
        if read_ms > 0:
            self.placement.speed.learn(placed.tokens, read_ms)
        state = self.router.states.get(placed.server)
        if state is None:
            return
        if read_ms > 0:
            state.breaker.succeed()
            state.timed(read_ms / placed.expected_ms, self.clock.now())
        else:
            state.breaker.abandon()

    def drop(self, owner: Hashable) -> None:
        """Forget the prompts of an instance that cannot be reached any more."""
        for key in [key for key in self.placed if key[0] == owner]:
            self.note(PlacementNote(key[1], 0.0, True), owner)
