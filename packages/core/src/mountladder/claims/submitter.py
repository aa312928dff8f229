# submitter.py -- Commits writes by this instance or through a peer
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Commits writes by this instance or through a peer."""

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

# Fraction of the remaining time that a peer is given for a commit.
PEER_TIME_FRACTION = 0.5
# How long a reply may take beyond that time.
REPLY_MARGIN_MS = 20.0
# Time limit of a commit by this instance, if it can be tried through other data centres next.
BRIEF_COMMIT_MS = 300.0
# How long other data centres are tried first after a commit by this instance failed.
DIRECT_BACKOFF_MS = 5_000.0
CommitPath = Callable[[Write, float], int]


class Submitter:
    """Commits a write by the shortest path that can reach the store.

    In a large data centre the first live instance commits the writes of all others, so that they
    share transactions. If this instance cannot reach the store, a peer in another data centre is
    asked. A write may safely be sent over several paths: its condition holds once, and its value
    shows which write it came from.

    Args:
        commits: The group commit of this instance.
        peers: The links to the other instances.
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
        peers.on_submitted = self.receive_reply

    def submit(self, write: Write, until: float) -> int:
        """Commit a write and return the new version of its row; see GroupCommit.submit."""
        ambiguous = False
        for path in self.paths():
            try:
                return path(write, until)
            except (StoreUnavailableError, StoreAmbiguousError) as error:
                ambiguous = ambiguous or isinstance(error, StoreAmbiguousError)
            if self.clock.now() >= until:
                break
        if ambiguous:
            raise StoreAmbiguousError("the store did not answer on any path")
        raise StoreUnavailableError("the store cannot be reached on any path")

    def paths(self) -> list[CommitPath]:
        """Return the paths to the store in the order to try them.

        The direct path of this instance comes last for a while after it failed, if there are
        others.
        """
        remote = [partial(self.commit_through_peer, link) for link in self.remote_links()]
        committer = self.committer()
        first = [partial(self.commit_through_peer, committer)] if committer is not None else []
        if not remote:
            return [*first, self.commit_here]
        if self.clock.now() - self.failed_at < DIRECT_BACKOFF_MS:
            return [*first, *remote, self.commit_here]
        return [*first, self.commit_briefly, *remote, self.commit_here]

    def commit_here(self, write: Write, until: float) -> int:
        """Commit a write from this instance."""
        return self.commits.submit(write, until)

    def commit_briefly(self, write: Write, until: float) -> int:
        """Commit a write from this instance within a short time limit."""
        try:
            return self.commits.submit(write, min(until, self.clock.now() + BRIEF_COMMIT_MS))
        except (StoreUnavailableError, StoreAmbiguousError):
            self.failed_at = self.clock.now()
            raise

    def remote_links(self) -> list[Link]:
        """Return the links to other data centres."""
        here = self.peers.membership.me.datacentre
        links = self.peers.links.values()
        return [link for link in links if link.peer is not None and link.peer.datacentre != here]

    def committer(self) -> Link | None:
        """Return the link to the instance that commits for others, or None if this one may."""
        live = self.peers.membership.live()
        if len(live) < GATHERING_MIN_INSTANCES or live[0].name == self.peers.membership.me.name:
            return None
        return self.peers.links.get(live[0].peer)

    def commit_through_peer(self, link: Link, write: Write, until: float) -> int:
        """Commit a write through a peer."""
        number = next(self.numbers)
        replied = self.waiting[number] = Event()
        within = max(0.0, until - self.clock.now()) * PEER_TIME_FRACTION
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

    def receive_reply(self, submitted: Submitted) -> None:
        """Pass a reply to the task that waits for it."""
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
