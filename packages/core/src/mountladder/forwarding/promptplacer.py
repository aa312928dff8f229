# promptplacer.py -- Having prompts placed where those of all instances meet
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Having prompts placed where those of all instances meet."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from eliot import log_message
from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.placementdesk import HERE, PlacementDesk
from mountladder.forwarding.placementnote import PlacementNote
from mountladder.forwarding.placementorder import PlacementOrder
from mountladder.forwarding.placementreply import PlacementReply
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.ranking import prompts_topic
from mountladder.membership.link import Link
from mountladder.routing.serverwish import ServerWish

# How long the other instance is waited for: it answers in a millisecond or two, and a prompt that
# is placed with less knowledge costs no more than this.
REPLY_MS = 60.0


class PromptPlacer:
    """Asks the instance where a service's prompts meet for a server, or decides here without it.

    Args:
        fleet: The other instances.
        desk: Places prompts on this instance.
        clock: The clock.
    """

    def __init__(self, fleet: Fleet, desk: PlacementDesk, clock: Clock) -> None:
        self.fleet = fleet
        self.desk = desk
        self.clock = clock
        self.numbers = itertools.count(1)
        self.replies: dict[int, Callable[[PlacementReply], None]] = {}
        self.homes: dict[int, Link | None] = {}
        fleet.subscribe(PlacementOrder, self.take_order)
        fleet.subscribe(PlacementReply, self.take_reply)
        fleet.subscribe(PlacementNote, self.take_note)
        fleet.peer_gone.append(lambda link: desk.drop(id(link)))

    def place(self, service: str, prompt: Prompt, wish: ServerWish) -> PlacementReply:
        """Return where a prompt is to go; its number stands for it until it has ended."""
        order = self.order(service, prompt, wish)
        link = self.fleet.coordinator(prompts_topic(service))
        reply = self.ask(link, order) if link is not None else None
        if reply is None:
            return self.decide(order)
        if reply.server:
            self.homes[order.number] = link
        return reply

    def place_here(self, service: str, prompt: Prompt, wish: ServerWish) -> PlacementReply:
        """Return where a prompt is to go by what this instance alone knows; see place."""
        return self.decide(self.order(service, prompt, wish))

    def order(self, service: str, prompt: Prompt, wish: ServerWish) -> PlacementOrder:
        """Return a new order for a prompt; see place."""
        number, excluded = next(self.numbers), tuple(wish.excluded)
        return PlacementOrder(
            number, service, prompt, excluded, wish.site, wish.patience_ms, wish.urgency
        )

    def decide(self, order: PlacementOrder) -> PlacementReply:
        """Place a prompt on this instance."""
        reply = self.desk.place(order, HERE)
        if reply.server:
            self.homes[order.number] = None
        return reply

    def ask(self, link: Link, order: PlacementOrder) -> PlacementReply | None:
        """Ask another instance; return None where it does not answer soon."""
        answered = Event()
        replies: list[PlacementReply] = []

        def take(reply: PlacementReply) -> None:
            """Take in the reply."""
            replies.append(reply)
            answered.set()

        self.replies[order.number] = take
        self.fleet.send_later(link, order)
        try:
            self.clock.wait(answered, REPLY_MS)
        finally:
            self.replies.pop(order.number, None)
            if not replies:
                # The caller may have left; else the other instance counts the prompt for ever.
                self.fleet.send_later(link, PlacementNote(order.number, 0.0, True))
        if not replies:
            log_message("placement-unanswered", peer=link.peer.name, waited_ms=REPLY_MS)
            return None
        return replies[0]

    def note(
        self, number: int, read_ms: float = 0.0, ended: bool = False, gone: bool = False
    ) -> None:
        """Tell what became of a prompt that was placed."""
        if number not in self.homes:
            return
        link = self.homes.pop(number) if ended else self.homes[number]
        note = PlacementNote(number, read_ms, ended, gone)
        if link is None:
            self.desk.note(note, HERE)
        else:
            self.fleet.send_later(link, note)

    def take_order(self, order: PlacementOrder, link: Link) -> None:
        """Place a prompt for another instance."""
        self.fleet.send_later(link, self.desk.place(order, id(link)))

    def take_reply(self, reply: PlacementReply, link: Link) -> None:
        """Take in where a prompt is to go."""
        take = self.replies.get(reply.number)
        if take is not None:
            take(reply)

    def take_note(self, note: PlacementNote, link: Link) -> None:
        """Take in what became of another instance's prompt."""
        self.desk.note(note, id(link))
