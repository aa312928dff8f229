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
from mountladder.routing.prefillplan import PrefillPlan
from mountladder.routing.prefillspeed import PrefillSpeed
from mountladder.routing.promptchoice import PromptChoice
from mountladder.routing.router import Router
from mountladder.routing.serverconstraints import ServerConstraints
from mountladder.routing.serverdelays import NO_DELAYS, ServerDelays
from mountladder.routing.serverstate import ServerState

# The minimum time to a first token: one or two steps of an engine, which take 3 to 6 ms each.
FIRST_TOKEN_MS = 10.0
# Recomputing parts that some server has cached delays other prompts and is paid for, so it is
# weighted by this multiple of its own time.
RECOMPUTE_WEIGHT = 10.0
# Fetching cached parts from another server is paid for by the byte, at about a tenth of the cost
# of recomputing them.
FETCH_WEIGHT = 3.0
# How many parts are tracked per server; one that was not used for long is likely evicted there.
MAX_PARTS_PER_SERVER = 512
# The assumed time of fetching large results from another data centre.
REMOTE_MS = 250.0
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
        cached_parts: The ids of the parts sent to each server, in order of use, the latest last.
        pending_tokens: The number of tokens that each server has yet to read, by its name.
        running_prompts: The number of prompts at each server, by its name.
        speed: The learned speed at which servers prefill prompts.
    """

    def __init__(self, clock: Clock, router: Router) -> None:
        self.clock = clock
        self.router = router
        self.cached_parts: dict[str, OrderedDict[str, None]] = {}
        self.pending_tokens: Counter[str] = Counter()
        self.running_prompts: Counter[str] = Counter()
        self.speed = PrefillSpeed()

    def choose(
        self,
        servers: Sequence[BackendServer],
        prompt: Prompt,
        constraints: ServerConstraints,
        transfer: PromptTransfer | None = None,
        delays: ServerDelays = NO_DELAYS,
    ) -> PromptChoice | None:
        """Return the server with the least expected time to the first token, or None.

        Args:
            servers: The servers that may be chosen.
            prompt: The prompt.
            constraints: The request's constraints on the server.
            transfer: The time of moving cached parts between servers, or None where they cannot.
            delays: The servers that have just started, and the waits for rate-limited ones.
        """
        now = self.clock.now()
        states = [self.router.state(one) for one in servers if one.name not in constraints.excluded]
        # An instance that a server has asked to back off excludes that server in its request.
        usable = [one for one in states if one.in_use(now)] or [
            one for one in states if one.in_use(now, suspects=True)
        ]
        waits_ms = delays.waits_ms
        soonest = _soonest_available(usable, waits_ms, constraints.max_wait_ms)
        if not soonest:
            return None
        hashed = max(soonest, key=lambda state: _hash_weight(prompt, state.server))
        cached_tokens = {one.server.name: self.cached_tokens(one, prompt) for one in usable}
        source = max(usable, key=lambda state: cached_tokens[state.server.name])
        plans = [(one, self.plan(one, prompt, cached_tokens, source, transfer)) for one in soonest]
        costs = [
            (self.expected_ms(*one, one[0] is hashed, constraints.site, delays, now), *one)
            for one in plans
        ]
        expected_ms, best, plan = min(costs, key=lambda one: one[0])
        unloaded = FIRST_TOKEN_MS + plan.prefill_tokens / self.speed.tokens_per_ms + plan.fetch_ms
        load_factor = best.load_factor(now)
        choice = Choice(best, expected_ms, unloaded, load_factor, len(servers), len(usable))
        return PromptChoice(choice, plan)

    def plan(
        self,
        state: ServerState,
        prompt: Prompt,
        cached_tokens: Mapping[str, int],
        source: ServerState,
        transfer: PromptTransfer | None,
    ) -> PrefillPlan:
        """Return which tokens a server would read and which it would fetch for a prompt.

        Args:
            state: The server.
            prompt: The prompt.
            cached_tokens: How many of the prompt's tokens each server has cached, by its name.
            source: The server with the most cached tokens.
            transfer: The time of fetching them from there, or None where that cannot be done.
        """
        here, there = cached_tokens[state.server.name], cached_tokens[source.server.name]
        own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
        shared = max(0, prompt.tokens - own)
        without_fetch = PrefillPlan(
            prompt.tokens - here, cached_elsewhere=there - here, uncached_shared=shared - there
        )
        if transfer is None or here == there:
            return without_fetch
        is_remote = source.server.datacentre != state.server.datacentre
        fetch_ms = transfer.expected_ms(there - here, is_remote)
        if (there - here) / self.speed.tokens_per_ms <= fetch_ms:
            return without_fetch
        read = prompt.tokens - there
        return PrefillPlan(read, 0, shared - there, fetch_ms, source.server.address)

    def expected_ms(
        self,
        state: ServerState,
        plan: PrefillPlan,
        is_hashed: bool,
        site: str,
        delays: ServerDelays,
        now: float,
    ) -> float:
        """Return a server's weighted time to the first token of a prompt, in milliseconds.

        Reading that another server could have avoided, and fetches, are weighted by their price."""
        name = state.server.name
        cached_elsewhere = (
            plan.cached_elsewhere if is_hashed else plan.cached_elsewhere + plan.uncached_shared
        )
        tokens = (
            plan.prefill_tokens
            + cached_elsewhere * (RECOMPUTE_WEIGHT - 1.0)
            + self.pending_tokens[name]
        )
        expected = FIRST_TOKEN_MS + tokens / self.speed.tokens_per_ms + FETCH_WEIGHT * plan.fetch_ms
        load_factor = (self.running_prompts[name] + 1) / state.server.slots
        expected *= max(1.0, load_factor) ** 2 * state.time_factor(now)
        if site and state.server.datacentre != site:
            expected += REMOTE_MS
        cold_factor = COLD_SLOWNESS if name in delays.cold else 1.0
        return expected * cold_factor + delays.waits_ms.get(name, 0.0)

    def cached_tokens(self, state: ServerState, prompt: Prompt) -> int:
        """Return how many tokens of a prompt's shared prefix a server probably has cached."""
        parts = self.cached_parts.get(state.server.name, {})
        cached_tokens = 0
        for part in prompt.parts[:-1]:
            if part.id not in parts:
                break
            cached_tokens += part.tokens
        return cached_tokens

    def record_start(self, server: str, prompt: Prompt, read: int) -> None:
        """Record that a server starts a prompt of which it has to read a number of tokens."""
        parts = self.cached_parts.setdefault(server, OrderedDict())
        for part in prompt.parts:
            parts[part.id] = None
            parts.move_to_end(part.id)
        while len(parts) > MAX_PARTS_PER_SERVER:
            parts.popitem(last=False)
        self.pending_tokens[server] += read
        self.running_prompts[server] += 1

    def record_read(self, server: str, tokens: int) -> None:
        """Remove tokens from a server's backlog, since it has read them or will not read them."""
        self.pending_tokens[server] -= tokens
        if self.pending_tokens[server] <= 0:
            del self.pending_tokens[server]

    def record_end(self, server: str) -> None:
        """Record that a server has finished a prompt."""
        self.running_prompts[server] -= 1
        if self.running_prompts[server] <= 0:
            del self.running_prompts[server]


def _soonest_available(
    states: list[ServerState], waits_ms: Mapping[str, float], max_wait_ms: float
) -> list[ServerState]:
    if not waits_ms:
        return states
    at_once = [one for one in states if not waits_ms.get(one.server.name)]
    return at_once or [one for one in states if waits_ms[one.server.name] <= max_wait_ms]


def _hash_weight(prompt: Prompt, server: BackendServer) -> int:
    part_id = _last_shared_part(prompt.parts)
    return xxhash.xxh64_intdigest(f"{part_id}\0{server.name}".encode())


def _last_shared_part(parts: Sequence[PromptPart]) -> str:
    if not parts:
        return ""
    return parts[-2].id if len(parts) > 1 else parts[-1].id
