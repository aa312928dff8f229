# platformapp.py -- HTTP interface of the platform stand-in
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""HTTP interface of the platform stand-in."""

from __future__ import annotations

import base64
import json
from dataclasses import asdict

import bottle

from mountladder.errors import (
    MALFORMED,
    ConditionFailedError,
    DocumentError,
    StoreAmbiguousError,
    StoreUnavailableError,
)
from mountladder.membership.instance import Instance
from mountladder.store.row import Row
from mountladder.store.write import Write
from mountladder_standins.faults import Faults
from mountladder_standins.standinplatform import StandinPlatform

AMBIGUOUS_STATUS = 500


def platform_app(standin: StandinPlatform) -> bottle.Bottle:
    """Return the web application that serves a platform stand-in."""
    app = bottle.Bottle()
    app.install(_errors_as_statuses)
    app.get("/table/row", callback=lambda: read_row(standin))
    app.get("/table/rows", callback=lambda: read_rows(standin))
    app.post("/table/commit", callback=lambda: commit(standin))
    app.get("/objects/<name:path>", callback=lambda name: get_object(standin, name))
    app.put("/objects/<name:path>", callback=lambda name: put_object(standin, name))
    app.get("/instances", callback=lambda: list_instances(standin))
    app.post("/instances", callback=lambda: announce(standin))
    app.put("/faults", callback=lambda: set_faults(standin))
    app.get("/counts", callback=lambda: counts(standin))
    return app


def _errors_as_statuses(callback):
    def guarded(*args, **kwargs):
        """Call a route's handler and turn its errors into HTTP statuses."""
        try:
            return callback(*args, **kwargs)
        except StoreUnavailableError as error:
            return bottle.HTTPResponse(str(error), 503)
        except StoreAmbiguousError as error:
            return bottle.HTTPResponse(str(error), AMBIGUOUS_STATUS)
        except (*MALFORMED, DocumentError) as error:
            return bottle.HTTPResponse(str(error), 400)

    return guarded


def read_row(standin: StandinPlatform) -> object:
    """Return a row as JSON, or 404."""
    row = standin.table.read(bottle.request.query["key"])
    return bottle.HTTPResponse("no such row", 404) if row is None else _row_fields(row)


def read_rows(standin: StandinPlatform) -> bottle.HTTPResponse:
    """Return the rows with a prefix, in order of their keys, as JSON."""
    query = bottle.request.query
    rows = standin.table.scan(query["prefix"], query.get("after", ""), int(query["limit"]))
    return _json_response([_row_fields(row) for row in rows])


def commit(standin: StandinPlatform) -> bottle.HTTPResponse:
    """Apply a transaction; 409 with the failed keys if a condition does not hold."""
    writes = [_decode_write(entry) for entry in json.loads(bottle.request.body.read())]
    try:
        return _json_response({"version": standin.table.commit(writes)})
    except ConditionFailedError as error:
        return _json_response({"failed": list(error.keys)}, 409)


def get_object(standin: StandinPlatform, name: str) -> object:
    """Return an object, or 404."""
    value = standin.objects.get(name)
    return bottle.HTTPResponse("no such object", 404) if value is None else value


def put_object(standin: StandinPlatform, name: str) -> str:
    """Write an object."""
    standin.objects.put(name, bottle.request.body.read())
    return ""


def list_instances(standin: StandinPlatform) -> bottle.HTTPResponse:
    """Return the listed instances as JSON."""
    return _json_response([asdict(instance) for instance in standin.instances.instances()])


def announce(standin: StandinPlatform) -> str:
    """Record the announcement of an instance."""
    standin.instances.announce(Instance(**json.loads(bottle.request.body.read())))
    return ""


def set_faults(standin: StandinPlatform) -> str:
    """Set the faults of the table, the object store and the instance list."""
    standin.set_faults(Faults.read(json.loads(bottle.request.body.read())))
    return ""


def counts(standin: StandinPlatform) -> dict[str, int]:
    """Return the counts of the table's reads, transactions and written rows."""
    table = standin.table
    return {"reads": table.reads, "commits": table.commits, "rows_written": table.rows_written}


def _row_fields(row: Row) -> dict[str, object]:
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "value": value, "version": row.version}


def _decode_write(entry: dict[str, object]) -> Write:
    value = entry["value"]
    return Write(
        entry["key"], None if value is None else base64.b64decode(value), entry["expected"]
    )


def _json_response(value: object, status: int = 200) -> bottle.HTTPResponse:
    headers = {"Content-Type": "application/json"}
    return bottle.HTTPResponse(json.dumps(value), status, headers)
