# standinserver.py -- A stand-in of a backend server
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""A stand-in of a backend server."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import re
from collections import OrderedDict, deque
from collections.abc import Iterator

from gevent.event import Event

from mountladder.clocks.clock import Clock
from mountladder_standins.faults import Faults
from mountladder_standins.ranstage import RanStage
from mountladder_standins.servererror import (
    ServerCrashedError,
    ServerFailureError,
    ServerRefusalError,
)
from mountladder_standins.speeds import Speeds
from mountladder_standins.standinloader import StandinLoader

TIME_SLICE_MS = 25.0
# The time that a crashed server takes to start again.
RESTART_MS = 3_000.0
PREFIX_BYTES = 256
MAX_TOKENS = 2_000
DEFAULT_TOKENS = 24
MAX_RECORDED_RUNS = 100_000
NOT_LOADED = "not-loaded"
_MODEL = re.compile(rb'\{"model":"([^"]*)"')


class StandinServer:
    """Emulates a model engine or a plain service.

    More concurrent calls than slots slow each other down. A result names the hash of its input,
    so that a test can check which request it belongs to.

    Args:
        name: The server's name.
        clock: The clock.
        speeds: Its speed parameters.

    Attributes:
        faults: The current faults.
        ran: Every call that it began to run, up to MAX_RECORDED_RUNS.
        running: How many calls it runs.
        loader: Loads models by order, or None if every model is loaded.
        report_lag_ms: How old the load that it reports is.
        busy_ms: The total time of the calls, as if each had run alone.
        crash_after_ms: After how many milliseconds a request crashes the server, by the hash of
            its input.
        start_count: How often it has started.
        silent_until: Until when it is silent, after which it goes on, in the clock's milliseconds.
    """

    def __init__(self, name: str, clock: Clock, speeds: Speeds | None = None) -> None:
        self.name = name
        self.clock = clock
        self.speeds = speeds or Speeds()
        self.faults = Faults()
        self.ran: list[RanStage] = []
        self.running = 0
        self.busy_ms = 0.0
        self.loader: StandinLoader | None = None
        self.report_lag_ms = 0.0
        self.load_history: deque[tuple[float, int]] = deque([(0.0, 0)])
        self.cancelled: OrderedDict[str, bool] = OrderedDict()
        self.prefixes: OrderedDict[int, bool] = OrderedDict()
        self.crash_after_ms: dict[str, float] = {}
        self.start_count = 1
        self.silent_until = 0.0

    def run(self, work: str, attempt: str, body: bytes) -> bytes:
        """Run a call and return its result as JSON.

        Raises:
            ServerRefusalError: The call was refused.
            ServerFailureError: The call failed or was cancelled.
            ServerCrashedError: The server crashed meanwhile.
        """
        input_hash = self.accept(work, attempt, body)
        self.begin_call()
        try:
            self.simulate_work(self.work_ms(work, body), attempt, input_hash)
        finally:
            self.end_call()
        if self.faults.garbage:
            return b"{not json"
        return json.dumps({"work": work, "of": input_hash, "by": self.name}).encode()

    def stream(self, attempt: str, body: bytes, tokens_held: int) -> Iterator[bytes]:
        """Run a generation and yield its events from the first token that the caller lacks.

        Args:
            attempt: The attempt's id.
            body: The body of the call.
            tokens_held: How many tokens the caller has already.

        Raises:
            ServerRefusalError: The call was refused.
            ServerFailureError: The call failed or was cancelled.
            ServerCrashedError: The server crashed meanwhile.
        """
        input_hash = self.accept("generate", attempt, body)
        total = token_count(body)
        self.begin_call()
        try:
            self.simulate_work(self.work_ms("generate", body), attempt, input_hash)
            for number in range(tokens_held + 1, total + 1):
                if self.faults.cut_after and number - tokens_held > self.faults.cut_after:
                    return
                self.simulate_work(self.speeds.token_ms * self.speeds.factor, attempt)
                yield from self.token_events(number, input_hash)
            yield b'event: done\ndata: {"tokens":%d}\n\n' % total
        finally:
            self.end_call()

    def token_events(self, number: int, input_hash: str) -> Iterator[bytes]:
        """Yield the event of one token, twice where that fault is on."""
        event = b'id: %d\ndata: "%b-%d "\n\n' % (number, input_hash.encode(), number)
        if self.faults.garbage:
            event = b"what is this\n\n"
        yield event
        if self.faults.repeat_event:
            yield event

    def begin_call(self) -> None:
        """Record the start of a call."""
        self.running += 1
        self.load_history.append((self.clock.now(), self.running))

    def end_call(self) -> None:
        """Record the end of a call."""
        self.running -= 1
        self.load_history.append((self.clock.now(), self.running))

    def reported_load(self) -> int:
        """Return how many calls the server ran report_lag_ms ago."""
        until = self.clock.now() - self.report_lag_ms
        while len(self.load_history) > 1 and self.load_history[1][0] <= until:
            self.load_history.popleft()
        return self.load_history[0][1]

    def accept(self, work: str, attempt: str, body: bytes) -> str:
        """Accept or refuse a call; return the hash of the request's input.

        Raises:
            ServerRefusalError: The server is draining or has not loaded the model.
            ServerFailureError: The server has the fault "fail".
        """
        if self.faults.draining:
            raise ServerRefusalError("draining")
        if self.loader is not None and model_of(body) not in {"", *self.loader.models}:
            raise ServerRefusalError(NOT_LOADED)
        if self.faults.fail:
            self.faults = self.faults.decremented("fail")
            raise ServerFailureError("injected failure")
        digest = hash_of(input_of(body))
        if len(self.ran) < MAX_RECORDED_RUNS:
            self.ran.append(RanStage(self.name, work, attempt, digest, self.clock.now()))
        if self.faults.stall:
            self.clock.wait(Event(), 3_600_000.0)
        return digest

    def work_ms(self, work: str, body: bytes) -> float:
        """Return the time that a call takes alone up to its first token, in milliseconds."""
        speeds = self.speeds
        size_ms = speeds.per_kb_ms * len(body) / 1000.0
        if work == "generate":
            size_ms *= 1.0 - speeds.prefix_saving * self.touch_prefix(body)
        elif work in {"retrieve", "call"}:
            size_ms = 0.0
        return (speeds.base_ms + size_ms) * speeds.factor

    def touch_prefix(self, body: bytes) -> bool:
        """Put a call's prefix into the cache; return whether it was there already."""
        prefix = hash(input_of(body)[:PREFIX_BYTES])
        hit = prefix in self.prefixes
        self.prefixes[prefix] = True
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > self.speeds.prefixes:
            self.prefixes.popitem(last=False)
        return hit

    def simulate_work(self, ms: float, attempt: str, input_hash: str = "") -> None:
        """Sleep for the time of some work, longer if more calls than slots run.

        Args:
            ms: The time that the work takes alone, in milliseconds.
            attempt: The attempt's id.
            input_hash: The hash of the request's input, which crashes the server if it is a key of
                crash_after_ms.

        Raises:
            ServerCrashedError: The server crashed meanwhile.
            ServerFailureError: The attempt was cancelled.
        """
        start = self.start_count
        crash_ms = self.crash_after_ms.get(input_hash)
        if crash_ms is not None:
            self.clock.sleep(crash_ms)
            self.crash()
        remaining_ms = ms * self.faults.slowness
        self.busy_ms += remaining_ms
        while remaining_ms > 0:
            step = min(remaining_ms, TIME_SLICE_MS)
            load_factor = max(1.0, self.running / self.speeds.slots)
            self.clock.sleep(step * load_factor + self.faults.slow_ms)
            remaining_ms -= step
            if self.clock.now() < self.silent_until:
                self.clock.sleep(self.silent_until - self.clock.now())
            self.check_not_crashed(start)
            if attempt in self.cancelled:
                self.busy_ms -= remaining_ms
                raise ServerFailureError("cancelled")

    def crash(self) -> None:
        """Crash, which breaks all calls, and schedule the restart."""
        if not self.faults.down:
            self.faults = dataclasses.replace(self.faults, down=True)
            self.start_count += 1
            self.clock.call_later(RESTART_MS, self.restart)

    def restart(self) -> None:
        """Accept calls again after a crash."""
        self.faults = dataclasses.replace(self.faults, down=False)

    def check_not_crashed(self, start: int) -> None:
        """Check that the server has not crashed since a call began.

        Args:
            start: The count of starts when the call began.

        Raises:
            ServerCrashedError: The server has crashed since.
        """
        if self.start_count != start:
            raise ServerCrashedError(f"{self.name} has crashed")

    def cancel(self, attempt: str) -> None:
        """Cancel a call."""
        self.cancelled[attempt] = True
        if len(self.cancelled) > MAX_RECORDED_RUNS:
            self.cancelled.popitem(last=False)


def input_of(body: bytes) -> bytes:
    """Return the request's input from the body of a call, as encoded JSON."""
    start = body.find(b'"input":')
    end = body.rfind(b',"results":')
    return body[start + len(b'"input":') : end]


def model_of(body: bytes) -> str:
    """Return the name of the model that a call's body names, or an empty string."""
    match = _MODEL.match(body)
    return match.group(1).decode() if match else ""


def hash_of(data: bytes) -> str:
    """Return the first 8 hexadecimal digits of the SHA-256 of some data."""
    return hashlib.sha256(data).hexdigest()[:8]


def token_count(body: bytes) -> int:
    """Return how many tokens a call's body requests.

    Raises:
        ServerFailureError: The input is malformed.
    """
    try:
        table = json.loads(input_of(body))
        wanted = table.get("tokens", DEFAULT_TOKENS) if isinstance(table, dict) else DEFAULT_TOKENS
        return max(0, min(MAX_TOKENS, int(wanted)))
    except (ValueError, TypeError) as error:
        raise ServerFailureError(f"the body cannot be read: {error}") from error
