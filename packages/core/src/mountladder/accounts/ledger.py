# ledger.py -- Accumulates cost by team, pipeline, stage and accelerator
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Accumulates cost by team, pipeline, stage and accelerator."""

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
PAGE_ROWS = 200


class Ledger:
    """Accumulates cost in memory and writes running totals to the platform's store.

    Each incarnation of an instance writes one row with its totals so far. Writing it again is
    therefore harmless, and a crash loses at most the cost since the last write.

    Args:
        incarnation: The incarnation of this instance.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.totals: dict[Charge, Amount] = {}
        self.changed = False

    def add(self, charge: Charge, server: BackendServer, ms: float) -> None:
        """Add the time of one call to a backend server."""
        amount = Amount(1, ms, ms / MS_PER_SECOND * server.price)
        self.totals[charge] = self.totals.get(charge, Amount()).plus(amount)
        self.changed = True

    def flush(self, table: Table) -> bool:
        """Write the totals if they changed; return whether they were written.

        Raises:
            StoreUnavailableError: Nothing was written; a later flush includes it.
            StoreAmbiguousError: The write may have taken effect; a later flush repeats it.
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
            charge.team,
            charge.pipeline,
            charge.stage,
            charge.accelerator,
            charge.use,
            amount.calls,
            amount.ms,
            amount.cost,
        ]
        for charge, amount in totals.items()
    ]
    return json.dumps(entries, separators=(",", ":")).encode()


def decode_totals(value: bytes) -> dict[Charge, Amount]:
    """Parse totals from the value of a row.

    Raises:
        BadRowError: The value cannot be parsed.
    """
    try:
        return {
            Charge(*map(str, entry[:5])): Amount(int(entry[5]), float(entry[6]), float(entry[7]))
            for entry in json.loads(value)
        }
    except MALFORMED as error:
        raise BadRowError(f"a cost row cannot be parsed: {error}") from error


def read_totals(table: Table) -> dict[Charge, Amount]:
    """Return the sum of the totals of all incarnations.

    Raises:
        StoreUnavailableError: The store cannot be reached.
        BadRowError: A row cannot be parsed.
    """
    totals: dict[Charge, Amount] = {}
    after = ""
    while rows := table.scan(COST_PREFIX, after, PAGE_ROWS):
        for row in rows:
            for charge, amount in decode_totals(row.value).items():
                totals[charge] = totals.get(charge, Amount()).plus(amount)
        after = rows[-1].key
    return totals
