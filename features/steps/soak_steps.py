# soak_steps.py -- Steps about the fault soak
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the fault soak."""

import os
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

import gevent.server
import gevent.socket
from behave import given, then, when

from mountladder.membership.listener import split_address

sys.path.insert(0, str(Path(__file__).parents[2] / "platform" / "tests"))

from soak import wire
from soak.addresses import Addresses
from soak.arrival import Arrival
from soak.bodyend import BodyEnd
from soak.caller import DEADLINE_S, stream_error
from soak.checks import check
from soak.exchange import Exchange
from soak.fakestream import EVENTS
from soak.fault import Fault
from soak.instanceprocess import MEMORY_MB, RESTART_DELAY_S, START_LOCK
from soak.isolation import EXTRAS, ISOLATED_FAULTS, SERIES, draw_isolation
from soak.plainbody import PLAIN_BYTES, body_error, is_part, plain_body
from soak.play import SPREAD_S, Play, instance_names, service_names
from soak.probe import Probe
from soak.receivedbody import CONNECTION, WHOLE, ReceivedBody
from soak.record import Record
from soak.relayproxy import RelayProxy
from soak.schedule import (
    CALLERS,
    DEADLY_PART,
    FAULTS,
    IN_PLACE,
    LONG_STREAMS,
    SERVERS,
    SILENT_FAULTS,
    SKEWED,
    draw,
)
from soak.serverfleet import SERVICES
from soak.streamattempt import StreamAttempt

LENGTH_S = 20.0
STEADY_CALLERS = 12
BODY_BYTES = 600
# How long the caller of a starting instance waits for an answer, as callers of the platform do.
ANSWER_TIMEOUT_S = 1.0
RESTART = Fault(5.0, "restart", ("a-1",), 1.0)


@when("seed {seed:d} of the soak is played for {seconds:d} seconds with {instances:d} instances")
def play(context, seed, seconds, instances):
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    faults = draw(seed, seconds, instance_names(instances), service_names())
    verdict = Play(seed, float(seconds), instances, STEADY_CALLERS, folder, faults).run()
    context.record, context.faults, context.length = verdict.record, faults, verdict.length


def targets(kind, target, instances):
    if target == "all":
        return tuple(instance_names(instances))
    names = tuple(target.split(", "))
    return (*names, SERVERS) if target in SERVICES and kind not in SILENT_FAULTS else names


def play_faults(context, seed, seconds, instances, spread_s=SPREAD_S):
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    faults = [
        Fault(
            float(row["at"]),
            row["kind"],
            targets(row["kind"], row["target"], instances),
            float(row["seconds"]),
            float(row["strength"]),
        )
        for row in context.table
    ]
    one = Play(seed, float(seconds), instances, STEADY_CALLERS, folder, faults)
    one.spread_s = spread_s
    verdict = one.run()
    context.record, context.faults, context.length = verdict.record, faults, verdict.length


@when(
    "these faults are played with seed {seed:d} for {seconds:d} seconds with {instances:d} "
    "instances"
)
def play_spread(context, seed, seconds, instances):
    play_faults(context, seed, seconds, instances)


@when(
    "these faults are played at once with seed {seed:d} for {seconds:d} seconds with "
    "{instances:d} instances"
)
def play_at_once(context, seed, seconds, instances):
    play_faults(context, seed, seconds, instances, spread_s=0.0)


@then("at least {number:d} slow readers were cut")
def readers_cut(context, number):
    cut = sum(one.cut_at is not None for one in context.record.exchanges.values())
    assert cut >= number, cut


@then("at least {number:d} streams were read whole by slow callers")
def streams_read(context, number):
    streams = [one for one in context.record.exchanges.values() if one.reads_slowly]
    whole = sum(one.status == 200 and one.service == "llm" for one in streams)
    assert whole >= number, whole


@then("at least {number:d} streams were resumed")
def streams_were_resumed(context, number):
    resumed = sum(len(one) - 1 for one in context.record.stream_attempts.values())
    assert resumed >= number, resumed


@then("at least {number:d} streams that were resumed are whole")
def resumed_whole(context, number):
    resumed = [one for one in context.record.stream_attempts.values() if len(one) > 1]
    whole = sum(sum(len(one.versions) for one in all_) == EVENTS for all_ in resumed)
    assert whole >= number, (whole, len(resumed))


@then("servers ended at least {number:d} unread response")
def responses_ended(context, number):
    ended = context.record.ended_unread
    assert len(ended) >= number, ended


@then("every promise is kept")
def no_violations(context):
    broken = check(context.record, context.faults, context.length)
    assert not broken, broken


@then("only {name} is broken")
def only_broken(context, name):
    broken = check(context.record, context.faults, context.length)
    assert list(broken) == [name], broken


@then("at least {number:d} requests were served")
def served(context, number):
    assert sum(one.status == 200 for one in context.record.exchanges.values()) >= number


@then("seed {seed:d} draws the same faults twice, and other ones than seed {other:d}")
def same_faults(context, seed, other):
    names = instance_names(6)
    first, again, differs = (draw(n, 20.0, names, service_names()) for n in (seed, seed, other))
    assert first == again != differs


@then("{number:d} seeds draw every kind of fault")
def every_kind(context, number):
    names = instance_names(6)
    drawn = {one.kind for n in range(number) for one in draw(n, 20.0, names, service_names())}
    assert drawn == set(FAULTS), set(FAULTS) - drawn


@then("no fault of a draw for {number:d} instances begins in the last three tenths of the traffic")
def none_late(context, number):
    faults = draw(2000, 20.0, instance_names(number), service_names())
    assert max(one.at for one in faults) <= 14.0, max(faults, key=lambda one: one.at)


def exchange(id_, kind="unsafe", sent=3.0, **fields):
    service = "desk" if kind in {"safe", "unsafe"} else "llm"
    plain = Exchange(id_, kind, service, "a-1", 1, sent, sent + 0.2, 200, True, DEADLINE_S)
    return replace(plain, **fields)


def arrive(record, id_, at, server="desk-1", service="desk", team="callers"):
    record.arrivals[id_].append(Arrival(at, server, service, team, False))


def add(record, one, at=None):
    record.exchanges[one.id] = one
    arrive(record, one.id, one.sent + 0.01 if at is None else at)
    record.runs[one.id].append("desk-1")


@given("a record of a soak without violations")
def record_without_violations(context):
    record = context.record = Record()
    for number in range(40):
        kind = ("safe", "unsafe", "stream", "resumable")[number % 4]
        add(record, exchange(f"r{number}", kind, number * LENGTH_S / 40))
    record.written_at.update({1: 0.0, 5: 4.0})
    record.probes.extend(Probe(at, "a-1", 1, 1 if at < 4.5 else 5) for at in range(20))
    record.drained_at["desk-9"] = 4.0
    context.faults, context.length = [RESTART], LENGTH_S


@given('a fault "{kind}" of {target} from second {first:d} to second {last:d}')
def fault(context, kind, target, first, last):
    context.faults.append(Fault(float(first), kind, (target,), float(last - first)))


@when("an unsafe request ran on two servers")
def unsafe_twice(context):
    context.record.runs["r1"].append("desk-2")


@when("a stream that cannot be resumed ran on two servers")
def stream_twice(context):
    context.record.runs["r2"].append("llm-2")


@when("an unsafe request that ran was refused")
def refused_and_ran(context):
    add(context.record, exchange("x", status=503, retry_after_s=0.5))


@when("a refusal has no Retry-After")
def no_retry_after(context):
    context.record.exchanges["x"] = exchange("x", status=503)


@when("an answer has another request's body")
def other_body(context):
    add(context.record, exchange("x", answer_error="body b'r1 by desk-1'"))


@when("a server got a request that no caller sent")
def unknown_request(context):
    arrive(context.record, "forged", 3.0)


@when("a server got a request without a team")
def no_team(context):
    context.record.exchanges["x"] = exchange("x")
    arrive(context.record, "x", 3.0, team="")


@when("a server got results of another request")
def others_results(context):
    context.record.violations.append("r1 was given 127.0.0.1:1/0x0x1-r2")


@when("a valid key was refused")
def key_refused(context):
    context.record.exchanges["x"] = exchange("x", status=401)


@when("a process returned to an older configuration")
def went_back(context):
    context.record.probes.append(Probe(6.0, "b-1", 1, 5))
    context.record.probes.append(Probe(7.5, "b-1", 1, 1))
    # A fault of the instance excuses the late version, but not the rollback.
    context.faults.append(Fault(3.0, "store-silent", ("b-1",), 6.0))


@when("an instance has an old configuration long after a change")
def old_configuration(context):
    context.record.probes.append(Probe(9.0, "a-1", 2, 1))
    context.faults.remove(RESTART)


@when("a draining server got a request much later")
def drained_used(context):
    context.faults.remove(RESTART)
    add(context.record, exchange("x", sent=8.0))
    arrive(context.record, "y", 8.0, "desk-9")
    context.record.exchanges["y"] = exchange("y", sent=8.0)


@when("a server of a drained data centre got a request")
def drained_datacentre_used(context):
    context.faults.remove(RESTART)
    context.record.datacentres["desk-8"] = "b"
    context.record.drained_datacentres.append(("b", 2.0, 9.5))
    add(context.record, exchange("x", sent=9.0))
    arrive(context.record, "y", 9.0, "desk-8")
    context.record.exchanges["y"] = exchange("y", sent=9.0)


@when("a cold server got many requests in a second")
def cold_overloaded(context):
    context.record.cold_since["desk-7"] = 6.0
    for number in range(15):
        add(context.record, exchange(f"x{number}", sent=6.0 + number * 0.05))
        arrive(context.record, f"x{number}", 6.0 + number * 0.05, "desk-7")


@when("a server got more requests than its limit")
def limit_exceeded(context):
    context.record.limits["desk-8"] = (2.0, 1.0)
    context.record.reached_at["desk-8"] += [7.0 + number * 0.2 for number in range(12)]


@when("a server got a request after it announced that it leaves")
def leaving_used(context):
    context.faults[:] = [one for one in context.faults if one is not RESTART]
    add(context.record, exchange("told", "safe", sent=3.0))
    context.record.leaving_answers.append((3.1, "desk-1", "told"))
    for id_ in list(context.record.exchanges):
        if id_ != "told":
            context.record.arrivals.pop(id_, None)
    add(context.record, exchange("x", "safe", sent=8.0))


@when("a stage server got a call after it announced that it leaves")
def leaving_called(context):
    context.faults.remove(RESTART)
    context.record.leaving_answers.append((3.1, "enc-2", ""))
    context.record.reached_at["enc-2"] += [3.0, 12.0]


@when("a server got three requests within a back-off")
def backoff_broken(context):
    context.faults[:] = [one for one in context.faults if one is not RESTART]
    add(context.record, exchange("told", "safe", sent=3.0))
    context.record.backoffs.append((3.1, "desk-7", "told", 3.0))
    for number in range(3):
        arrive(context.record, "told", 4.0 + number / 10, "desk-7")


@when("fragile servers crashed three times")
def fragile_broken(context):
    context.faults[:] = [one for one in context.faults if one is not RESTART]
    add(context.record, exchange("rejected", "safe", sent=5.0))
    context.record.fragile.append((1.0, 8.0, 3))
    for number in range(3):
        at = 5.1 + number / 10
        context.record.overfilled.append((at, f"desk-{number}", ((at, "rejected"),)))


def continue_stream(record, ended):
    record.continuations["r2"].append((1.2, "llm-2"))
    record.run_ends["r2", "desk-1"] = ended


@when("a server works on a stream long after it continued elsewhere")
def first_server_works(context):
    continue_stream(context.record, ended=1.7)


@when("a stream continued twice")
def continued_twice(context):
    continue_stream(context.record, ended=1.1)
    context.record.continuations["r2"].append((1.3, "llm-3"))


def receive(record, numbers, runs, ended):
    events = zip(numbers, runs, strict=True)
    data = "".join(f"id: {number}\ndata: r2 {number} {run}\n\n" for number, run in events)
    error = stream_error("r2", data.encode(), ended)
    record.exchanges["r2"] = replace(record.exchanges["r2"], answer_error=error)


@when("a stream continued with an event of another run")
def mixed_runs(context):
    receive(context.record, range(1, 7), "aaaaab", True)


@when("a stream that broke has an event twice")
def event_twice(context):
    receive(context.record, (1, 2, 2), "aaa", False)


@when("a restart cut a request in flight")
def restart_cut(context):
    # Most of its time is spent, so that it does not count as given up as well.
    add(context.record, exchange("x", sent=2.4, ended=5.3, status=0))


@when("a stream was cut while its server was silent")
def cut_in_silence(context):
    context.faults.append(Fault(1.0, "silent", ("llm",), 8.0))
    add(context.record, exchange("x", "resumable", ended=4.4, status=0))


@when("an instance gave a request up with its own error while its server was silent")
def failed_in_silence(context):
    context.faults.append(Fault(1.0, "silent-together", ("desk",), 8.0))
    add(context.record, exchange("x", "safe", ended=3.9, status=502))


@when("a request was given up beside a storm of versions and a reload")
def given_up_beside_changes(context):
    context.faults.append(Fault(2.0, "storm", ("configuration",), 2.0))
    context.faults.append(Fault(2.5, "reload", ("a-1",), 0.5))
    add(context.record, exchange("x", "resumable", ended=4.4, status=504))


@when("a request was given up soon after its instance was asked to shut down")
def given_up_in_restart(context):
    # The restart is at second 5, and the grace time ends 4 s later.
    add(context.record, exchange("x", "resumable", sent=5.2, ended=7.0, status=502))


@when("a service got more retries than the budget allows")
def many_retries(context):
    for number in range(80):
        arrive(context.record, f"r{4 * (number % 10)}", 9.0 + number / 100)


@when("requests reached servers long after their callers disconnected")
def sent_after_abandoned(context):
    context.faults.remove(RESTART)
    for number in range(5):
        add(context.record, exchange(f"x{number}", "safe", abandoned_at=3.1, status=0), at=5.0)


@when("a request that crashed servers keeps reaching servers")
def deadly_not_quarantined(context):
    context.faults.clear()
    context.record.deadly_crashes.extend((2.0, 3.0, 4.0))
    for number in range(4):
        add(context.record, exchange(f"deadly{number}", "stream", status=502), at=9.0 + number)


@when("a part that crashed servers keeps reaching servers")
def part_not_quarantined(context):
    context.faults.clear()
    context.record.part_crashes.extend((2.0, 3.0, 4.0, 5.0, 6.0))
    for number in range(4):
        one = exchange(f"part{number}", "stream", status=502)
        context.record.exchanges[one.id] = one
        arrive(context.record, one.id, 11.0 + number, "llm-1", "llm")


@when("requests that share the first part with it are refused")
def sound_refused(context):
    context.faults[:] = [Fault(1.0, DEADLY_PART, (CALLERS,), 18.0)]
    context.record.part_crashes.extend((2.0, 2.5, 3.0))
    for number in range(50):
        status = 200 if number < 25 else 503
        sent = 0.03 * number if number < 25 else 10.0 + 0.1 * number
        one = exchange(f"s{number}", "resumable", sent, status=status, retry_after_s=1.0)
        context.record.exchanges[one.id] = one


@when("few requests are served where one instance gets most connections")
def few_served_when_skewed(context):
    context.faults[:] = [Fault(11.0, SKEWED, ("a-1",), 8.0)]
    for number in range(30):
        one = exchange(f"s{number}", "safe", 15.0 + 0.1 * number, status=503, retry_after_s=1.0)
        context.record.exchanges[one.id] = one


@when("no request is served at the end")
def none_at_end(context):
    for id_, one in list(context.record.exchanges.items()):
        if one.sent > 17.0:
            context.record.exchanges[id_] = replace(one, status=0, sent_whole=False)


@when("a process exited unasked")
def ended(context):
    context.record.unplanned_exits.append("a-1 exited with status 1 at 3.00 s")


@when("a process used more memory than its limit")
def memory_exceeded(context):
    context.record.memory_mb["a-1", 1] = MEMORY_MB + 1.0


@when("an answer was kept long for a caller that read nothing")
def kept_long(context):
    context.faults.remove(RESTART)
    add(context.record, exchange("x", sent=2.0, ended=10.0, reads_slowly=True, unread_s=8.0))


@when("an instance that cut a slow reader answered no other caller")
def others_not_answered(context):
    context.faults.remove(RESTART)
    slow = {"status": 0, "reads_slowly": True, "cut_at": 8.0}
    add(context.record, exchange("x", sent=2.0, ended=8.0, **slow))
    for number in range(8):
        add(context.record, exchange(f"x{number}", sent=8.1, ended=12.0, status=0))


def start_alone(context, fault):
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    play = Play(1, 0.0, 1, 1, folder, [])
    context.stack.enter_context(play.stack)
    play.configurer.write()
    play.server_fleet.begin()
    play.stack.callback(play.server_fleet.stop)
    play.store.fault = fault
    (context.instance,) = play.instances.values()
    context.instance.write_settings([])
    context.instance.start()
    context.caller = play.callers[0]
    context.caller.timeout_s = ANSWER_TIMEOUT_S


@given("a slow store, and an instance as a process")
def slow_store(context):
    start_alone(context, "slow")


@given("a store that is down, and an instance as a process")
def store_is_down(context):
    start_alone(context, "down")


def wait_until_listening(context):
    host, port = split_address(context.instance.callers_listen)
    with gevent.Timeout(20.0):
        while True:
            try:
                gevent.socket.create_connection((host, port), 1.0).close()
                return
            except OSError:
                gevent.sleep(0.005)


@when("a request for a known route arrives as soon as its socket listens")
def early_request(context):
    wait_until_listening(context)
    context.caller.send("early", "safe")
    context.exchange = context.caller.record.exchanges["early"]


@when("it gets a reload signal as soon as its socket listens")
def early_reload(context):
    wait_until_listening(context)
    context.instance.send(signal.SIGHUP)


@then("it is answered with {status:d}")
def answered(context, status):
    assert context.exchange.status == status, context.exchange


@then("it is answered with {status:d} and a Retry-After")
def answered_later(context, status):
    assert context.exchange.status == status, context.exchange
    assert context.exchange.retry_after_s > 0


@when("it is killed, and asked to shut down while its next process starts")
def replaced_twice(context):
    with START_LOCK:
        tasks = [gevent.spawn(context.instance.kill)]
        # The start waits for the lock by then.
        gevent.sleep(3 * RESTART_DELAY_S)
        tasks.append(gevent.spawn(context.instance.restart))
        gevent.sleep(3 * RESTART_DELAY_S)
    gevent.joinall(tasks)


@then("it has had {number:d} processes")
def processes_started(context, number):
    assert context.instance.process_number == number, context.instance.process_number


@given("a soak that has started its instances")
def soak_started(context):
    command = [sys.executable, "-m", "soak.run", "--seed", "1", "--instances", "3"]
    tests = str(Path(__file__).parents[2] / "platform" / "tests")
    context.soak = subprocess.Popen(
        command, env=os.environ | {"PYTHONPATH": tests}, stdout=subprocess.DEVNULL
    )
    context.stack.callback(context.soak.kill)
    children = Path(f"/proc/{context.soak.pid}/task/{context.soak.pid}/children")
    with gevent.Timeout(30.0):
        while len(children.read_text().split()) < 3:
            gevent.sleep(0.1)
    context.children = [int(one) for one in children.read_text().split()]


@when("the soak is terminated")
def end_soak(context):
    context.soak.terminate()
    context.soak.wait(20.0)


@then("none of its instances is running")
def no_instance_running(context):
    for child in context.children:
        command = Path(f"/proc/{child}/cmdline")
        assert not command.exists() or b"mountladder_entry" not in command.read_bytes(), child


def resume(context, number, version, status=200, first_at="b-1", at="b-1"):
    """Have callers resume streams of version v1 at an instance while two versions serve."""
    context.record.two_versions.append((0.0, LENGTH_S))
    for name in ("llm-11", "llm-12", "llm-13", "llm-14"):
        context.record.started_at[name] = 0.0
        context.record.datacentres[name] = "b"
        context.record.versions[name] = "v1" if name < "llm-13" else "v2"
    for n in range(number):
        first = StreamAttempt(f"v{n}", first_at, 5.0, 5.1, ("v1", "v1"), 0)
        again = StreamAttempt(f"v{n}t1", at, 5.2, 5.3, (version,) if version else (), status)
        context.record.stream_attempts[first.id] = [first, again]


@when("three streams have events of two versions")
def mixed_streams(context):
    resume(context, 3, "v2")


@when("three streams continued from copies at another version")
def mixed_continuations(context):
    context.record.versions.update({"llm-1": "v1", "llm-2": "v2"})
    for n in range(3):
        context.record.runs[f"v{n}"].append("llm-1")
        context.record.run_ends[f"v{n}", "llm-1"] = 5.0
        context.record.continuations[f"v{n}"].append((5.1, "llm-2"))


@when("most streams that callers resumed were refused")
def refused_streams(context, first_at="b-1", at="b-1"):
    resume(context, 30, "", 503, first_at, at)
    resume(context, 10, "v1", 200, first_at, at)


@when("most streams that began at {first_at} and were resumed at {at} were refused")
def refused_elsewhere(context, first_at, at):
    refused_streams(context, first_at, at)


def lose_known(context, code, retry_after_s=None, at="b-1"):
    """Have three streams refused with a code three seconds after their first events."""
    for n in range(3):
        first = StreamAttempt(f"v{n}", "b-1", 4.0, 5.0, ("v1", "v1"), 0, heard=4.1)
        again = StreamAttempt(f"v{n}t1", at, 7.0, 7.1, (), 503, code, retry_after_s)
        context.record.stream_attempts[first.id] = [first, again]
        context.record.exchanges[again.id] = exchange(
            again.id, "resumable", sent=7.0, status=503, retry_after_s=retry_after_s
        )


@when("streams that began seconds before were unknown")
def unknown_streams(context):
    lose_known(context, 2016)


@when("streams that began seconds before at b-1 were unknown at {at}")
def unknown_elsewhere(context, at):
    lose_known(context, 2016, 1.0, at)


@when("a stream whose version had left was told not to return, and then served")
def served_after_all(context):
    lose_known(context, 2015)
    for n in range(3):
        served = StreamAttempt(f"v{n}t2", "b-1", 8.0, 8.1, ("v1",), 200)
        context.record.stream_attempts[f"v{n}"].append(served)


@when("most streams that callers resumed were refused, with {servers} of their version")
def refused_without_servers(context, servers):
    refused_streams(context)
    if servers == "one server":
        context.record.stopped_at["llm-11"] = 4.0
    else:
        context.record.drained_datacentres.append(("b", 3.0, 9.0))


def send_back(connection, _):
    while data := connection.recv(1):
        connection.sendall(data)


@given("a proxy for what others relay to an instance")
def relay_proxy(context):
    addresses = Addresses()
    target = addresses.take()
    server = gevent.server.StreamServer(split_address(target), send_back)
    server.start()
    context.stack.callback(server.stop, 0.1)
    context.sources = {name: addresses.take_source() for name in ("a-1", "b-1")}
    names = {source: name for name, source in context.sources.items()}
    context.proxy = RelayProxy(addresses.take(), target, context.stack, names)
    context.connections = {}


def open_connection(context, name):
    address = split_address(context.proxy.address)
    connection = gevent.socket.create_connection(address, 1.0, (context.sources[name], 0))
    context.stack.callback(connection.close)
    context.connections[name] = connection


def is_passed_on(connection):
    connection.sendall(b"x")
    return connection.recv(1) == b"x"


@given("open connections of a-1 and b-1")
def open_connections(context):
    for name in context.sources:
        open_connection(context, name)
        assert is_passed_on(context.connections[name])


@when("{name} is cut off")
def cut_name(context, name):
    context.proxy.separate([name], "reset")


@when("{name} is cut off while it opens a connection")
def cut_while_opening(context, name):
    mode_of = context.proxy.mode_of

    def mode_before_cut(source):
        """Return the mode; the cut begins while the connection to the instance is opened."""
        context.proxy.mode_of = mode_of
        mode = mode_of(source)
        gevent.spawn(cut_name, context, name)
        return mode

    context.proxy.mode_of = mode_before_cut
    open_connection(context, name)


@then("the connection of {name} is reset")
def connection_reset(context, name):
    try:
        assert not context.connections[name].recv(1)
    except ConnectionResetError:
        return


@then("that of {name} passes bytes on")
def passes_on(context, name):
    assert is_passed_on(context.connections[name])


@when("a server sent a part by {framing}, {end}, and its caller got {what} by {claim}")
def got_part(context, framing, end, what, claim):
    size = 1_000 if what == "it" else 1
    error = body_error("x", plain_body("x", "desk-1", PLAIN_BYTES)[:size])
    body = ReceivedBody(claim, WHOLE, size, is_part=True)
    add(context.record, exchange("x", answer_error=error, body=body))
    end, _, delay = end.partition(" after ")
    reset_after_s = float(delay.removesuffix(" s") or 0.0)
    played = BodyEnd(framing, end, 1_000, PLAIN_BYTES, reset_after_s)
    context.record.body_ends["x"].append(played)


@then("at least {number:d} answers were broken off, and {others:d} others had no length")
def answers_broken_off(context, number, others):
    ends = [end for ends in context.record.body_ends.values() for end in ends]
    cut = sum(end.sent < end.size for end in ends)
    unframed = sum(end.sent == end.size and end.framing == CONNECTION for end in ends)
    assert cut >= number and unframed >= others, (cut, unframed)


@given("the body of a plain answer")
def plain_answer(context):
    context.id, context.body = "s1c2n3", plain_body("s1c2n3", "desk-1", BODY_BYTES)


@then("it is whole, and each of its first parts is found to be one")
def parts_found(context):
    assert not body_error(context.id, context.body) and not is_part(context.id, context.body)
    for size in range(BODY_BYTES):
        part = context.body[:size]
        assert is_part(context.id, part) and body_error(context.id, part), size


@then("it is wrong with any byte changed, left out or added")
def wrong_bytes_found(context):
    for at in range(BODY_BYTES):
        head, byte, rest = context.body[:at], context.body[at : at + 1], context.body[at + 1 :]
        for other in (head + b"#" + rest, head + rest, head + 2 * byte + rest):
            assert body_error(context.id, other), (at, other[:60])
    assert body_error("s1c2n", context.body) and body_error("s1c2n34", context.body)


@then("a part of it is not wrong if it did not end regularly")
def parts_allowed(context):
    assert not body_error(context.id, context.body[:-1], ended=False)
    assert body_error(context.id, context.body[:-1] + b"#", ended=False)


@given("a connection over which 4 bytes came and that its writer resets with {function}")
def connection_of_writer(context, function):
    context.reader, writer = tcp_pair(context.stack)
    writer.sendall(b"body")
    getattr(wire, function)(writer)
    # The socket itself is closed by the loop.
    gevent.sleep(0.01)


def tcp_pair(stack):
    listener = gevent.socket.create_server(("127.0.0.1", 0))
    stack.callback(listener.close)
    reader = gevent.socket.create_connection(listener.getsockname(), 1.0)
    writer, _ = listener.accept()
    for one in (reader, writer):
        stack.callback(one.close)
    return reader, writer


@then("its reader sees the 4 bytes, then {what}")
def reader_sees(context, what):
    assert context.reader.recv(8) == b"body"
    try:
        seen = "the end of the stream" if not context.reader.recv(8) else "more bytes"
    except ConnectionResetError:
        seen = "a reset"
    assert seen == what, seen


@when("long streams are requested for longer than a play of one instance lasts")
def play_with_lasting_callers(context):
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    fault = Fault(0.5, LONG_STREAMS, ("callers",), 30.0, 1.0)
    context.verdict = Play(1, 1.0, 1, 1, folder, [fault]).run()


@then("no request was recorded after the traffic had ended")
def none_recorded_later(context):
    exchanges = context.verdict.record.exchanges.values()
    assert any(one.kind == "resumable" for one in exchanges), exchanges
    late = [one for one in exchanges if one.ended > context.verdict.length]
    assert not late, late


@given("a play without faults")
def play_without_faults(context):
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    context.play = Play(1, 0.0, 1, 1, folder, [])
    context.stack.enter_context(context.play.stack)
    context.play.server_fleet.begin()
    context.stack.callback(context.play.server_fleet.stop)


@when("a server that announced that it leaves starts again under its name before it leaves")
def leaving_starts_again(context):
    fleet = context.play.server_fleet
    task = gevent.spawn(fleet.announce_leaving, Fault(0.0, "leaving", ("llm", SERVERS), 0.2))
    gevent.sleep(0.1)
    before = next(one for one in fleet.servers.values() if one.leaving)
    del fleet.servers[before.name]
    before.stop()
    context.server = fleet.launch(before.name, before.service, before.address)
    task.join()


@then("the one that started is still in use, and nothing listens there once the play has ended")
def started_is_used(context):
    fleet = context.play.server_fleet
    address = split_address(context.server.address)
    assert fleet.servers.get(context.server.name) is context.server
    fleet.stop()
    gevent.sleep(0.1)
    try:
        gevent.socket.create_connection(address, 1.0).close()
    except ConnectionRefusedError:
        return
    raise AssertionError(address)


@given("a play with a fault of the store at second 0")
def play_with_fault(context):
    folder = Path(context.stack.enter_context(TemporaryDirectory()))
    context.fault = Fault(0.0, "forget", ("store",), 1.0)
    context.play = Play(1, 0.0, 1, 1, folder, [context.fault])
    context.stack.enter_context(context.play.stack)


@when("the fault is injected {seconds:g} s late")
def inject_late(context, seconds):
    context.play.now = lambda: seconds
    context.play.inject(context.fault)


@then("it counts from second {second:g} on, and is as long as before")
def counts_from(context, second):
    assert context.play.faults == [replace(context.fault, at=second)], context.play.faults


def kinds_in_series(first, last):
    names = instance_names(6)
    drawn = [draw_isolation(seed, names) for seed in range(first, last + 1)]
    return {one.kind for faults in drawn for one in faults} & {*SERIES} - {*EXTRAS}


@then("seeds {first:d} to {last:d} of a cut draw none of the faults in series")
def none_in_series(context, first, last):
    assert not kinds_in_series(first, last)


@then("seeds {first:d} to {last:d} of a cut draw no pauses")
def no_pauses(context, first, last):
    names = instance_names(6)
    drawn = [draw_isolation(seed, names) for seed in range(first, last + 1)]
    assert not {"pause", IN_PLACE} & {one.kind for faults in drawn for one in faults}


@then("seeds {first:d} to {last:d} draw pauses and servers that start again, some without a cut")
def pauses_drawn(context, first, last):
    names = instance_names(6)
    drawn = [{one.kind for one in draw_isolation(seed, names)} for seed in range(first, last + 1)]
    assert all({"pause", IN_PLACE} <= kinds for kinds in drawn), drawn
    without_cut = [kinds for kinds in drawn if not kinds & {*ISOLATED_FAULTS}]
    assert 0 < len(without_cut) < len(drawn), drawn


@then("seeds {first:d} to {last:d} of a cut draw each of them")
def all_in_series(context, first, last):
    assert kinds_in_series(first, last) == {*SERIES} - {*EXTRAS}
