# errors.py -- Every error the product raises
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Every error the product raises."""

from __future__ import annotations

from mountladder.code import Code
from mountladder.store.position import Position

# What reading a value of the wrong form raises, whatever is wrong with it.
MALFORMED = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)


class MountladderError(Exception):
    """An error with a numbered code.

    Attributes:
        code: The numbered code.
        detail: What exactly was wrong, in words.
        stage: The stage it happened at, or an empty string.
        retry_after_ms: When a repeat makes sense, or None.
        result: What the caller may conclude; the code's own class unless less is known.
    """

    default = Code.INTERNAL

    def __init__(
        self,
        detail: str = "",
        code: Code | None = None,
        stage: str = "",
        retry_after_ms: float | None = None,
    ) -> None:
        self.code = code or self.default
        self.result = self.code.result
        self.detail = detail or self.code.meaning
        self.stage = stage
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{self.code.number} {self.code.name.lower()}: {self.detail}")


class WaitTimeoutError(Exception):
    """A wait took longer than its limit."""


class SettingsError(MountladderError):
    """One fault in the settings of a process."""

    default = Code.BAD_SETTINGS


class DocumentError(MountladderError):
    """One fault in the operators' configuration."""

    default = Code.BAD_DOCUMENT


class SelectorError(MountladderError):
    """A selector that cannot be read."""

    default = Code.BAD_SELECTOR


class RevisionConflictError(MountladderError):
    """Another change was accepted first.

    Attributes:
        stated: The revision the change was made against.
        found: The revision in force.
    """

    default = Code.REVISION_CONFLICT

    def __init__(self, stated: int, found: int) -> None:
        self.stated = stated
        self.found = found
        super().__init__(f"made against revision {stated}, but {found} is in force")


class StoreUnavailableError(MountladderError):
    """The store cannot be reached, and nothing was written."""

    default = Code.STORE_UNAVAILABLE


class StoreAmbiguousError(MountladderError):
    """A write to the store may or may not have taken effect."""

    default = Code.STORE_AMBIGUOUS


class ConditionFailedError(MountladderError):
    """A transaction was refused whole.

    Attributes:
        keys: The keys whose condition did not hold.
    """

    default = Code.CONDITION_FAILED

    def __init__(self, keys: tuple[str, ...]) -> None:
        self.keys = keys
        super().__init__("conditions do not hold for " + ", ".join(keys))


class HistoryLostError(MountladderError):
    """The store no longer knows the changes after a position, or came back without it.

    Attributes:
        after: The position.
    """

    default = Code.HISTORY_LOST

    def __init__(self, after: Position) -> None:
        self.after = after
        super().__init__(f"the changes after version {after.version} of era {after.era} are gone")


class BadRowError(MountladderError):
    """A row of the store that cannot be read."""

    default = Code.BAD_ROW


class StageError(MountladderError):
    """One attempt at a stage failed.

    Attributes:
        dispatched: Whether the backend server may have begun to run it.
    """

    default = Code.STAGE_FAILED

    def __init__(self, detail: str = "", code: Code | None = None, dispatched: bool = True) -> None:
        self.dispatched = dispatched
        super().__init__(detail, code)


class RefusalError(MountladderError):
    """A request that did not run at any stage."""

    default = Code.OVERLOADED


class RunError(MountladderError):
    """A request that ran and did not finish whole."""

    default = Code.STAGE_FAILED


class PeerError(MountladderError):
    """A peer cannot be understood or reached."""

    default = Code.PEER_UNREACHABLE


class LeaseLostError(MountladderError):
    """A lease is held by another."""

    default = Code.LEASE_LOST


class OrderFencedError(MountladderError):
    """An engine refused an order that carried an old fencing number."""

    default = Code.ORDER_FENCED
