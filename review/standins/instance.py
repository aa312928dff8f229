"""An instance as a process of its own, started with the command of the deploy file."""

from __future__ import annotations

import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# The figures of a small deployment (SYSTEM.md, Harrowgate; DEPLOY.md, "Settings of a process").
FIGURES = {
    "bounds.retry_ratio": "0.2",
    "bounds.retry_window_s": "10",
    "bounds.retry_slack": "58",
    "bounds.grace_s": "8",
    "bounds.drain_ms": "2000",
    "limits.cpu_share": "0.537",
    "limits.cores": "2",
    "limits.memory_mb": "300",
}
READY_S = 20.0
FIRST_PORT, LAST_PORT = 12_000, 30_000
# The ports of the instances of this script.
TAKEN: set[int] = set()


class Instance:
    """Starts and stops one instance."""

    def __init__(self, name: str, zone: str, store: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.store = store
        self.folder = folder
        self.callers, self.ready, self.peer, metrics, relay = free_ports(5)
        self.ports = [metrics, relay]
        self.process: subprocess.Popen | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Fill in the project's template of settings."""
        values = FIGURES | {
            "node_name|json": json.dumps(self.name),
            "zone|json": json.dumps(self.zone),
            "listen.frontend|json": json.dumps(f"127.0.0.1:{self.callers}"),
            "listen.ready|json": json.dumps(f"127.0.0.1:{self.ready}"),
            "listen.control_plane|json": json.dumps(f"127.0.0.1:{self.peer}"),
            "platform.address|json": json.dumps(self.store),
            "ip": "127.0.0.1",
            "port_range.0": str(self.ports[0]),
            "port_range.1": str(self.ports[1]),
        }
        template = (ROOT / "platform/settings.toml").read_text()
        listed = ", ".join(json.dumps(one) for one in seeds)
        text = re.sub(r"\{\{#seeds\}\}.*\{\{/seeds\}\}", lambda _: listed, template)
        text = re.sub(r"\{\{([^}]+)\}\}", lambda match: values[match[1]], text)
        (self.folder / f"{self.name}.toml").write_text(text)

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["MOUNTLADDER_CONFIG"] = str(self.folder / f"{self.name}.toml")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )

    def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Ask as the platform does whether the instance is ready."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=timeout_s)
        try:
            connection.request("GET", "/mountladder/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_until_ready(self) -> None:
        """Wait until the instance is ready.

        Raises:
            TimeoutError: It does not become ready.
        """
        until = time.monotonic() + READY_S
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise TimeoutError(f"{self.name} does not become ready")
            time.sleep(0.1)

    def stop(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def free_ports(number: int) -> list[int]:
    """Return ports that are free.

    They are below the range of ephemeral ports, so that no outgoing connection takes the port of an
    instance while it is down.
    """
    ports: list[int] = []
    while len(ports) < number:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports and port not in TAKEN:
            ports.append(port)
    TAKEN.update(ports)
    return ports
