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

    def __init__(self, max_messages=10_000):
        self.sent = []
        self.max_messages = max_messages
        self.peer = Instance("peer", "1", "b", "", "10.0.0.2:1")

    def send(self, message):
        if len(self.sent) >= self.max_messages:
            raise PeerError("the link is closed")
        self.sent.append(encode(message))
        return len(self.sent[-1])


def fleet():
    clock = VirtualClock()
    membership = Membership(Instance("me", "1", "a", "", "10.0.0.1:1"), clock, 250.0)
    follower = CatalogueFollower(lambda encoded: SimpleNamespace(version=1), clock)
    return Fleet(membership, None, clock, MemoryMetrics(), (), follower, Directory(clock))


def send_slices(context, parts):
    context.messages = [encode(part) for part in parts]
    assembly = CatalogueAssembly()
    context.received, context.error = None, None
    try:
        for data in context.messages:
            context.received = assembly.add(decode(data)) or context.received
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
    send_slices(context, slices(7, context.encoded))


@when("the first {count:d} slices of one are followed by the remaining slices of the other")
def mixed(context, count):
    send_slices(
        context, [*slices(7, context.encoded)][:count] + [*slices(8, context.other)][count:]
    )


@when("it is sent to a peer with one byte changed")
def one_byte_changed(context):
    parts = [*slices(7, context.encoded)]
    data = bytearray(parts[2].data)
    data[100] ^= 1
    parts[2] = replace(parts[2], data=bytes(data))
    send_slices(context, parts)


@then("no message is longer than {limit:d} bytes")
def bounded(context, limit):
    assert max(map(len, context.messages)) <= limit, max(map(len, context.messages))


@then("the peer has the whole catalogue")
def has_catalogue(context):
    assert context.error is None, context.error
    assert context.received == context.encoded


@then("the peer has no catalogue")
def no_catalogue(context):
    assert context.received is None


@then("the peer refuses it with code {code:d}")
def refused(context, code):
    assert context.received is None
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
    context.peer_directory = Directory(VirtualClock())


def request_servers(context, link):
    context.fleet.send_first_messages(link)
    with contextlib.suppress(PeerError):
        context.fleet.send_directory(link, context.peer_directory.newest)
    context.messages = link.sent
    for data in link.sent:
        message = decode(data)
        if hasattr(message, "records"):
            context.peer_directory.apply(
                message.records, message.position, "peer", message.reappear_ms
            )


@when("a peer that knows none of them asks for them")
@when("a peer that knows some of them asks for the rest")
def peer_requests(context):
    request_servers(context, RecordingLink())


@when("a peer that knows none of them asks for them and the link breaks after {count:d} messages")
def link_breaks(context, count):
    first_messages = RecordingLink()
    context.fleet.send_first_messages(first_messages)
    request_servers(context, RecordingLink(len(first_messages.sent) + count))
    assert 0 < len(context.peer_directory.records) < len(context.fleet.directory.records)
    assert not context.peer_directory.ready


@then("the peer knows all {servers:d} servers")
def knows_all(context, servers):
    assert len(context.peer_directory.records) == servers, len(context.peer_directory.records)
    assert context.peer_directory.ready


@then("messages of every size that are truncated or changed are decoded or refused")
def truncated_or_changed(context):
    rng = random.Random(1)
    link = RecordingLink()
    large_fleet(context, 600, 390)
    request_servers(context, link)
    messages = link.sent + [encode(part) for part in slices(3, rng.randbytes(30_000))]
    for data in messages:
        for _ in range(20):
            corrupted = bytearray(data[: rng.randrange(len(data))] if rng.random() < 0.5 else data)
            for _ in range(rng.randrange(4)):
                if corrupted:
                    corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
            with contextlib.suppress(PeerError):
                decode(bytes(corrupted))
