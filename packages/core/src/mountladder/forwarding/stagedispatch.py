# stagedispatch.py -- Sends stages to the instances that coordinate their services
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Sends stages to the instances that coordinate their services."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Mapping, Sequence

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.batcher import Batcher
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.jobprogress import Done, Results
from mountladder.forwarding.lending import Lending
from mountladder.forwarding.lentresults import LentResults
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.pieceresult import PieceResult
from mountladder.forwarding.stagebacklogs import StageBacklogs
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.forwarding.stageorder import StageOrder
from mountladder.forwarding.stageoutcome import StageOutcome
from mountladder.forwarding.stagerelease import StageRelease
from mountladder.forwarding.stagewithdrawal import StageWithdrawal
from mountladder.forwarding.submission import Submission
from mountladder.membership.link import Link


class StageDispatch:
    """Sends each stage to its service's coordinator, the instance that batches its pieces.

    If that instance becomes unreachable, its stages are sent to the next one. Two instances that
    coordinate the same service for a time only make batches less full. A divided service has a
    coordinator in each data centre, which lends stages that would wait long to the coordinator of
    another data centre.

    Args:
        fleet: The other instances.
        make_batcher: Creates the batcher of a service.
        clock: The clock.

    Attributes:
        batchers: The batchers of this instance, by their service.
        submissions: The stages that are not done, by their numbers.
        foreign: Those of them that a peer handed over to this instance, by the link's id and the
            peer's number.
        lent_results: The origins of results that other data centres made for this one.
    """

    def __init__(self, fleet: Fleet, make_batcher: Callable[[str], Batcher], clock: Clock) -> None:
        self.fleet = fleet
        self.make_batcher = make_batcher
        self.clock = clock
        self.batchers: dict[str, Batcher] = {}
        self.numbers = itertools.count(1)
        self.submissions: dict[int, Submission] = {}
        self.foreign: dict[tuple[int, int], Submission] = {}
        self.lent_results = LentResults()
        self.lending = Lending(clock, fleet.membership.me.datacentre)
        self.backlogs = StageBacklogs(fleet, self.batchers, self.batcher, self.lending, clock)
        fleet.backlogs = self.backlogs.here
        fleet.on_backlog = self.backlogs.take
        fleet.subscribe(StageOrder, self.take_order)
        fleet.subscribe(StageOutcome, self.take_outcome)
        fleet.subscribe(StageNotice, self.take_notice)
        fleet.subscribe(StageRelease, self.take_release)
        fleet.subscribe(StageWithdrawal, self.take_withdrawal)
        fleet.on_link_lost = self.move_from
        fleet.peer_gone.append(self.drop)

    def batcher(self, service: str) -> Batcher:
        """Return this instance's batcher of a service, created if there is none."""
        found = self.batchers.get(service)
        if found is None:
            found = self.batchers[service] = self.make_batcher(service)
        return found

    def limits(self, service: str) -> BatchLimits | None:
        """Return the batch limits of a service's servers, or None if the catalogue lacks it."""
        return self.batcher(service).limits()

    def submit(self, job: StageJob, done: Done) -> Submission:
        """Submit a stage; done is called once with the results of its pieces."""
        submission = Submission(next(self.numbers), job, done)
        self.submissions[submission.number] = submission
        self.place(submission)
        return submission

    def place(self, submission: Submission) -> None:
        """Send a stage to its service's coordinator, or assign it here if this instance is that."""
        link = self.fleet.home(submission.job.service)
        if link is not None:
            self.hand_over(submission, link, lent=False)
        else:
            self.place_here(submission)

    def hand_over(self, submission: Submission, link: Link, lent: bool) -> None:
        """Send a stage to another instance."""
        submission.home = link.peer.peer
        submission.lent = lent
        job = submission.job.shifted(-self.clock.now())
        self.fleet.send_later(link, StageOrder(submission.number, job, lent))

    def place_here(self, submission: Submission) -> None:
        """Run a stage of a service coordinated here, or lend it to another data centre."""
        job = submission.job
        places = self.fleet.places(job.service) if self.is_divided(job.service) else {}
        there = self.lending_target(job, places)
        if there:
            self.batcher(job.service).demand.came(job)
            self.hand_over(submission, places[there], lent=True)
        else:
            self.take_on(submission)

    def is_divided(self, service: str) -> bool:
        """Return whether a service has a coordinator in each data centre."""
        return self.fleet.division.is_divided(service)

    def lending_target(self, job: StageJob, places: Mapping[str, Link]) -> str:
        """Return the data centre to lend a stage to, or an empty string to run it here."""
        if not places:
            return ""
        batcher = self.batcher(job.service)
        now = self.clock.now()
        here = job.place(now)
        own_ms = math.inf
        if self.fleet.division.has_own(job.service):
            own_ms = batcher.newest_backlog(now).waits_ms[here]
        there = self.lending.choose(job, own_ms, places)
        limits = batcher.limits()
        if there and limits is not None:
            servers = self.fleet.division.count(job.service, there)
            piece_ms = limits.expected_ms(limits.pieces) / (limits.pieces * max(1, servers))
            log_message(
                "stage-lent",
                request=job.request,
                service=job.service,
                pieces=job.pieces,
                datacentre=there,
                preferred=job.datacentre,
                local_wait_ms=own_ms if math.isinf(own_ms) else round(own_ms),
                remote_wait_ms=round(self.lending.wait_ms(job.service, there, here)),
            )
            self.lending.lend(job, there, piece_ms)
        return there

    def take_on(self, submission: Submission) -> None:
        """Queue the pieces of a stage at this instance's batcher."""
        job = submission.job
        submission.home = ""
        submission.lent = False

        def settled(results: Results) -> None:
            """Pass on the results, or release them if the stage was withdrawn."""
            if not self.settle(submission.number, results):
                self.batcher(job.service).release(_handles(results))

        submission.progress = self.batcher(job.service).submit(job, settled)

    def settle(self, number: int, results: Results) -> bool:
        """Pass on a stage's results; return False if it is done or withdrawn already."""
        submission = self.submissions.pop(number, None)
        if submission is None:
            return False
        if submission.moved:
            # The instance that had the stage before may have begun it.
            results = tuple(_certain(result) for result in results)
        if submission.lent:
            self.lent_results.remember(_handles(results), submission.home)
        submission.done(results)
        return True

    def withdraw(self, submission: Submission) -> None:
        """Withdraw a stage whose results are no longer needed."""
        if self.submissions.pop(submission.number, None) is None:
            return
        if submission.progress is not None:
            self.batcher(submission.job.service).withdraw(submission.progress)
        link = self.fleet.links.get(submission.home)
        if link is not None:
            self.fleet.send_later(link, StageWithdrawal(submission.number))

    def announce(self, notice: StageNotice) -> None:
        """Announce pieces to their service's coordinator."""
        self.hand(notice, lambda: self.batcher(notice.service).demand.announce(notice))

    def release(self, service: str, handles: Sequence[str]) -> None:
        """Release results of a service through its coordinator."""
        named = tuple(handle for handle in handles if handle)
        if not named:
            return
        self.hand(StageRelease(service, named), lambda: self.release_here(service, named))

    def hand(self, message: StageNotice | StageRelease, take: Callable[[], None]) -> None:
        """Send a message to its service's coordinator; call take if that is this instance."""
        link = self.fleet.home(message.service)
        if link is None:
            take()
        else:
            self.fleet.send_later(link, message)

    def take_notice(self, notice: StageNotice, link: Link) -> None:
        """Handle an announcement of pieces from another instance."""
        self.batcher(notice.service).demand.announce(notice)

    def take_release(self, release: StageRelease, link: Link) -> None:
        """Handle the release of results by another instance."""
        self.release_here(release.service, release.handles)

    def release_here(self, service: str, handles: Sequence[str]) -> None:
        """Release results; those that were lent out, through the coordinator that had them made."""
        for address, named in self.lent_results.sort_out(handles).items():
            link = self.fleet.links.get(address)
            if link is None:
                self.batcher(service).release(named)
            else:
                self.fleet.send_later(link, StageRelease(service, tuple(named)))

    def move_from(self, address: str) -> None:
        """Reassign the stages of an instance that has become unreachable."""
        lost = [one for one in self.submissions.values() if one.home == address]
        if lost:
            log_message("stages-moved", instance=address, stages=len(lost))
        for submission in lost:
            submission.moved = True
            self.place(submission)

    def take_order(self, order: StageOrder, link: Link) -> None:
        """Handle a stage that another instance hands over."""
        key = (id(link), order.number)

        def done(results: Results) -> None:
            """Send the results back."""
            self.foreign.pop(key, None)
            backlog = self.backlogs.own(order.job.service)
            self.fleet.send_later(link, StageOutcome(order.number, results, backlog))

        job = order.job.shifted(self.clock.now())
        submission = Submission(next(self.numbers), job, done)
        self.submissions[submission.number] = self.foreign[key] = submission
        if order.lent:
            self.take_on(submission)
        else:
            self.place_here(submission)

    def drop(self, link: Link) -> None:
        """Withdraw the stages of a peer that has become unreachable.

        It has reassigned them or has stopped, so nothing waits for their results here.
        """
        lost = [key for key in self.foreign if key[0] == id(link)]
        if lost:
            log_message("stages-dropped", peer=link.peer.name, stages=len(lost))
        for key in lost:
            self.withdraw(self.foreign.pop(key))

    def take_outcome(self, outcome: StageOutcome, link: Link) -> None:
        """Handle the results of a stage that was handed over to another instance."""
        self.backlogs.take(outcome.backlog, link.peer.datacentre)
        if self.settle(outcome.number, outcome.results):
            return
        # The stage was withdrawn while these results were in flight.
        handles = _handles(outcome.results)
        if handles:
            self.fleet.send_later(link, StageRelease(outcome.backlog.service, handles))

    def wait_ms(self, service: str, urgency: int, gives_way: bool = False) -> float:
        """Return how long new pieces of a service are expected to wait, in milliseconds."""
        return self.backlogs.wait_ms(service, urgency, gives_way)

    def take_withdrawal(self, withdrawal: StageWithdrawal, link: Link) -> None:
        """Handle the withdrawal of a stage by the instance that handed it over."""
        submission = self.foreign.pop((id(link), withdrawal.number), None)
        if submission is not None:
            self.withdraw(submission)


def _handles(results: Results) -> tuple[str, ...]:
    return tuple(one.handle for one in results if one.handle)


def _certain(result: PieceResult) -> PieceResult:
    if result.failure is PieceFailure.NOT_BEGUN:
        return PieceResult("", PieceFailure.LATE)
    return result
