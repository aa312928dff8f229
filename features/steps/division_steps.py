# division_steps.py -- Steps about services with one coordinator for each data centre
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about services with one coordinator for each data centre."""

import gevent
from behave import given, then, when
from forwardbasics import BATCH, PATHS, find_coordinator, request, serve

from mountladder.clocks.virtualclock import VirtualClock
from mountladder.forwarding.backlog import PRIORITY_CLASSES, Backlog
from mountladder.forwarding.lending import Lending
from mountladder.forwarding.partitiondetector import PartitionDetector
from mountladder.forwarding.ranking import prompts_topic
from mountladder.forwarding.stagejob import StageJob
from mountladder.forwarding.stageorder import StageOrder
from mountladder.membership.instance import Instance
from mountladder.membership.membership import Membership

SETTLE_MS = 1_200.0
UNLIST_MS = 3_500.0


@given("{number:d} stage servers of service enc in each of data centres {names}")
def stage_servers(context, number, names):
    context.servers = {
        name: [f"enc-{name}{n}" for n in range(number)] for name in names.split(", ")
    }
    for name, servers in context.servers.items():
        for one in servers:
            context.fleet.add_server(one, "enc", name)
    context.run(context.clock.sleep, SETTLE_MS)


def remove(context, servers):
    for name in servers:
        context.fleet.servers.put(name, None)
    context.run(context.clock.sleep, UNLIST_MS)


@when("the last {number:d} stage servers of each data centre are gone")
def last_gone(context, number):
    gone = []
    for name, servers in context.servers.items():
        gone += servers[-number:]
        context.servers[name] = servers[:-number]
    remove(context, gone)


@given("the stage servers of data centre {name} are gone")
def all_gone(context, name):
    remove(context, context.servers[name])


@then("every instance considers service enc {state}")
def is_state(context, state):
    for one in context.fleet.instances.values():
        one.directory.available("enc")
        assert one.fleet.division.is_divided("enc") == (state == "divided"), one.settings.name


@when("{number:d} staged requests come within {ms:d} ms over all data centres")
def spread_requests(context, number, ms):
    names = list(context.fleet.instances)

    def send(n):
        context.clock.sleep(n * ms / number)
        name = names[n % len(names)]
        serve(context, name, request(f"{name} {n}", PATHS["staged"], context.clock.now()))

    context.run(lambda: gevent.joinall([gevent.spawn(send, n) for n in range(number)]))


@then("every piece ran in the data centre of its request")
def ran_locally(context):
    for call in context.fleet.upstream.piece_calls:
        where = call.server.removeprefix("enc-")[0]
        assert {piece.request[0] for piece in call.pieces} == {where}, call


def submit_calls(context, number, name):
    coordinator = find_coordinator(context, "enc", name)
    now = context.clock.now()
    context.completed_ms, context.submitted_at, context.coordinator = [], now, coordinator

    def done(results):
        context.completed_ms.append(context.clock.now() - now)
        coordinator.dispatch.release("enc", [one.handle for one in results])

    jobs = (
        StageJob(f"flood {n}", 0, "enc", BATCH.pieces, "key", (), now + 9e3, now + 9e3, 0, 8e3, "")
        for n in range(number)
    )
    context.submissions = [coordinator.dispatch.submit(job, done) for job in jobs]


@when("{number:d} full calls for enc are submitted in data centre {name} at once")
def calls_submitted(context, number, name):
    context.run(submit_calls, context, number, name)


@when("a staged request is sent to {name} at the same time")
def one_staged(context, name):
    context.began = context.clock.now()

    def play():
        serve(context, name, request("s0", PATHS["staged"], context.clock.now()))
        context.took_ms = context.clock.now() - context.began

    context.run(play)


@then("some pieces of these calls ran in each data centre")
def ran_everywhere(context):
    datacentres = [
        call.server.removeprefix("enc-")[0]
        for call in context.fleet.upstream.piece_calls
        if call.pieces[0].request.startswith("flood")
    ]
    assert set(datacentres) == {"a", "b", "c"}, datacentres


@then("all of these calls were completed within {ms:d} ms")
def calls_completed(context, ms):
    context.run(context.clock.sleep, float(ms))
    assert len(context.completed_ms) == len(context.submissions)
    assert max(context.completed_ms) <= ms, max(context.completed_ms)


@then("request s0 ends with status {status:d} within {ms:d} ms")
def ends_within(context, status, ms):
    assert context.ends["s0"][0] == status and context.ends["s0"][2] == 0, context.ends
    assert context.took_ms <= ms, context.took_ms


@given("data centre {name} is cut off from the others")
def cut_off(context, name):
    for other in context.servers:
        if other != name:
            context.fleet.network.cut_datacentres.add(frozenset({name, other}))


@when("all of these calls are withdrawn")
def withdrawn(context):
    def play():
        for submission in context.submissions:
            context.coordinator.dispatch.withdraw(submission)

    context.run(play)


@then("at most {number:d} full calls ran")
def calls_at_most(context, number):
    calls = [one for one in context.fleet.upstream.piece_calls if len(one.pieces) == BATCH.pieces]
    assert len(calls) <= number, len(calls)


def links_to(instance, topic):
    """Return the links of an instance to the first two candidates for coordinator of a topic."""
    ranked = instance.fleet.coordinators.ranked(topic)[:2]
    return [instance.fleet.links.get(one.peer) for one in ranked if one is not instance.me]


@then("every instance has links to the coordinators of service enc and of prompts for llm")
def linked(context):
    for instance in context.fleet.instances.values():
        for topic in ("enc", prompts_topic("llm")):
            assert all(links_to(instance, topic)), (instance.settings.name, topic)


@given("the links of {name} to the coordinators of prompts for {service} are silent")
def silent(context, name, service):
    context.silent = links_to(context.fleet.instances[name], prompts_topic(service))
    for link in context.silent:
        link.reachable = link.other.reachable = lambda: False


@then("{name} has other links to the coordinators of prompts for {service}")
def other_links(context, name, service):
    found = links_to(context.fleet.instances[name], prompts_topic(service))
    assert all(found) and not set(map(id, found)) & set(map(id, context.silent)), found


@when("data centre {name} can be reached again")
def reached_again(context, name):
    context.fleet.network.cut_datacentres.clear()


@when("instance {name} stops")
def instance_ends(context, name):
    context.run(context.fleet.instances.pop(name).close)


def used_datacentres(instance):
    """Return the data centres whose stage servers an instance uses."""
    return {one.datacentre for one in instance.directory.available("enc")}


@then("instances of data centre {name} use servers of data centre {only} only")
def only_own(context, name, only):
    for one in context.fleet.instances.values():
        if one.settings.datacentre == name:
            assert used_datacentres(one) == {only}, (one.settings.name, used_datacentres(one))


@then("instances of data centre {name} use no servers of data centre {other}")
def none_used(context, name, other):
    for one in context.fleet.instances.values():
        if one.settings.datacentre == name:
            assert used_datacentres(one) == {"b", "c"} - {other}, (
                one.settings.name,
                used_datacentres(one),
            )


@then("every instance uses servers of every data centre")
def use_all(context):
    for one in context.fleet.instances.values():
        assert used_datacentres(one) == {"a", "b", "c"}, (one.settings.name, used_datacentres(one))


@when("a coordinator of service enc checks for partitions after a pause of {ms:d} ms")
def checks_after_pause(context, ms):
    def play():
        one = find_coordinator(context, "enc")
        context.checker = one
        partitions = one.fleet.partitions
        for name in one.membership.last_seen:
            one.membership.last_seen[name] -= ms
        partitions.checked_at -= ms
        one.fleet.check_datacentres()

    context.run(play)


@then("it considers no data centre unreachable")
def none_unreachable(context):
    assert not context.checker.fleet.partitions.unreachable()


def stage(preferred="", now=0.0):
    return StageJob("r", 0, "enc", 1, "key", (), now + 9e3, now + 9e3, 0, 8e3, preferred)


@given("pieces wait {b:d} ms in data centre b and {c:d} ms in data centre c")
def reported_waits(context, b, c):
    context.lending_clock = VirtualClock()
    context.lending = Lending(context.lending_clock, "a")
    for name, wait_ms in (("b", b), ("c", c)):
        waits = (float(wait_ms),) * len(PRIORITY_CLASSES)
        context.lending.record_backlog(Backlog("enc", waits, waits), name)


@given("these waits were reported {ms:d} ms ago")
def reported_before(context, ms):
    context.lending_clock.run(gevent.spawn(context.lending_clock.sleep, float(ms)))


@when('a stage that prefers data centre "" would wait {own:d} ms in data centre a')
def without_preference(context, own):
    context.lent_to = context.lending.choose(stage(), float(own), ("b", "c"))


@when('a stage that prefers data centre "{preferred}" would wait {own:d} ms in data centre a')
def with_preference(context, preferred, own):
    context.lent_to = context.lending.choose(stage(preferred), float(own), ("b", "c"))


@then('the stage is lent to ""')
def is_not_lent(context):
    assert context.lent_to == "", context.lent_to


@then('the stage is lent to "{lent_to}"')
def is_lent(context, lent_to):
    assert context.lent_to == lent_to, context.lent_to


@when("a stage is lent to that coordinator while the others report no backlog")
def lend_stage(context):
    def play():
        coordinator = context.coordinator
        none = (0.0,) * len(PRIORITY_CLASSES)
        for name in ("a", "c"):
            coordinator.dispatch.lending.record_backlog(Backlog("enc", none, none), name)
        link = next(iter(coordinator.fleet.links.values()))
        coordinator.dispatch.handle_order(StageOrder(7, stage(), lent=True), link)

    context.run(play)


@then("the stage waits there")
def waits_there(context):
    (submission,) = context.coordinator.dispatch.peer_submissions.values()
    assert submission.assignee == "" and submission.progress is not None


@when("a-2 receives reports that data centre {name} is unreachable")
def reported_unreachable(context, name):
    def play():
        fleet = context.fleet.instances["a-2"].fleet
        context.lost_links = []
        fleet.on_link_lost = context.lost_links.append
        for reporter in ("a-1", "a-2"):
            fleet.partitions.record_report(reporter, (name,))
        fleet.apply_partitions()
        context.coordinators = [
            fleet.coordinator(topic) for topic in sorted(fleet.coordinators.topics)
        ]

    context.run(play)


@then("a-2 treats its links to data centre {name} as lost")
def links_lost(context, name):
    links = context.fleet.instances["a-2"].fleet.links
    assert sorted(context.lost_links) == sorted(one for one in links if one.startswith(name))


@then("no coordinator that a-2 uses is in data centre {name}")
def no_coordinator_in(context, name):
    assert context.coordinators
    assert all(one is None or one.peer.datacentre != name for one in context.coordinators)


@then("request r is refused with {code:d} after at most {ms:d} ms, with a time to retry")
def refused_at_once(context, code, ms):
    _, _, found, class_, error = context.ends["r"]
    assert (found, class_) == (code, "not_run"), context.ends
    assert error.retry_after_ms > 0
    assert context.clock.now() - context.sent_at <= ms


@then("no server was sent request r")
def not_sent(context):
    assert not context.fleet.upstream.arrivals.get("r")


def parse_datacentres(text):
    """Return the data centres that a step names."""
    return frozenset() if text == "nothing" else frozenset(text.split(" and "))


@given("a-1 reports {first} unreachable and a-2 reports {second} unreachable")
def reports(context, first, second):
    context.receiver_clock = VirtualClock()
    me = Instance("a-3", "x", "a", "", "a-3", cores=1.0, since=0)
    context.partitions = PartitionDetector(Membership(me, context.receiver_clock))
    context.partitions.record_report("a-1", parse_datacentres(first))
    context.partitions.record_report("a-2", parse_datacentres(second))


@when("{ms:d} ms go by at the receiver")
def pass_at_receiver(context, ms):
    context.receiver_clock.run(gevent.spawn(context.receiver_clock.sleep, float(ms)))


@then("{unreachable} is considered unreachable")
def is_unreachable(context, unreachable):
    assert context.partitions.unreachable() == parse_datacentres(
        unreachable
    ), context.partitions.unreachable()
