# regression.py -- Runs benchmark days and compares their scores with recorded bounds
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Runs benchmark days and compares their scores with recorded bounds.

Days that were run on this commit already are not run again, so that an interrupted run can be
resumed. The exit status is 1 if a score fell below its bound or a rule was broken.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path

import click

HERE = Path(__file__).parent
WHY = "regression"
# A score may fall by this much; smaller differences are regarded as noise.
MAX_DROP = 0.03


@dataclass(frozen=True, slots=True)
class Bound:
    """The score that a day has reached.

    Attributes:
        site: The path of the site's file in the folder of sites.
        day: The name of the day.
        worth: The best score of the day.
        spread: The difference of scores between two runs of the same code; 0 if unknown.
    """

    site: str
    day: str
    worth: float
    spread: float = 0.0


@dataclass(frozen=True, slots=True)
class Play:
    """The result of running a day.

    Attributes:
        worth: Its score.
        broken: The rules that were broken, and the fault of the run if there was one.
    """

    worth: float
    broken: tuple[str, ...]


def read_bounds(path: Path) -> list[Bound]:
    """Read the file of bounds."""
    table = tomllib.loads(path.read_text())
    return [
        Bound(site["path"], day["name"], day["worth"], day.get("spread", 0.0))
        for site in table["site"]
        for day in site["days"]
    ]


def played(entries: Iterable[Mapping], head: str) -> dict[tuple[str, str], Play]:
    """Return the results of regression runs on a clean commit.

    Args:
        entries: The entries of the journal, oldest first.
        head: The id of the commit.

    Returns:
        The latest result of each day, by the site's name and the day's.
    """
    found = {}
    for entry in entries:
        if entry["head"] != head or entry["dirty"] or entry["why"] != WHY:
            continue
        for day in entry["days"]:
            faults = (day["fault"],) if day["fault"] else ()
            found[entry["site"], day["name"]] = Play(day["G"], (*sorted(day["rules"]), *faults))
    return found


def verdict(bound: Bound, play: Play | None) -> str:
    """Return why a day fails, or an empty string."""
    if play is None:
        return "not played"
    if play.broken:
        return "broke: " + ", ".join(play.broken)
    fell = bound.worth - play.worth
    return f"fell by {fell:.3f}" if fell > max(MAX_DROP, bound.spread) else ""


def read_journal(folder: Path) -> list[Mapping]:
    """Read the journal, oldest entry first."""
    return [json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))]


def site_name(site: str) -> str:
    """Return the name of a site in the journal."""
    return Path(site).stem


@click.command()
@click.option("--fleetbench", required=True, help="Path of the fleetbench program.")
@click.option("--sites", required=True, type=click.Path(path_type=Path), help="Folder of sites.")
@click.option("--only", default="", help="Run only sites whose path contains this text.")
def main(fleetbench: str, sites: Path, only: str) -> None:
    """Run the days that have no result for this commit, then print each with its bound."""
    head = subprocess.run(
        ["git", "rev-parse", "HEAD"], capture_output=True, text=True, check=True
    ).stdout.strip()
    folder = HERE.parent / "journal"
    bounds = [one for one in read_bounds(HERE / "regression.toml") if only in one.site]
    finished = played(read_journal(folder), head)
    for bound in bounds:
        if (site_name(bound.site), bound.day) not in finished:
            command = [fleetbench, "run", str(sites / bound.site), bound.day, "--why", WHY]
            subprocess.run(command, stdout=subprocess.DEVNULL, check=False)
    plays = played(read_journal(folder), head)
    failures = 0
    for bound in bounds:
        play = plays.get((site_name(bound.site), bound.day))
        problem = verdict(bound, play)
        failures += bool(problem)
        now = f"{play.worth:.3f}" if play else "-"
        click.echo(f"{bound.site} {bound.day}: {bound.worth:.3f}, now {now}  {problem}")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
