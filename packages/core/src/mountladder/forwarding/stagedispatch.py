# stagedispatch.py -- Handing stages to the instances where pieces meet
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Handing stages to the instances where pieces meet."""

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
    """Hands each stage to the instance where the pieces of its service meet.

    Where that instance falls silent its stages are handed to the next one. Two instances that both
    take the pieces of a service cost batches that are less full, and nothing worse. Of a divided
    service pieces meet in each data centre; the instance there hands those on that would wait long
    to the one of another data centre.

    Args:
        fleet: The other instances.
        make_batcher: Makes the batcher of a service.
        clock: The clock.

    Attributes:
        submissions: The stages that were handed over and are not done, by their numbers.
        foreign: Those among them that a peer left to this instance, by its link and number.
        lent_results: Where results were made that another data centre made for this one.
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
        """Return this instance's batcher of a service."""
        found = self.batchers.get(service)
        if found is None:
            found = self.batchers[service] = self.make_batcher(service)
        return found

    def limits(self, service: str) -> BatchLimits | None:
        """Return what a server of a service takes at once, where the catalogue has it."""
        return self.batcher(service).limits()

    def submit(self, job: StageJob, done: Done) -> Submission:
        """Hand over a stage; done is called once with the results of its pieces."""
        submission = Submission(next(self.numbers), job, done)
        self.submissions[submission.number] = submission
        self.place(submission)
        return submission

    def place(self, submission: Submission) -> None:
        """Hand a stage to the instance where its pieces meet, or take it on here."""
        link = self.fleet.coordinator(submission.job.service)
        if link is not None:
            self.hand_over(submission, link, lent=False)
        else:
            self.place_here(submission)

    def hand_over(self, submission: Submission, link: Link, lent: bool) -> None:
        """Leave a stage to another instance."""
        submission.home = link.peer.peer
        submission.lent = lent
        job = submission.job.shifted(-self.clock.now())
        self.fleet.send_later(link, StageOrder(submission.number, job, lent))

    def place_here(self, submission: Submission) -> None:
        """Take on a stage whose pieces meet here, or lend it to another data centre."""
        job = submission.job
        places = self.fleet.coordinator_links(job.service) if self.is_divided(job.service) else {}
        there = self.lending_target(job, places)
        if there:
            self.batcher(job.service).demand.came(job)
            self.hand_over(submission, places[there], lent=True)
        else:
            self.take_on(submission)

    def is_divided(self, service: str) -> bool:
        """Tell whether a service's pieces meet in each data centre, not in one place for all."""
        return self.fleet.division.is_divided(service)

    def lending_target(self, job: StageJob, places: Mapping[str, Link]) -> str:
        """Return the data centre to lend a stage to, or an empty string."""
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
                wanted=job.datacentre,
                own_ms=own_ms if math.isinf(own_ms) else round(own_ms),
                there_ms=round(self.lending.wait_ms(job.service, there, here)),
            )
            self.lending.lend(job, there, piece_ms)
        return there

    def take_on(self, submission: Submission) -> None:
        """Let the pieces of a stage wait for servers here."""
        job = submission.job
        submission.home = ""
        submission.lent = False

        def settled(results: Results) -> None:
            """Take in the results of this instance's own batcher."""
            if not self.settle(submission.number, results):
                self.batcher(job.service).release(_handles(results))

        submission.progress = self.batcher(job.service).submit(job, settled)

    def settle(self, number: int, results: Results) -> bool:
        """Hand the results of a stage to the request that waits for them, where it still does."""
        submission = self.submissions.pop(number, None)
        if submission is None:
            return False
        if submission.moved:
            # The instance that had it before may have begun it.
            results = tuple(_certain(result) for result in results)
        if submission.lent:
            self.lent_results.remember(_handles(results), submission.home)
        submission.done(results)
        return True

    def withdraw(self, submission: Submission) -> None:
        """Drop a stage that is not wanted any more."""
        if self.submissions.pop(submission.number, None) is None:
            return
        if submission.progress is not None:
            self.batcher(submission.job.service).withdraw(submission.progress)
        link = self.fleet.links.get(submission.home)
        if link is not None:
            self.fleet.send_later(link, StageWithdrawal(submission.number))

    def announce(self, notice: StageNotice) -> None:
        """Tell the instance where a service's pieces meet which ones will come."""
        self.hand(notice, lambda: self.batcher(notice.service).demand.announce(notice))

    def release(self, service: str, handles: Sequence[str]) -> None:
        """Give up results of a service, at the instance where its pieces meet."""
        named = tuple(handle for handle in handles if handle)
        if not named:
            return
        self.hand(StageRelease(service, named), lambda: self.release_here(service, named))

    def hand(self, message: StageNotice | StageRelease, take: Callable[[], None]) -> None:
        """Send a message to where its service's pieces meet, or take it in where that is here."""
        link = self.fleet.coordinator(message.service)
        if link is None:
            take()
        else:
            self.fleet.send_later(link, message)

    def take_notice(self, notice: StageNotice, link: Link) -> None:
        """Take in which pieces another instance's request will send."""
        self.batcher(notice.service).demand.announce(notice)

    def take_release(self, release: StageRelease, link: Link) -> None:
        """Give up results that another instance does not need any more."""
        self.release_here(release.service, release.handles)

    def release_here(self, service: str, handles: Sequence[str]) -> None:
        """Give up results, those that were made for another data centre at the place there."""
        for address, named in self.lent_results.sort_out(handles).items():
            link = self.fleet.links.get(address)
            if link is None:
                self.batcher(service).release(named)
            else:
                self.fleet.send_later(link, StageRelease(service, tuple(named)))

    def move_from(self, address: str) -> None:
        """Hand on the stages that an instance had which cannot be reached any more."""
        lost = [one for one in self.submissions.values() if one.home == address]
        if lost:
            log_message("stages-moved", instance=address, stages=len(lost))
        for submission in lost:
            submission.moved = True
            self.place(submission)

    def take_order(self, order: StageOrder, link: Link) -> None:
        """Take on a stage that another instance leaves to this one."""
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
        """Drop the stages of an instance that cannot be reached any more.

        It hands them to another instance, or has ended; nobody would take their results.
        """
        lost = [key for key in self.foreign if key[0] == id(link)]
        if lost:
            log_message("stages-dropped", peer=link.peer.name, stages=len(lost))
        for key in lost:
            self.withdraw(self.foreign.pop(key))

    def take_outcome(self, outcome: StageOutcome, link: Link) -> None:
        """Take in the results of a stage that was left to another instance."""
        self.backlogs.take(outcome.backlog, link.peer.datacentre)
        if self.settle(outcome.number, outcome.results):
            return
        # Its withdrawal and these results were under way at the same time.
        handles = _handles(outcome.results)
        if handles:
            self.fleet.send_later(link, StageRelease(outcome.backlog.service, handles))

    def wait_ms(self, service: str, urgency: int, gives_way: bool = False) -> float:
        """Return how long new pieces of a service are expected to wait, in milliseconds."""
        return self.backlogs.wait_ms(service, urgency, gives_way)

    def take_withdrawal(self, withdrawal: StageWithdrawal, link: Link) -> None:
        """Drop a stage that the instance it came from does not want any more."""
        submission = self.foreign.pop((id(link), withdrawal.number), None)
        if submission is not None:
            self.withdraw(submission)


def _handles(results: Results) -> tuple[str, ...]:
    return tuple(one.handle for one in results if one.handle)


def _certain(result: PieceResult) -> PieceResult:
    if result.failure is PieceFailure.NOT_BEGUN:
        return PieceResult("", PieceFailure.LATE)
    return result
