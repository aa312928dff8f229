# backend.py -- Interface for calls to backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Interface for calls to backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator

from mountladder.configuration.backendserver import BackendServer
from mountladder.requests.chunk import Chunk
from mountladder.requests.stagecall import StageCall
from mountladder.requests.stageresult import StageResult


class Backend(ABC):
    """Runs stages on backend servers."""

    @abstractmethod
    def run(self, server: BackendServer, call: StageCall) -> StageResult:
        """Run a stage and return its complete result.

        Raises:
            StageError: The attempt failed; `dispatched` shows whether it may have begun to run.
        """

    @abstractmethod
    def stream(self, server: BackendServer, call: StageCall) -> Iterator[Chunk]:
        """Run a stage and yield its tokens in order, each once, after those received before.

        Raises:
            StageError: The attempt failed or the stream was cut.
        """

    @abstractmethod
    def refuses(self, server: BackendServer) -> bool:
        """Return whether connections to a server's address are refused, so that it has crashed."""

    @abstractmethod
    def cancel(self, server: BackendServer, attempt: str) -> None:
        """Ask a server to cancel an attempt; no error is raised if it cannot be reached."""
