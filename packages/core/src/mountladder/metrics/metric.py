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
    RELAYED_TO_PEERS = (
        "relayed_to_peers",
        "counter",
        "requests relayed to other instances since no backend server could be reached",
    )
    HEDGED = (
        "hedged",
        "counter",
        "requests sent to a second server while the first one was silent",
    )
    ATTEMPTS_KEPT = (
        "attempts_kept",
        "counter",
        "times a silent server was waited for, as no second one could answer",
    )
    RESUMED = ("resumed", "counter", "streams resumed after a cut")
    COPIES = ("copies", "counter", "streams whose cache is copied to a second server")
    COPIED_BYTES = ("copied_bytes", "counter", "bytes that these copies have at most")
    CONTINUED = ("continued", "counter", "broken streams continued from a copy")
    NOT_CONTINUED = ("not_continued", "counter", "broken streams that no copy could continue")
    CANCELLED = ("cancelled", "counter", "calls cancelled at backend servers")
    EJECTED = ("ejected", "counter", "times a backend server was taken out of use")
    CLAIMS = ("claims", "counter", "keys claimed in the store")
    CLAIM_COMMITS = ("claim_commits", "counter", "transactions that carried claims")
    STORE_ERRORS = ("store_errors.", "counter", "failed calls to the platform, by result code")
    MALFORMED_ROWS = (
        "malformed_rows",
        "counter",
        "entries of backend servers that were read and could not be decoded",
    )
    CLOSED_UNREAD = (
        "closed_unread",
        "counter",
        "new connections of callers that were closed unread, since most of them came here",
    )
    TASK_RESTARTS = (
        "task_restarts",
        "counter",
        "times a task of the instance failed and was started again; the log names it",
    )
    PEER_ERRORS = ("peer_errors.", "counter", "failed peer messages, by result code")
    PEER_BYTES = ("peer_bytes", "counter", "bytes sent to peers")
    COST_FLUSHES = ("cost_flushes", "counter", "batches of cost sent to the platform")
    ORDERS = ("orders", "counter", "orders sent to engines")
    STAGE_MS = ("stage_ms.", "timing", "time of one stage in milliseconds, by stage name")
    STAGE_CALLS = ("stage_calls", "counter", "answered calls to servers of stage services")
    STAGE_PIECES = ("stage_pieces", "counter", "pieces in these calls")
    STAGE_CALL_MS = ("stage_call_ms", "timing", "time of one such call in milliseconds")
    FLOOR_PIECES = ("floor_pieces", "counter", "stage pieces sent earlier for their rank's floor")
    TEAM_PIECES = (
        "team_pieces",
        "counter",
        "stage pieces sent in place of those of a team over its share",
    )
    EARLY_RELEASES = ("early_releases", "counter", "stages whose inputs were released once fetched")
    EARLY_RELEASES_NEEDED = (
        "early_releases_needed",
        "counter",
        "stages that failed since inputs released once fetched were needed again",
    )
    EARLY_RELEASED_RESULTS = (
        "early_released_results",
        "counter",
        "results released at their servers before the stage that read them was done",
    )
    COPIES_WITHOUT_INPUT = (
        "copies_without_input",
        "counter",
        "copies of late pieces that found an input missing while the other copy ran",
    )
    STAGES_HELD_BACK = (
        "stages_held_back",
        "counter",
        "stages that waited since their results would not have been used soon",
    )
    RESULT_USAGES_SENT = (
        "result_usages_sent",
        "counter",
        "servers whose memory for results was reported to the next coordinator",
    )
    MODEL_WAIT_MS = (
        "model_wait_ms",
        "gauge",
        "longest expected wait for a model server of the services whose prompts are placed here",
    )
    REFUSED_BY_MODEL_WAIT = (
        "refused_by_model_wait",
        "counter",
        "requests refused that would have been admitted without a wait for model servers",
    )
    REFUSED_BY_PATIENCE = (
        "refused_by_patience",
        "counter",
        "requests refused since their callers would have left before the first event",
    )
    HELD_TOO_LONG = (
        "held_too_long",
        "counter",
        "requests ended during their stages just before their callers would have left",
    )
    REFUSED_PIECES = (
        "refused_pieces",
        "counter",
        "stage pieces of refused requests that count as asked for at their coordinator",
    )
    RETURNS_SCHEDULED = (
        "returns_scheduled",
        "counter",
        "refused requests with a time at which a retry can be answered",
    )
    RETURNS_HOPELESS = (
        "returns_hopeless",
        "counter",
        "refused requests that no retry can have answered in time",
    )
    RETURNS_ADMITTED = ("returns_admitted", "counter", "retries that were admitted")
    RETURNS_REFUSED = ("returns_refused", "counter", "retries that were refused again")
    RETURNS_EARLY = ("returns_early", "counter", "retries sooner than any refusal asked for")
    DROPPED_LINES = ("dropped_lines", "counter", "log lines dropped since the queue was full")
    REQUEST_MS = ("request_ms", "timing", "time of one request in milliseconds")
    SERVER_ENDS = ("server_ends", "counter", "servers that ended with requests of this instance")
    SUSPECTS_EVICTED = ("suspects_evicted", "counter", "suspects forgotten for want of room")
    PRESUMED_ROWS = ("presumed_rows", "counter", "suspicions stored before crashes were certain")
    QUARANTINED = ("quarantined", "gauge", "requests barred since servers ended under them")
    SUSPECTED = ("suspected", "gauge", "requests under which a server ended, not cleared since")
    PARTS_QUARANTINED = (
        "parts_quarantined",
        "gauge",
        "prompt parts barred since servers ended under them",
    )
    PARTS_SUSPECTED = (
        "parts_suspected",
        "gauge",
        "prompt parts under which a server ended, not cleared since",
    )
    LIMITED_SERVERS = ("limited_servers", "gauge", "servers that named how much they take")
    LEAVING_SERVERS = ("leaving_servers", "gauge", "servers that said in answers that they leave")
    FRAGILE_SERVERS = (
        "fragile_servers",
        "gauge",
        "servers that said that they crash if they reject many requests",
    )
    ISOLATED = ("isolated", "gauge", "1 while this instance can reach no backend server, else 0")
    UNEQUAL_SERVERS = (
        "unequal_servers",
        "gauge",
        "servers found to be faster or slower than usual",
    )
    SPELLS = ("spells", "counter", "times a server was found to be much slower for a moment")
    SPEEDS_SENT = ("speeds_sent", "counter", "speeds of servers sent to other coordinators")
    SPEEDS_USED = ("speeds_used", "counter", "speeds of servers taken over from other coordinators")
    DEMAND_REPORTS = (
        "demand_reports",
        "counter",
        "reports of demand sent to coordinators of other data centres",
    )
    PLANNED_PIECES = (
        "planned_pieces",
        "counter",
        "stage pieces sent to other data centres by plan",
    )
    PLANNED_SHARE = (
        "planned_share",
        "gauge",
        "largest part of a service's pieces that is planned to be served elsewhere",
    )
    HELD_BYTES = ("held_bytes", "gauge", "bytes held for callers, servers and peers")
    CUT_SLOW_READERS = ("cut_slow_readers", "counter", "callers cut since they left data unread")
    RUNNING = ("running", "gauge", "requests running")
    WAITING = ("waiting", "gauge", "requests waiting to be admitted")
    REVISION = ("revision", "gauge", "configuration revision in force")
    CONFIGURATION_AGE_MS = ("configuration_age_ms", "gauge", "time since it was known to be newest")
    PEERS = ("peers", "gauge", "peers heard from within the last heartbeats")

    def __init__(self, label: str, type_: str, meaning: str) -> None:
        self.label = label
        self.type = type_
        self.meaning = meaning
