# promptplacement.py -- Which model server holds which parts of prompts
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Which model server holds which parts of prompts."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Mapping, Sequence

import xxhash

from mountladder.clocks.clock import Clock
from mountladder.configuration.backendserver import BackendServer
from mountladder.forwarding.prompt import Prompt
from mountladder.forwarding.promptpart import PromptPart
from mountladder.forwarding.prompttransfer import PromptTransfer
from mountladder.routing.choice import Choice
from mountladder.routing.promptchoice import PromptChoice
from mountladder.routing.readingplan import ReadingPlan
from mountladder.routing.readingspeed import ReadingSpeed
from mountladder.routing.restraints import NO_RESTRAINTS, Restraints
from mountladder.routing.router import Router
from mountladder.routing.serverstate import ServerState
from mountladder.routing.serverwish import ServerWish

# The least time to a first token: a step or two of the engines in use, 3 to 6 ms each.
FIRST_TOKEN_MS = 10.0
# Reading parts again that some server keeps takes time from other prompts and is paid for, so that
# it weighs this many times more than its own time.
READ_AGAIN = 10.0
# Fetching kept parts is paid for by the byte, about a tenth of what reading them again costs.
FETCH = 3.0
# How many parts are remembered for each server; a part that was not used for long is likely gone.
PARTS_KEPT = 512
# What fetching large results from another data centre is taken to cost.
FAR_MS = 250.0
# A cold server is taken to need this many times as long until its own answers tell: it is slow for
# some seconds (the users' pages give no figure), and one that is as fast loses little by it.
COLD_SLOWNESS = 2.0


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
        speed: How fast servers read.
    """

    def __init__(self, clock: Clock, router: Router) -> None:
        self.clock = clock
        self.router = router
        self.held: dict[str, OrderedDict[str, None]] = {}
        self.reading: Counter[str] = Counter()
        self.running: Counter[str] = Counter()
        self.speed = ReadingSpeed()

    def choose(
        self,
        servers: Sequence[BackendServer],
        prompt: Prompt,
        wish: ServerWish,
        transfer: PromptTransfer | None = None,
        restraints: Restraints = NO_RESTRAINTS,
    ) -> PromptChoice | None:
        """Return the server with the least expected time to the first token, or None.

        Args:
            servers: The servers that may be used.
            prompt: The prompt.
            wish: What the request wants of its server.
            transfer: What moving kept parts between servers takes, where they can.
            restraints: Which servers are slow, and which a request has to wait for.
        """
        now = self.clock.now()
        states = [self.router.state(one) for one in servers if one.name not in wish.excluded]
        # Who must leave a server alone for a rest that it asked for excludes it by the wish.
        usable = [one for one in states if one.in_use(now)]
        waits_ms = restraints.waits_ms
        soonest = _soonest(usable, waits_ms, wish.patience_ms)
        if not soonest:
            return None
        first = max(soonest, key=lambda state: _weight(prompt, state.server))
        kept = {one.server.name: self.kept(one, prompt) for one in usable}
        source = max(usable, key=lambda state: kept[state.server.name])
        plans = [(one, self.plan(one, prompt, kept, source, transfer)) for one in soonest]
        costs = [
            (self.expected_ms(*one, one[0] is first, wish.site, restraints, now), *one)
            for one in plans
        ]
        expected_ms, best, plan = min(costs, key=lambda one: one[0])
        unloaded = FIRST_TOKEN_MS + plan.read / self.speed.tokens_per_ms + plan.fetch_ms
        crowding = best.crowding(now)
        choice = Choice(best, expected_ms, unloaded, crowding, len(servers), len(usable))
        return PromptChoice(choice, plan)

    def plan(
        self,
        state: ServerState,
        prompt: Prompt,
        kept: Mapping[str, int],
        source: ServerState,
        transfer: PromptTransfer | None,
    ) -> ReadingPlan:
        """Return how a server would come by a prompt.

        Args:
            state: The server.
            prompt: The prompt.
            kept: How many of its tokens each server keeps, by the server's name.
            source: The server that keeps most.
            transfer: What fetching them from there takes, where that can be done.
        """
        here, there = kept[state.server.name], kept[source.server.name]
        own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
        shared = max(0, prompt.tokens - own)
        alone = ReadingPlan(prompt.tokens - here, again=there - here, unknown=shared - there)
        if transfer is None or here == there:
            return alone
        far = source.server.datacentre != state.server.datacentre
        fetch_ms = transfer.expected_ms(there - here, far)
        if (there - here) / self.speed.tokens_per_ms <= fetch_ms:
            return alone
        read = prompt.tokens - there
        return ReadingPlan(read, 0, shared - there, fetch_ms, source.server.address)

    def expected_ms(
        self,
        state: ServerState,
        plan: ReadingPlan,
        first: bool,
        site: str,
        restraints: Restraints,
        now: float,
    ) -> float:
        """Return what a server costs a prompt: its time to the first token and what is paid."""
        name = state.server.name
        again = plan.again if first else plan.again + plan.unknown
        tokens = plan.read + again * (READ_AGAIN - 1.0) + self.reading[name]
        expected = FIRST_TOKEN_MS + tokens / self.speed.tokens_per_ms + FETCH * plan.fetch_ms
        crowding = (self.running[name] + 1) / state.server.slots
        expected *= max(1.0, crowding) ** 2 * state.slowness_at(now)
        if site and state.server.datacentre != site:
            expected += FAR_MS
        slower = COLD_SLOWNESS if name in restraints.cold else 1.0
        return expected * slower + restraints.waits_ms.get(name, 0.0)

    def kept(self, state: ServerState, prompt: Prompt) -> int:
        """Return how many tokens of a prompt's shared parts a server is believed to keep."""
        held = self.held.get(state.server.name, {})
        kept = 0
        for part in prompt.parts[:-1]:
            if part.id not in held:
                break
            kept += part.tokens
        return kept

    def began(self, server: str, prompt: Prompt, read: int) -> None:
        """Record that a server begins to read some tokens of a prompt."""
        held = self.held.setdefault(server, OrderedDict())
        for part in prompt.parts:
            held[part.id] = None
            held.move_to_end(part.id)
        while len(held) > PARTS_KEPT:
            held.popitem(last=False)
        self.reading[server] += read
        self.running[server] += 1

    def read(self, server: str, tokens: int) -> None:
        """Record that a server has read some tokens, or is not reading them any more."""
        self.reading[server] -= tokens
        if self.reading[server] <= 0:
            del self.reading[server]

    def ended(self, server: str) -> None:
        """Record that a server is done with a prompt."""
        self.running[server] -= 1
        if self.running[server] <= 0:
            del self.running[server]


def _soonest(
    states: list[ServerState], waits_ms: Mapping[str, float], patience_ms: float
) -> list[ServerState]:
    if not waits_ms:
        return states
    at_once = [one for one in states if not waits_ms.get(one.server.name)]
    return at_once or [one for one in states if waits_ms[one.server.name] <= patience_ms]


def _weight(prompt: Prompt, server: BackendServer) -> int:
    anchor = _anchor(prompt.parts)
    return xxhash.xxh64_intdigest(f"{anchor}\0{server.name}".encode())


def _anchor(parts: Sequence[PromptPart]) -> str:
    if not parts:
        return ""
    return parts[-2].id if len(parts) > 1 else parts[-1].id
