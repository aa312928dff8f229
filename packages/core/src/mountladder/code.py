# code.py -- Numbered result codes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Numbered result codes."""

from __future__ import annotations

from enum import Enum

from mountladder.resultclass import ResultClass

_NOT_RUN = ResultClass.NOT_RUN
_FAILED = ResultClass.FAILED
_UNKNOWN = ResultClass.UNKNOWN


class Code(Enum):
    """A result code: its number, result class, HTTP status and meaning.

    The table in docs/RESULT-CODES.md is checked against this list.
    """

    BAD_REQUEST = (1001, _NOT_RUN, 400, "the request is malformed")
    UNAUTHENTICATED = (1002, _NOT_RUN, 401, "no team has this token")
    UNKNOWN_PIPELINE = (1003, _NOT_RUN, 404, "no pipeline has this name")
    KEY_MISSING = (1004, _NOT_RUN, 400, "a non-idempotent request needs an Idempotency-Key")
    KEY_REUSED = (1005, _NOT_RUN, 422, "the key belongs to a request with another body")
    BODY_TOO_LARGE = (1006, _NOT_RUN, 413, "the body is larger than the limit")
    KEY_INVALID = (1007, _NOT_RUN, 400, "the Idempotency-Key is malformed")
    KEY_HOME_GONE = (1008, _UNKNOWN, 409, "the instance that issued the key cannot be reached")
    KEY_RUNNING = (1009, _UNKNOWN, 409, "a request with this key is running")
    KEY_OUTCOME_UNKNOWN = (1010, _UNKNOWN, 409, "a request with this key ran; its outcome is lost")
    NOT_FOUND = (1011, _NOT_RUN, 404, "nothing is known by this name")
    KEY_EXPIRED = (1012, _UNKNOWN, 409, "the key was issued longer ago than its record is kept")
    UNKNOWN_ROUTE = (1013, _NOT_RUN, 404, "no route has this host and path")
    HEAD_TOO_LARGE = (1014, _NOT_RUN, 431, "the head of the request is larger than the limit")
    REQUEST_SLOW = (1015, _NOT_RUN, 408, "the request did not come in within the limit")
    DEADLINE_UNMEETABLE = (2001, _NOT_RUN, 503, "the deadline cannot be met")
    OVERLOADED = (2002, _NOT_RUN, 503, "the instance runs as many requests as it may")
    TEAM_LIMIT = (2003, _NOT_RUN, 429, "the team is over its share")
    NOT_READY = (2004, _NOT_RUN, 503, "the instance has no configuration yet")
    SHUTTING_DOWN = (2005, _NOT_RUN, 503, "the instance is shutting down")
    STORE_NEEDED = (
        2006,
        _NOT_RUN,
        503,
        "the key cannot be claimed while the store is out of reach",
    )
    NO_SERVER_ALLOWED = (2007, _NOT_RUN, 503, "no backend server meets the selectors")
    NO_SERVER_AVAILABLE = (2008, _NOT_RUN, 503, "every allowed backend server is out of use")
    SERVERS_FULL = (2009, _NOT_RUN, 503, "every backend server that was asked refused the request")
    QUARANTINED = (2010, _NOT_RUN, 503, "servers ended under the request, which is barred")
    DATACENTRES_DRAINED = (
        2011,
        _NOT_RUN,
        503,
        "all backend servers are in drained data centres",
    )
    SERVERS_LIMITED = (
        2012,
        _NOT_RUN,
        503,
        "all backend servers limit what they take, and that is used up",
    )
    SERVERS_RESTING = (2013, _NOT_RUN, 503, "all backend servers asked this instance for rest")
    MEMORY_FULL = (2014, _NOT_RUN, 503, "the instance holds as many bytes for others as it may")
    VERSION_UNAVAILABLE = (
        2015,
        _NOT_RUN,
        503,
        "no backend server of the software version that began the stream can be used",
    )
    STREAM_UNKNOWN = (
        2016,
        _NOT_RUN,
        503,
        "it is not known which software version began the stream",
    )
    STAGE_FAILED = (3001, _FAILED, 502, "a stage failed")
    DEADLINE_PASSED = (3002, _FAILED, 504, "the deadline passed during a stage")
    STREAM_CUT = (3003, _FAILED, 502, "a stream ended before its end")
    BAD_ANSWER = (3004, _FAILED, 502, "a backend server's answer is malformed")
    RETRY_BUDGET_SPENT = (3005, _FAILED, 502, "a stage failed and the retry budget is spent")
    OUTCOME_UNKNOWN = (3006, _UNKNOWN, 502, "a non-idempotent stage may have run")
    CANCELLED = (3007, _FAILED, 499, "the caller went away")
    SERVER_REFUSED = (3008, _FAILED, 502, "a backend server refused the call")
    CONNECT_FAILED = (3009, _FAILED, 502, "a backend server could not be reached")
    FOREIGN_ANSWER = (3010, _FAILED, 502, "an answer belongs to another attempt")
    STAGE_STALLED = (3011, _FAILED, 504, "a backend server stalled")
    INTERNAL = (3012, _FAILED, 500, "a fault of the instance")
    MODEL_MISSING = (3013, _FAILED, 502, "a backend server does not have the model loaded")
    SERVER_FULL = (3014, _FAILED, 502, "a backend server has no place for the call")
    SERVER_REPLACED = (3015, _FAILED, 502, "another backend server has the address now")
    RESULT_GONE = (3016, _FAILED, 502, "the result of a stage is gone")
    SERVERS_ENDED = (3017, _FAILED, 502, "servers ended under the request, not sent again")
    REVISION_CONFLICT = (4001, _NOT_RUN, 409, "another change was accepted first")
    BAD_DOCUMENT = (4002, _NOT_RUN, 422, "a document is malformed")
    UNKNOWN_REFERENCE = (4003, _NOT_RUN, 422, "a document names something that does not exist")
    BAD_SELECTOR = (4004, _NOT_RUN, 422, "a selector is malformed")
    SELECTOR_UNMET = (4005, _NOT_RUN, 200, "warning: no backend server meets a selector")
    STORE_UNAVAILABLE = (5001, _NOT_RUN, 503, "the platform's store cannot be reached")
    STORE_AMBIGUOUS = (5002, _UNKNOWN, 503, "a write may or may not have taken effect")
    CONDITION_FAILED = (5003, _NOT_RUN, 409, "a condition of a transaction does not hold")
    BAD_ROW = (5004, _FAILED, 500, "a row of the store is malformed")
    HISTORY_LOST = (5005, _NOT_RUN, 503, "the store no longer knows the changes since a version")
    PEER_REFUSED = (6001, _NOT_RUN, 401, "a peer did not prove that it has the key")
    PEER_VERSION = (6002, _NOT_RUN, 400, "a peer speaks another version")
    BAD_MESSAGE = (6003, _NOT_RUN, 400, "a peer's message is malformed or too large")
    PEER_UNREACHABLE = (6004, _NOT_RUN, 503, "a peer cannot be reached")
    BAD_SETTINGS = (7001, _NOT_RUN, 400, "the settings are malformed")
    LEASE_LOST = (8001, _NOT_RUN, 409, "the lease is held by another")
    ORDER_FENCED = (8002, _NOT_RUN, 409, "an engine refused an order with an old fencing number")

    def __init__(self, number: int, result: ResultClass, status: int, meaning: str) -> None:
        self.number = number
        self.result = result
        self.status = status
        self.meaning = meaning
