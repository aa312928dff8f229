# stageflow.py -- Runs the stages of one request in the order of their dependencies
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Runs the stages of one request in the order of their dependencies."""

from __future__ import annotations

import math

from gevent.event import Event

from mountladder.admission.attemptkind import AttemptKind
from mountladder.clocks.clock import Clock
from mountladder.code import Code
from mountladder.errors import RefusalError, RunError
from mountladder.forwarding.firsteventtime import first_event_ms
from mountladder.forwarding.forwardrequest import ForwardRequest
from mountladder.forwarding.jobprogress import Results
from mountladder.forwarding.piecefailure import PieceFailure
from mountladder.forwarding.route import Route
from mountladder.forwarding.stagedispatch import StageDispatch
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stagenotice import StageNotice
from mountladder.forwarding.stageresults import StageResults
from mountladder.forwarding.stagetimes import StageTimes
from mountladder.forwarding.submission import Submission
from mountladder.quarantine.fingerprint import stage_fingerprint

# A request with no stage begun after this multiple of its latency target is refused, so that its
# caller can retry later instead of waiting for an answer that would be late.
GIVE_UP_TARGETS = 2.0
_FAILURE_CODES = {
    PieceFailure.INPUT_GONE: Code.RESULT_GONE,
    PieceFailure.QUARANTINED: Code.SERVERS_ENDED,
}


class StageFlow:
    """Runs the stages of one request, each as soon as those it depends on are done.

    Args:
        request: The request.
        route: Its route.
        deadline: When the results are no longer useful, in the clock's milliseconds.
        urgency: The rank of the request; 0 is the most urgent.
        dispatch: Runs the stages.
        clock: The clock.
        may_refuse: Whether the request can still be refused, as no earlier attempt began any of it.
        fingerprint: The fingerprint of the request, equal for all its attempts, or empty.
        answer_target_ms: The time from its arrival until its answer should begin; 0 if that cannot
            be met, and its stages give way to those of other requests. None stands for the route's
            latency target.
        team: The name of the request's team, or an empty string.
        stages_end: When coordinators end its stages, in the clock's milliseconds: before the
            deadline, so that it learns whether any piece was begun. Infinite for the deadline.
        attempt: Whether the request returns after a refusal.

    Attributes:
        results: The results of its stages.
        handles: Their handles, by the number of each completed stage; see StageResults.
        locations: The data centres that store them; see StageResults.
        waiting: The submitted stages that are not done, by their number; None while one is being
            submitted.
        failure: The failure that ended the run, or None.
        begun: Whether any piece may have been worked on.
        has_run: Whether a piece of a completed or failed stage has been worked on.
    """

    def __init__(
        self,
        request: ForwardRequest,
        route: Route,
        deadline: float,
        urgency: int,
        dispatch: StageDispatch,
        clock: Clock,
        answer_target_ms: float | None = None,
        may_refuse: bool = True,
        fingerprint: str = "",
        team: str = "",
        stages_end: float = math.inf,
        attempt: AttemptKind = AttemptKind.FIRST,
    ) -> None:
        self.request = request
        self.route = route
        self.deadline = deadline
        self.urgency = urgency
        self.dispatch = dispatch
        self.clock = clock
        self.answer_target_ms = route.target_ms if answer_target_ms is None else answer_target_ms
        self.stages_end = stages_end
        self.may_refuse = may_refuse
        self.give_up = self.last_give_up = math.inf
        if may_refuse:
            self.last_give_up = stages_end
            self.give_up = request.arrived + GIVE_UP_TARGETS * route.target_ms
        self.results = StageResults(route, dispatch)
        self.handles, self.locations = self.results.handles, self.results.locations
        self.waiting: dict[int, Submission | None] = {}
        self.failure: PieceFailure | None = None
        self.changed = Event()
        self.fingerprint = fingerprint
        self.team = team
        self.attempt = attempt
        self.times = StageTimes(request, route, dispatch)
        self.begun = self.has_run = False

    @property
    def gives_way(self) -> bool:
        """Return whether its stages are queued behind all that can be on time."""
        return self.answer_target_ms <= 0.0

    def run(self) -> tuple[str, ...]:
        """Run all stages and return the handles of the results that the request needs.

        Raises:
            RefusalError: No stage was begun in time.
            RunError: A stage failed, or the deadline passed.
        """
        self.announce()
        try:
            while len(self.handles) < len(self.route.stages):
                self.changed.clear()
                self.start_ready()
                self.wait()
        except BaseException:
            self.withdraw()
            raise
        return self.inputs()

    def announce(self) -> None:
        """Announce the pieces of all stages that depend on others."""
        for number, stage in enumerate(self.route.stages):
            if stage.after and self.times.has_pieces(number):
                self.announce_stage(number, self.request.pieces[number])

    def announce_stage(self, number: int, pieces: int) -> None:
        """Announce pieces of a stage; 0 withdraws the announcement."""
        service = self.service(number)
        notice = StageNotice(
            self.request.id, number, service, pieces, self.urgency, self.gives_way, self.attempt
        )
        self.dispatch.announce(notice)

    def wait(self) -> None:
        """Wait until a stage completes or fails."""
        if len(self.handles) == len(self.route.stages):
            return
        in_time = self.failure is not None or self.clock.wait(
            self.changed, self.deadline - self.clock.now()
        )
        if self.failure is PieceFailure.NOT_BEGUN:
            self.begun = False
            raise RefusalError("no server began a stage in time", Code.DEADLINE_UNMEETABLE)
        if self.failure is not None:
            code = _FAILURE_CODES.get(self.failure, Code.STAGE_FAILED)
            if self.failure is PieceFailure.LATE and self.has_ended():
                code = Code.DEADLINE_PASSED
            raise RunError(f"a stage failed: {self.failure.value}", code)
        if not in_time and not self.begun and self.may_refuse:
            raise RefusalError("no stage was begun in time", Code.DEADLINE_UNMEETABLE)
        if not in_time:
            raise RunError("the deadline passed during the stages", Code.DEADLINE_PASSED)

    def end_barred(self) -> None:
        """End the run since the request was barred."""
        self.failure = self.failure or PieceFailure.QUARANTINED
        self.changed.set()

    def start_ready(self) -> None:
        """Start each stage whose dependencies are done, until one has failed.

        A coordinator on this instance may end a stage while it is submitted. A stage that is
        started after that would run although the request may be refused as not executed.
        """
        for number, stage in enumerate(self.route.stages):
            if self.failure is not None:
                return
            if number in self.handles or number in self.waiting:
                continue
            is_ready = all(needed in self.handles for needed in stage.after)
            if is_ready and not self.should_delay(number):
                self.start(number)

    def has_begun_others(self) -> bool:
        """Return whether any other stage is submitted or has run."""
        return bool(self.waiting) or self.has_run

    def has_ended(self) -> bool:
        """Return whether the coordinators have ended the stages because of their time limit."""
        return self.clock.now() >= self.stages_end

    def start(self, number: int) -> None:
        """Submit a stage, or mark it as done if it has no pieces."""
        pieces = self.request.pieces[number] if number < len(self.request.pieces) else 0
        if pieces == 0:
            self.handles[number] = ()
            self.locations[number] = ()
            self.changed.set()
            return
        if self.begun:
            # A piece may have run already, so the request can no longer be refused as not executed.
            self.give_up = math.inf
        self.begun = True
        # A coordinator on this instance may end the stage while it is submitted.
        self.waiting[number] = None
        submission = self.dispatch.submit(
            self.job(number, pieces), lambda results: self.complete(number, results)
        )
        if self.waiting.get(number, submission) is None:
            self.waiting[number] = submission

    def job(self, number: int, pieces: int) -> StageJob:
        """Return the job of one stage."""
        stage = self.route.stages[number]
        inputs = tuple(handle for needed in stage.after for handle in self.handles[needed])
        due = self.request.arrived + self.answer_target_ms - first_event_ms(self.request.prompt)
        return StageJob(
            request=self.request.id,
            stage=number,
            service=stage.service,
            pieces=pieces,
            key="" if stage.after else self.request.piece_key,
            inputs=inputs,
            releases_inputs=self.may_release_inputs(number),
            deadline=min(self.deadline, self.stages_end),
            due=due - self.times.following_ms(number),
            urgency=self.urgency,
            result_bytes=stage.result_bytes,
            datacentre=self.results.preferred_datacentre(number, pieces),
            give_up=min(self.give_up, self.last_give_up),
            fingerprint=self.stage_fingerprint(stage.service),
            team=self.team,
            attempt=self.attempt,
        )

    def may_release_inputs(self, number: int) -> bool:
        """Return whether a stage has inputs that nothing else needs any more."""
        needed = set(self.route.stages[number].after)
        return bool(needed) and all(
            n == number or n in self.handles or not self.times.has_pieces(n)
            for n, one in enumerate(self.route.stages)
            if needed.intersection(one.after)
        )

    def stage_fingerprint(self, service: str) -> str:
        """Return the fingerprint of the request at a stage service, or an empty string."""
        return stage_fingerprint(self.fingerprint, service) if self.fingerprint else ""

    def should_delay(self, number: int) -> bool:
        """Return whether a stage's large results would just wait for slower stages."""
        if not self.results.has_large_results(number):
            return False
        wait_ms = self.dispatch.wait_ms(self.service(number), self.urgency, self.gives_way)
        return self.other_stages_ms(number) > wait_ms + self.times.stage_ms(number)

    def other_stages_ms(self, number: int) -> float:
        """Return the approximate time until the other stages are done, in milliseconds."""
        unfinished = (
            n
            for n in range(len(self.route.stages))
            if n != number and n not in self.handles and self.times.has_pieces(n)
        )
        return max(
            (self.times.stage_ms(n) + self.times.following_ms(n) for n in unfinished), default=0.0
        )

    def complete(self, number: int, results: Results) -> None:
        """Record the results of a stage, or its failure."""
        self.waiting.pop(number, None)
        failures = [one.failure for one in results if one.failure is not None]
        is_unbegun = PieceFailure.NOT_BEGUN in failures
        if is_unbegun and self.has_begun_others():
            self.handle_unbegun(number)
            return
        self.has_run = self.has_run or not is_unbegun
        if failures:
            self.failure = self.failure or failures[0]
            self.dispatch.release(self.service(number), [one.handle for one in results])
        else:
            self.handles[number] = tuple(one.handle for one in results)
            self.locations[number] = tuple(one.datacentre for one in results)
            self.release_used()
        self.changed.set()

    def handle_unbegun(self, number: int) -> None:
        """Handle a stage of which no piece was begun while other stages are open or have run.

        It is submitted again as long as there is time. After that the request fails if another
        stage has run; otherwise the outcome of the open ones decides whether it is refused.
        """
        if not self.has_ended():
            self.start(number)
            return
        if self.has_run:
            self.failure = self.failure or PieceFailure.LATE
            self.changed.set()

    def release_used(self) -> None:
        """Release the results that neither a stage nor the request needs any more."""
        last = self.route.last_stages()
        for number, handles in self.handles.items():
            following = [n for n, one in enumerate(self.route.stages) if number in one.after]
            if handles and number not in last and all(n in self.handles for n in following):
                self.dispatch.release(self.service(number), handles)
                self.handles[number] = ()

    def inputs(self) -> tuple[str, ...]:
        """Return the handles of the results that the request itself needs."""
        return tuple(h for number in self.route.last_stages() for h in self.handles[number])

    def withdraw(self) -> None:
        """Withdraw all open stages and announcements, and release all results."""
        for submission in list(self.waiting.values()):
            if submission is not None:
                self.dispatch.withdraw(submission)
        for number, stage in enumerate(self.route.stages):
            begun = number in self.handles or number in self.waiting
            if stage.after and self.times.has_pieces(number) and not begun:
                self.announce_stage(number, 0)
        self.waiting.clear()
        self.release()

    def release(self) -> None:
        """Release all results."""
        for number, handles in self.handles.items():
            self.dispatch.release(self.service(number), handles)
        self.handles.clear()

    def service(self, number: int) -> str:
        """Return the name of the service of a stage."""
        return self.route.stages[number].service
