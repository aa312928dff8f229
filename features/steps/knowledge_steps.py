# knowledge_steps.py -- Steps about the catalogue and the list of servers on instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Steps about the catalogue and the list of servers on instances."""

from behave import given, then, when
from forwardbasics import catalogue

from mountladder.forwarding.catalogueassembly import slices
from mountladder.forwarding.cataloguefollower import CatalogueFollower
from mountladder.forwarding.directorycopy import DirectoryCopy
from mountladder.forwarding.serverrecord import ServerRecord
from mountladder.forwarding.sourcepage import SourcePage
from mountladder.forwarding.sourcerow import SourceRow
from mountladder.store.position import Position
from mountladder_standins.forwardfleet import CATALOGUE


@given("the store is down for {name}")
def down_for(context, name):
    instance = context.fleet.instances[name]
    twin = type(context.fleet.catalogue)(context.clock)
    twin.down = True
    instance.catalogue_source.source = twin


@given("the change feeds of {name} stop delivering")
def silent(context, name):
    instance = context.fleet.instances[name]
    for source in (instance.catalogue_source, instance.directory_source):
        twin = type(context.fleet.catalogue)(context.clock)
        twin.era, twin.version = source.position.era, source.position.version
        source.source = twin
    context.fleet.catalogue.put("other", b"")
    context.fleet.servers.put("other", b'["none", "a", true]')
    context.run(context.clock.sleep, 100.0)


@when("catalogue version {version:d} is written")
def write(context, version):
    context.fleet.configure(catalogue(version))


@when('the bytes "{text}" are written as the catalogue')
def write_bytes(context, text):
    context.fleet.catalogue.put(CATALOGUE, text.encode())


@when("an older catalogue {version:d} reaches {name} from a peer")
def old_from_peer(context, version, name):
    context.fleet.catalogues[version] = catalogue(version)
    instance = context.fleet.instances[name]
    link = next(iter(instance.fleet.links.values()))
    for part in slices(version, str(version).encode()):
        context.run(instance.fleet.handle, part, link)


@when("an older catalogue {version:d} reaches {name} from the store")
def old_from_store(context, version, name):
    context.fleet.catalogues[version] = catalogue(version)
    row = SourceRow(CATALOGUE, str(version).encode(), Position(0, 1))
    page = SourcePage((row,), Position(0, 1))
    context.fleet.instances[name].catalogue_source.on_page(page, True)


@when("an older catalogue {version:d} reaches {name} after the store lost its history")
def old_after_loss(context, version, name):
    context.fleet.catalogues[version] = catalogue(version)
    source = context.fleet.catalogue
    newest = source.rows[CATALOGUE]
    source.rows[CATALOGUE] = SourceRow(CATALOGUE, str(version).encode(), newest.position)
    source.version += 1
    source.drop_history()
    context.run(context.clock.sleep, 10_000.0)


@given("the code is mutated to adopt any catalogue")
def adopts_any(context):
    plain = CatalogueFollower.adopt

    def adopt(self, encoded, source):
        self.catalogue = None
        return plain(self, encoded, source)

    CatalogueFollower.adopt = adopt
    context.stack.callback(setattr, CatalogueFollower, "adopt", plain)


@then("every instance has catalogue version {version:d}")
def all_have(context, version):
    found = {name: one.follower.version for name, one in context.fleet.instances.items()}
    assert set(found.values()) == {version}, found


@then("instance {name} has catalogue version {version:d}")
def one_has(context, name, version):
    assert context.fleet.instances[name].follower.version == version


@when("server {name} is listed as draining")
def drains(context, name):
    context.fleet.add_server(name, "desk", "a", draining=True)


@when("server {name} is listed again")
def listed_again(context, name):
    context.fleet.add_server(name, "desk", "a")


@when("server {name} is removed from the list")
def removed(context, name):
    context.fleet.servers.put(name, None)


@then("no request went to {name}")
def none_to(context, name):
    arrivals = context.fleet.upstream.arrivals
    assert arrivals
    assert all(name not in servers for servers in arrivals.values())


@then("instance {name} knows servers {names}")
def knows(context, name, names):
    found = context.fleet.instances[name].directory.available("desk")
    assert sorted(one.name for one in found) == names.split(", "), found


@when("an older copy of the list reaches {name}")
def old_copy(context, name):
    instance = context.fleet.instances[name]
    link = next(iter(instance.fleet.links.values()))
    known = instance.directory.records["desk-2"].server
    record = ServerRecord("desk-1", Position(0, 1), "desk", known)
    context.run(instance.fleet.handle, DirectoryCopy(Position(0, 1), (record,)), link)


@given("instance {name} misses that server {server} is removed while the store loses its history")
def misses(context, name, server):
    source = context.fleet.servers
    source.down = True
    context.run(context.clock.sleep, 5_000.0)
    source.put(server, None)
    del source.rows[server]
    source.drop_history()
    source.down = False


@when("a copy reaches {name} from a peer that reached the store again and saw {server} removed")
def lapsed_copy(context, name, server):
    instance = context.fleet.instances[name]
    link = next(iter(instance.fleet.links.values()))
    position = Position(0, instance.directory.position.version + 1)
    copy = DirectoryCopy(position, (ServerRecord(server, position),), 2_000.0)
    context.run(instance.fleet.handle, copy, link)


@then("each instance's share of the retry reserve of {reserve:d} is at most {most:g}")
def part_of_reserve(context, reserve, most):
    for instance in context.fleet.instances.values():
        assert instance.settings.retry_reserve == reserve
        assert 0 < instance.budgets.reserve() <= most, instance.budgets.reserve()


@then("an instance that knows no others uses at most {most:g} of it")
def knows_none(context, most):
    instance = context.fleet.instances["a-1"]
    instance.membership.known.clear()
    instance.membership.listed = frozenset()
    assert instance.budgets.reserve() <= most
