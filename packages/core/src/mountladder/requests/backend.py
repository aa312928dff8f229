# backend.py -- Calls to backend servers
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""Calls to backend servers."""

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
        """Run a stage and return its whole result.

        Raises:
            StageError: The attempt failed; it says whether the server may have begun to run it.
        """

    @abstractmethod
    def stream(self, server: BackendServer, call: StageCall) -> Iterator[Chunk]:
        """Run a stage and yield its tokens in order, each once, after those already held.

        Raises:
            StageError: The attempt failed or the stream ended before its end.
        """

    @abstractmethod
    def refuses(self, server: BackendServer) -> bool:
        """Tell whether nobody listens at a server's address, so that it has ended."""

    @abstractmethod
    def cancel(self, server: BackendServer, attempt: str) -> None:
        """Ask a server to stop an attempt; a failure to reach it is not an error."""
