# promptplacement.py -- Places prompts on model servers by cached prefixes and expected time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Places prompts on model servers by cached prefixes and expected time."""

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

# The minimum time to a first token: one or two steps of an engine, which take 3 to 6 ms each.
FIRST_TOKEN_MS = 10.0
# Recomputing parts that some server has cached delays other prompts and is paid for, so it is
# weighted by this multiple of its own time.
READ_AGAIN = 10.0
# Fetching cached parts from another server is paid for by the byte, at about a tenth of the cost
# of recomputing them.
FETCH = 3.0
# How many parts are tracked per server; one that was not used for long is likely evicted there.
PARTS_KEPT = 512
# The assumed time of fetching large results from another data centre.
FAR_MS = 250.0
# A server that has just started is assumed to take this many times as long until its own answers
# show its speed: it is slow for some seconds, by a factor that is not known beforehand, and
# overestimating a fast one costs little.
COLD_SLOWNESS = 2.0


class PromptPlacement:
    """Chooses model servers by their cached prompt parts and their backlog of tokens to read.

    Prompts share parts, and a part is cached on the server that read it last. A prompt whose
    parts no instance has seen is placed by rendezvous hashing of its last shared part, so that
    all instances choose the same server without exchanging messages.

    Args:
        clock: The clock.
        router: Holds the state of each server.

    Attributes:
        held: The ids of the parts sent to each server, in order of use, the latest last.
        reading: The number of tokens that each server has yet to read, by its name.
        running: The number of prompts at each server, by its name.
        speed: The learnt speed at which servers read prompts.
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
            servers: The servers that may be chosen.
            prompt: The prompt.
            wish: The request's constraints on the server.
            transfer: The time of moving cached parts between servers, or None where they cannot.
            restraints: The servers that have just started, and the waits for rate-limited ones.
        """
        now = self.clock.now()
        states = [self.router.state(one) for one in servers if one.name not in wish.excluded]
        # An instance that a server has asked to back off excludes that server in its request.
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
        """Return which tokens a server would read and which it would fetch for a prompt.

        Args:
            state: The server.
            prompt: The prompt.
            kept: How many of the prompt's tokens each server has cached, by the server's name.
            source: The server with the most cached tokens.
            transfer: The time of fetching them from there, or None where that cannot be done.
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
        """Return a server's weighted time to the first token of a prompt, in milliseconds.

        Reading that another server could have avoided, and fetches, are weighted by their price."""
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
        """Return how many tokens of a prompt's shared prefix a server probably has cached."""
        held = self.held.get(state.server.name, {})
        kept = 0
        for part in prompt.parts[:-1]:
            if part.id not in held:
                break
            kept += part.tokens
        return kept

    def began(self, server: str, prompt: Prompt, read: int) -> None:
        """Record that a server starts a prompt of which it has to read a number of tokens."""
        held = self.held.setdefault(server, OrderedDict())
        for part in prompt.parts:
            held[part.id] = None
            held.move_to_end(part.id)
        while len(held) > PARTS_KEPT:
            held.popitem(last=False)
        self.reading[server] += read
        self.running[server] += 1

    def read(self, server: str, tokens: int) -> None:
        """Remove tokens from a server's backlog, since it has read them or will not read them."""
        self.reading[server] -= tokens
        if self.reading[server] <= 0:
            del self.reading[server]

    def ended(self, server: str) -> None:
        """Record that a server has finished a prompt."""
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
