# main.py -- Command line of mountladderd, the entry instance
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Command line of mountladderd, the entry instance."""

import gc
import signal
import sys

if "--adapter" in sys.argv:
    # A platform may send SIGHUP at any time. It would end the process while the modules below load,
    # before the adapter has installed its handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Loading modules makes almost no garbage, and collecting it took a tenth of the time of a start.
# The collector is enabled again after the last module is loaded: below, or by the adapter.
gc.disable()

from gevent import config, monkey

# All addresses are IP addresses and need no name server. gevent's default resolver uses a thread
# for each, which takes eight times the processor time (0.16 instead of 0.02 ms).
config.resolver = "block"
monkey.patch_all()

import faulthandler
import importlib
from pathlib import Path

import click

# A crash in a library must leave a traceback in the log of the process.
faulthandler.enable()


@click.command()
@click.argument("settings", type=click.Path(path_type=Path), required=False)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.option("--adapter", metavar="MODULE", help="Serve on a platform through its adapter.")
def main(settings: Path | None, check: bool, adapter: str | None) -> None:
    """Run an entry instance of mountladder in the foreground.

    Without an adapter the instance serves mountladder's own interface, configured by the file
    SETTINGS. With one, the adapter's function `serve` runs it with settings from the platform.
    """
    if adapter:
        sys.exit(importlib.import_module(adapter).serve())
    if settings is None:
        raise click.UsageError("the file SETTINGS is missing")
    # Imported here, since an instance behind an adapter does not need what standalone imports.
    standalone = importlib.import_module("mountladder_entry.standalone")
    gc.enable()
    sys.exit(standalone.run(settings, check))


if __name__ == "__main__":
    main()
