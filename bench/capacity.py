# capacity.py -- Writes benchmark results into the table of docs/CAPACITY.md
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Writes benchmark results into the table of docs/CAPACITY.md."""

from __future__ import annotations

import json
from pathlib import Path

from outcomes import OUT

PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
BEGIN = "<!-- figures -->"
END = "<!-- end of figures -->"
NAMES = ("slopes", "decision", "store")


def main() -> None:
    """Replace the table between the two comments of the page by the current results."""
    lines = ["| measured | value | unit |", "|---|---|---|"]
    for name in NAMES:
        for figure in json.loads((OUT / f"{name}.json").read_text()):
            lines.append(f"| {figure['name']} | {figure['value']:.4g} | {figure['unit']} |")
    text = PAGE.read_text()
    before, rest = text.split(BEGIN)
    _, after = rest.split(END)
    PAGE.write_text(before + BEGIN + "\n" + "\n".join(lines) + "\n" + END + after)


if __name__ == "__main__":
    main()
