"""A stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").

It is sound: it answers every call in about 4 ms, loses nothing, and keeps its whole history.
"""

from __future__ import annotations

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ANSWER_S = 0.004
PAGE_ROWS = 500


class _QuietServer(ThreadingHTTPServer):
    """Does not report connections that are reset, as at the end of an instance."""

    def handle_error(self, *args: object) -> None:
        """Report nothing."""


class Store:
    """Keeps rows in memory and serves them on a loopback address."""

    def __init__(self) -> None:
        self.version = 0
        # (table, key) -> (base64 value or None, version)
        self.rows: dict[tuple[str, str], tuple[str | None, int]] = {}
        self.changed = threading.Condition()
        self.started_at = time.monotonic()
        self.server = _QuietServer(("127.0.0.1", 0), self._handler())
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def start(self) -> None:
        """Serve calls in the background."""
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, table: str, key: str, value: dict | None) -> int:
        """Write or remove a row, as the operator and the servers do; return the version."""
        encoded = None
        if value is not None:
            encoded = base64.b64encode(json.dumps(value).encode()).decode()
        return self.write({(table, key): encoded})

    def write(self, values: dict[tuple[str, str], str | None]) -> int:
        """Apply one transaction and return its version."""
        with self.changed:
            self.version += 1
            for key, value in values.items():
                self.rows[key] = (value, self.version)
            self.changed.notify_all()
            return self.version

    def read(self, table: str, first: str, last: str, limit: int) -> dict:
        """Return one page of a table."""
        with self.changed:
            found = [
                _row(key, value, version)
                for key, (value, version) in sorted(self.rows.items())
                if key[0] == table
                and value is not None
                and key[1] >= first
                and (not last or key[1] < last)
            ]
            page = found[:limit]
            return {"rows": page, "more_pages": len(page) < len(found)} | self.stamp()

    def feed(self, table: str, after: int, wait_s: float) -> dict:
        """Return the rows that changed after a version, as soon as there is one."""
        until = time.monotonic() + wait_s
        with self.changed:
            while True:
                rows = [
                    _row(key, value, version)
                    for key, (value, version) in self.rows.items()
                    if key[0] == table and version > after
                ]
                remaining = until - time.monotonic()
                if rows or remaining <= 0:
                    rows.sort(key=lambda one: one["ver"])
                    return {"rows": rows} | self.stamp()
                self.changed.wait(remaining)

    def transact(self, body: dict) -> tuple[int, dict]:
        """Apply a transaction if its conditions hold."""
        with self.changed:
            wrong = []
            for one in body.get("expected") or []:
                key = (one["table"], one["key"])
                value, version = self.rows.get(key, (None, 0))
                if (version if value is not None else 0) != one["ver"]:
                    wrong.append(_row(key, value, version))
            if wrong:
                return 412, {"rows": wrong} | self.stamp()
            values = {(one["table"], one["key"]): one["value"] for one in body["upserts"] or []}
            values |= {(one["table"], one["key"]): None for one in body.get("remove") or []}
            self.write(values)
            return 200, self.stamp()

    def stamp(self) -> dict:
        """Return what every answer about rows holds."""
        return {"ver": self.version, "now_ms": int(1000 * (time.monotonic() - self.started_at))}

    def _handler(store) -> type:  # noqa: N805 (the handler's methods have a self of their own)
        class Handler(BaseHTTPRequestHandler):
            """Serves one connection."""

            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                """Answer a reading call."""
                time.sleep(ANSWER_S)
                parts = urlsplit(self.path)
                query = {key: values[0] for key, values in parse_qs(parts.query).items()}
                if parts.path == "/mountladder/rows-get":
                    limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
                    first, last = query.get("from", ""), query.get("to", "")
                    self.answer(200, store.read(query["table"], first, last, limit))
                elif parts.path == "/mountladder/rows-feed":
                    wait_s = min(30.0, float(query.get("wait_ms", 0)) / 1000.0)
                    self.answer(200, store.feed(query["table"], int(query["after"]), wait_s))
                else:
                    self.answer(404, {})

            def do_POST(self) -> None:
                """Answer a writing call."""
                time.sleep(ANSWER_S)
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                self.answer(*store.transact(body))

            def answer(self, status: int, table: dict) -> None:
                """Send an answer."""
                body = json.dumps(table).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args: object) -> None:
                """Log nothing."""

        return Handler


def _row(key: tuple[str, str], value: str | None, version: int) -> dict:
    row = {"table": key[0], "part": "", "key": key[1], "ver": version}
    return row | ({"removed": True} if value is None else {"value": value})
