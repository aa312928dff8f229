# fuzz_steps.py -- Steps that feed generated input to every reader
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps that feed generated input to every reader."""

import json

import gevent
from basics import BASE, SERVERS, TOKEN
from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mountladder.accounts.ledger import decode_totals
from mountladder.claims.issuedkey import IssuedKey
from mountladder.claims.keyrecord import KeyRecord
from mountladder.clocks.virtualclock import VirtualClock
from mountladder.configuration.change import Change
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.documents import parse_documents
from mountladder.configuration.selector import Selector
from mountladder.configuration.settings import Settings
from mountladder.errors import MountladderError
from mountladder.membership.wire import decode
from mountladder.requests.answer import Answer
from mountladder.requests.callerrequest import CallerRequest
from mountladder.requests.eventreader import EventReader
from mountladder_standins.faults import Faults
from mountladder_standins.localfleet import LocalFleet

MAX_EXAMPLES = 150
WORDS = [
    "name", "kind", "revision", "operation", "author", "at_ms", "puts", "deletes", "documents",
    "key", "nonce", "state", "answer", "code", "fence", "stage", "request", "tokens", "result",
    "stages", "fail", "down", "slow_ms", "labels", "work", "server", "team", "pipeline", "model",
]  # fmt: skip
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.sampled_from(WORDS) | st.text(max_size=4), inner, max_size=5),
    max_leaves=12,
)
JSON_LEAVES = st.sampled_from([0, 1, -1, 1.5, float("inf"), "", "x", None, True, [], [[]], {}])


def json_rows(*keys):
    whole = st.fixed_dictionaries(dict.fromkeys(keys, JSON_LEAVES | JSON_VALUES))
    return st.binary(max_size=60) | (JSON_VALUES | whole).map(
        lambda value: json.dumps(value).encode()
    )


TOML_TEXTS = st.text(max_size=60) | st.lists(
    st.sampled_from(
        ["[[server]]", "[[team]]", "[[pipeline]]", "[[pipeline.stage]]", 'name = "a"', "share = -1"]
        + ['work = "encode"', "slots = 1e400", "labels = 3", "x = {}", 'after = ["a"]', "stage = 1"]
    ),
    max_size=8,
).map("\n".join)
EVENT_PIECES = st.lists(
    st.binary(max_size=20)
    | st.sampled_from(
        [b'id: 1\ndata: "a"\n\n', b'id: 2\ndata: "b"\n\n', b'event: done\ndata: {"tokens":1}\n\n']
        + [b"event: error\ndata: \xff\n\n", b"event: done\ndata: []\n\n", b"id: 99999\n", b"\n\n"]
    ),
    max_size=8,
)


def feed_events(pieces):
    reader = EventReader(0)
    for piece in pieces:
        reader.feed(piece, None)


def start_fleet():
    fleet = LocalFleet(VirtualClock())

    def configure():
        fleet.change_configuration([*parse_documents(BASE, "base"), *SERVERS])
        fleet.start("a-1", "a")
        fleet.wait_ready()

    fleet.clock.run(gevent.spawn(configure))
    return fleet


def send_request(fleet, document, deadline, key, token, pipeline):
    request = CallerRequest(
        pipeline, token, json.dumps(document).encode(), fleet.clock.now(), deadline, key
    )

    def serve():
        try:
            reply = fleet.runtimes["a-1"].gateway.serve(request)
            for _ in reply.chunks or ():
                pass
        except MountladderError as error:
            return error
        return None

    error = fleet.clock.run(fleet.calls["a-1"].spawn(serve))
    if error is not None:
        raise error


def strategy_and_reader(input_):
    """Return the strategy that generates a kind of input, and the function that reads it."""
    kinds = {
        "settings": (TOML_TEXTS, lambda text: Settings.read(text, "x")),
        "documents": (TOML_TEXTS, lambda text: parse_documents(text, "x")),
        "selector": (st.text("ab=!, ()in", max_size=12), Selector.parse),
        "peer message": (st.binary(max_size=200), decode),
        "stream of tokens": (EVENT_PIECES, feed_events),
        "row of a change": (
            json_rows("revision", "operation", "author", "at_ms", "puts", "deletes"),
            Change.decode,
        ),
        "row of a snapshot": (json_rows("revision", "documents"), Configuration.decode),
        "row of a claim": (
            json_rows(
                "key", "nonce", "incarnation", "fingerprint", "at_ms", "state", "answer", "code"
            ),
            KeyRecord.decode,
        ),
        "row of cost": (json_rows(), decode_totals),
        "kept answer": (
            json_rows("request", "revision", "result", "tokens", "stages"),
            Answer.decode,
        ),
        "issued key": (st.text(max_size=40), lambda text: IssuedKey.parse(text, b"s", "t")),
        "faults": (JSON_VALUES, Faults.read),
    }
    return kinds[input_]


def check_no_unhandled(strategy, read):
    @settings(
        max_examples=MAX_EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(strategy)
    def check(value):
        try:
            read(value)
        except* MountladderError:
            pass

    check()


@then("any request of a caller is read or refused with a numbered error")
def any_request(context):
    fleet = start_fleet()
    strategy = st.tuples(
        JSON_VALUES,
        st.none() | st.floats(),
        st.text(max_size=12),
        st.sampled_from([TOKEN, "", "no"]) | st.text(max_size=5),
        st.sampled_from(["reply", "push"]) | st.text(max_size=5),
    )
    check_no_unhandled(strategy, lambda value: send_request(fleet, *value))
    fleet.stop()


@then("any {input_} is read or refused with a numbered error")
def any_input(context, input_):
    check_no_unhandled(*strategy_and_reader(input_))
