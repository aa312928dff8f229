# stagedispatch.py -- Handing stages to the instances where pieces meet
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Handing stages to the instances where pieces meet."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.forwarding.backlog import Backlog, rank
from mountladder.forwarding.batcher import Batcher
from mountladder.forwarding.batchlimits import BatchLimits
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.jobprogress import Done, JobProgress, Results
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.pieceresult import PieceResult
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
    take the pieces of a service cost batches that are less full, and nothing worse.

    Args:
        fleet: The other instances.
        make_batcher: Makes the batcher of a service.
        clock: The clock.
    """

    def __init__(self, fleet: Fleet, make_batcher: Callable[[str], Batcher], clock: Clock) -> None:
        self.fleet = fleet
        self.make_batcher = make_batcher
        self.clock = clock
        self.batchers: dict[str, Batcher] = {}
        self.numbers = itertools.count(1)
        self.submissions: dict[int, Submission] = {}
        self.foreign: dict[tuple[int, int], JobProgress] = {}
        self.backlogs: dict[str, tuple[Backlog, float]] = {}
        fleet.backlogs = self.own_backlogs
        fleet.on_backlog = self.take_backlog
        fleet.on_order = self.take_order
        fleet.on_outcome = self.take_outcome
        fleet.on_notice = lambda notice, link: self.batcher(notice.service).demand.announce(notice)
        fleet.on_release = self.take_release
        fleet.on_withdrawal = self.take_withdrawal
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
        job = submission.job
        link = self.fleet.home(job.service)
        if link is not None:
            submission.home = link.peer.peer
            self.fleet.send_later(
                link, StageOrder(submission.number, job.shifted(-self.clock.now()))
            )
            return
        submission.home = ""

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
        self.hand(StageRelease(service, named), lambda: self.batcher(service).release(named))

    def hand(self, message: StageNotice | StageRelease, take: Callable[[], None]) -> None:
        """Send a message to where its service's pieces meet, or take it in where that is here."""
        link = self.fleet.home(message.service)
        if link is None:
            take()
        else:
            self.fleet.send_later(link, message)

    def take_release(self, release: StageRelease, link: Link) -> None:
        """Give up results that another instance does not need any more."""
        self.batcher(release.service).release(release.handles)

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

        def settled(results: Results) -> None:
            """Send the results back."""
            self.foreign.pop(key, None)
            backlog = self.batcher(order.job.service).backlog()
            self.fleet.send_later(link, StageOutcome(order.number, results, backlog))

        job = order.job.shifted(self.clock.now())
        progress = self.batcher(job.service).submit(job, settled)
        if not progress.ended:
            self.foreign[key] = progress

    def drop(self, link: Link) -> None:
        """Drop the stages of an instance that cannot be reached any more.

        It hands them to another instance, or has ended; nobody would take their results.
        """
        lost = [key for key in self.foreign if key[0] == id(link)]
        if lost:
            log_message("stages-dropped", peer=link.peer.name, stages=len(lost))
        for key in lost:
            progress = self.foreign.pop(key)
            self.batcher(progress.job.service).withdraw(progress)

    def take_outcome(self, outcome: StageOutcome, link: Link) -> None:
        """Take in the results of a stage that was left to another instance."""
        self.take_backlog(outcome.backlog)
        if self.settle(outcome.number, outcome.results):
            return
        # Its withdrawal and these results were under way at the same time.
        handles = _handles(outcome.results)
        if handles:
            self.fleet.send_later(link, StageRelease(outcome.backlog.service, handles))

    def own_backlogs(self) -> tuple[Backlog, ...]:
        """Return how long pieces wait that meet on this instance."""
        here = (one for one in self.batchers.values() if self.fleet.home(one.service) is None)
        return tuple(one.backlog() for one in here)

    def take_backlog(self, backlog: Backlog) -> None:
        """Take in how long pieces wait that meet on another instance."""
        self.backlogs[backlog.service] = (backlog, self.clock.now())

    def wait_ms(self, service: str, urgency: int) -> float:
        """Return how long new pieces of a service are expected to wait, in milliseconds.

        What another instance told is taken to have been worked off since.
        """
        if self.fleet.home(service) is None:
            return self.batcher(service).backlog().waits_ms[rank(urgency)]
        backlog, told = self.backlogs.get(service, (None, 0.0))
        if backlog is None:
            return 0.0
        return max(0.0, backlog.waits_ms[rank(urgency)] - (self.clock.now() - told))

    def take_withdrawal(self, withdrawal: StageWithdrawal, link: Link) -> None:
        """Drop a stage that the instance it came from does not want any more."""
        progress = self.foreign.pop((id(link), withdrawal.number), None)
        if progress is not None:
            self.batcher(progress.job.service).withdraw(progress)


def _handles(results: Results) -> tuple[str, ...]:
    return tuple(one.handle for one in results if one.handle)


def _certain(result: PieceResult) -> PieceResult:
    if result.failure is PieceFailure.NOT_BEGUN:
        return PieceResult("", PieceFailure.LATE)
    return result
