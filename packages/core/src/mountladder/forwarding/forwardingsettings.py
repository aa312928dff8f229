# forwardingsettings.py -- The settings of an instance that forwards requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The settings of an instance that forwards requests."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from mountladder.configuration.fields import Fields
from mountladder.configuration.settingsfile import check_fields, settings_fields, settings_text

MS_PER_SECOND = 1000.0
# A feed that fell silent is missed after its wait and the time for an answer; with what a successor
# takes to step in (Readers) that leaves over a quarter of the time to obey.
FEED_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """The settings of an instance that forwards requests, checked.

    Attributes:
        name: The instance's name, unique in the fleet.
        datacentre: The data centre it stands in.
        callers: Where callers connect, an IP number and port.
        ready: Where the balancer asks whether the instance is ready.
        peer: Where other instances connect.
        peer_listen: Where it takes their links in, as address translation may lie between.
        metrics: Where metrics are served.
        store: The address of the platform's store.
        secret: The key that all instances share.
        seeds: Peer addresses of instances to start from.
        retry_ratio: How many retries each request of a service allows, over all instances.
        retry_window_s: Over which time that is counted, in seconds.
        retry_reserve: How many more retries all instances together may make in that time.
        grace_s: How long a process may take to end after it was asked to, in seconds.
        drain_ms: How long after the store took note of it a leaving server may still be used.
        core_share: Which part of a core the process may use.
        core_speed: How many times as fast as an ordinary core that core is.
    """

    name: str
    datacentre: str
    callers: str
    ready: str
    peer: str
    peer_listen: str
    metrics: str
    store: str
    secret: str
    seeds: tuple[str, ...]
    retry_ratio: float
    retry_window_s: float
    retry_reserve: float
    grace_s: float
    drain_ms: float
    core_share: float
    core_speed: float

    @property
    def retry_window_ms(self) -> float:
        """Return the window of the retry budget in milliseconds."""
        return self.retry_window_s * MS_PER_SECOND

    @property
    def grace_ms(self) -> float:
        """Return how long ending may take, in milliseconds."""
        return self.grace_s * MS_PER_SECOND

    @property
    def cores(self) -> float:
        """Return how many ordinary cores the process may use."""
        return self.core_share * self.core_speed

    @property
    def feed_ms(self) -> float:
        """Return how long one call for changes waits at the store, in milliseconds."""
        return FEED_SHARE * self.drain_ms

    @classmethod
    def read(cls, text: str, source: str) -> ForwardingSettings:
        """Read settings from a TOML text.

        Raises:
            ExceptionGroup: Of a SettingsError for each fault.
        """
        fields = settings_fields(text, source)
        settings = _read(fields)
        check_fields(fields, source)
        return settings

    @classmethod
    def load(cls, path: Path) -> ForwardingSettings:
        """Read settings from a file.

        Raises:
            ExceptionGroup: Of a SettingsError for each fault.
        """
        return cls.read(settings_text(path), str(path))


def _read(fields: Fields) -> ForwardingSettings:
    return ForwardingSettings(
        name=fields.text("name"),
        datacentre=fields.text("datacentre"),
        callers=fields.text("callers"),
        ready=fields.text("ready"),
        peer=fields.text("peer"),
        peer_listen=fields.text("peer_listen"),
        metrics=fields.text("metrics"),
        store=fields.text("store"),
        secret=fields.text("secret"),
        seeds=fields.texts("seeds"),
        retry_ratio=fields.number("retry_ratio"),
        retry_window_s=fields.number("retry_window_s"),
        retry_reserve=fields.number("retry_reserve"),
        grace_s=fields.number("grace_s"),
        drain_ms=fields.number("drain_ms"),
        core_share=fields.number("core_share"),
        core_speed=fields.number("core_speed"),
    )
