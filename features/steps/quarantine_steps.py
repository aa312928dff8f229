# quarantine_steps.py -- Steps about requests that crash the servers which run them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about requests that crash the servers which run them."""

import itertools
import random
from dataclasses import replace

import gevent
from behave import given, then, when
from forwardbasics import PATHS, catalogue, request, serve

from mountladder.forwarding.ranking import prompts_topic
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.memorysuspicionstore import MemorySuspicionStore
from mountladder.quarantine.servercrash import ServerCrash
from mountladder.quarantine.suspectkind import REQUEST_BARS_MS
from mountladder.quarantine.suspicion import NEVER, Suspicion
from mountladder_standins.serverfault import ServerFault

SETTLE_MS = 700.0
# A server crashes 60 ms after it has started the request, and its entry expires 3.6 s later.
DEADLY_MS = 60.0
ENTRY_TTL_MS = 3_600.0
BODY = b"deadly"
# A request that servers had for so long is barred after its third crash.
SLOW_MS = 900.0
SLOW_FINGERPRINT = "5c" * 16
# After this time all instances have the updates of one, also those forwarded by another.
UPDATE_MS = 20.0
# The prefill rate in the scenario with many crashes, so that a request takes half a second.
TOKENS_PER_MS = 2.0


@given("model servers llm-1 to llm-{number:d}, which restart under new ids {ms:d} ms after a crash")
def model_servers(context, number, ms):
    upstream, clock = context.fleet.upstream, context.clock
    upstream.crash_after_ms[BODY] = DEADLY_MS
    starts = itertools.count(100)

    def restart(server):
        service, datacentre = server.labels["service"], server.datacentre
        name = f"{service}-{next(starts)}"
        clock.call_later(ms, lambda: context.fleet.add_server(name, service, datacentre))
        clock.call_later(ENTRY_TTL_MS, lambda: context.fleet.servers.put(server.name, None))

    upstream.on_crashed = restart
    add_servers(context, "llm", number)
    context.took = {}


@given("plain servers desk-1 to desk-{number:d}, which restart likewise")
def plain_servers(context, number):
    add_servers(context, "desk", number)


def add_servers(context, service, number):
    for n in range(1, number + 1):
        context.fleet.add_server(f"{service}-{n}", service, "ab"[n % 2])
    context.run(context.clock.sleep, SETTLE_MS)


@given("every route allows {number:d} attempts")
def attempts_allowed(context, number):
    plain = catalogue(2)
    routes = {
        host: tuple(replace(one, max_attempts=number) for one in routes)
        for host, routes in plain.routes.items()
    }
    context.fleet.configure(replace(plain, routes=routes))
    context.run(context.clock.sleep, SETTLE_MS)


def attempt(context, name, id_, kind="stream", body=BODY):
    """Send one attempt, and record how long it took."""
    sent_at = context.clock.now()
    serve(context, name, request(id_, PATHS[kind], sent_at, body=body))
    context.took[id_] = context.clock.now() - sent_at


@when(
    "a deadly {kind} request comes {times:d} times every {ms:d} ms, each time at the next instance"
)
def comes_again(context, kind, times, ms):
    first = len(context.ends)
    context.attempts = [f"d{first + n}" for n in range(times)]

    def send_all():
        tasks = []
        for id_, name in zip(context.attempts, itertools.cycle(context.fleet.instances)):
            tasks.append(gevent.spawn(attempt, context, name, id_, kind))
            context.clock.sleep(float(ms))
        gevent.joinall(tasks)

    context.run(send_all)


@then("at most {number:d} servers have crashed")
def crashed_at_most(context, number):
    crashed = context.fleet.upstream.crashed
    assert len(crashed) <= number, (len(crashed), crashed)


@then("the last {number:d} attempts are refused with code {code:d} as {class_} within {ms:d} ms")
def refused_at_once(context, number, code, class_, ms):
    for id_ in context.attempts[-number:]:
        assert context.ends[id_][2:4] == (code, class_), (id_, context.ends[id_])
        assert context.took[id_] <= ms, (id_, context.took[id_])
        assert id_ not in context.fleet.upstream.arrivals, (id_, context.fleet.upstream.arrivals)


@when("a deadly {kind} request comes at every instance at once, {times:d} times every {ms:d} ms")
def comes_at_once(context, kind, times, ms):
    def send_all():
        tasks = []
        for n in range(times):
            for name in context.fleet.instances:
                tasks.append(gevent.spawn(attempt, context, name, f"w{n}-{name}", kind))
            context.clock.sleep(float(ms))
        gevent.joinall(tasks)

    before = len(context.ends)
    context.run(send_all)
    context.attempts = list(context.ends)[before:]


def send_series(context, names, times, ms, kind="stream", body=BODY):
    """Send attempts one after another, each to the next of some instances."""
    first = len(context.ends)
    ids = [f"d{first + n}" for n in range(times)]

    def send_all():
        for id_, name in zip(ids, itertools.cycle(names)):
            attempt(context, name, id_, kind, body)
            context.clock.sleep(float(ms))

    context.run(send_all)
    context.attempts = ids


@when("a deadly stream request comes {times:d} times every {ms:d} ms, each time at instance {name}")
def comes_at_one(context, times, ms, name):
    send_series(context, [name], times, ms)


@when(
    "a deadly stream request comes {times:d} times every {ms:d} ms, each time at the next "
    "instance but {name}"
)
def comes_at_others(context, times, ms, name):
    send_series(context, [one for one in context.fleet.instances if one != name], times, ms)


@when(
    "a plain {kind} request comes {times:d} times every {ms:d} ms, each time at the next instance"
)
def plain_comes(context, kind, times, ms):
    send_series(context, context.fleet.instances, times, ms, kind, b"plain")


@when("a plain stream request comes {times:d} times every {ms:d} ms, each time at instance {name}")
def plain_at_one(context, times, ms, name):
    send_series(context, [name], times, ms, body=b"plain")


@when("instance {name} crashes {ms:d} ms after the last server crash")
def instance_crashes(context, name, ms):
    # The crash was detected 800 ms ago; its announcement has been in transit for no longer.
    context.fleet.instances.pop(name).close()


@given("instances {first} and {second} cannot reach each other")
def cut_link(context, first, second):
    context.fleet.network.cut_instances.add(frozenset({first, second}))


@given("data centres {first} and {second} cannot reach each other")
def cut_datacentres_apart(context, first, second):
    context.fleet.network.cut_datacentres.add(frozenset({first, second}))


@when("data centres {first} and {second} are connected again")
def reconnect_datacentres(context, first, second):
    context.fleet.network.cut_datacentres.discard(frozenset({first, second}))


@given("the table of bars is {state} while servers crash")
@when("the table of bars is {state} again")
def bars_table(context, state):
    context.fleet.suspicion_store.down = state == "down"


@given("all instances were killed and have restarted")
@when("all instances are killed and restart")
def all_killed(context):
    for name in list(context.fleet.instances):
        context.fleet.instances[name].close()
    for name in list(context.fleet.instances):
        context.fleet.start(name)
    context.run(context.clock.sleep, 2_000.0)


@then("the table of bars was called at most {number:d} times")
def bars_calls(context, number):
    # Each process reads the table at most once, when it starts.
    assert context.fleet.suspicion_store.calls <= number, context.fleet.suspicion_store.calls
    assert len(context.fleet.suspicion_store.rows) == 1


@then("attempt {id_} ends with code {code:d} as {class_}")
def attempt_ends(context, id_, code, class_):
    assert context.ends[id_][2:4] == (code, class_), context.ends[id_]


@given('every model server has fault "{fault}"')
def model_fault(context, fault):
    for name in context.fleet.instances["a-1"].directory.records:
        if name.startswith("llm"):
            context.fleet.upstream.faults[name] = ServerFault(fault)


def registries(context):
    return [one.quarantine.registry for one in context.fleet.instances.values()]


def all_suspicions(context):
    """Return what the instances know of requests, and of the parts of their prompts."""
    quarantines = [one.quarantine for one in context.fleet.instances.values()]
    registries = [one for each in quarantines for one in (each.registry, each.parts)]
    return [one for registry in registries for one in registry.suspicions.values()]


@then("no request is suspect")
def nothing_suspect(context):
    context.run(context.clock.sleep, UPDATE_MS)
    suspects = [one for one in all_suspicions(context) if one.is_suspect]
    assert not suspects, suspects


@then("no request is barred")
def nothing_barred(context):
    barred = [one for one in all_suspicions(context) if one.bars]
    assert not barred, barred


@given("every model server is listed as draining")
def all_draining(context):
    context.draining = model_names(context)


def model_names(context):
    records = context.fleet.instances["a-1"].directory.records
    return [name for name in records if name.startswith("llm")]


def crash_servers(context, ids):
    """Crash servers, without a request that causes it."""
    directory = next(iter(context.fleet.instances.values())).directory
    for id_ in ids:
        context.fleet.upstream.crash(directory.records[id_].server)


@when("all model servers exit while a plain stream request is in flight")
def exit_all(context):
    def send_and_crash():
        task = gevent.spawn(attempt, context, "a-1", "p", "stream", b"plain")
        context.clock.sleep(20.0)
        for name in context.draining:
            context.fleet.add_server(name, "llm", "a", draining=True)
        context.clock.sleep(25.0)
        crash_servers(context, context.draining)
        task.join()

    context.run(send_and_crash)
    assert context.ends["p"][3] in {"broken", "unknown"}, context.ends["p"]


@given("no connection to a crashed server is refused")
def never_refused(context):
    context.fleet.upstream.silent_crashes = True


@when("all model servers but {left:d} crash while {number:d} plain stream requests are in flight")
def crash_many(context, left, number):
    names = itertools.cycle(context.fleet.instances)

    def send_and_crash():
        tasks = [
            gevent.spawn(attempt, context, next(names), f"p{n}", "stream", b"p%d" % n)
            for n in range(number)
        ]
        context.clock.sleep(60.0)
        crash_servers(context, model_names(context)[left:])
        gevent.joinall(tasks)

    context.run(send_and_crash)
    assert any(
        one.is_suspect for registry in registries(context) for one in registry.suspicions.values()
    )


@when("the same {number:d} requests come again")
def same_again(context, number):
    names = itertools.cycle(context.fleet.instances)
    context.attempts = [f"again{n}" for n in range(number)]

    def send_all():
        tasks = [
            gevent.spawn(attempt, context, next(names), f"again{n}", "stream", b"p%d" % n)
            for n in range(number)
        ]
        gevent.joinall(tasks)

    context.run(send_all)


def served(context, ids):
    return [id_ for id_ in ids if context.ends[id_][0] == 200 and not context.ends[id_][2]]


@then("all {number:d} are served")
@then("the last {number:d} attempts are served")
def all_served(context, number):
    ids = context.attempts[-number:]
    assert len(served(context, ids)) == number, [context.ends[one] for one in ids]


@then("all {number:d} are served within {ms:d} ms")
def all_served_soon(context, number, ms):
    all_served(context, number)
    assert max(context.took[id_] for id_ in context.attempts) <= ms


@when(
    "a server crashes every {ms:d} ms while {number:d} requests come, "
    "{identical:d} of them identical"
)
def crashes(context, ms, number, identical):
    """Send a request every 20 ms; the callers of those that fail retry once."""
    rng = random.Random(5)
    context.fleet.upstream.tokens_per_ms = TOKENS_PER_MS
    upstream, fleet = context.fleet.upstream, context.fleet
    context.attempts = [f"r{n}" for n in range(number)]

    def call(n):
        body = b"hot" if n < identical else b"r%d" % n
        names = list(fleet.instances)
        attempt(context, rng.choice(names), f"r{n}", "resumable", body)
        if context.ends[f"r{n}"][2]:
            attempt(context, rng.choice(names), f"r{n}", "resumable", body)

    def crash(running):
        while running:
            context.clock.sleep(float(ms))
            directory = fleet.instances["a-1"].directory
            alive = [one for one in directory.available("llm") if one.name not in upstream.crashed]
            if alive:
                upstream.crash(rng.choice(alive))

    def run():
        running = [True]
        crasher = gevent.spawn(crash, running)
        tasks = []
        for n in rng.sample(range(number), number):
            tasks.append(gevent.spawn(call, n))
            context.clock.sleep(20.0)
        gevent.joinall(tasks)
        running.clear()
        crasher.join()

    context.run(run)


@then("over {number:d} of them are served")
def over_served(context, number):
    assert len(served(context, context.attempts)) > number, len(served(context, context.attempts))


@when(
    "{number:d} plain stream requests with one body are in flight and one of their servers "
    "crashes"
)
def popular(context, number):
    send_popular(context, number, "first", crash=True)


@when("{number:d} plain stream requests with the same body come at once")
def popular_copies(context, number):
    context.attempts = send_popular(context, number, "then", crash=False)


def send_popular(context, number, label, crash):
    names = itertools.cycle(context.fleet.instances)
    ids = [f"{label}{n}" for n in range(number)]

    def send_all():
        tasks = [
            gevent.spawn(attempt, context, next(names), id_, "stream", b"popular") for id_ in ids
        ]
        context.clock.sleep(60.0)
        if crash:
            crash_servers(context, [context.fleet.upstream.arrivals[ids[0]][0]])
            context.clock.sleep(20.0)
            return
        gevent.joinall(tasks)

    context.run(send_all)
    return ids


@given("a deadly stream request was barred")
def was_barred(context):
    send_series(context, context.fleet.instances, 3, 800)
    assert all(
        one.bars == 1 for registry in registries(context) for one in registry.suspicions.values()
    )
    context.crashed_before = len(context.fleet.upstream.crashed)


@given("its bar has expired")
def bar_expired(context):
    # The clock jumps, so that ten minutes of heartbeats need not be played.
    context.clock.time += REQUEST_BARS_MS[0]
    context.run(context.clock.sleep, 5_000.0)


@when("the model is repaired")
def repaired(context):
    context.fleet.upstream.crash_after_ms.clear()


@then("the table of bars is empty")
def table_is_empty(context):
    context.run(context.clock.sleep, 50.0)
    assert not context.fleet.suspicion_store.rows, context.fleet.suspicion_store.rows


@then("one more server has crashed")
def one_more(context):
    assert len(context.fleet.upstream.crashed) == context.crashed_before + 1


@then("it is barred for {seconds:d} s everywhere")
def barred_for(context, seconds):
    for registry in registries(context):
        (one,) = registry.suspicions.values()
        remaining_ms = one.barred_until - context.clock.now()
        assert abs(remaining_ms - 1000.0 * seconds) < 3_000.0, remaining_ms


@when("an operator clears it at {name}")
def operator_clears(context, name):
    quarantine = context.fleet.instances[name].quarantine.registry
    (fingerprint,) = quarantine.suspicions
    assert quarantine.lift(fingerprint)
    context.run(context.clock.sleep, 20.0)


@when("{name} observes {number:d} crashes of servers under a slow request")
def observes_crashes(context, name, number):
    quarantine = context.fleet.instances[name].quarantine.registry

    def observe():
        for _ in range(number):
            now, server = context.clock.now(), f"s-{next(context.observed)}"
            lost = Interruption(SLOW_FINGERPRINT, f"under {server}", SLOW_MS, now)
            quarantine.handle_crash(server, "llm", [lost])
            context.clock.sleep(SETTLE_MS)

    context.observed = getattr(context, "observed", itertools.count())
    context.run(observe)


@then("the table of bars holds a bar with {number:d} crashes")
def holds_bar(context, number):
    (row,) = context.fleet.suspicion_store.rows.values()
    assert row.bars == 1 and len(row.crashes) == number, row


@when("{number:d} other requests become suspect at {name}")
def many_suspects(context, number, name):
    quarantine = context.fleet.instances[name].quarantine.registry

    def suspect_all():
        for n in range(number):
            now = context.clock.now()
            interruption = Interruption(f"{n:032x}", f"r{n}", 900.0, now)
            quarantine.handle_crash(f"s-{n}", "llm", [interruption])
            context.clock.sleep(1.0)

    context.run(suspect_all)


@then("the quarantine of {name} holds {number:d} entries, the bar among them")
def quarantine_holds(context, name, number):
    suspicions = context.fleet.instances[name].quarantine.registry.suspicions
    assert len(suspicions) == number, len(suspicions)
    assert sum(one.bars for one in suspicions.values()) == 1


@then("{number:d} evictions are counted there")
def evictions(context, number):
    counts = context.fleet.instances["a-1"].metrics.counts
    assert counts["suspects_evicted"] == number, counts["suspects_evicted"]


@when("instance {name} starts")
def starts(context, name):
    context.fleet.start(name)
    context.run(context.clock.sleep, SETTLE_MS)


@then("no instance would use the crashed server")
def none_would_use(context):
    (crashed,) = context.fleet.upstream.crashed
    for instance in context.fleet.instances.values():
        state = instance.router.state(instance.directory.records[crashed].server)
        assert not state.usable(context.clock.now())


@given("stage servers enc-1 to enc-{number:d}, which restart likewise")
def enc_servers(context, number):
    context.fleet.upstream.crash_after_ms["deadly pieces"] = DEADLY_MS
    add_servers(context, "enc", number)


def staged(context, id_, name, key):
    sent_at = context.clock.now()
    body = key.encode()
    sent = request(id_, PATHS["staged"], sent_at, body=body, piece_key=key, allowed_ms=5_000.0)
    serve(context, name, sent)
    context.took[id_] = context.clock.now() - sent_at


@when(
    "a request with deadly pieces comes {times:d} times every {ms:d} ms, each time among "
    "{number:d} others"
)
def deadly_pieces(context, times, ms, number):
    """Send enough others first to keep every server busy, so that the pieces share a call."""
    names = itertools.cycle(context.fleet.instances)
    context.others, context.attempts = [], []

    def send_all():
        tasks = []
        for n in range(times):
            context.attempts.append(f"d{n}")
            others = [f"o{n}-{k}" for k in range(number)]
            context.others += others
            ids = [*others[: number - 3], f"d{n}", *others[number - 3 :]]
            for id_ in ids:
                key = "deadly pieces" if id_ == f"d{n}" else id_
                tasks.append(gevent.spawn(staged, context, id_, next(names), key))
            context.clock.sleep(float(ms))
        gevent.joinall(tasks)

    context.run(send_all)


@then("all other requests are served")
def others_served(context):
    lost = set(context.others) - set(served(context, context.others))
    assert not lost, [context.ends[id_] for id_ in lost]


@when("{number:d} requests with stages are in flight and their stage server crashes")
def stage_server_crashes(context, number):
    names = itertools.cycle(context.fleet.instances)
    context.attempts = [f"s{n}" for n in range(number)]

    def send_and_crash():
        tasks = [gevent.spawn(staged, context, id_, next(names), id_) for id_ in context.attempts]
        context.clock.sleep(100.0)
        calls = context.fleet.upstream.piece_calls
        fullest = max(calls, key=lambda one: len(one.pieces))
        crash_servers(context, [fullest.server])
        gevent.joinall(tasks)

    context.run(send_and_crash)


@then("their pieces took at most {number:d} calls")
def calls_taken(context, number):
    calls = context.fleet.upstream.piece_calls
    assert len(calls) <= number, [(one.server, len(one.pieces)) for one in calls]


@then("the call that crashed the last server held no pieces of other requests")
def no_pieces_of_others(context):
    upstream = context.fleet.upstream
    last = [one for one in upstream.piece_calls if one.server == upstream.crashed[-1]][-1]
    assert {piece.key for piece in last.pieces} == {"deadly pieces"}, last
    # The first call did hold pieces of others, so that the check above is not vacuous.
    first = [one for one in upstream.piece_calls if one.server == upstream.crashed[0]][-1]
    assert len({piece.key for piece in first.pieces}) > 1, first


@given("a reserve of {number:d} retries")
def reserve(context, number):
    for instance in context.fleet.instances.values():
        instance.settings = replace(instance.settings, retry_reserve=float(number))


@given("the instance that gets the request does not follow the store and cannot write bars")
def instance_cannot_write(context):
    instances = context.fleet.instances
    context.sent_to = next(
        n for n, one in instances.items() if not one.fleet.reader_election.reading
    )
    unreachable = MemorySuspicionStore()
    unreachable.down = True
    instances[context.sent_to].suspicion_persister.store = unreachable


@when("a deadly stream request comes {times:d} times every {ms:d} ms, each time at that instance")
def comes_there(context, times, ms):
    send_series(context, [context.sent_to], times, ms)


@given("the table of bars holds one that expired {hours:d} hours ago and one that is in force")
def old_bars(context, hours):
    wall = context.clock.wall()
    for fingerprint, at in (
        ("0a" * 16, wall - REQUEST_BARS_MS[0] - 3_600_000.0 * hours),
        ("0b" * 16, wall),
    ):
        server_crashes = (ServerCrash("s", 60.0, at),)
        context.fleet.suspicion_store.write(
            Suspicion(fingerprint, "llm", server_crashes, bars=1, barred_at=at)
        )


@then("the table holds only the one that is in force")
def only_in_force(context):
    assert list(context.fleet.suspicion_store.rows) == [
        "0b" * 16
    ], context.fleet.suspicion_store.rows


@then("the table of bars holds its suspicion")
def holds_it(context):
    assert len(context.fleet.suspicion_store.rows) == 1, context.fleet.suspicion_store.rows


@when("an instance has {number:d} bars to write at once")
def bars_at_once(context, number):
    context.run(context.clock.sleep, 1_000.0)
    instance = next(iter(context.fleet.instances.values()))
    now = context.clock.now()
    for n in range(number):
        suspicion = Suspicion(f"{n:032x}", "llm", (), now, NEVER, 1, now)
        instance.suspicion_persister.queue_bar(suspicion, seen_here=True)


@then("the table of bars holds {number:d} within {ms:d} ms")
def holds_number(context, number, ms):
    context.run(context.clock.sleep, float(ms))
    assert len(context.fleet.suspicion_store.rows) == number, len(
        context.fleet.suspicion_store.rows
    )


@given("the table of bars holds {number:d} presumed crashes of a plain request on listed servers")
def presumed_listed(context, number):
    model_fault(context, "reset")
    send_series(context, ["a-1"], 1, 10, "stream", b"plain")
    context.fleet.upstream.faults.clear()
    unresolved = context.fleet.instances["a-1"].quarantine.detector.unresolved
    ((_, (lost,)),) = unresolved.values()
    put_presumed(context, lost.fingerprint, model_names(context)[:number], 0.0)


@given("the table of bars holds one with presumed crashes of 2 unlisted servers {seconds:d} s ago")
def presumed_old(context, seconds):
    put_presumed(context, "0a" * 16, ["gone-1", "gone-2"], 1_000.0 * seconds)


def put_presumed(context, fingerprint, servers, age_ms):
    """Store presumed crashes that are independent of each other."""
    at = context.clock.wall() - age_ms
    # After 900 ms a crash is too late to bar the request with only one other.
    presumed = tuple(ServerCrash(one, 900.0, at - 100.0 * n) for n, one in enumerate(servers))[::-1]
    context.fleet.suspicion_store.write(Suspicion(fingerprint, "llm", presumed=presumed))


@when("a plain stream request comes every {ms:d} ms until its answer was lost at 2 servers")
def lost_at_two(context, ms):
    names = itertools.cycle(context.fleet.instances)
    servers = set()
    while len(servers) < 2:
        send_series(context, [next(names)], 1, ms, "stream", b"plain")
        assert len(context.ends) < 20, servers
        servers.update(context.fleet.upstream.arrivals[context.attempts[0]])


@when("a request breaks off at {number:d} servers, each time at the next instance")
def breaks_off(context, number):
    context.lost_at = model_names(context)[:number]
    for server, instance in zip(context.lost_at, context.fleet.instances.values(), strict=False):
        lost = Interruption("0a" * 16, "r", 900.0, context.clock.now())
        detector = instance.quarantine.detector
        record = instance.directory.records[server]
        context.run(detector.investigate, record.server, [lost])
        context.run(context.clock.sleep, 300.0)


@when("all instances find at the same time that neither server is listed any more")
def both_unlisted(context):
    def find():
        for instance in context.fleet.instances.values():
            for server in context.lost_at:
                del instance.directory.records[server]
            instance.quarantine.detector.check_listing()

    context.run(find)


@when("no model server has a fault")
def no_fault(context):
    context.fleet.upstream.faults.clear()


@then("the table of bars holds only presumed crashes of {number:d} servers")
def only_presumed(context, number):
    (one,) = context.fleet.suspicion_store.rows.values()
    assert not one.crashes and not one.bars, one
    assert len(one.presumed) == number, one


@then("the table of bars holds {number:d} confirmed crashes")
def only_confirmed(context, number):
    (one,) = context.fleet.suspicion_store.rows.values()
    assert len(one.crashes) == number and not one.presumed, one


@then("the table of bars was written at most {number:d} times")
def written_at_most(context, number):
    writes = context.fleet.suspicion_store.writes
    assert len(writes) <= number, writes


@then("no instance remembers a broken connection")
def none_remembered(context):
    for name, instance in context.fleet.instances.items():
        recent = instance.quarantine.exchange.on_received.__self__.recent
        assert not recent, (name, recent)


@when("{number:d} requests break off at 2 servers, at the coordinator")
def many_break_off(context, number):
    instances = context.fleet.instances.values()
    # Every instance but the coordinator has a link to it.
    (coordinator,) = (
        one for one in instances if one.fleet.coordinator(prompts_topic("llm")) is None
    )
    for server in model_names(context)[:2]:
        now = context.clock.now()
        lost = [Interruption(f"{n:032x}", f"r-{n}", 900.0, now) for n in range(number)]
        record = coordinator.directory.records[server]
        for start in range(0, number, 50):
            part = lost[start : start + 50]
            context.run(coordinator.quarantine.detector.investigate, record.server, part)
        context.run(context.clock.sleep, 300.0)


@then("the table of bars was written at least {number:d} times")
def written_at_least(context, number):
    writes = context.fleet.suspicion_store.writes
    assert len(writes) >= number, len(writes)


@given("the table of bars holds 2 requests with fast presumed crashes, each of 2 other servers")
def fast_presumed(context):
    now = context.clock.wall()
    for n in range(2):
        presumed = tuple(
            ServerCrash(f"gone-{n}-{m}", 60.0, now - 1_000.0 + 100.0 * m) for m in range(2)
        )
        row = Suspicion(f"{n:032x}", "llm", presumed=presumed)
        context.fleet.suspicion_store.write(row)


@then("both requests are suspect, and neither is barred")
def both_suspect(context):
    for name, instance in context.fleet.instances.items():
        suspicions = instance.quarantine.registry.suspicions
        assert len(suspicions) == 2, (name, suspicions)
        assert not any(one.bars for one in suspicions.values()), (name, suspicions)


@given("presumed crashes of 2 unlisted servers are read right after an outage of the store")
def read_after_outage(context):
    now = context.clock.now()
    presumed = tuple(ServerCrash(f"gone-{n}", 900.0, now - 500.0 + 100.0 * n) for n in range(2))
    instance = context.fleet.instances["a-1"]
    instance.directory.mark_store_reachable()
    row = Suspicion("0a" * 16, "llm", presumed=presumed)
    context.run(instance.suspicion_persister.judge.start, [row])
