# forwardingsettings.py -- Settings of an instance that forwards requests
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Settings of an instance that forwards requests."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from mountladder.configuration.fields import Fields
from mountladder.configuration.settingsfile import check_fields, settings_fields, settings_text

MS_PER_SECOND = 1000.0
# The fraction of the drain time that one call for changes waits at the store. An unanswered call is
# noticed after this wait and the time allowed for an answer. With the time that a successor needs
# to take over (ReaderElection), over a quarter of the drain time is left to act on a change.
FEED_WAIT_FRACTION = 0.25
# The settings that switch decisions under load on or off.
SWITCHES = (
    "learn_speeds",
    "share_fairly",
    "reserve_results",
    "continue_streams",
    "admit_pipeline",
    "schedule_retries",
    "bound_memory",
    "plan_demand",
)


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """The settings of an instance that forwards requests, checked.

    Attributes:
        name: The instance's name, unique in the fleet.
        datacentre: The data centre it runs in.
        callers: The IP number and port that callers connect to.
        ready: The IP number and port of readiness checks by the load balancer.
        peer: The IP number and port that other instances connect to.
        peer_listen: The IP number and port that it listens on for them, which differs from `peer`
            behind address translation.
        metrics: The IP number and port that metrics are served on.
        store: The address of the platform's store.
        secret: The key that all instances share, for authentication between them.
        seeds: Peer addresses of instances to connect to first.
        retry_ratio: Retries allowed for each request of a service, over all instances.
        retry_window_s: The window that requests and retries are counted over, in seconds.
        retry_reserve: Retries that all instances together may make beyond that in a window.
        grace_s: The time between the request to shut down and the exit of the process, in seconds.
        drain_ms: For how long a leaving server may still be used after the store has recorded that
            it is leaving.
        core_share: What fraction of a core the process may use.
        core_speed: The speed of that core as a multiple of an ordinary core.
        load_min_servers: From how many available servers on share_fairly, reserve_results and
            schedule_retries apply to a service.
        learn_speeds: Whether the speed of each backend server is learned and used.
        share_fairly: Whether ranks and teams are kept from starving each other in an overload.
        reserve_results: Whether memory for stage results is reserved and released early.
        continue_streams: Whether streams that cannot be repeated continue from copies.
        admit_pipeline: Whether the work that waits at model servers and the patience of callers
            count when a request is admitted.
        schedule_retries: Whether coordinators are told what was refused, and refused callers retry
            when capacity is expected.
        bound_memory: Whether the bytes held for others are limited by memory_mb.
        plan_demand: Whether data centres plan ahead how much of their work others serve.
        memory_mb: The memory that the process may use in megabytes, or 0 if that is not known.
        relay: The IP number and port that other instances send requests to while they can reach no
            backend server, or an empty string if they cannot.
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
    load_min_servers: int = 1
    learn_speeds: bool = True
    share_fairly: bool = True
    reserve_results: bool = True
    continue_streams: bool = True
    admit_pipeline: bool = True
    schedule_retries: bool = True
    bound_memory: bool = True
    plan_demand: bool = True
    memory_mb: float = 0.0
    relay: str = ""

    @property
    def retry_window_ms(self) -> float:
        """Return the window of the retry budget in milliseconds."""
        return self.retry_window_s * MS_PER_SECOND

    @property
    def grace_ms(self) -> float:
        """Return the time allowed for shutting down, in milliseconds."""
        return self.grace_s * MS_PER_SECOND

    @property
    def cores(self) -> float:
        """Return how many ordinary cores the process may use."""
        return self.core_share * self.core_speed

    @property
    def feed_wait_ms(self) -> float:
        """Return how long one call for changes waits at the store, in milliseconds."""
        return FEED_WAIT_FRACTION * self.drain_ms

    def enabled_parts(self) -> list[str]:
        """Return the names of the settings that switch on decisions under load."""
        return [name for name in SWITCHES if getattr(self, name)]

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
        load_min_servers=fields.integer("load_min_servers", 1),
        learn_speeds=fields.flag("learn_speeds", True),
        share_fairly=fields.flag("share_fairly", True),
        reserve_results=fields.flag("reserve_results", True),
        continue_streams=fields.flag("continue_streams", True),
        admit_pipeline=fields.flag("admit_pipeline", True),
        schedule_retries=fields.flag("schedule_retries", True),
        bound_memory=fields.flag("bound_memory", True),
        plan_demand=fields.flag("plan_demand", True),
        memory_mb=fields.number("memory_mb", 0.0),
        relay=fields.text("relay", ""),
    )
