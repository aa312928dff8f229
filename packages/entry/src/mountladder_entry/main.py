# main.py -- The command mountladderd
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The command mountladderd."""

import gc

# Nothing that modules make while they are loaded is garbage, and looking for it took a tenth of
# the time of a start. Whoever has loaded the last of them looks for it again.
gc.disable()

from gevent import config, monkey

# All addresses are IP numbers, which are read without asking anybody; the usual resolver hands each
# to a thread of its own, at eight times the processor time (0.16 in place of 0.02 ms).
config.resolver = "block"
monkey.patch_all()

import faulthandler
import importlib
import sys
from pathlib import Path

import click

# A crash of a library must leave a trace in the log of the process.
faulthandler.enable()


@click.command()
@click.argument("settings", type=click.Path(path_type=Path), required=False)
@click.option("--check", is_flag=True, help="Check the settings and end.")
@click.option("--adapter", metavar="MODULE", help="Serve on a platform through its adapter.")
def main(settings: Path | None, check: bool, adapter: str | None) -> None:
    """Run an entry instance of mountladder in the foreground.

    Without an adapter the instance serves the product's own interface by the file SETTINGS. With
    one, the adapter's function `serve` runs it, on settings of the platform's.
    """
    if adapter:
        sys.exit(importlib.import_module(adapter).serve())
    if settings is None:
        raise click.UsageError("the file SETTINGS is missing")
    # An instance behind an adapter must not pay for what only the product's interface imports.
    standalone = importlib.import_module("mountladder_entry.standalone")
    gc.enable()
    sys.exit(standalone.run(settings, check))


if __name__ == "__main__":
    main()
