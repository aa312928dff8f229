# instances.py -- Instances as processes
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The project's instances, as processes started as on the platform."""

from __future__ import annotations

import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "grace_s": 8,
    "drain_ms": 2000,
}
LIMITS = {"cpu_share": 0.537, "cores": 2}
# Below those of outgoing connections, which start at 32,768 by default.
PORTS = (12_000, 32_000)
_taken: set[int] = set()
_PLACE = re.compile(r"\{\{([a-z_.0-9]+)(\|json)?\}\}")


def free_port() -> int:
    """Return a free port of the loopback interface that no outgoing connection is given."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _taken:
            _taken.add(port)
            return port


class Instance:
    """One instance: its addresses, its settings and its process."""

    def __init__(self, name: str, zone: str, store: str, folder: Path, memory_mb: int) -> None:
        self.name, self.zone, self.store, self.folder = name, zone, store, folder
        self.limits = LIMITS | {"memory_mb": memory_mb}
        self.ports = {
            one: free_port() for one in ("frontend", "ready", "control_plane", "metrics", "relay")
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at: list[float] = []

    @property
    def address(self) -> tuple[str, int]:
        """Return where clients connect to."""
        return "127.0.0.1", self.ports["frontend"]

    def write_settings(self, seeds: list[str]) -> None:
        """Fill in the template of the deploy file, as the platform does."""
        at = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        values: dict[str, object] = {
            "node_name": self.name,
            "zone": self.zone,
            "platform.address": self.store,
            "ip": "127.0.0.1",
            "port_range.0": self.ports["metrics"],
            "port_range.1": self.ports["relay"],
        }
        values |= {f"listen.{name}": address for name, address in at.items()}
        values |= {f"bounds.{name}": value for name, value in BOUNDS.items()}
        values |= {f"limits.{name}": value for name, value in self.limits.items()}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        text = (ROOT / deploy["roles"]["entry"]["template"]).read_text()
        text = re.sub(
            r"\{\{#seeds\}\}.*?\{\{/seeds\}\}",
            lambda _: ",".join(json.dumps(one) for one in seeds),
            text,
        )
        text = _PLACE.sub(
            lambda found: (json.dumps(values[found[1]]) if found[2] else str(values[found[1]])),
            text,
        )
        (self.folder / f"{self.name}.toml").write_text(text)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            one: os.environ[one] for one in ("PATH", "HOME", "LANG") if one in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "MOUNTLADDER_CONFIG": str(self.folder / f"{self.name}.toml"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def start_all(instances: list[Instance], seeds: int = 3) -> None:
    """Write the settings of instances and start them."""
    addresses = [f"127.0.0.1:{one.ports['control_plane']}" for one in instances[:seeds]]
    for one in instances:
        one.write_settings(addresses)
        one.start()


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a folder for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="review-")
