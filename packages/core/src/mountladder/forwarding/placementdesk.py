# placementdesk.py -- Placing the prompts of all instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Placing the prompts of all instances."""

from __future__ import annotations

from collections.abc import Hashable, Sequence

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.placedprompt import PlacedPrompt
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.turnedaway import TurnedAway
from mountladder.routing.promptchoice import PromptChoice
from mountladder.routing.promptplacement import PromptPlacement
from mountladder.routing.router import Router
from mountladder.routing.serverdelays import ServerDelays
from mountladder.serverlimits.serverlimits import ServerLimits

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
        limits: Keeps to what servers say that they take.

    Attributes:
        placed: The prompts that are at servers, by who placed them and the order's number.
        turned_away: Whom servers that limit what they take left no turn, by their service.
    """

    def __init__(
        self,
        directory: Directory,
        router: Router,
        clock: Clock,
        follower: CatalogueFollower,
        cold: ColdServers,
        limits: ServerLimits,
    ) -> None:
        self.directory = directory
        self.router = router
        self.clock = clock
        self.follower = follower
        self.cold = cold
        self.limits = limits
        self.placement = PromptPlacement(clock, router)
        self.placed: dict[tuple[Hashable, int], PlacedPrompt] = {}
        self.unread: set[tuple[Hashable, int]] = set()
        self.turned_away: dict[str, TurnedAway] = {}

    def place(self, order: PlacementOrder, owner: Hashable) -> PlacementReply:
        """Return where a prompt is to go, and remember that it is sent there.

        Args:
            order: The prompt.
            owner: Stands for the instance that sends it.
        """
        servers = self.directory.available(order.service)
        topic = prompts_topic(order.service)
        restraints = ServerDelays(self.cold.cold(servers), self.limits.waits_ms(servers, topic))
        chosen = self.choose(order, servers, restraints, topic)
        if chosen is None:
            return self.turn_away(order, servers, restraints)
        choice = chosen.choice
        server = choice.state.server.name
        plan = chosen.plan
        ahead = self.placement.pending_tokens[server]
        choice.state.breaker.begin()
        self.cold.sent(choice.state.server)
        self.limits.record_sent(choice.state.server, topic)
        key = (owner, order.number)
        self.placed[key] = PlacedPrompt(
            server, plan.read, choice.unloaded_ms, 0 if plan.source else ahead + plan.read
        )
        self.unread.add(key)
        self.placement.record_start(server, order.prompt, plan.read)
        wait_ms = restraints.waits_ms.get(server, 0.0)
        return PlacementReply(
            order.number, server, choice.expected_ms, plan.source, plan.read, wait_ms
        )

    def choose(
        self,
        order: PlacementOrder,
        servers: Sequence[BackendServer],
        restraints: ServerDelays,
        topic: str,
    ) -> PromptChoice | None:
        """Choose a server for a prompt, or none."""
        if restraints.all_limited(servers) and self.gives_way(order):
            return None
        wish = order.wish.without(self.cold.spent(servers, restraints.cold, topic))
        service = self.follower.service(order.service)
        transfer = service.transfer if service else None
        return self.placement.choose(servers, order.prompt, wish, transfer, restraints)

    def gives_way(self, order: PlacementOrder) -> bool:
        """Tell whether a request leaves what servers take to more urgent ones."""
        turned_away = self.turned_away.get(order.service)
        return turned_away is not None and turned_away.gives_way(order.urgency, self.clock.now())

    def turn_away(
        self,
        order: PlacementOrder,
        servers: Sequence[BackendServer],
        restraints: ServerDelays,
    ) -> PlacementReply:
        """Return that no server takes a request, and when it is to come back, if that is known."""
        if not servers or not restraints.all_limited(servers):
            return PlacementReply(order.number, "", 0.0)
        topic = prompts_topic(order.service)
        turned_away = self.turned_away.setdefault(order.service, TurnedAway())
        wait_ms = min(restraints.waits_ms.values()) - order.patience_ms
        per_s = sum(self.limits.per_s(one, topic) for one in servers)
        back_ms = turned_away.add(order.urgency, wait_ms, per_s, self.clock.now())
        return PlacementReply(order.number, "", 0.0, wait_ms=back_ms)

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
            self.placement.record_end(placed.server)

    def take_out(self, server: str) -> None:
        """Send no more prompts to a server that an instance could not reach, but for a trial.

        It has nothing to read, so that without this it is chosen first, by one instance after the
        other until each has learnt of it by a failed request of its own.
        """
        state = self.router.states.get(server)
        now = self.clock.now()
        # Those that were on their way when it went tell nothing new.
        if state is not None and (state.breaker.allows(now) or state.breaker.probing):
            state.breaker.trip(now)
            log_message("server-out", server=server, reason="an instance could not reach it")

    def take_read(self, key: tuple[Hashable, int], placed: PlacedPrompt, read_ms: float) -> None:
        """Take in that a server has read a prompt, and how long that took."""
        if key not in self.unread:
            return
        self.unread.discard(key)
        self.placement.record_read(placed.server, placed.read)
        if read_ms > 0:
            self.placement.speed.learn(placed.tokens, read_ms)
        state = self.router.states.get(placed.server)
        if state is None:
            return
        if read_ms > 0:
            state.breaker.succeed()
            state.record_time_ratio(read_ms / placed.expected_ms, self.clock.now())
        else:
            state.breaker.abandon()

    def drop(self, owner: Hashable) -> None:
        """Forget the prompts of an instance that cannot be reached any more."""
        for key in [key for key in self.placed if key[0] == owner]:
            self.note(PlacementNote(key[1], 0.0, True), owner)
