# outcomereport.py -- Report of request outcomes and of where late requests spent their time
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Report of request outcomes and of where late requests spent their time."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from mountladder_cli.loglines import parse_message
from mountladder_cli.requesttrace import OUTCOMES, RequestTrace

SPAN_SECONDS = 2.0
OUTCOME_HEADS = " ".join(f"{name:>9}" for name in OUTCOMES)
# Size classes of a route's requests with the fraction of the requests in each, largest first.
SIZES = (("largest tenth", 0.1), ("fifth below", 0.2), ("the others", 0.7))


def read_traces(lines: Iterable[str]) -> list[RequestTrace]:
    """Return a trace of each request that the log lines of instances name, oldest first.

    Requests whose "received" line is missing are left out.

    Args:
        lines: JSON lines, in any order; text before the first brace is ignored.
    """
    messages: dict[str, list[dict[str, object]]] = defaultdict(list)
    for line in lines:
        message = parse_message(line)
        # In lines about a number of requests the field holds that number.
        ids = message.get("requests")
        for request in ids if isinstance(ids, list) else [message.get("request")]:
            if isinstance(request, str):
                messages[request].append(message)
    traces = (RequestTrace.of(request, found) for request, found in messages.items())
    return sorted((one for one in traces if one is not None), key=lambda one: one.at)


def format_report(traces: list[RequestTrace]) -> str:
    """Return three tables as text: outcomes by time, outcomes by size, and where time was spent.

    The first counts the outcomes of each route in spans of SPAN_SECONDS.
    """
    if not traces:
        return "no request was received"
    start = traces[0].at
    spans: dict[tuple[str, int], Counter[str]] = defaultdict(Counter)
    stations: Counter[tuple[str, str, str]] = Counter()
    for trace in traces:
        span = int((trace.at - start) // SPAN_SECONDS)
        spans[trace.route, span][trace.outcome] += 1
        if trace.station:
            stations[trace.route, trace.outcome, trace.station] += 1
    rows = [f"{'route':20} {'second':>6} {OUTCOME_HEADS}"]
    for (route, span), counts in sorted(spans.items()):
        rows.append(f"{route:20} {span * SPAN_SECONDS:6.0f} {_cells(counts)}")
    rows += ["", *size_rows(traces), ""]
    rows.append(f"{'route':20} {'outcome':>9} {'requests':>8}  station")
    for (route, outcome, station), number in stations.most_common():
        rows.append(f"{route:20} {outcome:>9} {number:8}  {station}")
    return "\n".join(rows)


def size_rows(traces: list[RequestTrace]) -> list[str]:
    """Return the rows of the table of outcomes by route and size class."""
    rows = [f"{'route':20} {'size':13} {'tokens':>7} {OUTCOME_HEADS} {'admission':>9}"]
    routes: dict[str, list[RequestTrace]] = defaultdict(list)
    for trace in traces:
        if trace.size:
            routes[trace.route].append(trace)
    for route, found in sorted(routes.items()):
        found.sort(key=lambda one: -one.size)
        first, fraction = 0, 0.0
        for name, share in SIZES:
            fraction += share
            last = round(fraction * len(found))
            rows += [_size_row(route, name, found[first:last])] if last > first else []
            first = last
    return rows


def _size_row(route: str, name: str, traces: list[RequestTrace]) -> str:
    counts = Counter(one.outcome for one in traces)
    at_admission = sum(one.station.startswith("admission") for one in traces)
    return f"{route:20} {name:13} {traces[-1].size:7} {_cells(counts)} {at_admission or '':>9}"


def _cells(counts: Counter[str]) -> str:
    return " ".join(f"{counts[outcome] or '':>9}" for outcome in OUTCOMES)
