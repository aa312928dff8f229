# promptpart_steps.py -- Steps about prompt parts that crash the servers which answer them
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about prompt parts that crash the servers which answer them."""

import itertools

import gevent
from behave import given, then, when
from forwardbasics import SECOND_MS, serve
from logrecorder import record_lines
from partload import CONTACT_MS, MAX_LATER_SENDS, SECOND_PARTS, PartLoad
from quarantine_steps import DEADLY_MS, add_servers, crash_servers, model_names

from mountladder.quarantine.fingerprint import LOGGED_DIGITS, part_fingerprint

STAGE_SERVERS = 6
SHARED_PARTS = 24
POLL_MS = 20.0
FREE_RESTART_CRASHES = 3
RESTART_MS = 400.0
TURN_MS = 800.0
CHANCE_CRASH_MS = 800.0


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


@when("{kind} requests with it come every {every:d} ms for {seconds:d} s, beside sound ones")
def kinds_beside_sound(context, kind, every, seconds):
    load_ = load(context)
    if kind == "staged":
        add_servers(context, "enc", STAGE_SERVERS)
    parts = deadly_parts(context, load_.deadly[0])
    for_ms = seconds * SECOND_MS
    deadly = (load_.send_deadly, for_ms, float(every), parts, kind)
    run_load(context, seconds, deadly, (load_.send_sound, for_ms))


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


@then("no part is barred")
def no_part_barred(context):
    for name, instance in context.fleet.instances.items():
        barred = [one for one in instance.quarantine.parts.suspicions.values() if one.bars]
        assert not barred, (name, barred)
