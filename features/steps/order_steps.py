# order_steps.py -- Steps about the lease and the orders by which engines load models
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the lease and the orders by which engines load models."""

import dataclasses

import gevent
import urllib3
from basics import server
from behave import given, then, when

from mountladder.clocks.systemclock import SystemClock
from mountladder.clocks.virtualclock import VirtualClock
from mountladder.configuration.change import Change
from mountladder.configuration.changelog import ChangeLog
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.follower import Follower
from mountladder.configuration.model import Model
from mountladder.engines.order import Order
from mountladder.engines.orders import Orders
from mountladder.errors import OrderFencedError
from mountladder.metrics.memorymetrics import MemoryMetrics
from mountladder.store.lease import Lease
from mountladder.store.memoryobjectstore import MemoryObjectStore
from mountladder.store.memorytable import MemoryTable
from mountladder_entry.httpengines import HttpEngines
from mountladder_standins.faults import Faults
from mountladder_standins.faultytable import FaultyTable
from mountladder_standins.listening import listen
from mountladder_standins.localengines import LocalEngines
from mountladder_standins.serverapp import server_app
from mountladder_standins.standinloader import StandinLoader
from mountladder_standins.standinserver import StandinServer
from mountladder_standins.weightstore import WeightStore

STEP_MS = 1_000.0


@given("{number:d} engines of data centre a that serve model old-model")
def start_engines(context, number):
    context.clock = VirtualClock()
    context.run = lambda function, *args: context.clock.run(gevent.spawn(function, *args))
    context.weights = WeightStore(context.clock)
    context.servers = [server(f"e{index}", "x") for index in range(number)]
    context.loaders = {
        engine.name: StandinLoader(context.weights, {"old-model": "1"})
        for engine in context.servers
    }
    context.memory = MemoryTable()
    context.reconcilers = {}


def make_model(name, replicas, version="1", selector=""):
    return Model(name, {}, version, (), selector, replicas)


def configure(context, *models):
    documents = (*context.servers, *models)
    context.configuration = Configuration().after(Change(1, "o", "x", 0.0, documents, ()))
    for orders in context.reconcilers.values():
        orders.follower.configuration = context.configuration


@given("the configuration asks for {new:d} replicas of new-model and {old:d} of old-model")
def configure_replicas(context, new, old):
    configure(context, make_model("new-model", new), make_model("old-model", old))


def reconciler(context, name):
    if name not in context.reconcilers:
        table = FaultyTable(context.memory, context.clock)
        log = ChangeLog(table, MemoryObjectStore(), context.clock)
        follower = Follower(log, context.clock)
        follower.configuration = context.configuration
        lease = Lease("placement/a", name, table, context.clock)
        engines = LocalEngines(context.loaders)
        context.reconcilers[name] = Orders("a", follower, engines, lease, MemoryMetrics())
    return context.reconcilers[name]


def run_reconcilers(context, names, ms):
    def run_until():
        until = context.clock.now() + ms
        while context.clock.now() < until:
            for name in names:
                reconciler(context, name).step()
            context.clock.sleep(STEP_MS)

    context.run(run_until)


@when("reconcilers {names} run for {ms:d} ms")
def run_named(context, names, ms):
    run_reconcilers(context, names.split(", "), ms)


def split_by_lease(context):
    holding = [name for name, orders in context.reconcilers.items() if orders.lease.held()]
    assert len(holding) == 1, holding
    others = [name for name in context.reconcilers if name not in holding]
    return holding[0], others[0]


@when("the lease holder crashes and the other runs for {ms:d} ms")
@when("the lease holder is paused while the other runs for {ms:d} ms")
def run_other_only(context, ms):
    context.former_holder, context.other = split_by_lease(context)
    run_reconcilers(context, [context.other], ms)


@when("the other runs for {ms:d} ms")
def other_runs(context, ms):
    run_reconcilers(context, [context.other], ms)


@then("an order of the paused lease holder is refused with {code:d}")
def paused_order_refused(context, code):
    fence = context.reconcilers[context.former_holder].lease.fence
    try:
        context.loaders["e0"].order(Order(fence, ()))
    except OrderFencedError as error:
        assert error.code.number == code
    else:
        raise AssertionError("the order was carried out")


@given("the engines ignore fencing")
def ignore_fencing(context):
    for loader in context.loaders.values():
        loader.ignore_fencing = True


@when("the paused lease holder orders every engine to serve only junk")
def order_junk(context):
    fence = context.reconcilers[context.former_holder].lease.fence
    for loader in context.loaders.values():
        loader.order(Order(fence, (("junk", "1"),)))


def engines_serving(context, name, version=None):
    return [
        engine
        for engine, loader in context.loaders.items()
        if name in loader.models and (version is None or loader.models[name] == version)
    ]


@then("{new:d} engines serve new-model and {old:d} serve old-model")
def both_served(context, new, old):
    serving = {name: loader.models for name, loader in context.loaders.items()}
    assert len(engines_serving(context, "new-model")) == new, serving
    assert len(engines_serving(context, "old-model")) == old, serving
    assert not engines_serving(context, "junk"), serving


@then("only one of one, two sent orders")
def one_sent_orders(context):
    sent = [orders.metrics.counts["orders"] for orders in context.reconcilers.values()]
    assert sorted(sent)[0] == 0 < sorted(sent)[1], sent


@then("at most {number:d} downloads ran at once")
def concurrent_downloads(context, number):
    assert 0 < context.weights.max_pending <= number, context.weights.max_pending


@when("the lease holder is cut off from the store and runs for {ms:d} ms")
def cut_from_store(context, ms):
    context.former_holder, context.other = split_by_lease(context)
    context.reconcilers[context.former_holder].lease.table.faults = Faults(down=True)
    run_reconcilers(context, [context.former_holder], ms)


@then("the former lease holder sends no more orders")
def no_more_orders(context):
    orders = context.reconcilers[context.former_holder]
    before = orders.metrics.counts["orders"]
    for loader in context.loaders.values():
        loader.models.clear()
    run_reconcilers(context, [context.former_holder], 5_000.0)
    assert not orders.lease.held()
    assert orders.metrics.counts["orders"] == before


@given("only one engine serves old-model")
def one_engine_serves(context):
    for name, loader in context.loaders.items():
        if name != "e0":
            loader.models.clear()


@given("the selector of old-model excludes that engine")
def exclude_engine(context):
    configure(context, make_model("old-model", 2, selector="name != e0"))


@then("{number:d} engines serve old-model")
def old_model_served(context, number):
    assert len(engines_serving(context, "old-model")) == number


@then("{number:d} other engines serve old-model")
def old_model_moved(context, number):
    serving = engines_serving(context, "old-model")
    assert len(serving) == number and "e0" not in serving, serving


@when("reconcilers one, two race for the lease and lose the store's answers")
def race_for_lease(context):
    for name in ("one", "two"):
        table = reconciler(context, name).lease.table
        table.faults = dataclasses.replace(table.faults, slow_ms=20.0, lose_answers=1)

    def renew_leases():
        tasks = [
            gevent.spawn(orders.lease.renew_or_acquire) for orders in context.reconcilers.values()
        ]
        gevent.joinall(tasks)

    context.run(renew_leases)


@then("at most one of one, two holds the lease")
def one_holds_lease(context):
    assert sum(orders.lease.held() for orders in context.reconcilers.values()) <= 1
    for orders in context.reconcilers.values():
        orders.lease.table.faults = Faults()
    run_reconcilers(context, ["one", "two"], 3_000.0)
    assert sum(orders.lease.held() for orders in context.reconcilers.values()) == 1


@when("the configuration asks for version {version} of new-model")
def configure_version(context, version):
    configure(context, make_model("new-model", 2, version), make_model("old-model", 2))


@then("{number:d} engines serve version {version} of new-model")
def version_served(context, number, version):
    assert len(engines_serving(context, "new-model", version)) == number


@given("an engine over HTTP that serves old-model")
def engine_over_http(context):
    clock = SystemClock()
    standin = StandinServer("e", clock)
    standin.loader = StandinLoader(WeightStore(clock, 10.0), {"old-model": "1"})
    address = listen(server_app(standin), "127.0.0.1:0", context.stack)
    context.engine = dataclasses.replace(server("e", "x"), address=address)
    context.engines = HttpEngines(clock)
    context.stack.callback(context.engines.close)


@when("it is ordered with fence {fence:d} to serve {name}")
def order_over_http(context, fence, name):
    context.engines.order(context.engine, Order(fence, ((name, "1"),)))


@then("it eventually serves {name}")
def eventually_serves(context, name):
    with gevent.Timeout(10):
        while context.engines.state(context.engine).models != ((name, "1"),):
            gevent.sleep(0.01)


@then("an order with fence {fence:d} is refused with {code:d}")
def order_refused_over_http(context, fence, code):
    try:
        order_over_http(context, fence, "junk")
    except OrderFencedError as error:
        assert error.code.number == code
    else:
        raise AssertionError("the order was carried out")


@when("it is set to ignore fencing and ordered with fence {fence:d} to serve {name}")
def ignore_fencing_over_http(context, fence, name):
    url = f"http://{context.engine.address}/faults"
    urllib3.request("PUT", url, body='{"ignore_fencing": true}')
    order_over_http(context, fence, name)
