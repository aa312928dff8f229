# promptpart_steps.py -- Steps about prompt parts that crash the servers which answer them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about prompt parts that crash the servers which answer them."""

import itertools
from dataclasses import replace

import gevent
from behave import given, then, when
from forwardbasics import SECOND_MS, save_retries, serve
from logrecorder import record_lines
from partload import (
    CONTACT_MS,
    MAX_LATER_SENDS,
    SECOND_PARTS,
    SOUND_PER_S,
    PartLoad,
)
from quarantine_steps import DEADLY_MS, add_servers, all_killed, crash_servers, model_names

from mountladder.membership.instance import VERSIONS_MESSAGE_SET
from mountladder.quarantine.fingerprint import LOGGED_DIGITS, part_fingerprint
from mountladder.quarantine.interruption import Interruption
from mountladder.quarantine.partquarantine import BAR_CRASHES
from mountladder.quarantine.suspectkind import PART_BARS_MS

STAGE_SERVERS = 6
SHARED_PARTS = 24
POLL_MS = 20.0
FREE_RESTART_CRASHES = 3
RESTART_MS = 400.0
TURN_MS = 800.0
CRASH_GAP_MS = 300.0
STAGES_BEGUN_MS = 100.0
LATE_CRASH_MS = 100
# By then instances have noticed an older store, and written again what it has lost.
ERA_NOTICED_MS = 2_000.0
SETTLE_MS = 100.0


def load(context):
    """Return the scenario's load, which is set up with the first step that needs it."""
    if not hasattr(context, "load"):
        context.load = PartLoad(context)
        context.event = lambda: None
        context.background = []
    return context.load


@given("the log lines are recorded")
def lines_recorded(context):
    record_lines(context)


@given('a deadly prompt part "{part}" {where} in the prompt')
def deadly_part(context, part, where):
    context.fleet.upstream.crash_after_ms[part] = DEADLY_MS
    load(context).deadly += (part,)
    context.where = where


@given("it crashes servers as they begin to answer")
def crashes_at_begin(context):
    assert context.fleet.upstream.crash_after_ms


@given("it crashes servers {ms:d} ms after the first event")
def crashes_late(context, ms):
    (part,) = load(context).deadly
    del context.fleet.upstream.crash_after_ms[part]
    context.fleet.upstream.late_crash_ms[part] = float(ms)


@given("their callers retry them at once")
def callers_retry(context):
    load(context).retries = True


@given("its crashes look like the end of an answer")
def crash_like_end(context):
    crashes_late(context, LATE_CRASH_MS)
    (part,) = load(context).deadly
    context.fleet.upstream.without_end.add(part)


@given("its servers do not answer after a crash")
def silent_after_crash(context):
    context.fleet.upstream.silent_crashes = True


@given("its letters are of either case")
def either_case(context):
    (part,) = load(context).deadly
    context.fleet.upstream.crash_after_ms[part.upper()] = DEADLY_MS
    spellings = itertools.cycle((part, part.upper()))
    context.where = "second"
    context.spell = lambda: next(spellings)


def deadly_parts(context, part):
    """Return a function that returns the shared parts of the next request with a deadly part."""
    load_, numbers = load(context), itertools.count()
    spell = getattr(context, "spell", lambda: part)

    def unshared(n):
        return f"only-{n}-a", spell(), f"only-{n}-b"

    def many(n):
        others = (f"s{load_.rng.randrange(SECOND_PARTS)}" for _ in range(SHARED_PARTS - 1))
        return (*others, spell())

    arrangements = {
        "second": lambda n: (load_.sound_parts()[0], spell()),
        "first": lambda n: (spell(), load_.sound_parts()[1]),
        "second after one first part": lambda n: ("f0", spell()),
        "second after two first parts": lambda n: (f"f{n % 2}", spell()),
        "among parts of one request": unshared,
        "fourth after three alike": lambda n: ("f0", "x", "y", spell()),
        f"last of {SHARED_PARTS} shared parts": many,
    }
    arrange = arrangements[context.where]
    return lambda: arrange(next(numbers))


def run_load(context, seconds, *senders):
    """Send several series of requests at the same time, with what else goes on meanwhile."""
    load_ = load(context)
    context.deadly_until = context.clock.now() + seconds * SECOND_MS

    def run():
        tasks = [gevent.spawn(*one) for one in (*senders, *context.background)]
        gevent.joinall(tasks)
        load_.join()

    context.run(run)


@when("requests with it come every {every:d} ms for {seconds:d} s, beside sound ones")
def deadly_beside_sound(context, every, seconds):
    kinds_beside_sound(context, "stream", every, seconds)


@when(
    "requests with it come every {every:d} ms for {seconds:d} s, "
    "beside {per_s:d} sound ones a second"
)
def deadly_beside_few(context, every, seconds, per_s):
    kinds_beside_sound(context, "stream", every, seconds, per_s)


@when("{kind} requests with it come every {every:d} ms for {seconds:d} s, beside sound ones")
def kinds_beside_sound(context, kind, every, seconds, per_s=SOUND_PER_S):
    load_ = load(context)
    if kind == "staged":
        add_servers(context, "enc", STAGE_SERVERS)
    parts = deadly_parts(context, load_.deadly[0])
    for_ms = seconds * SECOND_MS
    deadly = (load_.send_deadly, for_ms, float(every), parts, kind)
    run_load(context, seconds, deadly, (load_.send_sound, for_ms, per_s))


@when("requests with either come by turns every {every:d} ms for {seconds:d} s, beside sound ones")
def two_by_turns(context, every, seconds):
    load_ = load(context)
    turns = itertools.cycle([deadly_parts(context, one) for one in load_.deadly])
    for_ms = seconds * SECOND_MS
    deadly = (load_.send_deadly, for_ms, float(every), lambda: next(turns)())
    run_load(context, seconds, deadly, (load_.send_sound, for_ms))


@when(
    'requests with parts "{parts}" come every {every:d} ms for {seconds:d} s, and with parts '
    '"{others}" every {ms:d} ms'
)
@given(
    'requests with parts "{parts}" come every {every:d} ms for {seconds:d} s, and with parts '
    '"{others}" every {ms:d} ms'
)
def two_series(context, parts, every, seconds, others, ms):
    load_, for_ms = load(context), seconds * SECOND_MS
    first, second = tuple(parts.split(", ")), tuple(others.split(", "))
    deadly = (load_.send_deadly, for_ms, float(every), lambda: first)
    sound = (load_.send_sound, for_ms, SECOND_MS / ms, lambda: second)
    run_load(context, seconds, deadly, sound)


@when('a request with parts "{parts}" comes at {name}')
def one_request(context, parts, name):
    sent = load(context).make("r", tuple(parts.split(", ")))
    context.run(serve, context, name, sent)


@when('requests with parts "{parts}" come every {every:d} ms for {ms:d} ms')
def one_series(context, parts, every, ms):
    load_, shared = load(context), tuple(parts.split(", "))
    run_load(
        context, ms / SECOND_MS, (load_.send_sound, float(ms), SECOND_MS / every, lambda: shared)
    )


@given('a deadly stream request with parts "{parts}" comes every {every:d} ms as well')
def deadly_body(context, parts, every):
    load_, shared = load(context), tuple(parts.split(", "))
    context.fleet.upstream.crash_after_ms[b"deadly by itself"] = DEADLY_MS

    def send():
        while context.clock.now() < context.deadly_until:
            load_.send(shared, "b", body=b"deadly by itself")
            context.clock.sleep(float(every))

    context.background.append((send,))


def after_crashes(context, number, event):
    """Have something happen once so many servers have crashed."""
    load_ = load(context)

    def wait():
        while len(load_.crashes) < number and context.clock.now() < context.deadly_until:
            context.clock.sleep(POLL_MS)
        event()

    context.background.append((wait,))


def restart(context, names):
    """Kill some instances and start them again."""
    for name in names:
        context.fleet.instances.pop(name).close()
    context.clock.sleep(RESTART_MS)
    for name in names:
        context.fleet.start(name)


@given("{event} after the third crash")
def event_after_crash(context, event):
    fleet = context.fleet
    fleet.save_copy()

    def one_by_one():
        for name in list(fleet.instances):
            restart(context, [name])
            context.clock.sleep(TURN_MS)

    def all_in_a_row():
        for _ in range(3):
            restart(context, list(fleet.instances))
            context.clock.sleep(TURN_MS)

    events = {
        "all instances restart one after the other": one_by_one,
        "all instances are killed and restart": lambda: restart(context, list(fleet.instances)),
        "all instances restart 3 times in a row": all_in_a_row,
        "the store is restored from an older copy": fleet.restore_copy,
    }
    after_crashes(context, FREE_RESTART_CRASHES, events[event])


@when("the store is restored from a copy, and all instances restart after it")
def restored_and_killed(context):
    context.fleet.restore_copy()
    context.run(context.clock.sleep, ERA_NOTICED_MS)
    all_killed(context)


@when("sound requests come for {seconds:d} s while a server crashes every {ms:d} ms")
def chance_crashes(context, seconds, ms):
    load_, upstream, fleet = load(context), context.fleet.upstream, context.fleet

    def crash():
        while context.clock.now() < context.deadly_until:
            context.clock.sleep(float(ms))
            directory = next(iter(fleet.instances.values())).directory
            listed = directory.available("llm")
            alive = [one for one in listed if one.name not in upstream.crashed]
            if alive:
                upstream.crash(load_.rng.choice(alive))

    context.background.append((crash,))
    run_load(context, seconds, (load_.send_sound, seconds * SECOND_MS))


@when("all model servers crash within {ms:d} ms")
def all_crash(context, ms):
    def crash():
        names = model_names(context)
        for name in names:
            crash_servers(context, [name])
            context.clock.sleep(ms / len(names))

    context.run(crash)


@then("the lines about the crash name the fingerprints of {parts} and no request begun")
def lines_name_parts(context, parts):
    (line,) = (one for one in context.lines if one["message_type"] == "server-crashed")
    context.expected = [
        part_fingerprint("", one.strip('"'))[:LOGGED_DIGITS] for one in parts.split(" and ")
    ]
    (detail,) = line["details"]
    assert detail["parts"] == context.expected, detail
    assert detail["begun_ms"] == 0, detail


@then("the line about the receipt of the request names them as well")
def receipt_names_parts(context):
    (line,) = (one for one in context.lines if one["message_type"] == "received")
    assert line["parts"] == context.expected, line


@then("at most {number:d} requests with it are sent later than {ms:d} ms after the fifth crash")
def later_sends(context, number, ms):
    load_ = load(context)
    assert (number, float(ms)) == (MAX_LATER_SENDS, CONTACT_MS)
    for part in load_.deadly:
        later = load_.later_sends(part)
        assert len(later) <= number, (part, len(later), len(load_.crashes))


@then("over {share:g} of the sound requests from {ms:d} ms after the last free crash on are served")
def sound_served(context, share, ms):
    ids = load(context).sound_since(float(ms), context.deadly_until)
    check_served(context, ids, share)


@then("over {share:g} of the sound requests are served")
def all_sound_served(context, share):
    check_served(context, [id_ for id_, _, _ in load(context).sound], share)


@then("over {share:g} of the sound requests of the last {ms:d} ms are served")
def last_sound_served(context, share, ms):
    since = context.deadly_until - ms
    check_served(context, [id_ for id_, at, _ in load(context).sound if at >= since], share)


def check_served(context, ids, share):
    """Check that over a share of some requests were answered whole."""
    served = [id_ for id_ in ids if context.ends[id_][0] == 200 and not context.ends[id_][2]]
    lost = [context.ends[id_][2] for id_ in set(ids) - set(served)]
    assert ids and len(served) > share * len(ids), (len(served), len(ids), sorted(lost))


@then("each instance refuses a request with it with code {code:d} as {class_} within {ms:d} ms")
def each_refuses(context, code, class_, ms):
    load_ = load(context)
    parts = deadly_parts(context, load_.deadly[0])
    for name in context.fleet.instances:
        sent = load_.make(f"last-{name}", parts())
        context.run(serve, context, name, sent)
        assert context.ends[sent.id][2:4] == (code, class_), context.ends[sent.id]
        assert context.ended_at[sent.id] - sent.arrived <= ms, context.ended_at[sent.id]


@then("no part is suspect")
def no_part_suspect(context):
    context.run(context.clock.sleep, SETTLE_MS)
    for name in context.fleet.instances:
        found = [one for one in registry(context, name).suspicions.values() if one.is_suspect]
        assert not found, (name, found)


@then("the part is suspect nowhere")
def suspect_nowhere(context):
    for name in context.fleet.instances:
        assert not registry(context, name).is_suspect(context.barred), name


@then("no part is barred")
def no_part_barred(context):
    for name, instance in context.fleet.instances.items():
        barred = [one for one in instance.quarantine.parts.suspicions.values() if one.bars]
        assert not barred, (name, barred)


def registry(context, name):
    """Return what an instance knows of prompt parts."""
    return context.fleet.instances[name].quarantine.parts


def crash_under(context, name, part, numbers):
    """Have an instance see further servers crash that had a request with a part."""
    for n in numbers:
        now = context.clock.now()
        lost = Interruption(f"{n}" * 32, f"e{n}", 60.0, now, parts=(part_fingerprint("", part),))
        context.fleet.instances[name].quarantine.handle_crash(f"earlier-{n}", "llm", [lost])
        context.clock.sleep(CRASH_GAP_MS)


def bar_part(context, name, part):
    """Have a part barred by an instance."""
    crash_under(context, name, part, range(BAR_CRASHES))
    assert registry(context, name).is_barred(part_fingerprint("", part))


@given("it was barred")
def was_barred(context):
    load_ = load(context)
    context.fleet.save_copy()
    context.deadly_until = context.clock.now()
    parts = deadly_parts(context, load_.deadly[0])
    for_ms = TURN_MS * BAR_CRASHES
    run_load(context, for_ms / SECOND_MS, (load_.send_deadly, for_ms, TURN_MS, parts))
    (known,) = (one for one in registry(context, "a-1").suspicions.values() if one.bars)
    context.barred = known.fingerprint
    context.crashed_before = len(load_.crashes)


@then("no more servers have crashed")
def no_more_crashed(context):
    crashed = load(context).crashes
    assert len(crashed) == context.crashed_before, (context.crashed_before, crashed)


@given("it was barred, and its bar has expired")
def bar_expired(context):
    was_barred(context)
    # The clock jumps, so that the heartbeats of the time between need not be played.
    context.clock.time += PART_BARS_MS[0]
    context.run(context.clock.sleep, SETTLE_MS)


@when("requests with it come at every instance at once, every {ms:d} ms for {seconds:d} s")
def at_every_instance(context, ms, seconds):
    load_, clock = load(context), context.clock
    parts = deadly_parts(context, load_.deadly[0])
    context.attempts, tasks = [], []

    def send():
        for n in range(round(seconds * SECOND_MS / ms)):
            for name in context.fleet.instances:
                sent = load_.make(f"w{n}-{name}", parts())
                context.attempts.append(sent.id)
                tasks.append(gevent.spawn(serve, context, name, sent))
            clock.sleep(float(ms))
        gevent.joinall(tasks)

    context.run(send)


@then("the last {number:d} of them are served")
def last_served(context, number):
    check_served(context, context.attempts[-number:], 0.99)


@then("all refuse it for {seconds:d} s")
def all_refuse(context, seconds):
    for name in context.fleet.instances:
        known = registry(context, name).suspicions[context.barred]
        remaining_ms = known.barred_until - context.clock.now()
        assert abs(remaining_ms - SECOND_MS * seconds) < 10.0 * SECOND_MS, (name, remaining_ms)


@then("the table of parts is empty")
def part_table_empty(context):
    context.run(context.clock.sleep, SETTLE_MS)
    assert not context.fleet.part_store.rows, context.fleet.part_store.rows


@when("an operator clears the part at {name}")
def operator_clears(context, name):
    assert registry(context, name).lift(context.barred)
    context.run(context.clock.sleep, SETTLE_MS)


@given("stage servers enc-1 to enc-{number:d}")
def stage_servers(context, number):
    add_servers(context, "enc", number)


def send_and_bar(context, kind, bar):
    """Send a request with a part to an instance; a function bars the part meanwhile."""
    load_ = load(context)
    sent = context.request = load_.make("r", ("f1", "p"), kind)

    def run():
        task = gevent.spawn(serve, context, "a-1", sent)
        bar()
        task.join()

    context.run(run)


def bar_now(context):
    """Have a part barred by another instance, and record when."""
    bar_part(context, "b-1", "p")
    context.barred_at = context.clock.now() - CRASH_GAP_MS


@when('a {kind} request with part "p" is sent, and the part is barred while its stages run')
def barred_during_stages(context, kind):
    context.run(crash_under, context, "b-1", "p", range(1, BAR_CRASHES))

    def bar():
        context.clock.sleep(STAGES_BEGUN_MS)
        crash_under(context, "b-1", "p", [0])

    send_and_bar(context, kind, bar)
    known = registry(context, "b-1").suspicions[part_fingerprint("", "p")]
    context.barred_at = known.barred_at


@when('a {kind} request with part "p" is sent, and the part is barred while a server is chosen')
def barred_during_choice(context, kind):
    picker = context.fleet.instances["a-1"].forwarder.context.picker
    plain = picker.pick

    def pick(*arguments):
        bar_now(context)
        context.barred_at = context.clock.now()
        return plain(*arguments)

    picker.pick = pick
    send_and_bar(context, kind, lambda: None)


@when('a {kind} request with part "p" is sent, and the part is barred {ms:d} ms later')
def barred_later(context, kind, ms):
    def bar():
        context.clock.sleep(ms - CRASH_GAP_MS * BAR_CRASHES)
        bar_now(context)

    send_and_bar(context, kind, bar)


@then("the request ends with code {code:d} as {class_} within {ms:d} ms of the bar")
def ends_soon(context, code, class_, ms):
    id_ = context.request.id
    assert context.ends[id_][2:4] == (code, class_), context.ends[id_]
    assert context.ended_at[id_] - context.barred_at <= ms, (context.ended_at, context.barred_at)


@then("no server was sent the request after the bar")
def not_sent(context):
    assert not context.fleet.upstream.arrivals["r"], context.fleet.upstream.arrivals["r"]


@given("the first server is silent for {ms:d} ms")
def first_server_silent(context, ms):
    upstream, clock = context.fleet.upstream, context.clock
    plain_open = load(context) and upstream.open

    def open_(server, call, limit_ms):
        if not upstream.silent:
            upstream.silent.add(server.name)
            clock.call_later(float(ms), lambda: upstream.silent.discard(server.name))
        return plain_open(server, call, limit_ms)

    upstream.open = open_
    save_retries(context)


@then("one server was sent the request, and answers it whole")
def answered_by_one(context):
    check_served(context, ["r"], 0.99)
    assert len(context.fleet.upstream.arrivals["r"]) == 1, context.fleet.upstream.arrivals["r"]


@given('part "{part}" was barred at {name}')
@when('part "{part}" is barred at {name}')
def barred_at(context, part, name):
    context.run(bar_part, context, name, part)


@given('part "{part}" was suspect before')
def suspect_before(context, part):
    context.run(crash_under, context, "a-1", part, [0])


@when('a {kind} request with part "{part}" comes at {name}')
def comes_at(context, kind, part, name):
    sent = context.request = load(context).make("r", ("f1", part), kind)
    context.run(serve, context, name, sent)


@then("its answer has status {status:d}, and no server was sent it")
def is_refused(context, status):
    assert context.ends["r"][0] == status, context.ends["r"]
    not_sent(context)


@given("all peers of {name} are of a build that does not know prompt parts")
def older_peers(context, name):
    for link in context.fleet.instances[name].fleet.links.values():
        link.peer = replace(link.peer, message_set=VERSIONS_MESSAGE_SET)


@then("only {name} knows of it")
def only_one_knows(context, name):
    knowing = [one for one in context.fleet.instances if registry(context, one).suspicions]
    assert knowing == [name], knowing


@then("{name} knows of it")
def knows(context, name):
    assert registry(context, name).is_barred(part_fingerprint("", "p"))


@when(
    "a server crashes while it had {requests:d} requests with {parts:d} parts each, the last one "
    'with "p"'
)
def crash_under_many(context, requests, parts):
    now = context.clock.now()
    lost = []
    for n in range(requests):
        names = [f"x{n}-{k}" for k in range(parts)] + ["p"] * (n == requests - 1)
        prints = tuple(part_fingerprint("", one) for one in names)
        lost.append(Interruption(f"{n:032x}", f"r{n}", 60.0, now, parts=prints))
    quarantine = context.fleet.instances["a-1"].quarantine
    context.run(lambda: quarantine.handle_crash("crowded", "llm", lost))


@then('at most {number:d} parts are suspect of that crash, "p" among them')
def bounded_suspects(context, number):
    suspects = [
        one.fingerprint
        for one in registry(context, "a-1").suspicions.values()
        if any(crash.server == "crowded" for crash in one.crashes)
    ]
    assert len(suspects) <= number and part_fingerprint("", "p") in suspects, len(suspects)


@given('sound requests with part "{part}" come every {ms:d} ms for {seconds:d} s')
def popular_part(context, part, ms, seconds):
    load_, for_ms = load(context), seconds * SECOND_MS
    context.popular = (load_.send_sound, for_ms, SECOND_MS / ms, lambda: (part, "s1"))


@when("a server crashes meanwhile")
def crash_meanwhile(context):
    context.messages = 0
    for instance in context.fleet.instances.values():
        count_messages(context, instance.quarantine.part_exchange)

    def crash():
        context.clock.sleep(SECOND_MS)
        crash_servers(context, [load(context).sent[-1].server])

    run_load(context, 0, context.popular, (crash,))


def count_messages(context, exchange):
    """Count the messages that an instance sends about parts."""
    plain = exchange.send

    def send(link, entries):
        context.messages += bool(entries)
        plain(link, entries)

    exchange.send = send


@then("at most {number:d} messages about parts were sent")
def few_messages(context, number):
    assert 0 < context.messages <= number, context.messages


@then('part "{part}" is still suspect')
def still_suspect(context, part):
    assert registry(context, "a-1").is_suspect(part_fingerprint("", part))
