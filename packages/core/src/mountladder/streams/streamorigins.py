# streamorigins.py -- Finds the software version at which a stream may continue
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Finds the software version at which a stream may continue."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

import gevent
from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.configuration.softwareversion import UNVERIFIED_VERSION
from mountladder.errors import RefusalError
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.streams.absentinstances import AbsentInstances
from mountladder.streams.originarchive import OriginArchive
from mountladder.streams.originexchange import OriginExchange
from mountladder.streams.originholders import OriginHolders
from mountladder.streams.originlookup import ONLY_VERSION, OriginLookup
from mountladder.streams.originquestion import OriginQuestion
from mountladder.streams.originregistry import MAX_STREAM_MS, OriginRegistry
from mountladder.streams.originreply import OriginReply
from mountladder.streams.originstore import OriginStore
from mountladder.streams.originupdates import OriginUpdates
from mountladder.streams.startchecks import StartChecks
from mountladder.streams.storecontact import StoreContact
from mountladder.streams.storeread import MIN_INTERVAL_MS, StoreRead
from mountladder.streams.streambeginnings import StreamBeginnings
from mountladder.streams.streamorigin import StreamOrigin, stream_key, stream_of
from mountladder.streams.versionhistory import VersionHistory
from mountladder.streams.versionrecord import VersionRecord
from mountladder.streams.versionstore import VersionStore

# Timeout for the replies of other instances, which usually take 1 to 2 ms.
REPLY_TIMEOUT_MS = 100.0
# How long after the question replies are waited for where nothing else tells the origin.
LATE_REPLY_TIMEOUT_MS = 250.0
# Timeout for the check of a stream by the instance that began it: 100 ms for the store, and then
# 300 ms for the server.
CHECK_TIMEOUT_MS = 450.0
# An attempt may last until its deadline, and is resumed behind it: at once, or after a Retry-After
# and some attempts that fail.
RESUME_MS = 5_000.0
# When a caller may retry if nobody that replied knows which version began its stream: another
# instance, or the store, may be reached by then.
UNKNOWN_RETRY_MS = 1_000.0
# Timeout for a read of the store that tells of a version, which takes 4 ms.
VERSION_READ_MS = 100.0
# Once a second version of a service is listed, origins are told at once, and again after links to
# the instances that hold them have been opened.
ANNOUNCE_AGAIN_MS = 1_000.0
# Lengthens the time between two reads of an instance with the size of the fleet, whose instances
# make half of the calls that the store bears at most, also if all of them look for streams.
INTERVAL_PER_INSTANCE_MS = 2.0


class StreamOrigins:
    """Remembers which software version began each resumable stream, and finds it again.

    Callers may resume a stream at an instance that did not begin it. Each instance remembers the
    streams that it runs, and tells others when a stream begins: all in a small fleet, else two of
    its data centre, and one of two other ones as well while several versions serve. A stream that
    nobody knows continues where only one version can have begun it, which takes a reply of every
    known instance, or a read of the store that began after the request came.

    Args:
        fleet: The other instances.
        directory: Lists the backend servers.
        starts: Checks whether they have started again.
        version_store: The platform's table of the versions that serve each service.
        origin_store: The platform's table of origins.
        clock: The clock.

    Attributes:
        read_servers: Reads from the store what changed in the list of servers, and returns whether
            it answered.
        store_read: Reads the versions and the list for requests.
        beginnings: Which servers began the streams of this instance, until that is checked.
        own: The streams that this instance has run or continued.
    """

    def __init__(
        self,
        fleet: Fleet,
        directory: Directory,
        starts: StartChecks,
        version_store: VersionStore,
        origin_store: OriginStore,
        clock: Clock,
    ) -> None:
        self.fleet = fleet
        self.clock = clock
        self.registry = OriginRegistry(clock)
        self.history = VersionHistory(directory, clock)
        self.holders = OriginHolders(fleet, self.history)
        self.exchange = OriginExchange(self.holders, self.registry, self.history, clock)
        self.updates = OriginUpdates(self.exchange, self.own_origins, clock)
        self.absent = AbsentInstances(fleet, self.history, clock)
        self.contact = StoreContact(fleet, self.history, clock)
        self.version_record = VersionRecord(
            version_store, self.history, fleet.reader_election, self.contact, clock
        )
        self.version_record.is_first_reader = fleet.ranking.is_first_reader
        name = fleet.membership.me.incarnation
        self.archive = OriginArchive(
            origin_store, self.holders, self.registry, self.history, name, clock
        )
        self.own: set[bytes] = set()
        self.read_servers: Callable[[], bool] = lambda: False
        self.store_read = StoreRead(self.read_store, clock, self.read_interval_ms)
        self.starts = starts
        starts.read_list = self.store_read.refresh
        self.beginnings = StreamBeginnings(starts, clock)
        self.exchange.is_unchecked = self.beginnings.pending.__contains__
        self.exchange.check_stream = self.beginnings.check_stream
        self.beginnings.on_unverified = self.mark_unverified
        self.exchange.on_told = self.archive.add
        for kept in (self.contact, self.version_record, self.archive):
            fleet.era_tracker.listeners.append(kept.handle_restore)
        self.history.on_several = self.announce_all

    def record(self, request: ForwardRequest, fingerprint: str, service: str, version: str) -> None:
        """Record that a stream has its first event, before the caller gets it.

        Args:
            request: The request, which may resume a stream that an earlier one began.
            fingerprint: The fingerprint that all attempts at the request share.
            service: The service that runs it.
            version: The version of the server's software.
        """
        stream = stream_of(request, fingerprint)
        self.hold(StreamOrigin(stream, service, version, self.held_until(request)))

    def mark_unverified(self, stream: bytes) -> None:
        """Record that it is not known which version began a stream, so that nobody continues it."""
        origin = self.registry.find(stream)
        if origin is not None:
            self.hold(replace(origin, version=UNVERIFIED_VERSION))

    def hold(self, origin: StreamOrigin) -> None:
        """Keep an origin here, and tell it to others, unless it is known for as long already."""
        if self.registry.add(origin):
            # It differs if two versions are known to have begun the stream.
            kept = self.registry.find(origin.stream) or origin
            self.add_own(kept.stream)
            self.updates.add_service(kept.service)
            self.exchange.announce(kept.service, [kept])
            self.archive.add([kept])

    def held_until(self, request: ForwardRequest) -> float:
        """Return until when the caller of an attempt may come again, in the clock's ms."""
        latest = self.clock.now() + MAX_STREAM_MS
        return min(latest, request.deadline(MAX_STREAM_MS) + RESUME_MS)

    def add_own(self, stream: bytes) -> None:
        """Note that this instance runs a stream, and forget those that are past."""
        if len(self.own) > 2 * len(self.registry.origins):
            self.own &= self.registry.origins.keys()
        self.own.add(stream)

    def own_origins(self, service: str) -> list[StreamOrigin]:
        """Return the known origins of a service's streams that this instance has run."""
        return [one for one in self.registry.of_service(service) if one.stream in self.own]

    def announce_all(self, service: str) -> None:
        """Tell the origins of a service's streams, since a second version of it is listed."""
        self.fleet.retarget.set()
        self.archive.wake.set()
        self.announce_known(service)
        self.clock.call_later(ANNOUNCE_AGAIN_MS, lambda: self.announce_known(service))

    def announce_known(self, service: str) -> None:
        """Tell the known origins of a service's streams.

        In a small fleet, where others have been told as well, these are those that began here.
        """
        is_small = self.holders.is_small()
        origins = self.own_origins(service) if is_small else self.registry.of_service(service)
        told = self.exchange.announce(service, origins)
        log_message(
            "stream-origins-announced",
            service=service,
            versions=sorted(self.history.recent(service)),
            origins=len(origins),
            instances=told,
        )

    def find(self, request: ForwardRequest, fingerprint: str, service: str) -> StreamOrigin:
        """Return the origin of the stream that a request resumes.

        Args:
            request: The request.
            fingerprint: The fingerprint that all attempts at the request share.
            service: The service that is to run it.

        Raises:
            RefusalError: Several versions may have begun it, and it is not known which did.
        """
        started = self.clock.now()
        found = self.look_up(stream_key(fingerprint, request.resumes), service)
        log_message(
            "stream-origin",
            request=request.id,
            resumes=request.resumes,
            last_event_id=request.last_event_id,
            service=found.origin.service if found.origin else service,
            software=found.origin.version if found.origin else "",
            source=found.source,
            versions=sorted(found.versions),
            complete=found.is_complete,
            evidence=found.evidence,
            known=found.known,
            asked=found.asked,
            replied=found.replied,
            waited_ms=round(self.clock.now() - started),
        )
        if found.origin is None:
            others = "" if found.is_complete else " and others"
            detail = f"versions {sorted(found.versions)}{others} of {service} may have begun it"
            retry_after_ms = UNKNOWN_RETRY_MS if found.may_be_found else None
            raise RefusalError(detail, Code.STREAM_UNKNOWN, retry_after_ms=retry_after_ms)
        self.read_unknown_version(found.origin)
        if found.source != ONLY_VERSION:
            # The caller may come again, also if this attempt brings no event.
            until = max(found.origin.until, self.held_until(request))
            self.hold(replace(found.origin, until=until))
        return found.origin

    def read_unknown_version(self, origin: StreamOrigin) -> None:
        """Read the store if this instance was told of a stream before it heard of its version."""
        if origin.version not in self.history.recent(origin.service) | {UNVERIFIED_VERSION}:
            self.store_read.refresh(self.clock.now(), VERSION_READ_MS)

    def look_up(self, stream: bytes, service: str) -> OriginLookup:
        """Search for the origin of a stream here, then at other instances and in the store."""
        self.beginnings.check_stream(stream)
        origin = self.registry.find(stream)
        if origin is not None:
            self.check_told(stream, service)
            kept = self.registry.find(stream) or origin
            return OriginLookup(kept, "own", self.history.recent(service))
        with self.exchange.ask(stream, service) as question:
            question.wait_until(REPLY_TIMEOUT_MS)
            return self.look_up_asked(stream, service, question)

    def check_told(self, stream: bytes, service: str) -> None:
        """Check an origin that another instance told a moment ago.

        That one may be cut off as well, and have begun the stream at a server that had started
        again. In touch with the store it has checked the list as well.
        """
        told_at = self.exchange.unchecked_since(stream)
        if told_at is None or stream in self.own or self.starts.is_current(told_at):
            return
        with self.exchange.ask(stream, service, is_check=True) as question:
            question.wait_until(CHECK_TIMEOUT_MS)
            if question.is_unverified():
                self.mark_unverified(stream)

    def look_up_asked(self, stream: bytes, service: str, question: OriginQuestion) -> OriginLookup:
        """Search for the origin of a stream in the replies of other instances and in the store."""
        replies = question.replies
        origin = question.origin()
        if origin is not None:
            return self.told_by_peer(origin, service, question)
        versions, evidence = self.possible_versions(service, replies, question.asked_at)
        if len(versions) == 1 and evidence and question.origin() is None:
            until = self.clock.now() + MAX_STREAM_MS
            only = StreamOrigin(stream, service, *versions, until)
            counts = self.counts(question)
            return OriginLookup(only, ONLY_VERSION, versions, evidence=evidence, **counts)
        is_answering = bool(evidence) or self.store_read.has_answered(question.asked_at)
        is_read = is_answering and self.archive.refresh()
        origin = self.registry.find(stream)
        if origin is not None:
            counts = self.counts(question)
            return OriginLookup(origin, "store", versions, evidence=evidence, **counts)
        question.wait_until(LATE_REPLY_TIMEOUT_MS)
        origin = question.origin()
        if origin is not None:
            return self.told_by_peer(origin, service, question)
        # A process that has not read the list of instances does not know whom it could ask.
        is_listed = bool(self.fleet.membership.listed)
        have_replied = is_listed and len(replies) >= self.holders.count(service)
        may_be_found = not (have_replied and is_read and evidence)
        counts = self.counts(question)
        return OriginLookup(None, "unknown", versions, may_be_found, evidence=evidence, **counts)

    def told_by_peer(
        self, origin: StreamOrigin, service: str, question: OriginQuestion
    ) -> OriginLookup:
        """Return the result of a search whose origin another instance has told."""
        versions = self.known_versions(service, question.replies)
        return OriginLookup(origin, "peer", versions, **self.counts(question))

    def counts(self, question: OriginQuestion) -> dict[str, int]:
        """Return how many instances were asked, have replied and are known."""
        known = len(self.fleet.membership.addressed())
        return {"asked": question.asked, "replied": len(question.replies), "known": known}

    def known_versions(self, service: str, replies: Mapping[str, OriginReply]) -> frozenset[str]:
        """Return the versions that may have begun a stream, by what is known here and told."""
        return self.history.recent(service).union(*(one.versions for one in replies.values()))

    def possible_versions(
        self, service: str, replies: Mapping[str, OriginReply], since: float
    ) -> tuple[frozenset[str], str]:
        """Return the versions that may have begun a stream before a time.

        Returns:
            The known versions, and what tells that there are no others; see OriginLookup. A second
            version settles that a stream has to be known, so that others are not searched for then.
        """
        versions = self.known_versions(service, replies)
        if len(versions) > 1:
            return versions, "several"
        if self.have_all_replied(replies):
            return versions, "replies"
        is_complete = self.store_read.refresh(since) and self.version_record.is_complete
        return self.known_versions(service, replies), "store" if is_complete else ""

    def have_all_replied(self, replies: Mapping[str, OriginReply]) -> bool:
        """Return whether all instances have replied and know which versions served earlier.

        Those that have not may use a version that the others have not heard of. While the store
        answers none of them, that includes instances which were added since.
        """
        members = self.fleet.membership
        if not self.fleet.hears_store() or not members.listed:
            return False
        if members.was_dropped_within(MAX_STREAM_MS):
            return False
        know_earlier = self.history.is_complete and all(one.is_complete for one in replies.values())
        return know_earlier and {one.peer for one in members.addressed()} <= replies.keys()

    def read_store(self) -> bool:
        """Read which versions have served and what changed in the list of servers.

        Returns:
            Whether the store has answered both calls.
        """
        tasks = [gevent.spawn(read) for read in (self.read_servers, self.version_record.read)]
        gevent.joinall(tasks)
        return all(one.value for one in tasks)

    def read_interval_ms(self) -> float:
        """Return the least time between two reads of the store, in milliseconds."""
        return max(MIN_INTERVAL_MS, INTERVAL_PER_INSTANCE_MS * len(self.fleet.membership.known))
