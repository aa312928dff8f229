# fragileserver_steps.py -- Steps about servers that crash if they reject many requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about servers that crash if they reject many requests."""

import gevent
from behave import given, then, when
from fleetevents import EVENTS
from noticerecorder import of_service, send

from mountladder.forwarding.ranking import prompts_topic
from mountladder_standins.serverfault import ServerFault


@given(
    "the {service:w} servers can reject {rejections:d} requests a second, take {ms:d} ms and have "
    "room for {room:d} requests"
)
def fragile(context, service, rejections, ms, room):
    context.fragile = context.fleet.upstream.fragile
    context.fragile_names = of_service(context, service)
    for name in context.fragile_names:
        context.fragile.max_rejections[name] = rejections
        context.fragile.work_ms[name] = float(ms)
    set_room(context, room)


def set_room(context, room):
    for name in context.fragile_names:
        context.fragile.room[name] = room


@given("{number:d} of the {service:w} servers turn slow after {ms:d} ms")
def slow_later(context, number, service, ms):
    slow = dict.fromkeys(of_service(context, service)[:number], ServerFault.SLOW)
    context.clock.call_later(float(ms), lambda: context.fleet.upstream.faults.update(slow))


@when(
    "{rate:d} {kind:w} requests a second come for {ms:d} ms, and after {after:d} ms they have "
    "room for {room:d}"
)
def room_shrinks(context, rate, kind, ms, after, room):
    context.began_at = context.clock.now()
    context.clock.call_later(float(after), lambda: set_room(context, room))
    send(context, rate, kind, float(ms))


@when(
    "{rate:d} {kind:w} requests a second come for {ms:d} ms, and after {after:d} ms they have "
    "room for {room:d}, while {what}"
)
def room_shrinks_while(context, rate, kind, ms, after, room, what):
    context.topic = prompts_topic("desk")
    context.clock.call_later(float(after), lambda: gevent.spawn(EVENTS[what], context))
    room_shrinks(context, rate, kind, ms, after, room)


@when(
    "{rate:d} {kind:w} requests a second come for {ms:d} ms, and then no server is fragile for "
    "{later:d} ms"
)
def not_fragile_later(context, rate, kind, ms, later):
    send(context, rate, kind, float(ms), label="before")
    instances = context.fleet.instances.values()
    assert all(one.notices.registry.rejection_limits for one in instances)
    context.fragile.max_rejections.clear()
    send(context, rate, kind, float(later))


@then("no instance considers a {service:w} server fragile")
def none_fragile(context, service):
    for one in context.fleet.instances.values():
        servers = one.directory.available(service)
        assert servers and not one.limits.rooms.fragile(servers)


@then("the {service:w} servers crashed at most {times:d} times after {ms:d} ms")
def crashed_at_most(context, service, times, ms):
    crashes = [
        (round(at - context.began_at), name)
        for name in of_service(context, service)
        for at in context.fragile.crashed_at[name]
        if at > context.began_at + ms
    ]
    assert len(crashes) <= times, sorted(crashes)[:12]
