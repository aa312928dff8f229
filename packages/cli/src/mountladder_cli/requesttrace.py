# requesttrace.py -- The outcome of a request, derived from its log lines
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The outcome of a request, derived from its log lines."""

from __future__ import annotations

from dataclasses import dataclass

from mountladder.code import Code
from mountladder.resultclass import ResultClass

# Generating a token takes about as much work as reading ten tokens of a prompt.
OUTPUT_WEIGHT = 10
_NOT_RUN = frozenset(one.number for one in Code if one.result is ResultClass.NOT_RUN)
OUTCOMES = ("on time", "late", "refused", "again", "left", "failed", "unended")
Message = dict[str, object]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """The outcome of one request, and where most of its time was spent.

    Attributes:
        request: Its id.
        route: The name of its route.
        at: When it was received, as a Unix time in seconds.
        outcome: One of OUTCOMES: answered "on time" or "late", "refused" at its first attempt,
            refused "again" at a later one, "left" (cancelled by its caller), "failed", or
            "unended" (its instance logged no end).
        station: Where most of its time was spent, or empty if it was on time.
        size: The work of its prompt and answer, in prompt tokens; 0 if it has no prompt.
    """

    request: str
    route: str
    at: float
    outcome: str
    station: str
    size: int = 0

    @classmethod
    def of(cls, request: str, messages: list[Message]) -> RequestTrace | None:
        """Return the trace of a request by the log messages that name it.

        Args:
            request: Its id.
            messages: The messages, in any order.

        Returns:
            The trace, or None if no message says that the request was received.
        """
        ordered = sorted(messages, key=_at)
        first_messages = _FirstMessages(
            {str(one.get("message_type")): one for one in reversed(ordered)}
        )
        received = first_messages.first.get("received")
        if received is None:
            return None
        outcome = first_messages.outcome()
        station = "" if outcome == "on time" else first_messages.slowest_part(ordered)
        size = int(received.get("tokens") or 0)
        size += OUTPUT_WEIGHT * int(received.get("most_output") or 0)
        return cls(request, str(received.get("route", "")), _at(received), outcome, station, size)


@dataclass(frozen=True, slots=True)
class _FirstMessages:
    """The first message of each type that names a request."""

    first: dict[str, Message]

    def outcome(self) -> str:
        """Return the outcome of the request, one of OUTCOMES."""
        ended = self.first.get("ended")
        if ended is None:
            return "unended"
        code = int(ended.get("code") or 0)
        if code == Code.CANCELLED.number:
            return "left"
        if code in _NOT_RUN:
            return "again" if self.first["received"].get("comes_back") else "refused"
        if code:
            return "failed"
        target_ms = float(self.first["received"].get("aim_ms") or float("inf"))
        timed = self.first.get("first-event", ended)
        return "on time" if float(timed.get("elapsed_ms") or 0.0) <= target_ms else "late"

    def slowest_part(self, ordered: list[Message]) -> str:
        """Return where most of the time was spent: at a stage, a server or admission."""
        if "sent" not in self.first and "stages-done" not in self.first:
            return self.slowest_before_sending(ordered)
        start = _at(self.first["received"])
        done = _at(self.first.get("stages-done", self.first["received"]))
        sent = _at(self.first.get("sent", self.first.get("stages-done", ordered[-1])))
        stages_s, server_s = done - start, _at(self.first.get("first-event", ordered[-1])) - sent
        if stages_s >= server_s:
            return self.slowest_stage(ordered)
        return f"server {self.first.get('sent', {}).get('server', '')}"

    def slowest_before_sending(self, ordered: list[Message]) -> str:
        """Return where a request that was sent to no server spent its time."""
        if "let-in" not in self.first:
            return f"admission: code {self.first.get('ended', {}).get('code', 0)}"
        return self.slowest_stage(ordered)

    @staticmethod
    def slowest_stage(ordered: list[Message]) -> str:
        """Return the stage service that the request waited for longest in all its calls."""
        start = _at(ordered[0])
        waits: dict[str, float] = {}
        for one in ordered:
            if str(one.get("message_type", "")).startswith("pieces-"):
                service = str(one.get("service"))
                waits[service] = waits.get(service, 0.0) + _at(one) - start
                start = _at(one)
        if not waits:
            return "stages: no call was answered"
        return f"stage {max(waits, key=lambda name: waits[name])}"


def _at(message: Message) -> float:
    return float(message.get("timestamp") or 0.0)
