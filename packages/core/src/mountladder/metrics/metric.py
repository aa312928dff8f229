# metric.py -- Names, types and meanings of all metrics
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Names, types and meanings of all metrics."""

from __future__ import annotations

from enum import Enum


class Metric(Enum):
    """A metric: its name, statsd type and meaning.

    A name that ends in a dot is a prefix of the lower-case name of a result code or the name of a
    stage. The table in docs/METRICS.md is checked against this list.
    """

    REQUESTS = ("requests", "counter", "requests received")
    ANSWERED = ("answered", "counter", "requests answered whole")
    LATE = ("late", "counter", "whole answers after their deadline")
    REFUSED = ("refused.", "counter", "requests refused or failed, by result code")
    RETRIED = ("retried.", "counter", "stage attempts repeated, by the code of the failed one")
    REPLAYED = ("replayed", "counter", "repeats answered from a kept answer")
    RELAYED = ("relayed", "counter", "requests relayed to the instance that issued their key")
    RESUMED = ("resumed", "counter", "streams resumed after a cut")
    CANCELLED = ("cancelled", "counter", "calls cancelled at backend servers")
    EJECTED = ("ejected", "counter", "times a backend server was taken out of use")
    CLAIMS = ("claims", "counter", "keys claimed in the store")
    CLAIM_COMMITS = ("claim_commits", "counter", "transactions that carried claims")
    STORE_ERRORS = ("store_errors.", "counter", "failed calls to the platform, by result code")
    PEER_ERRORS = ("peer_errors.", "counter", "failed peer messages, by result code")
    PEER_BYTES = ("peer_bytes", "counter", "bytes sent to peers")
    COST_FLUSHES = ("cost_flushes", "counter", "batches of cost sent to the platform")
    ORDERS = ("orders", "counter", "orders sent to engines")
    STAGE_MS = ("stage_ms.", "timing", "time of one stage in milliseconds, by stage name")
    STAGE_CALLS = ("stage_calls", "counter", "answered calls to servers of stage services")
    STAGE_PIECES = ("stage_pieces", "counter", "pieces in these calls")
    STAGE_CALL_MS = ("stage_call_ms", "timing", "time of one such call in milliseconds")
    DROPPED_LINES = ("dropped_lines", "counter", "log lines dropped since the queue was full")
    REQUEST_MS = ("request_ms", "timing", "time of one request in milliseconds")
    SERVER_ENDS = ("server_ends", "counter", "servers that ended with requests of this instance")
    SUSPECTS_EVICTED = ("suspects_evicted", "counter", "suspects forgotten for want of room")
    PRESUMED_ROWS = ("presumed_rows", "counter", "suspicions stored before crashes were certain")
    QUARANTINED = ("quarantined", "gauge", "requests barred since servers ended under them")
    SUSPECTED = ("suspected", "gauge", "requests under which a server ended, not cleared since")
    LIMITED_SERVERS = ("limited_servers", "gauge", "servers that named how much they take")
    LEAVING_SERVERS = ("leaving_servers", "gauge", "servers that said in answers that they leave")
    RUNNING = ("running", "gauge", "requests running")
    WAITING = ("waiting", "gauge", "requests waiting to be admitted")
    REVISION = ("revision", "gauge", "configuration revision in force")
    CONFIGURATION_AGE_MS = ("configuration_age_ms", "gauge", "time since it was known to be newest")
    PEERS = ("peers", "gauge", "peers heard from within the last heartbeats")

    def __init__(self, label: str, type_: str, meaning: str) -> None:
        self.label = label
        self.type = type_
        self.meaning = meaning
