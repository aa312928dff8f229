# check.py -- Checks references and selectors across a configuration
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Checks references and selectors across a configuration."""

from __future__ import annotations

from mountladder.code import Code
from mountladder.configuration.configuration import Configuration
from mountladder.configuration.pipeline import Pipeline
from mountladder.configuration.selector import Selector
from mountladder.errors import DocumentError, MountladderError


def check(configuration: Configuration) -> list[MountladderError]:
    """Check a configuration and return warnings about selectors that no server matches.

    Raises:
        ExceptionGroup: With an error for each dangling reference, malformed selector and
            duplicate token.
    """
    faults = list(_selector_faults(configuration))
    for pipeline in configuration.of_kind("pipeline"):
        faults.extend(_reference_faults(configuration, pipeline))
    for server in configuration.of_kind("server"):
        for model in server.models:
            if f"model/{model}" not in configuration.documents:
                faults.append(_missing(f"server {server.name}", "model", model))
    faults.extend(_token_faults(configuration))
    if faults:
        raise ExceptionGroup(f"the configuration has {len(faults)} errors", faults)
    return [
        warning
        for one in configuration.of_kind("pipeline")
        for warning in _unmatched_selectors(configuration, one)
    ]


def _missing(location: str, kind: str, name: str) -> DocumentError:
    return DocumentError(f"{location}: there is no {kind} {name!r}", Code.UNKNOWN_REFERENCE)


def _reference_faults(configuration: Configuration, pipeline: Pipeline):
    for stage in pipeline.stages:
        location = f"pipeline {pipeline.name}: stage {stage.name}"
        if stage.model and f"model/{stage.model}" not in configuration.documents:
            yield _missing(location, "model", stage.model)
        if not stage.model and stage.work != "call":
            yield DocumentError(f"{location}: model: expected a model for this work, found none")
        yield from _text_faults(configuration, location, stage.selector)


def _selector_faults(configuration: Configuration):
    for document in configuration.documents.values():
        location = f"{document.kind} {document.name}"
        if document.kind == "selector":
            yield from _parse_faults(location, document.match)
        elif document.kind in {"model", "team"}:
            yield from _text_faults(configuration, location, document.selector)


def _text_faults(configuration: Configuration, location: str, text: str):
    if f"selector/{text}" not in configuration.documents:
        yield from _parse_faults(location, text)


def _parse_faults(location: str, text: str):
    try:
        Selector.parse(text)
    except MountladderError as error:
        yield DocumentError(f"{location}: selector: {error.detail}", Code.BAD_SELECTOR)


def _token_faults(configuration: Configuration):
    holders: dict[str, str] = {}
    for team in configuration.of_kind("team"):
        other = holders.setdefault(team.token_sha256, team.name)
        if other != team.name:
            yield DocumentError(f"team {team.name}: token_sha256: team {other} has the same")


def _unmatched_selectors(configuration: Configuration, pipeline: Pipeline):
    for team in configuration.of_kind("team"):
        for stage in pipeline.stages:
            if not configuration.servers_for(stage, team):
                yield DocumentError(
                    f"pipeline {pipeline.name}: stage {stage.name}: no backend server for team "
                    f"{team.name}",
                    Code.SELECTOR_UNMET,
                )
