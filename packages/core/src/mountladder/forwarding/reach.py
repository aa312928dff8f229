# reach.py -- Which data centres cannot be reached at present
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which data centres cannot be reached at present."""

from __future__ import annotations

from collections.abc import Iterable

from eliot import log_message

from mountladder.membership.membership import Membership

# A data centre none of whose instances was heard of for this long is taken to be cut off: three
# heartbeats between places. Each request that is sent there all the same costs its caller the time
# that a connection may take to come about, 300 ms.
SILENCE_MS = 750.0
# How long the word of an instance that judges is believed, two of its heartbeats and some delay.
BELIEVED_MS = 1_200.0


class Reach:
    """Tells which data centres are cut off from this one, so that work is not sent there in vain.

    Instances that are in touch with several others of each data centre judge; the rest of their
    data centre takes their word, where all that judge agree. One that alone takes another data
    centre to be cut off may have slow links itself, and after a cut they find out one by one.

    Args:
        membership: Who was heard of, and when.

    Attributes:
        silent: The data centres that this instance itself judges to be cut off.
        words: What each other instance that judges said last, with the time when it came.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.silent: frozenset[str] = frozenset()
        self.judged_at = float("-inf")
        self.words: dict[str, tuple[frozenset[str], float]] = {}

    def judge(self, datacentres: Iterable[str]) -> bool:
        """Judge anew which of some data centres are cut off; tell whether that has changed.

        Whoever has not looked for a while was paused itself, and has not read yet what others sent.
        """
        now = self.membership.clock.now()
        paused = now - self.judged_at > SILENCE_MS / 2
        self.judged_at = now
        if paused:
            return False
        silent = frozenset(one for one in datacentres if self.silence_ms(one) > SILENCE_MS)
        if silent == self.silent:
            return False
        log_message("datacentres-cut", now=sorted(silent), before=sorted(self.silent))
        self.silent = silent
        return True

    def silence_ms(self, datacentre: str) -> float:
        """Return how long ago any instance of a data centre was heard of; 0 if never."""
        there = (one for one in self.membership.known.values() if one.datacentre == datacentre)
        silences = [self.membership.silence_ms(one) for one in there]
        heard = [one for one in silences if one != float("inf")]
        return min(heard, default=0.0)

    def believe(self, name: str, datacentres: Iterable[str]) -> None:
        """Take in the word of an instance near this one that some data centres are cut off."""
        self.words[name] = (frozenset(datacentres), self.membership.clock.now())

    def cut_off(self) -> frozenset[str]:
        """Return the data centres that are taken to be cut off from this one."""
        oldest = self.membership.clock.now() - BELIEVED_MS
        self.words = {name: word for name, word in self.words.items() if word[1] > oldest}
        agreed = [cut for cut, _ in self.words.values()]
        return self.silent.union(frozenset.intersection(*agreed) if agreed else ())
