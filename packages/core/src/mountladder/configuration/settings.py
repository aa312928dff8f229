# settings.py -- The settings of an entry instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The settings of an entry instance."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from mountladder.configuration.address import is_address
from mountladder.configuration.fields import Fields
from mountladder.configuration.settingsfile import check_fields, settings_fields, settings_text

MIN_SECRET_LENGTH = 16


@dataclass(frozen=True, slots=True)
class Settings:
    """The validated settings of one process.

    The table in docs/SETTINGS.md is checked against these fields.

    Attributes:
        name: The instance's name, unique among all instances.
        datacentre: Its data centre.
        web: The address for callers and operators, an IP number and port.
        peer: The address for other instances, an IP number and port.
        platform: The base URL of the platform's services.
        secret: The key shared by all instances.
        seeds: Peer addresses of instances for the initial discovery.
        heartbeat_ms: The min. interval between heartbeats to one peer, in milliseconds.
        poll_ms: The interval between polls of the store for a newer revision, in milliseconds.
        statsd: The statsd server's IP number and UDP port, or an empty string.
        most_running: The max. number of running requests.
        most_waiting: The max. number of waiting requests.
        most_body_bytes: The max. size of a request's body.
        shutdown_ms: How long a graceful shutdown may take, in milliseconds.
        window_ms: The min. interval between two transactions that write claims, in milliseconds.
        most_transactions: The max. number of such transactions per second of all instances.
        keep_ms: How long the outcome of a key is stored, in milliseconds.
        cost_ms: The interval at which cost is sent to the platform, in milliseconds.
        thrift: The fraction of the available time, from 0 to 1, that may be used to save cost.
        drawn: The number of backend servers sampled for a routing decision.
        spill_ms: The time that a call to another data centre is assumed to add, in milliseconds.
        orders_ms: The interval at which engines are compared with their wanted state, in
            milliseconds; 0 sends no orders.
        operator_token: The token required from operators, or an empty string.
    """

    name: str
    datacentre: str
    web: str
    peer: str
    platform: str
    secret: str
    seeds: tuple[str, ...] = ()
    heartbeat_ms: float = 1_000.0
    poll_ms: float = 500.0
    statsd: str = ""
    most_running: int = 128
    most_waiting: int = 256
    most_body_bytes: int = 1_048_576
    shutdown_ms: float = 10_000.0
    window_ms: float = 5.0
    most_transactions: float = 300.0
    keep_ms: float = 86_400_000.0
    cost_ms: float = 10_000.0
    thrift: float = 0.0
    drawn: int = 8
    spill_ms: float = 2.0
    orders_ms: float = 2_000.0
    operator_token: str = ""

    @classmethod
    def read(cls, text: str, source: str) -> Settings:
        """Parse settings from a TOML text.

        Raises:
            ExceptionGroup: With a SettingsError for each error.
        """
        fields = settings_fields(text, source)
        settings = _settings(fields)
        _check(settings, fields)
        check_fields(fields, source)
        return settings

    @classmethod
    def load(cls, path: Path) -> Settings:
        """Read settings from a file.

        Raises:
            ExceptionGroup: With a SettingsError for each error.
        """
        return cls.read(settings_text(path), str(path))


def _settings(fields: Fields) -> Settings:
    return Settings(
        name=fields.text("name"),
        datacentre=fields.text("datacentre"),
        web=fields.text("web"),
        peer=fields.text("peer"),
        platform=fields.text("platform"),
        secret=fields.text("secret"),
        seeds=fields.texts("seeds"),
        heartbeat_ms=fields.number("heartbeat_ms", 1_000.0, min_value=10),
        poll_ms=fields.number("poll_ms", 500.0, min_value=10),
        statsd=fields.text("statsd", ""),
        most_running=int(fields.number("most_running", 128, min_value=1)),
        most_waiting=int(fields.number("most_waiting", 256)),
        most_body_bytes=int(fields.number("most_body_bytes", 1_048_576, min_value=1)),
        shutdown_ms=fields.number("shutdown_ms", 10_000.0),
        window_ms=fields.number("window_ms", 5.0),
        most_transactions=fields.number("most_transactions", 300.0, min_value=1),
        keep_ms=fields.number("keep_ms", 86_400_000.0, min_value=1_000),
        cost_ms=fields.number("cost_ms", 10_000.0, min_value=100),
        thrift=fields.number("thrift", 0.0),
        drawn=int(fields.number("drawn", 8, min_value=1)),
        spill_ms=fields.number("spill_ms", 2.0),
        orders_ms=fields.number("orders_ms", 2_000.0),
        operator_token=fields.text("operator_token", ""),
    )


def _check(settings: Settings, fields: Fields) -> None:
    addresses = {"web": settings.web, "peer": settings.peer}
    if settings.statsd:
        addresses["statsd"] = settings.statsd
    for key, value in addresses.items():
        if value and not is_address(value):
            fields.fault(key, "an IP number and a port", value)
    for seed in settings.seeds:
        if not is_address(seed):
            fields.fault("seeds", "IP numbers and ports", seed)
    if settings.platform and not settings.platform.startswith(("http://", "https://")):
        fields.fault("platform", "an http or https URL", settings.platform)
    if 0 < len(settings.secret) < MIN_SECRET_LENGTH:
        fields.fault("secret", f"at least {MIN_SECRET_LENGTH} characters", "a shorter one")
    if settings.thrift > 1:
        fields.fault("thrift", "a number from 0 to 1", settings.thrift)
