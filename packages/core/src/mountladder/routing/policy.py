# policy.py -- Chooses among candidates by a routing policy
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Chooses among candidates by a routing policy."""

from __future__ import annotations

import random
from collections.abc import Sequence
from functools import singledispatch

from mountladder.routing.candidate import Candidate
from mountladder.routing.expectedcompletion import ExpectedCompletion
from mountladder.routing.leastoutstanding import LeastOutstanding
from mountladder.routing.randomchoice import RandomChoice
from mountladder.routing.roundrobin import RoundRobin
from mountladder.routing.twochoices import TwoChoices

MAX_LOAD_FACTOR = 1.0
Policy = RandomChoice | RoundRobin | LeastOutstanding | TwoChoices | ExpectedCompletion


@singledispatch
def choose(
    policy: object,
    candidates: Sequence[Candidate],
    budget_ms: float,
    number: int,
    rng: random.Random,
) -> Candidate:
    """Choose one of the candidates.

    Args:
        policy: The policy, one of Policy.
        candidates: At least one candidate.
        budget_ms: The time that the stage may take, in milliseconds.
        number: A counter that grows by one with every choice, used by round robin.
        rng: The source of randomness.

    Returns:
        The chosen candidate.

    Raises:
        TypeError: The policy is unknown.
    """
    raise TypeError(f"unknown policy {policy!r}")


def sample_size(policy: Policy, candidates: int) -> int:
    """Return the number of candidates that a policy has to compare."""
    if isinstance(policy, ExpectedCompletion):
        return min(policy.drawn, candidates)
    return candidates


@choose.register
def _(policy: RandomChoice, candidates, budget_ms, number, rng) -> Candidate:
    return rng.choice(candidates)


@choose.register
def _(policy: RoundRobin, candidates, budget_ms, number, rng) -> Candidate:
    return candidates[number % len(candidates)]


@choose.register
def _(policy: LeastOutstanding, candidates, budget_ms, number, rng) -> Candidate:
    return min(candidates, key=lambda one: (one.state.running, rng.random()))


@choose.register
def _(policy: TwoChoices, candidates, budget_ms, number, rng) -> Candidate:
    drawn = rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda one: one.state.running)


@choose.register
def _(policy: ExpectedCompletion, candidates, budget_ms, number, rng) -> Candidate:
    fastest = min(candidates, key=lambda one: (one.expected_ms, rng.random()))
    allowance = policy.thrift * budget_ms
    in_time = [
        one
        for one in candidates
        if one.expected_ms <= allowance and one.load_factor <= MAX_LOAD_FACTOR
    ]
    return min(in_time, key=lambda one: (one.cost, one.expected_ms), default=fastest)
