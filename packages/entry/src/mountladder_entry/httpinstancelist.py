# httpinstancelist.py -- The platform's list of instances over HTTP
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The platform's list of instances over HTTP."""

from __future__ import annotations

import json
from dataclasses import asdict

from mountladder.errors import BadRowError, StoreAmbiguousError, StoreUnavailableError
from mountladder.membership.instance import Instance
from mountladder.store.instancelist import InstanceList
from mountladder_entry.httpclient import HttpClient, parse


class HttpInstanceList(InstanceList):
    """The platform's list of instances.

    Args:
        client: The client with the platform's base URL.
    """

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    def instances(self) -> tuple[Instance, ...]:
        """Return the listed instances; see InstanceList."""
        entries = parse(self.client.read("/instances"))
        try:
            return tuple(Instance(**entry) for entry in entries)
        except TypeError as error:
            raise BadRowError(f"the list of instances cannot be read: {error}") from error

    def announce(self, instance: Instance) -> None:
        """Announce an instance to the platform; see InstanceList."""
        entry = asdict(instance)
        # Builds that do not know the field cannot read an entry with it.
        del entry["joined"]
        try:
            self.client.call("POST", "/instances", json.dumps(entry).encode())
        except StoreAmbiguousError as error:
            raise StoreUnavailableError(error.detail) from error
