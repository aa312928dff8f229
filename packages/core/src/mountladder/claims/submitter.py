# submitter.py -- Writes of requests, committed here or by a peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Writes of requests, committed here or by a peer."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from functools import partial

from gevent.event import Event

from mountladder.claims.groupcommit import GroupCommit
from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import (
    ConditionFailedError,
    PeerError,
    StoreAmbiguousError,
    StoreUnavailableError,
)
from mountladder.membership.link import Link
from mountladder.membership.membership import GATHERING_MIN_INSTANCES
from mountladder.membership.peers import Peers
from mountladder.membership.submit import Submit
from mountladder.membership.submitted import Submitted
from mountladder.store.write import Write

ASK_SHARE = 0.5
REPLY_MARGIN_MS = 20.0
BRIEFLY_MS = 300.0
MISTRUST_MS = 5_000.0
Way = Callable[[Write, float], int]


class Submitter:
    """Commits a write by the shortest way that can reach the store.

    In a large data centre the first live instance gathers the writes of all, so that they share
    transactions. Where this instance cannot reach the store, a peer of another data centre is
    asked. A write is safe to send by several ways: its condition holds once, and its value tells
    whose it is.

    Args:
        commits: This instance's own group commit.
        peers: The links to the others.
        clock: The clock.
    """

    def __init__(self, commits: GroupCommit, peers: Peers, clock: Clock) -> None:
        self.commits = commits
        self.peers = peers
        self.clock = clock
        self.failed_at = float("-inf")
        self.numbers = itertools.count(1)
        self.waiting: dict[int, Event] = {}
        self.replies: dict[int, Submitted] = {}
        peers.on_submit = self.commit_for_peer
        peers.on_submitted = self.take_reply

    def submit(self, write: Write, until: float) -> int:
        """Commit a write and return the new version of its row; see GroupCommit.submit."""
        ambiguous = False
        for way in self.ways():
            try:
                return way(write, until)
            except (StoreUnavailableError, StoreAmbiguousError) as error:
                ambiguous = ambiguous or isinstance(error, StoreAmbiguousError)
            if self.clock.now() >= until:
                break
        if ambiguous:
            raise StoreAmbiguousError("no way to the store gave an answer")
        raise StoreUnavailableError("there is no way to the store")

    def ways(self) -> list[Way]:
        """Return the ways to the store in the order to try them.

        The instance's own way comes last for a while after it failed, where there are others.
        """
        outside = [partial(self.ask, link) for link in self.outside_links()]
        gatherer = self.gatherer()
        first = [partial(self.ask, gatherer)] if gatherer is not None else []
        if not outside:
            return [*first, self.commit_here]
        if self.clock.now() - self.failed_at < MISTRUST_MS:
            return [*first, *outside, self.commit_here]
        return [*first, self.commit_briefly, *outside, self.commit_here]

    def commit_here(self, write: Write, until: float) -> int:
        """Commit a write from here."""
        return self.commits.submit(write, until)

    def commit_briefly(self, write: Write, until: float) -> int:
        """Commit a write from here where that takes no long time."""
        try:
            return self.commits.submit(write, min(until, self.clock.now() + BRIEFLY_MS))
        except (StoreUnavailableError, StoreAmbiguousError):
            self.failed_at = self.clock.now()
            raise

    def outside_links(self) -> list[Link]:
        """Return the links to other data centres."""
        here = self.peers.membership.me.datacentre
        links = self.peers.links.values()
        return [one for one in links if one.peer is not None and one.peer.datacentre != here]

    def gatherer(self) -> Link | None:
        """Return the link to the instance that gathers writes, or None where this one may."""
        live = self.peers.membership.live()
        if len(live) < GATHERING_MIN_INSTANCES or live[0].name == self.peers.membership.me.name:
            return None
        return self.peers.links.get(live[0].peer)

    def ask(self, link: Link, write: Write, until: float) -> int:
        """Ask a peer to commit a write."""
        number = next(self.numbers)
        replied = self.waiting[number] = Event()
        within = max(0.0, until - self.clock.now()) * ASK_SHARE
        try:
            self.peers.send(link, Submit(number, write, int(within)))
            if not self.clock.wait(replied, within + REPLY_MARGIN_MS):
                raise StoreAmbiguousError("the peer did not reply")
            return _version(self.replies.pop(number), write)
        except PeerError as error:
            raise StoreAmbiguousError(error.detail) from error
        finally:
            del self.waiting[number]

    def commit_for_peer(self, submit: Submit) -> Submitted:
        """Commit a write for a peer."""
        try:
            until = self.clock.now() + submit.within_ms
            version = self.commits.submit(submit.write, until)
        except (ConditionFailedError, StoreUnavailableError, StoreAmbiguousError) as error:
            return Submitted(submit.number, 0, error.code.number)
        return Submitted(submit.number, version, 0)

    def take_reply(self, submitted: Submitted) -> None:
        """Hand a reply to the task that waits for it."""
        replied = self.waiting.get(submitted.number)
        if replied is not None:
            self.replies[submitted.number] = submitted
            replied.set()


def _version(submitted: Submitted, write: Write) -> int:
    if submitted.code == 0:
        return submitted.version
    if submitted.code == Code.CONDITION_FAILED.number:
        raise ConditionFailedError((write.key,))
    if submitted.code == Code.STORE_UNAVAILABLE.number:
        raise StoreUnavailableError("the peer cannot reach the store")
    raise StoreAmbiguousError("the peer got no answer from the store")
