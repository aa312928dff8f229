# member_steps.py -- Steps about the list of instances that each instance knows
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the list of instances that each instance knows."""

from behave import given, then, when

from mountladder.errors import StoreUnavailableError
from mountladder.forwarding.memberlist import MemberList
from mountladder.membership.instance import Instance
from mountladder.membership.memorylink import MemoryLink


@given("messages between instances are counted")
def count_lists(context):
    context.lists_sent = 0
    original = MemoryLink.send

    def send(link, message):
        context.lists_sent += isinstance(message, MemberList)
        return original(link, message)

    MemoryLink.send = send
    context.stack.callback(setattr, MemoryLink, "send", original)


@then("the list of instances was sent at most {number:d} times")
def sent_at_most(context, number):
    assert context.lists_sent <= number, context.lists_sent


@given("the platform's list of instances cannot be read")
def make_unreadable(context):
    def instances():
        raise StoreUnavailableError("the list cannot be read")

    context.fleet.instance_list.instances = instances


@when("instance c-new starts with one seed, {seed}")
def start_with_seed(context, seed):
    others = dict(context.fleet.instances)
    context.fleet.instances = {seed: others[seed]}
    context.run(context.fleet.start, "c-new")
    context.fleet.instances |= others


@then("c-new knows every other instance")
def knows_all(context):
    known = set(context.fleet.instances["c-new"].membership.known)
    assert known == set(context.fleet.instances) - {"c-new"}, known


@given("the platform's list has an instance d-1 that no instance knows")
def list_unknown(context):
    context.fleet.instance_list.announce(Instance("d-1", "d1", "d", "", "d-1", cores=1.0, since=0))


@then("every instance of data centre c knows d-1")
def all_know_listed(context):
    for one in context.fleet.instances.values():
        if one.settings.datacentre == "c":
            assert "d-1" in one.membership.known, one.settings.name
