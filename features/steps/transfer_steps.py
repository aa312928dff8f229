# transfer_steps.py -- Steps about messages whose size grows with the configuration and the fleet
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about messages whose size grows with the configuration and the fleet."""

import contextlib
import random
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.errors import PeerError
from mountladder.forwarding.catalogueassembly import CatalogueAssembly, slices
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.directory import Directory
from mountladder.forwarding.fleet import Fleet
from mountladder.forwarding.serverrecord import ServerRecord, listed_server
from mountladder.membership.instance import Instance
from mountladder.membership.membership import Membership
from mountladder.membership.wire import decode, encode
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.store.position import Position


class RecordingLink:
    """Records the encoded messages sent over it; breaks after a number of them."""

    def __init__(self, most=10_000):
        self.sent = []
        self.most = most
        self.peer = Instance("peer", "1", "b", "", "10.0.0.2:1")

    def send(self, message):
        if len(self.sent) >= self.most:
            raise PeerError("the link is closed")
        self.sent.append(encode(message))
        return len(self.sent[-1])


def fleet():
    clock = VirtualClock()
    membership = Membership(Instance("me", "1", "a", "", "10.0.0.1:1"), clock, 250.0)
    follower = CatalogueFollower(lambda encoded: SimpleNamespace(version=1), clock)
    return Fleet(membership, None, clock, MemoryMetrics(), (), follower, Directory(clock))


def travel(context, parts):
    context.messages = [encode(part) for part in parts]
    assembly = CatalogueAssembly()
    context.whole, context.error = None, None
    try:
        for data in context.messages:
            context.whole = assembly.add(decode(data)) or context.whole
    except PeerError as error:
        context.error = error


@given("a catalogue of {size:d} bytes that cannot be compressed")
def catalogue(context, size):
    context.encoded = random.Random(size).randbytes(size)


@given("another catalogue of {size:d} bytes")
def another(context, size):
    context.other = random.Random(size + 1).randbytes(size)


@when("it is sent to a peer in slices")
def in_parts(context):
    travel(context, slices(7, context.encoded))


@when("the first {count:d} slices of one are followed by the remaining slices of the other")
def mixed(context, count):
    travel(context, [*slices(7, context.encoded)][:count] + [*slices(8, context.other)][count:])


@when("it is sent to a peer with one byte changed")
def changed(context):
    parts = [*slices(7, context.encoded)]
    data = bytearray(parts[2].data)
    data[100] ^= 1
    parts[2] = replace(parts[2], data=bytes(data))
    travel(context, parts)


@then("no message is longer than {most:d} bytes")
def bounded(context, most):
    assert max(map(len, context.messages)) <= most, max(map(len, context.messages))


@then("the peer has the whole catalogue")
def whole(context):
    assert context.error is None, context.error
    assert context.whole == context.encoded


@then("the peer has no catalogue")
def no_catalogue(context):
    assert context.whole is None


@then("the peer refuses it with code {code:d}")
def refused(context, code):
    assert context.whole is None
    assert context.error is not None
    assert context.error.code.number == code, context.error.code


@given("a list of {servers:d} servers and {instances:d} instances")
def large_fleet(context, servers, instances):
    context.fleet = fleet()
    records = []
    for number in range(servers):
        name = f"i-{number:08x}"
        address = f"10.2.{number // 250}.{number % 250}:8080"
        # The order of versions differs from the order of names.
        version = 10 + (number * 7) % servers
        server = listed_server(name, "planner", address, "a", 64, False)
        records.append(ServerRecord(name, Position(0, version), "planner", server))
    context.fleet.directory.apply(records, Position(0, 10_000), "test")
    for number in range(instances):
        address = f"10.1.{number // 250}.{number % 250}:7000"
        context.fleet.membership.add_reported(Instance(f"edge-{number}", "", "a", "", address))
    context.known = Directory(VirtualClock())


def ask(context, link):
    context.fleet.send_first_messages(link)
    with contextlib.suppress(PeerError):
        context.fleet.send_directory(link, context.known.newest)
    context.messages = link.sent
    for data in link.sent:
        message = decode(data)
        if hasattr(message, "records"):
            context.known.apply(message.records, message.position, "peer", message.reappear_ms)


@when("a peer that knows none of them asks for them")
@when("a peer that knows some of them asks for the rest")
def asks(context):
    ask(context, RecordingLink())


@when("a peer that knows none of them asks for them and the link breaks after {count:d} messages")
def asks_in_vain(context, count):
    greeting = RecordingLink()
    context.fleet.send_first_messages(greeting)
    ask(context, RecordingLink(len(greeting.sent) + count))
    assert 0 < len(context.known.records) < len(context.fleet.directory.records)
    assert not context.known.ready


@then("the peer knows all {servers:d} servers")
def knows_all(context, servers):
    assert len(context.known.records) == servers, len(context.known.records)
    assert context.known.ready


@then("messages of every size that are truncated or changed are decoded or refused")
def cut_or_changed(context):
    rng = random.Random(1)
    link = RecordingLink()
    large_fleet(context, 600, 390)
    ask(context, link)
    messages = link.sent + [encode(part) for part in slices(3, rng.randbytes(30_000))]
    for data in messages:
        for _ in range(20):
            spoilt = bytearray(data[: rng.randrange(len(data))] if rng.random() < 0.5 else data)
            for _ in range(rng.randrange(4)):
                if spoilt:
                    spoilt[rng.randrange(len(spoilt))] = rng.randrange(256)
            with contextlib.suppress(PeerError):
                decode(bytes(spoilt))
