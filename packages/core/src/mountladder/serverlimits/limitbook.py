# limitbook.py -- The limits that backend servers name
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The limits that backend servers name."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from eliot import log_message

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.metrics.metric import Metric
from mountladder.metrics.metrics import Metrics
from mountladder.notices.ratelimit import UNLIMITED
from mountladder.serverlimits.limitword import LimitWord

# A limit that moves by less than this part is not worth a message to all instances.
TOLD_CHANGE = 0.1
# Whoever hears the same again tells it again after this time, so that instances that judged the
# order of two answers in different ways come to the same.
TELL_AGAIN_MS = 5_000.0
# A limit of which nothing was heard for so long is one of a server that has gone, or that nobody
# has asked for anything. That one was ended is remembered for as long as answers may be late.
FORGET_LIMIT_MS = 600_000.0
FORGET_END_MS = 60_000.0
# How many servers are remembered, about half of all there are to be (2,100).
MOST_SERVERS = 1_024


class LimitBook:
    """The limits that servers name in their answers to any instance.

    What an answer says goes to all instances at once, and whoever learns by it passes it on. That
    comes to an end: on each further way a word is less surely newer than another one, and a lower
    limit stays where neither surely is.

    Args:
        clock: The clock.
        metrics: Where the number of limited servers goes.

    Attributes:
        words: The word in force of each server that ever named a limit, by its name.
        on_news: Called with words that others should know, and with who told them, or an empty
            string.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.words: dict[str, LimitWord] = {}
        self.told_at: dict[str, float] = {}
        self.on_news: Callable[[Sequence[LimitWord], str], None] = lambda words, source: None

    def per_s(self, server: str) -> float:
        """Return how many requests a second a server takes from all instances, or UNLIMITED."""
        word = self.words.get(server)
        return word.per_s if word is not None else UNLIMITED

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
        now = self.clock.now()
        word = LimitWord(server.name, per_s, sent_at, now)
        if known is not None and not word.replaces(known):
            return
        self.put(word, known, "an answer")
        is_due = now - self.told_at.get(server.name, now) >= TELL_AGAIN_MS
        if known is None or _differs(word.per_s, known.per_s) or is_due:
            self.told_at[server.name] = now
            self.on_news([word], "")

    def take(self, words: Sequence[LimitWord], source: str) -> None:
        """Take in what a peer tells, and pass on what is news; source is the peer's name."""
        news = [word for word in words if self.is_news(word)]
        changes = [word for word in news if _differs(word.per_s, self.per_s(word.server))]
        for word in news:
            self.put(word, self.words.get(word.server), f"peer {source}")
        if changes:
            self.on_news(changes, source)

    def is_news(self, word: LimitWord) -> bool:
        """Tell whether a word that was told is to hold."""
        known = self.words.get(word.server)
        return word.limits if known is None else word.replaces(known)

    def put(self, word: LimitWord, known: LimitWord | None, source: str) -> None:
        """Let a word hold, and log what has changed for its server."""
        self.words[word.server] = word
        before = known.per_s if known is not None else UNLIMITED
        if before == word.per_s:
            return
        self.forget_old()
        log_message(
            "server-limit",
            server=word.server,
            per_s=_shown(word.per_s),
            before_per_s=_shown(before),
            sent_ms_ago=round(self.clock.now() - word.sent_at),
            source=source,
        )
        self.metrics.gauge(Metric.LIMITED_SERVERS, sum(one.limits for one in self.words.values()))

    def forget_old(self) -> None:
        """Forget servers of which nothing was heard for long, and the oldest of too many."""
        now = self.clock.now()
        ordered = sorted(self.words.values(), key=lambda one: one.seen_at)
        late = [one for one in ordered if one.seen_at + _kept_ms(one) <= now]
        for word in late or ordered[: max(0, len(ordered) - MOST_SERVERS)]:
            del self.words[word.server]
        self.told_at = {name: at for name, at in self.told_at.items() if name in self.words}


def _kept_ms(word: LimitWord) -> float:
    return FORGET_LIMIT_MS if word.limits else FORGET_END_MS


def _differs(per_s: float, known: float) -> bool:
    if UNLIMITED in (per_s, known):
        return per_s != known
    return abs(per_s - known) > TOLD_CHANGE * known


def _shown(per_s: float) -> float | None:
    return None if per_s == UNLIMITED else per_s
