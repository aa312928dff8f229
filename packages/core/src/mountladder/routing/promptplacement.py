# promptplacement.py -- Which model server holds which parts of prompts
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which model server holds which parts of prompts."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Sequence

import xxhash

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.routing.choice import Choice
from mountladder.routing.router import Router
from mountladder.routing.serverstate import ServerState

# Both from the users' sheet of engines: how fast prompts are read, and the least time of a step.
READ_TOKENS_PER_MS = 61.2
FIRST_TOKEN_MS = 10.0
# Reading shared parts again takes time from other prompts and is priced, so that it weighs this
# many times more than its own time.
READ_AGAIN = 3.0
# How many parts are remembered for each server; a part that was not used for long is likely gone.
PARTS_KEPT = 512
# What fetching large results from another data centre is taken to cost.
FAR_MS = 60.0


class PromptPlacement:
    """Chooses model servers by what their caches hold and how much they have to read.

    Prompts share parts, and a part is cached where it was read last. All instances place a prompt
    that none of them knows by the same hash of its last shared part, so that they agree on a
    server without talking.

    Args:
        clock: The clock.
        router: What is known of each server.

    Attributes:
        held: The parts that each server was sent, the latest last.
        reading: How many tokens each server has to read yet.
        running: How many prompts are at each server.
    """

    def __init__(self, clock: Clock, router: Router) -> None:
        self.clock = clock
        self.router = router
        self.held: dict[str, OrderedDict[str, None]] = {}
        self.reading: Counter[str] = Counter()
        self.running: Counter[str] = Counter()

    def choose(
        self,
        servers: Sequence[BackendServer],
        prompt: Prompt,
        excluded: frozenset[str],
        site: str = "",
    ) -> Choice | None:
        """Return the server with the least expected time to the first token, or None.

        Args:
            servers: The servers that may be used.
            prompt: The prompt.
            excluded: Names of servers that failed this request already.
            site: The data centre where large inputs lie, or an empty string.
        """
        now = self.clock.now()
        states = [self.router.state(one) for one in servers if one.name not in excluded]
        usable = [state for state in states if state.usable(now)]
        if not usable:
            return None
        first = max(usable, key=lambda state: _weight(prompt, state.server)).server.name
        costs = [(self.expected_ms(state, prompt, first, site, now), state) for state in usable]
        expected_ms, best = min(costs, key=lambda one: one[0])
        unloaded = FIRST_TOKEN_MS + self.missing(best, prompt, first) / READ_TOKENS_PER_MS
        return Choice(best, expected_ms, unloaded, best.crowding(now), len(servers), len(usable))

    def expected_ms(
        self, state: ServerState, prompt: Prompt, first: str, site: str, now: float
    ) -> float:
        """Return the expected time to the first token at a server, in milliseconds."""
        missing = self.missing(state, prompt, first)
        own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
        again = max(0, missing - own) * (READ_AGAIN - 1.0)
        tokens = missing + again + self.reading[state.server.name]
        expected = FIRST_TOKEN_MS + tokens / READ_TOKENS_PER_MS
        crowding = (self.running[state.server.name] + 1) / state.server.slots
        expected *= max(1.0, crowding) ** 2 * state.slowness_at(now)
        return expected + (FAR_MS if site and state.server.datacentre != site else 0.0)

    def missing(self, state: ServerState, prompt: Prompt, first: str) -> int:
        """Return how many tokens of a prompt a server is believed to have to read."""
        held = self.held.get(state.server.name, {})
        missing = prompt.tokens
        for part in prompt.parts[:-1]:
            if part.id not in held and state.server.name != first:
                break
            missing -= part.tokens
        return max(0, missing)

    def began(self, server: str, prompt: Prompt) -> None:
        """Record that a server begins to read a prompt."""
        held = self.held.setdefault(server, OrderedDict())
        for part in prompt.parts:
            held[part.id] = None
            held.move_to_end(part.id)
        while len(held) > PARTS_KEPT:
            held.popitem(last=False)
        self.reading[server] += prompt.tokens
        self.running[server] += 1

    def read(self, server: str, prompt: Prompt) -> None:
        """Record that a server has read a prompt, or is not reading it any more."""
        self.reading[server] -= prompt.tokens
        if self.reading[server] <= 0:
            del self.reading[server]

    def ended(self, server: str) -> None:
        """Record that a server is done with a prompt."""
        self.running[server] -= 1
        if self.running[server] <= 0:
            del self.running[server]


def _weight(prompt: Prompt, server: BackendServer) -> int:
    anchor = _anchor(prompt.parts)
    return xxhash.xxh64_intdigest(f"{anchor}\0{server.name}".encode())


def _anchor(parts: Sequence[PromptPart]) -> str:
    if not parts:
        return ""
    return parts[-2].id if len(parts) > 1 else parts[-1].id
