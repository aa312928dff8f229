# ledger.py -- The cost of work by team, pipeline, stage and accelerator
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The cost of work by team, pipeline, stage and accelerator."""

from __future__ import annotations

import json

from mountladder.accounts.amount import Amount
from mountladder.accounts.charge import Charge
from mountladder.configuration.backendserver import BackendServer
from mountladder.errors import MALFORMED, BadRowError
from mountladder.store.table import Table
from mountladder.store.write import Write

COST_PREFIX = "cost/"
MS_PER_SECOND = 1000.0
PAGE = 200


class Ledger:
    """Adds up cost in memory and writes running totals to the platform.

    Each incarnation writes one row with its totals so far, so that sending it again does no harm
    and at most the time since the last write is lost when an instance dies.

    Args:
        incarnation: The incarnation whose totals these are.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.totals: dict[Charge, Amount] = {}
        self.changed = False

    def add(self, charge: Charge, server: BackendServer, ms: float) -> None:
        """Charge some time on a backend server."""
        amount = Amount(1, ms, ms / MS_PER_SECOND * server.price)
        self.totals[charge] = self.totals.get(charge, Amount()).plus(amount)
        self.changed = True

    def flush(self, table: Table) -> bool:
        """Write the totals where they changed; tell whether anything was written.

        Raises:
            StoreUnavailableError: Nothing was written; a later flush writes it all.
            StoreAmbiguousError: It may have been written; a later flush writes it again.
        """
        if not self.changed:
            return False
        self.changed = False
        try:
            table.commit([Write(COST_PREFIX + self.incarnation, encode_totals(self.totals))])
        except BaseException:
            self.changed = True
            raise
        return True


def encode_totals(totals: dict[Charge, Amount]) -> bytes:
    """Return totals as the value of a row."""
    entries = [
        [
            one.team,
            one.pipeline,
            one.stage,
            one.accelerator,
            one.use,
            sum_.calls,
            sum_.ms,
            sum_.cost,
        ]
        for one, sum_ in totals.items()
    ]
    return json.dumps(entries, separators=(",", ":")).encode()


def decode_totals(value: bytes) -> dict[Charge, Amount]:
    """Read totals from the value of a row.

    Raises:
        BadRowError: The value holds no totals.
    """
    try:
        return {
            Charge(*map(str, entry[:5])): Amount(int(entry[5]), float(entry[6]), float(entry[7]))
            for entry in json.loads(value)
        }
    except MALFORMED as error:
        raise BadRowError(f"a row of cost cannot be read: {error}") from error


def read_totals(table: Table) -> dict[Charge, Amount]:
    """Add up the totals of every incarnation.

    Raises:
        StoreUnavailableError: The store cannot be reached.
        BadRowError: A row cannot be read.
    """
    totals: dict[Charge, Amount] = {}
    after = ""
    while rows := table.scan(COST_PREFIX, after, PAGE):
        for row in rows:
            for charge, amount in decode_totals(row.value).items():
                totals[charge] = totals.get(charge, Amount()).plus(amount)
        after = rows[-1].key
    return totals
