# stagedispatch.py -- Sends stages to the instances that coordinate their services
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Sends stages to the instances that coordinate their services."""

from __future__ import annotations

import itertools
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
from mountladder.forwarding.stagelending import StageLending
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.forwarding.stageorder import StageOrder
from mountladder.forwarding.stageoutcome import StageOutcome
from mountladder.forwarding.stagerelease import StageRelease
from mountladder.forwarding.stagewithdrawal import StageWithdrawal
from mountladder.forwarding.submission import Submission
from mountladder.membership.link import Link
from mountladder.results.fetchedreleases import FetchedReleases


class StageDispatch:
    """Sends each stage to its service's coordinator, the instance that batches its pieces.

    If that instance becomes unreachable, its stages are sent to the next one. Two instances that
    coordinate the same service for a time only make batches less full. A divided service has a
    coordinator in each data centre, which lends stages to the coordinator of another data centre if
    they would wait long, or if the demand here is planned to be served there.

    Args:
        fleet: The other instances.
        make_batcher: Creates the batcher of a service.
        clock: The clock.

    Attributes:
        batchers: The batchers of this instance, by their service.
        submissions: The stages that are not done, by their numbers.
        peer_submissions: Those of them that a peer handed over to this instance, by the link's id
            and the peer's number.
        lent_results: The origins of results that other data centres made for this one.
        fetched_releases: Passes on which results servers have fetched.
        stage_lending: Decides which stages other data centres run.
        wait_ms: Returns how long new pieces are expected to wait; see StageBacklogs.
    """

    def __init__(self, fleet: Fleet, make_batcher: Callable[[str], Batcher], clock: Clock) -> None:
        self.fleet = fleet
        self.make_batcher = make_batcher
        self.clock = clock
        self.batchers: dict[str, Batcher] = {}
        self.numbers = itertools.count(1)
        self.submissions: dict[int, Submission] = {}
        self.peer_submissions: dict[tuple[int, int], Submission] = {}
        self.lent_results = LentResults()
        self.fetched_releases = FetchedReleases(fleet, self.batcher)
        self.lending = Lending(clock, fleet.membership.me.datacentre)
        self.stage_lending = StageLending(fleet, self.batcher, self.lending, clock)
        self.backlogs = StageBacklogs(fleet, self.batchers, self.batcher, self.lending, clock)
        self.wait_ms = self.backlogs.wait_ms
        fleet.backlogs = self.backlogs.local_backlogs
        fleet.on_backlog = self.backlogs.record
        fleet.subscribe(StageOrder, self.handle_order)
        fleet.subscribe(StageOutcome, self.handle_outcome)
        fleet.subscribe(StageNotice, self.handle_notice)
        fleet.subscribe(StageRelease, self.handle_release)
        fleet.subscribe(StageWithdrawal, self.handle_withdrawal)
        fleet.on_link_lost = self.reassign_from
        fleet.peer_gone.append(self.withdraw_from_peer)

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
        self.assign(submission)
        return submission

    def assign(self, submission: Submission) -> None:
        """Send a stage to its service's coordinator, or assign it here if this instance is that."""
        link = self.fleet.coordinator(submission.job.service)
        if link is not None:
            self.send_to(submission, link, lent=False)
        else:
            self.run_or_lend(submission)

    def send_to(self, submission: Submission, link: Link, lent: bool) -> None:
        """Send a stage to another instance."""
        submission.assignee = link.peer.peer
        submission.lent = lent
        job = submission.job.shifted(-self.clock.now())
        self.fleet.send_later(link, StageOrder(submission.number, job, lent))

    def run_or_lend(self, submission: Submission) -> None:
        """Run a stage of a service coordinated here, or lend it to another data centre."""
        job = submission.job
        coordinators = (
            self.fleet.coordinator_links(job.service) if self.is_divided(job.service) else {}
        )
        if not submission.lent:
            # One that was lent before and is reassigned has been counted.
            self.stage_lending.plans.record(job.service, job.pieces)
        target = self.lending_target(job, coordinators)
        if target:
            self.send_to(submission, coordinators[target], lent=True)
        else:
            self.run_here(submission)

    def is_divided(self, service: str) -> bool:
        """Return whether a service has a coordinator in each data centre."""
        return self.fleet.division.is_divided(service)

    def lending_target(self, job: StageJob, coordinators: Mapping[str, Link]) -> str:
        """Return the data centre to lend a stage to, or an empty string to run it here."""
        return self.stage_lending.choose(job, coordinators)

    def run_here(self, submission: Submission) -> None:
        """Queue the pieces of a stage at this instance's batcher."""
        job, number = submission.job, submission.number
        submission.assignee = ""
        submission.lent = False

        def settled(results: Results) -> None:
            """Pass on the results, or release them if the stage was withdrawn."""
            if not self.settle(number, results):
                self.batcher(job.service).release(_handles(results))

        submission.progress = self.batcher(job.service).submit(job, settled)

    def settle(self, number: int, results: Results) -> bool:
        """Pass on a stage's results; return False if it is done or withdrawn already."""
        submission = self.submissions.pop(number, None)
        if submission is None:
            return False
        if submission.reassigned:
            # The instance that had the stage before may have begun it.
            results = tuple(_without_not_begun(result) for result in results)
        if submission.lent:
            self.lent_results.remember(_handles(results), submission.assignee)
        submission.done(results)
        return True

    def withdraw(self, submission: Submission) -> None:
        """Withdraw a stage whose results are no longer needed."""
        if self.submissions.pop(submission.number, None) is None:
            return
        if submission.progress is not None:
            self.batcher(submission.job.service).withdraw(submission.progress)
        link = self.fleet.links.get(submission.assignee)
        if link is not None:
            self.fleet.send_later(link, StageWithdrawal(submission.number))

    def announce(self, notice: StageNotice) -> None:
        """Announce pieces to their service's coordinator."""
        self.send_or_apply(notice, lambda: self.batcher(notice.service).demand.announce(notice))

    def release(self, service: str, handles: Sequence[str]) -> None:
        """Release results of a service through its coordinator."""
        valid = tuple(handle for handle in handles if handle)
        if not valid:
            return
        self.send_or_apply(StageRelease(service, valid), lambda: self.release_here(service, valid))

    def send_or_apply(self, message: StageNotice | StageRelease, apply: Callable[[], None]) -> None:
        """Send a message to its service's coordinator; call apply if that is this instance."""
        link = self.fleet.coordinator(message.service)
        if link is None:
            apply()
        else:
            self.fleet.send_later(link, message)

    def handle_notice(self, notice: StageNotice, link: Link) -> None:
        """Handle an announcement of pieces from another instance."""
        self.batcher(notice.service).demand.announce(notice)

    def handle_release(self, release: StageRelease, link: Link) -> None:
        """Handle the release of results by another instance."""
        if release.fetched:
            self.fetched_releases.handle(release)
        else:
            self.release_here(release.service, release.handles)

    def release_here(self, service: str, handles: Sequence[str]) -> None:
        """Release results; those that were lent out, through the coordinator that had them made."""
        for address, grouped in self.lent_results.pop_by_origin(handles).items():
            link = self.fleet.links.get(address)
            if link is None:
                self.batcher(service).release(grouped)
            else:
                self.fleet.send_later(link, StageRelease(service, tuple(grouped)))

    def reassign_from(self, address: str) -> None:
        """Reassign the stages of an instance that is unreachable, or reaches no backend server."""
        lost = [one for one in self.submissions.values() if one.assignee == address]
        if lost:
            log_message("stages-reassigned", instance=address, stages=len(lost))
        link = self.fleet.links.get(address)
        for submission in lost:
            if link is not None:
                self.fleet.send_later(link, StageWithdrawal(submission.number))
            submission.reassigned = True
            self.assign(submission)

    def reassign_local(self) -> None:
        """Reassign this instance's stages that are queued here, if another one can coordinate."""
        of_peers = {one.number for one in self.peer_submissions.values()}
        queued = [
            one
            for one in self.submissions.values()
            if one.progress is not None
            and one.number not in of_peers
            and self.fleet.coordinator(one.job.service) is not None
        ]
        if queued:
            log_message("local-stages-reassigned", stages=len(queued))
        for submission in queued:
            self.batcher(submission.job.service).withdraw(submission.progress)
            submission.progress = None
            submission.reassigned = True
            self.assign(submission)

    def handle_order(self, order: StageOrder, link: Link) -> None:
        """Handle a stage that another instance hands over."""
        key = (id(link), order.number)

        def done(results: Results) -> None:
            """Send the results back."""
            self.peer_submissions.pop(key, None)
            backlog = self.backlogs.local_backlog(order.job.service)
            self.fleet.send_later(link, StageOutcome(order.number, results, backlog))

        job = order.job.shifted(self.clock.now())
        submission = Submission(next(self.numbers), job, done)
        self.submissions[submission.number] = self.peer_submissions[key] = submission
        if order.lent:
            self.run_here(submission)
        else:
            self.run_or_lend(submission)

    def withdraw_from_peer(self, link: Link) -> None:
        """Withdraw the stages of a peer that has become unreachable.

        It has reassigned them or has stopped, so nothing waits for their results here.
        """
        lost = [key for key in self.peer_submissions if key[0] == id(link)]
        if lost:
            log_message("stages-dropped", peer=link.peer.name, stages=len(lost))
        for key in lost:
            self.withdraw(self.peer_submissions.pop(key))

    def handle_outcome(self, outcome: StageOutcome, link: Link) -> None:
        """Handle the results of a stage that was handed over to another instance."""
        self.backlogs.record(outcome.backlog, link.peer.datacentre)
        if self.settle(outcome.number, outcome.results):
            return
        # The stage was withdrawn while these results were in flight.
        handles = _handles(outcome.results)
        if handles:
            self.fleet.send_later(link, StageRelease(outcome.backlog.service, handles))

    def handle_withdrawal(self, withdrawal: StageWithdrawal, link: Link) -> None:
        """Handle the withdrawal of a stage by the instance that handed it over."""
        submission = self.peer_submissions.pop((id(link), withdrawal.number), None)
        if submission is not None:
            self.withdraw(submission)


def _handles(results: Results) -> tuple[str, ...]:
    return tuple(one.handle for one in results if one.handle)


def _without_not_begun(result: PieceResult) -> PieceResult:
    if result.failure is PieceFailure.NOT_BEGUN:
        return PieceResult("", PieceFailure.LATE)
    return result
