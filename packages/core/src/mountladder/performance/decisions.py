# decisions.py -- Decisions on the speed of backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Decisions on the speed of backend servers."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable

from mountladder.performance.learntlevel import SPREAD_SAMPLES, LearntLevel

# The lasting factor is 1.0 below this number of samples: fewer do not tell a slow server from one
# that was measured in a spell.
MIN_SAMPLES = 8
# The lasting factor is 1.0 if the server is within 15 % of the usual time, so that services with
# equal servers are served as if nothing was learnt.
MIN_DIFFERENCE = math.log(1.15)
# A difference must also exceed this multiple of the samples' mean distance from the median, divided
# by the square root of their number: about two standard errors. Times of prompts vary by half on
# equal servers; with a multiple of 2, three of 45 equal servers were found to differ.
MIN_SPREADS = 3.0
MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
# Work slower than the server's lasting factor by more than this ratio is evidence of a spell.
SPELL_RATIO = 1.8
# Nor is work a sign of a spell if samples differ that much anyway: it must be beyond this multiple
# of their mean distance from the median.
SPELL_SPREADS = 3.0


def median_level(levels: Iterable[LearntLevel]) -> float:
    """Return the median over the servers of a service that have enough samples; 0 without any."""
    known = [one.level for one in levels if one.samples >= MIN_SAMPLES]
    return statistics.median(known) if known else 0.0


def lasting_factor(learnt: LearntLevel, median: float) -> float:
    """Return a server's time per unit of work as a multiple of the usual one; 1.0 is usual.

    Args:
        learnt: What is known of the server.
        median: The median level of the servers of its service.
    """
    if learnt.samples < MIN_SAMPLES:
        return 1.0
    difference = learnt.level - median
    uncertainty = MIN_SPREADS * learnt.spread / math.sqrt(min(learnt.samples, SPREAD_SAMPLES))
    if abs(difference) <= max(MIN_DIFFERENCE, uncertainty):
        return 1.0
    return min(MAX_FACTOR, max(MIN_FACTOR, math.exp(difference)))


def spell_ratio(sample: float, spread: float, median: float, factor: float) -> float:
    """Return by what ratio a sample shows a spell of its server, or 1.0 if it shows none.

    Args:
        sample: The natural logarithm of the measured ratio.
        spread: The mean distance of samples from their median, on the server or in its service.
        median: The median level of the servers of its service.
        factor: The server's lasting factor.
    """
    excess = sample - median - math.log(factor)
    if excess <= max(math.log(SPELL_RATIO), SPELL_SPREADS * spread):
        return 1.0
    return min(MAX_FACTOR, math.exp(excess))


def wins(received: LearntLevel, known: LearntLevel) -> bool:
    """Return whether a received level replaces the known one: more samples, then the younger."""
    if received.samples != known.samples:
        return received.samples > known.samples
    return received.measured_at > known.measured_at


def call_pieces(pieces: int, factor: float, waiting: int, others_pieces: int) -> int:
    """Return the maximum number of pieces in a call to a server.

    A slow server gets fewer, so that its call takes about as long as a usual one, unless the rest
    would not fit into the next calls of the faster servers: then only full calls use its capacity.

    Args:
        pieces: The maximum number of pieces in any call.
        factor: The server's expected time as a multiple of the usual one.
        waiting: The number of waiting pieces.
        others_pieces: How many pieces fit into one call of each faster server.
    """
    if factor <= 1.0:
        return pieces
    fewer = max(1, int(pieces / factor))
    return fewer if waiting - fewer <= others_pieces else pieces
