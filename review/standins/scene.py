"""Starts and ends what a case needs, and keeps its record."""

from __future__ import annotations

import os
import shutil
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

from standins.instance import Instance
from standins.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
# A machine is in touch once it has run undisturbed for contact_ms.
CONTACT_S = 3.0
ZONES = ("hall-north", "hall-south", "hall-east")


class Scene:
    """A store, instances and a record."""

    def __init__(self, folder: Path, instances: int) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.record = (folder / "record.txt").open("w", buffering=1)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.store.start()
        self.instances = [
            Instance(
                f"edge-{number + 1}", ZONES[number % len(ZONES)], self.store.address, self.folder
            )
            for number in range(instances)
        ]

    def note(self, text: str) -> None:
        """Write a line to the record."""
        with self.lock:
            if self.record.closed:
                return
            self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def start(self) -> None:
        """Start the instances, and wait until all are ready and in touch.

        Raises:
            TimeoutError: One does not become ready.
        """
        seeds = [f"127.0.0.1:{one.peer}" for one in self.instances][:3]
        for one in self.instances:
            one.write_settings(seeds)
            one.start()
        for one in self.instances:
            one.wait_until_ready()
        self.note(f"{len(self.instances)} instances are ready")
        time.sleep(CONTACT_S + 0.5)

    def close(self) -> None:
        """End every process that was started."""
        for one in self.instances:
            one.stop()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        with self.lock:
            self.record.close()


def play(case, folder: Path, instances: int) -> int:
    """Play a case and return the exit status: HELD, BROKEN or NOT_RUN."""
    # An ended script ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    scene = Scene(folder, instances)
    try:
        broken = case(scene)
        scene.note(f"verdict: {broken or 'the rule held'}")
        print(broken or "the rule held")
        return BROKEN if broken else HELD
    except Exception as error:
        scene.note(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        scene.close()
