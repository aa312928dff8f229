# placementcoordinator.py -- Places prompts on model servers for all instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Places prompts on model servers for all instances."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence

from eliot import log_message

from mountladder.admission.promptusage import PromptUsage
from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.continuation.backupplacement import BackupPlacement
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.coldservers import ColdServers
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.placedprompt import PlacedPrompt
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.retryschedule import RetrySchedule
from mountladder.memory.serverbytes import ServerBytes
from mountladder.performance.worktype import WorkType
from mountladder.routing.prefillspeed import INITIAL_TOKENS_PER_MS, MIN_TOKENS
from mountladder.routing.promptchoice import PromptChoice
from mountladder.routing.promptplacement import FIRST_TOKEN_MS, PromptPlacement
from mountladder.routing.router import Router
from mountladder.routing.serverdelays import ServerDelays
from mountladder.routing.serverstate import ServerState
from mountladder.serverlimits.serverlimits import ServerLimits

# The owner id of this instance's own prompts; peers are identified by their link.
LOCAL_OWNER = 0


class PlacementCoordinator:
    """Places the prompts of a service for all instances that have this one as coordinator.

    It knows which prompts every server is processing and which prompt parts it has cached. Other
    instances only know their own requests.

    Args:
        directory: The list of backend servers.
        router: Holds the state of each server.
        clock: The clock.
        follower: Holds the catalogue in force.
        cold: Limits the requests to servers that have just started.
        limits: Enforces the rate limits that servers announce.

    Attributes:
        placed: The prompts on servers, by owner and order number.
        prefilling: Keys of the placed prompts whose prefill has not finished.
        backups: Chooses the servers that keep copies of prompts' caches.
        usage: What placed prompts take up, and for how long.
        bytes: Counts and limits the bytes of requests at each server.
        retry_schedules: Assigns retry times to rejected requests, by service.
        verify: Checks whether this instance can open a connection to a server, and uses it again
            if so.
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
        limits.rooms.counts.append(self.placement.running_prompts.__getitem__)
        self.backups = BackupPlacement(self.placement, clock)
        self.usage = PromptUsage()
        self.bytes = ServerBytes()
        self.placed: dict[tuple[Hashable, int], PlacedPrompt] = {}
        self.prefilling: set[tuple[Hashable, int]] = set()
        self.retry_schedules: dict[str, RetrySchedule] = {}
        self.verify: Callable[[ServerState], None] = lambda state: None

    def place(self, order: PlacementOrder, owner: Hashable, datacentre: str = "") -> PlacementReply:
        """Choose a server for a prompt and record the prompt as sent to it.

        Args:
            order: The prompt and the constraints on its server.
            owner: Identifies the instance that sends the prompt.
            datacentre: The data centre of that instance.
        """
        self.router.on_demand(order.service)
        servers = self.directory.available(order.service)
        topic = prompts_topic(order.service)
        delays = ServerDelays(self.cold.cold(servers), self.limits.waits_ms(servers, topic))
        chosen = self.choose(order, servers, delays, topic)
        if chosen is None:
            return self.reject(order, servers, delays)
        choice, plan = chosen.choice, chosen.plan
        server = choice.state.server.name
        choice.state.breaker.begin()
        self.cold.record_sent(choice.state.server)
        self.limits.record_reserved(choice.state.server, topic)
        key = (owner, order.number)
        self.record_placed(key, order, chosen)
        service = self.follower.service(order.service)
        backup = self.backups.place(key, order, server, servers, service, datacentre)
        return PlacementReply(
            order.number,
            server,
            choice.expected_ms,
            plan.source,
            plan.prefill_tokens,
            delays.waits_ms.get(server, 0.0),
            backup,
        )

    def record_placed(
        self, key: tuple[Hashable, int], order: PlacementOrder, chosen: PromptChoice
    ) -> None:
        """Record that a prompt is sent to its server."""
        choice, plan, now = chosen.choice, chosen.plan, self.clock.now()
        server = choice.state.server.name
        ahead = self.placement.pending_tokens[server]
        cached = self.placement.cached_tokens(choice.state, order.prompt)
        self.placed[key] = placed = PlacedPrompt(
            server,
            plan.prefill_tokens,
            choice.unloaded_ms,
            0 if plan.source else ahead + plan.prefill_tokens,
            order.service,
            order.urgency,
            max(0, order.prompt.tokens - cached) + order.prompt.max_output,
            now,
            order.size,
        )
        if order.size:
            self.bytes.begin(order.service, server, order.size, now)
        self.prefilling.add(key)
        self.usage.record_start(placed)
        self.placement.record_start(server, order.prompt, plan.prefill_tokens)

    def choose(
        self,
        order: PlacementOrder,
        servers: Sequence[BackendServer],
        delays: ServerDelays,
        topic: str,
    ) -> PromptChoice | None:
        """Return the server chosen for a prompt, or None if none accepts it."""
        if delays.all_limited(servers) and self.must_yield(order):
            return None
        exhausted = self.cold.exhausted(servers, delays.cold, topic)
        constraints = order.constraints.without(exhausted | self.full(order, servers))
        service = self.follower.service(order.service)
        transfer = service.transfer if service else None
        return self.placement.choose(servers, order.prompt, constraints, transfer, delays)

    def full(self, order: PlacementOrder, servers: Sequence[BackendServer]) -> frozenset[str]:
        """Return the servers without room for a request; see ServerBytes and RoomLimits."""
        names = (one.name for one in servers)
        return self.bytes.full(order.service, names, order.size) | self.limits.rooms.full(
            servers, prompts_topic(order.service)
        )

    def must_yield(self, order: PlacementOrder) -> bool:
        """Return whether a request must leave limited capacity to more urgent ones."""
        schedule = self.retry_schedules.get(order.service)
        return schedule is not None and schedule.must_yield(order.urgency, self.clock.now())

    def reject(
        self, order: PlacementOrder, servers: Sequence[BackendServer], delays: ServerDelays
    ) -> PlacementReply:
        """Return a reply without a server, with the time to retry after if that is known."""
        if self.full(order, servers) - set(order.excluded):
            return PlacementReply(order.number, "", 0.0, is_full=True)
        if not servers or not delays.all_limited(servers):
            return PlacementReply(order.number, "", 0.0)
        topic = prompts_topic(order.service)
        schedule = self.retry_schedules.setdefault(order.service, RetrySchedule())
        wait_ms = min(delays.waits_ms.values()) - order.max_wait_ms
        per_s = sum(self.limits.request_per_s(one, topic) for one in servers)
        retry_after_ms = schedule.add(order.urgency, wait_ms, per_s, self.clock.now())
        return PlacementReply(order.number, "", 0.0, wait_ms=retry_after_ms)

    def apply_note(self, note: PlacementNote, owner: Hashable) -> None:
        """Apply a report on the progress of a placed prompt."""
        key = (owner, note.number)
        placed = self.placed.get(key)
        if placed is None:
            return
        was_read = key not in self.prefilling or note.read_ms > 0
        if note.read_ms > 0 or note.ended:
            self.record_prefill(key, placed, note.read_ms)
        if note.gone and owner != LOCAL_OWNER:
            self.trip_breaker(placed.server, note.unreachable)
        if note.rejected:
            self.record_rejected(placed.server)
        if note.event_ms > 0:
            self.learn(placed.server, WorkType.EVENTS, note.event_ms)
        if note.ended:
            del self.placed[key]
            self.backups.end(key)
            if placed.size:
                self.bytes.end(placed.server, placed.size, self.clock.now())
            self.placement.record_end(placed.server)
            self.usage.record_end(placed, was_read, self.clock.now())

    def record_rejected(self, server: str) -> None:
        """Record that a server rejected a prompt, which is still counted as in progress there."""
        state = self.router.states.get(server)
        if state is not None:
            running = self.limits.rooms.running(server) - 1
            self.limits.rooms.record_rejected(state.server, running)

    def trip_breaker(self, server: str, unreachable: bool) -> None:
        """Trip the circuit breaker of a server that an instance could not reach or use.

        An unreachable server has no prompts to process, so it would be chosen first, and one
        instance after the other would have a request fail there.

        Args:
            server: The server's name.
            unreachable: Whether the instance could not connect, which is verified from here: it may
                have lost its own connections to all servers.
        """
        state = self.router.states.get(server)
        now = self.clock.now()
        # Failures of requests that were already sent when the breaker tripped are no new evidence.
        if state is not None and (state.breaker.allows(now) or state.breaker.probing):
            state.breaker.trip(now)
            log_message(
                "server-unreachable", server=server, reason="an instance could not connect to it"
            )
            if unreachable:
                self.verify(state)

    def record_prefill(
        self, key: tuple[Hashable, int], placed: PlacedPrompt, read_ms: float
    ) -> None:
        """Record that a server has prefilled a prompt, and how long that took."""
        if key not in self.prefilling:
            return
        self.prefilling.discard(key)
        self.placement.record_read(placed.server, placed.prefill_tokens)
        state = self.router.states.get(placed.server)
        factor = state.pace.factor if state is not None else 1.0
        tells_speed = read_ms > 0
        if state is not None and read_ms > 0:
            state.breaker.succeed()
            ratio = read_ms / placed.expected_ms / factor
            tells_speed = state.record_time_ratio(ratio, self.clock.now(), placed.placed_at)
            if tells_speed:
                self.learn_prefill(placed, read_ms)
        elif state is not None:
            state.breaker.abandon()
        if tells_speed:
            # The speed is that of a usual server; the factor of this one comes on top.
            self.placement.speed.learn(placed.queued_tokens, read_ms / factor)

    def learn_prefill(self, placed: PlacedPrompt, read_ms: float) -> None:
        """Learn a server's speed from a prompt that was long enough to tell.

        Tokens queued ahead of the prompt are included in the expected time, since the load is not
        part of the speed. The time of a fetch depends on the network. The reading speed assumed
        here is constant, so that what is learnt about one does not change the other.
        """
        if placed.queued_tokens >= MIN_TOKENS:
            tokens_ms = placed.queued_tokens / INITIAL_TOKENS_PER_MS
            self.learn(placed.server, WorkType.PREFILL, read_ms / (FIRST_TOKEN_MS + tokens_ms))

    def learn(self, server: str, work: WorkType, ratio: float) -> None:
        """Learn a server's speed from work that it has done; see SpeedTable.record."""
        state = self.router.states.get(server)
        if state is not None and self.router.speeds is not None:
            self.router.speeds.record(state.server, work, ratio)

    def forget_owner(self, owner: Hashable) -> None:
        """Remove the prompts of an instance that is no longer reachable."""
        self.backups.lapse(owner)
        for key in [key for key in self.placed if key[0] == owner]:
            self.apply_note(PlacementNote(key[1], 0.0, True), owner)
