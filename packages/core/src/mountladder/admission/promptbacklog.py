# promptbacklog.py -- Expected waits of new prompts for a model server, by priority class
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Expected waits of new prompts for a model server, by priority class.

The load it handles: requests whose stages are free but whose model servers have a backlog. Without
this wait they are admitted, pass their stages and are answered late or not at all.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mountladder.admission.serverload import ServerLoad
from mountladder.forwarding.backlog import FIRST_CLASS_GIVING_WAY, MAX_RANK, PRIORITY_CLASSES

NO_WAITS = (0.0,) * len(PRIORITY_CLASSES)


@dataclass(frozen=True, slots=True)
class PromptBacklog:
    """Computes how long a new prompt of a service waits before a server begins to read it.

    Attributes:
        tokens_per_ms: How many tokens a usual server reads in a millisecond.
        run_ms: The mean time from the placement of a prompt to its end in milliseconds, or 0 if
            none has ended; without it, only the tokens to be read count.
        kv_tokens: The memory of a server in tokens, or 0 if it is not known.
    """

    tokens_per_ms: float
    run_ms: float
    kv_tokens: int

    def waits_ms(self, servers: Iterable[ServerLoad]) -> tuple[float, ...]:
        """Return the shortest waits over the servers in milliseconds, by priority class.

        Args:
            servers: The servers that may be chosen; without any, nothing is expected to wait.
        """
        shortest: list[float] | None = None
        for server in servers:
            if not server.pending_tokens and server.running < server.slots:
                return NO_WAITS
            waits = self.ranked_waits_ms(server)
            shortest = waits if shortest is None else list(map(min, shortest, waits))
        if shortest is None:
            return NO_WAITS
        return tuple(shortest[_rank(priority)] for priority in PRIORITY_CLASSES)

    def ranked_waits_ms(self, server: ServerLoad) -> list[float]:
        """Return the waits at one server in milliseconds, by rank.

        Prompts ahead are read while slots and memory become free, so the longest of the three waits
        counts rather than their sum.
        """
        reading_ms = server.pending_tokens / self.tokens_per_ms
        wait_ms = max(reading_ms, self.slot_ms(server))
        held = 0
        waits = []
        for rank in range(MAX_RANK + 1):
            # A server that runs out of memory preempts less urgent prompts first, so only prompts
            # of the same rank and of more urgent ones keep a new one out.
            held += server.held_tokens.get(rank, 0)
            waits.append(max(wait_ms, self.memory_ms(server, held)) * server.time_factor)
        return waits

    def slot_ms(self, server: ServerLoad) -> float:
        """Return the time until a slot is free, in milliseconds.

        While all slots are taken, one becomes free in each run_ms / slots on average.
        """
        excess = server.running + 1 - server.slots
        return max(0, excess) * self.run_ms / server.slots

    def memory_ms(self, server: ServerLoad, held_tokens: int) -> float:
        """Return the time until there is memory for one more usual prompt, in milliseconds.

        A full memory is turned over once in run_ms.

        Args:
            server: The server.
            held_tokens: The tokens of running prompts that a new one cannot preempt.
        """
        if not self.kv_tokens or not server.running:
            return 0.0
        usual_tokens = sum(server.held_tokens.values()) / server.running
        excess = held_tokens + usual_tokens - self.kv_tokens
        return max(0.0, excess) * self.run_ms / self.kv_tokens


def _rank(priority: int) -> int:
    """Return the rank of a priority class. Model servers do not know which prompts give way."""
    return priority if priority <= MAX_RANK else priority - FIRST_CLASS_GIVING_WAY
