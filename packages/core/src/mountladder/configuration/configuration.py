# configuration.py -- The configuration at one revision
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""The configuration at one revision."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from functools import cached_property

from mountladder.configuration.backendserver import BackendServer
from mountladder.configuration.change import Change
from mountladder.configuration.document import Document
from mountladder.configuration.documents import read_document
from mountladder.configuration.model import Model
from mountladder.configuration.pipeline import Pipeline
from mountladder.configuration.selector import Selector
from mountladder.configuration.stage import Stage
from mountladder.configuration.team import Team
from mountladder.errors import MALFORMED, BadRowError, DocumentError


@dataclass(frozen=True)
class Configuration:
    """All documents at one revision; immutable, replaced as a whole by a later revision.

    Attributes:
        revision: The revision, 0 for the empty configuration.
        documents: The documents by their keys.
        allowed: Cached results of servers_for.
    """

    revision: int = 0
    documents: dict[str, Document] = field(default_factory=dict)
    allowed: dict[tuple[str, str, str], tuple[BackendServer, ...]] = field(
        default_factory=dict, compare=False, repr=False
    )

    def after(self, change: Change) -> Configuration:
        """Return the configuration that results from applying a change to this one.

        Raises:
            BadRowError: The change does not directly follow this revision.
        """
        if change.revision != self.revision + 1:
            raise BadRowError(f"change {change.revision} cannot follow revision {self.revision}")
        documents = dict(self.documents)
        for key in change.deletes:
            documents.pop(key, None)
        documents.update((document.key, document) for document in change.puts)
        return Configuration(change.revision, documents)

    def of_kind(self, kind: str) -> tuple[Document, ...]:
        """Return the documents of one kind, sorted by name."""
        prefix = kind + "/"
        return tuple(
            self.documents[key] for key in sorted(self.documents) if key.startswith(prefix)
        )

    def pipeline(self, name: str) -> Pipeline | None:
        """Return a pipeline by its name, or None if there is none."""
        return self.documents.get(f"pipeline/{name}")

    def team_of(self, token_sha256: str) -> Team | None:
        """Return the team by the hash of its token, or None if there is none."""
        return self.teams_by_token.get(token_sha256)

    @cached_property
    def teams_by_token(self) -> dict[str, Team]:
        """The teams by the hash of their token, computed once per revision."""
        return {team.token_sha256: team for team in self.of_kind("team")}

    def selector(self, text: str) -> Selector:
        """Return the selector that a text names, or else the one parsed from the text itself."""
        named = self.documents.get(f"selector/{text}")
        return Selector.parse(named.match if named else text)

    def servers_for(self, stage: Stage, team: Team) -> tuple[BackendServer, ...]:
        """Return the backend servers that the selectors allow, without draining ones.

        They match the selectors of the stage, its model and the team. The result is cached with
        this revision.
        """
        key = (stage.work + "/" + stage.model, stage.selector, team.selector)
        servers = self.allowed.get(key)
        if servers is None:
            servers = self._servers_for(stage, team)
            self.allowed[key] = servers
        return servers

    def _servers_for(self, stage: Stage, team: Team) -> tuple[BackendServer, ...]:
        model = self.documents.get(f"model/{stage.model}")
        texts = (stage.selector, team.selector, model.selector if isinstance(model, Model) else "")
        selectors = tuple(self.selector(text) for text in texts)
        wanted = "service" if stage.work == "call" else "engine"
        return tuple(
            server
            for server in self.of_kind("server")
            if server.serves == wanted
            and not server.draining
            and (not stage.model or not server.models or stage.model in server.models)
            and all(selector.meets(server.all_labels()) for selector in selectors)
        )

    def encode(self) -> bytes:
        """Return the configuration as a snapshot."""
        entries = [[document.kind, document.table()] for document in self.documents.values()]
        table = {"revision": self.revision, "documents": entries}
        return json.dumps(table, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> Configuration:
        """Parse a snapshot.

        Raises:
            BadRowError: The value is not a snapshot.
        """
        try:
            table = json.loads(value)
            documents = [read_document(kind, entry) for kind, entry in table["documents"]]
            return cls(int(table["revision"]), {one.key: one for one in documents})
        except (*MALFORMED, DocumentError) as error:
            raise BadRowError(f"a configuration snapshot cannot be parsed: {error}") from error
