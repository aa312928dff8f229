# errors.py -- Exception classes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Exception classes."""

from __future__ import annotations

from mountladder.code import Code
from mountladder.store.position import Position

# The exceptions that parsing a malformed value may raise.
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
        detail: A description of the error.
        stage: The stage that failed, or an empty string.
        retry_after_ms: When a retry makes sense, in milliseconds, or None.
        result: The result class for the caller; the code's class unless less is known.
    """

    default_code = Code.INTERNAL

    def __init__(
        self,
        detail: str = "",
        code: Code | None = None,
        stage: str = "",
        retry_after_ms: float | None = None,
    ) -> None:
        self.code = code or self.default_code
        self.result = self.code.result
        self.detail = detail or self.code.meaning
        self.stage = stage
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{self.code.number} {self.code.name.lower()}: {self.detail}")


class WaitTimeoutError(Exception):
    """A wait exceeded its time limit."""


class SettingsError(MountladderError):
    """One error in the settings of a process."""

    default_code = Code.BAD_SETTINGS


class DocumentError(MountladderError):
    """One error in a document of the operators' configuration."""

    default_code = Code.BAD_DOCUMENT


class SelectorError(MountladderError):
    """A selector cannot be parsed."""

    default_code = Code.BAD_SELECTOR


class RevisionConflictError(MountladderError):
    """Another change of the configuration was accepted first.

    Attributes:
        base_revision: The revision that the change was based on.
        current_revision: The revision in force.
    """

    default_code = Code.REVISION_CONFLICT

    def __init__(self, base_revision: int, current_revision: int) -> None:
        self.base_revision = base_revision
        self.current_revision = current_revision
        super().__init__(f"based on revision {base_revision}, but {current_revision} is in force")


class StoreUnavailableError(MountladderError):
    """The store cannot be reached, and nothing was written."""

    default_code = Code.STORE_UNAVAILABLE


class StoreAmbiguousError(MountladderError):
    """A write to the store may or may not have taken effect."""

    default_code = Code.STORE_AMBIGUOUS


class ConditionFailedError(MountladderError):
    """A transaction was rejected because of its conditions; nothing was written.

    Attributes:
        keys: The keys whose conditions did not hold.
    """

    default_code = Code.CONDITION_FAILED

    def __init__(self, keys: tuple[str, ...]) -> None:
        self.keys = keys
        super().__init__("conditions do not hold for " + ", ".join(keys))


class HistoryLostError(MountladderError):
    """The store no longer has the changes after a position, or was restored without it.

    Attributes:
        after: The position.
    """

    default_code = Code.HISTORY_LOST

    def __init__(self, after: Position) -> None:
        self.after = after
        super().__init__(f"the changes after version {after.version} of era {after.era} are gone")


class BadRowError(MountladderError):
    """A row of the store cannot be parsed."""

    default_code = Code.BAD_ROW


class StageError(MountladderError):
    """One attempt at a stage failed.

    Attributes:
        dispatched: Whether the backend server may have begun to run it.
    """

    default_code = Code.STAGE_FAILED

    def __init__(self, detail: str = "", code: Code | None = None, dispatched: bool = True) -> None:
        self.dispatched = dispatched
        super().__init__(detail, code)


class RefusalError(MountladderError):
    """A request was refused before any stage ran."""

    default_code = Code.OVERLOADED


class NoRoomError(RefusalError):
    """The backend servers of a request hold as many bytes of requests as they may."""


class RunError(MountladderError):
    """A request ran but did not complete."""

    default_code = Code.STAGE_FAILED


class PeerError(MountladderError):
    """A peer cannot be reached, or sent an invalid message."""

    default_code = Code.PEER_UNREACHABLE


class LeaseLostError(MountladderError):
    """A lease is held by another instance."""

    default_code = Code.LEASE_LOST


class OrderFencedError(MountladderError):
    """An engine rejected an order with an outdated fencing number."""

    default_code = Code.ORDER_FENCED
