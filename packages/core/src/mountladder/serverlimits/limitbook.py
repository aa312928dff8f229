# limitbook.py -- The limits that backend servers name
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The limits that backend servers name."""

from __future__ import annotations

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.serverlimits.limitword import UNLIMITED, LimitWord


class LimitBook:
    """The limits that servers name in their answers, as far as this instance knows.

    Args:
        clock: The clock.
        metrics: Where the number of limited servers goes.

    Attributes:
        words: The newest word of each server that ever named a limit, by its name.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.words: dict[str, LimitWord] = {}

    def hear(self, server: BackendServer, per_s: float, sent_at: float) -> None:
        """Take in what an answer of a server says.

        Args:
            server: The server.
            per_s: How many requests a second it takes from all instances, or UNLIMITED.
            sent_at: When the request was sent that is answered.
        """
        known = self.words.get(server.name)
        if known is None and per_s == UNLIMITED:
            return
        word = LimitWord(server.name, per_s, sent_at, self.clock.now())
        if known is not None and not word.replaces(known):
            return
        self.words[server.name] = word
        if known is None or known.per_s != per_s:
            self.log(word, known)

    def log(self, word: LimitWord, known: LimitWord | None) -> None:
        """Log what has changed for a server."""
        before = known.per_s if known is not None else UNLIMITED
        log_message(
            "server-limit",
            server=word.server,
            per_s=_shown(word.per_s),
            before_per_s=_shown(before),
            sent_ms_ago=round(self.clock.now() - word.sent_at),
        )
        limited = sum(one.per_s < UNLIMITED for one in self.words.values())
        self.metrics.gauge(Metric.LIMITED_SERVERS, limited)


def _shown(per_s: float) -> float | None:
    return None if per_s == UNLIMITED else per_s
