# demandreport_steps.py -- Steps about reports of demand, with plain objects
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about reports of demand, with plain objects."""

from behave import given, then, when

from mountladder.demand.demandreport import DemandReport
from mountladder.demand.reportschedule import REPORT_MS, ReportSchedule
from mountladder.demand.reporttable import ReportTable
from mountladder.membership.wire import encode

SECOND_MS = 1_000.0
REPORTS_MS = 30_000


@given(
    "two coordinators of data centre b report {one:d} and {two:d} pieces per second of {of:d},"
    " rising by {trend:d}"
)
def two_report(context, one, two, of, trend):
    context.reported, context.now = ReportTable(), 0.0
    context.reports = {"b-1": DemandReport("enc", one, trend, of)}
    context.reports["b-2"] = DemandReport("enc", two, trend, of)
    for peer, report in context.reports.items():
        context.reported.record(report, peer, "b", context.now)


@then("data centre b counts with {demand:d} of {of:d} pieces per second")
def counts_with(context, demand, of):
    found = context.reported.loads("enc", context.now)["b"]
    assert (found.demand_per_s, found.capacity_per_s) == (demand, of), found
    assert not context.reported.loads("other", context.now)


@when("{ms:d} ms go by and the second reports again")
def reports_again(context, ms):
    context.now += ms
    context.reported.record(context.reports["b-2"], "b-2", "b", context.now)


@when("{ms:d} ms more go by")
def more_pass(context, ms):
    context.now += ms


@then("data centre b is unknown")
def unknown(context):
    assert not context.reported.loads("enc", context.now)
    context.reported.drop_expired(context.now)
    assert not context.reported.received


@given(
    "demand and capacity were reported as {demand:d} and {capacity:d} to {receivers:d} receivers"
)
def reported(context, demand, capacity, receivers):
    context.schedule, context.receivers = ReportSchedule(), receivers
    first = DemandReport("enc", float(demand), 0.0, float(capacity))
    assert context.schedule.is_due(first, True, receivers, 0.0)
    context.schedule.record(first, 0.0)


@when("they are {demand:d} and {capacity:d}, and {what} is asked for elsewhere")
def changed_to(context, demand, capacity, what):
    report = DemandReport("enc", float(demand), 0.0, float(capacity))
    times = range(round(REPORT_MS), REPORTS_MS, round(REPORT_MS))
    elsewhere = what == "something"
    due = (
        ms
        for ms in times
        if context.schedule.is_due(report, elsewhere, context.receivers, float(ms))
    )
    context.due_after = next(due, None)
    bytes_per_s = len(encode(report)) * context.receivers * SECOND_MS
    assert context.due_after is None or bytes_per_s / context.due_after <= 1_000


@then("the next report is sent after {ms} ms")
def sent_after(context, ms):
    assert context.due_after == (None if ms == "never" else int(ms)), context.due_after


@then("the plan may send a stage that would wait {own:g} ms here to {names}")
def may_send(context, own, names):
    lending = context.lending
    found = [name for name in "bc" if lending.begins_about_as_soon("enc", name, 0, own)]
    assert found == ([] if names == "nothing" else names.split(" and ")), found
