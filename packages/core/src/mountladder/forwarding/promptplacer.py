# promptplacer.py -- Places prompts through the coordinator of their service
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Places prompts through the coordinator of their service."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import NoRoomError
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.placementcoordinator import LOCAL_OWNER, PlacementCoordinator
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.ranking import prompts_topic
from mountladder.membership.link import Link
from mountladder.routing.serverconstraints import ServerConstraints

# Timeout for the coordinator's reply, which usually takes 1 to 2 ms. Placing a prompt locally, with
# less information, costs no more than this wait.
REPLY_TIMEOUT_MS = 60.0
# When a caller may retry if servers hold as many bytes as they may, in milliseconds: about as long
# as a request with a prompt runs.
ROOM_RETRY_MS = 1_000.0


class PromptPlacer:
    """Asks a service's coordinator for a server for a prompt, or chooses one locally.

    Args:
        fleet: Connects to the other instances.
        coordinator: Places prompts on this instance.
        clock: The clock.

    Attributes:
        replies: Callbacks for outstanding orders, by order number.
        placed_by: The link to the instance that placed a prompt, or None for this instance, by
            order number.
    """

    def __init__(self, fleet: Fleet, coordinator: PlacementCoordinator, clock: Clock) -> None:
        self.fleet = fleet
        self.coordinator = coordinator
        self.clock = clock
        self.numbers = itertools.count(1)
        self.replies: dict[int, Callable[[PlacementReply], None]] = {}
        self.placed_by: dict[int, Link | None] = {}
        fleet.subscribe(PlacementOrder, self.handle_order)
        fleet.subscribe(PlacementReply, self.handle_reply)
        fleet.subscribe(PlacementNote, self.handle_note)
        fleet.peer_gone.append(lambda link: coordinator.forget_owner(id(link)))

    def place(self, service: str, prompt: Prompt, constraints: ServerConstraints) -> PlacementReply:
        """Return the placement of a prompt; its number identifies the prompt until it ends.

        Raises:
            NoRoomError: The servers that could be chosen hold as many bytes as they may.
        """
        order = self.make_order(service, prompt, constraints)
        link = self.fleet.coordinator(prompts_topic(service))
        reply = self.ask(link, order) if link is not None else None
        if reply is None:
            return self.place_order(order)
        if reply.server:
            self.placed_by[order.number] = link
        return check_room(reply)

    def place_locally(
        self, service: str, prompt: Prompt, constraints: ServerConstraints
    ) -> PlacementReply:
        """Return a placement by what this instance alone knows; see place."""
        return self.place_order(self.make_order(service, prompt, constraints))

    def make_order(
        self, service: str, prompt: Prompt, constraints: ServerConstraints
    ) -> PlacementOrder:
        """Return a new placement order; see place."""
        number, excluded = next(self.numbers), tuple(constraints.excluded)
        return PlacementOrder(
            number,
            service,
            prompt,
            excluded,
            constraints.site,
            constraints.max_wait_ms,
            constraints.urgency,
            constraints.wants_backup,
            constraints.size,
        )

    def place_order(self, order: PlacementOrder) -> PlacementReply:
        """Carry out a placement order on this instance."""
        reply = self.coordinator.place(order, LOCAL_OWNER, self.fleet.membership.me.datacentre)
        if reply.server:
            self.placed_by[order.number] = None
        return check_room(reply)

    def ask(self, link: Link, order: PlacementOrder) -> PlacementReply | None:
        """Send an order to another instance; return None if the reply does not come in time."""
        answered = Event()
        replies: list[PlacementReply] = []

        def receive(reply: PlacementReply) -> None:
            """Store the reply and wake the waiting request."""
            replies.append(reply)
            answered.set()

        self.replies[order.number] = receive
        self.fleet.send_later(link, order)
        try:
            self.clock.wait(answered, REPLY_TIMEOUT_MS)
        finally:
            self.replies.pop(order.number, None)
            if not replies:
                # Without this note the other instance would count the prompt forever, for example
                # after the caller cancelled.
                self.fleet.send_later(link, PlacementNote(order.number, 0.0, True))
        if not replies:
            log_message("placement-unanswered", peer=link.peer.name, waited_ms=REPLY_TIMEOUT_MS)
            return None
        return replies[0]

    def report(
        self,
        number: int,
        read_ms: float = 0.0,
        ended: bool = False,
        gone: bool = False,
        event_ms: float = 0.0,
        unreachable: bool = False,
        rejected: bool = False,
    ) -> None:
        """Report the progress of a prompt to the instance that placed it; see PlacementNote."""
        if number not in self.placed_by:
            return
        link = self.placed_by.pop(number) if ended else self.placed_by[number]
        note = PlacementNote(number, read_ms, ended, gone, event_ms, unreachable, rejected)
        if link is None:
            self.coordinator.apply_note(note, LOCAL_OWNER)
        else:
            self.fleet.send_later(link, note)

    def handle_order(self, order: PlacementOrder, link: Link) -> None:
        """Place a prompt for another instance and send the reply."""
        reply = self.coordinator.place(order, id(link), link.peer.datacentre)
        self.fleet.send_later(link, reply)

    def handle_reply(self, reply: PlacementReply, link: Link) -> None:
        """Pass a reply to the request that waits for it."""
        receive = self.replies.get(reply.number)
        if receive is not None:
            receive(reply)

    def handle_note(self, note: PlacementNote, link: Link) -> None:
        """Apply a progress report of another instance."""
        self.coordinator.apply_note(note, id(link))


def check_room(reply: PlacementReply) -> PlacementReply:
    """Return a reply unless it says that the servers hold as many bytes as they may.

    Raises:
        NoRoomError: It says so.
    """
    if reply.is_full:
        detail = "the servers have no room for a further request"
        raise NoRoomError(detail, Code.SERVERS_LIMITED, retry_after_ms=ROOM_RETRY_MS)
    return reply
