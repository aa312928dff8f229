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
def store_down_for(context, name):
    instance = context.fleet.instances[name]
    replacement = type(context.fleet.catalogue)(context.clock)
    replacement.down = True
    instance.catalogue_source.source = replacement


@given("the change feeds of {name} stop delivering")
def feeds_stop(context, name):
    instance = context.fleet.instances[name]
    for source in (instance.catalogue_source, instance.directory_source):
        replacement = type(context.fleet.catalogue)(context.clock)
        replacement.era, replacement.version = source.position.era, source.position.version
        source.source = replacement
    context.fleet.catalogue.put("other", b"")
    context.fleet.servers.put("other", b'["none", "a", true]')
    context.run(context.clock.sleep, 100.0)


@when("catalogue version {version:d} is written")
def write_catalogue(context, version):
    context.fleet.configure(catalogue(version))


@when('the bytes "{text}" are written as the catalogue')
def write_bytes(context, text):
    context.fleet.catalogue.put(CATALOGUE, text.encode())


@when("an older catalogue {version:d} reaches {name} from a peer")
def receive_old_from_peer(context, version, name):
    context.fleet.catalogues[version] = catalogue(version)
    instance = context.fleet.instances[name]
    link = next(iter(instance.fleet.links.values()))
    for part in slices(version, str(version).encode()):
        context.run(instance.fleet.handle, part, link)


@when("an older catalogue {version:d} reaches {name} from the store")
def receive_old_from_store(context, version, name):
    context.fleet.catalogues[version] = catalogue(version)
    row = SourceRow(CATALOGUE, str(version).encode(), Position(0, 1))
    page = SourcePage((row,), Position(0, 1))
    context.fleet.instances[name].catalogue_source.on_page(page, True)


@when("an older catalogue {version:d} reaches {name} after the store lost its history")
def read_old_after_loss(context, version, name):
    context.fleet.catalogues[version] = catalogue(version)
    source = context.fleet.catalogue
    newest_row = source.rows[CATALOGUE]
    source.rows[CATALOGUE] = SourceRow(CATALOGUE, str(version).encode(), newest_row.position)
    source.version += 1
    source.drop_history()
    context.run(context.clock.sleep, 10_000.0)


@given("the code is mutated to adopt any catalogue")
def mutate_adopt(context):
    original = CatalogueFollower.adopt

    def adopt(self, encoded, source):
        self.catalogue = None
        return original(self, encoded, source)

    CatalogueFollower.adopt = adopt
    context.stack.callback(setattr, CatalogueFollower, "adopt", original)


@then("every instance has catalogue version {version:d}")
def all_have_version(context, version):
    found = {name: one.follower.version for name, one in context.fleet.instances.items()}
    assert set(found.values()) == {version}, found


@then("instance {name} has catalogue version {version:d}")
def has_version(context, name, version):
    assert context.fleet.instances[name].follower.version == version


@when("server {name} is listed as draining")
def list_draining(context, name):
    context.fleet.add_server(name, "desk", "a", draining=True)


@when("server {name} is listed again")
def list_server(context, name):
    context.fleet.add_server(name, "desk", "a")


@when("server {name} is removed from the list")
def remove_server(context, name):
    context.fleet.servers.put(name, None)


@then("no request went to {name}")
def no_request_to(context, name):
    arrivals = context.fleet.upstream.arrivals
    assert arrivals
    assert all(name not in servers for servers in arrivals.values())


@then("instance {name} knows servers {names}")
def knows_servers(context, name, names):
    found = context.fleet.instances[name].directory.available("desk")
    assert sorted(one.name for one in found) == names.split(", "), found


@when("an older copy of the list reaches {name}")
def receive_old_copy(context, name):
    instance = context.fleet.instances[name]
    link = next(iter(instance.fleet.links.values()))
    known = instance.directory.records["desk-2"].server
    record = ServerRecord("desk-1", Position(0, 1), "desk", known)
    context.run(instance.fleet.handle, DirectoryCopy(Position(0, 1), (record,)), link)


@given("instance {name} misses that server {server} is removed while the store loses its history")
def miss_removal(context, name, server):
    source = context.fleet.servers
    source.down = True
    context.run(context.clock.sleep, 5_000.0)
    source.put(server, None)
    del source.rows[server]
    source.drop_history()
    source.down = False


@when("a copy reaches {name} from a peer that reached the store again and saw {server} removed")
def receive_removal(context, name, server):
    instance = context.fleet.instances[name]
    link = next(iter(instance.fleet.links.values()))
    position = Position(0, instance.directory.position.version + 1)
    copy = DirectoryCopy(position, (ServerRecord(server, position),), 2_000.0)
    context.run(instance.fleet.handle, copy, link)


@then("each instance's share of the retry reserve of {reserve:d} is at most {max_share:g}")
def reserve_share(context, reserve, max_share):
    for instance in context.fleet.instances.values():
        assert instance.settings.retry_reserve == reserve
        assert 0 < instance.budgets.reserve() <= max_share, instance.budgets.reserve()


@then("an instance that knows no others uses at most {max_share:g} of it")
def reserve_share_alone(context, max_share):
    instance = context.fleet.instances["a-1"]
    instance.membership.known.clear()
    instance.membership.listed = frozenset()
    assert instance.budgets.reserve() <= max_share
