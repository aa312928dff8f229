# tcplink.py -- An authenticated TCP connection between two instances
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

"""An authenticated TCP connection between two instances."""

from __future__ import annotations

import hashlib
import hmac
import os
import struct

from gevent import socket
from gevent.lock import BoundedSemaphore

from mountladder.code import Code
from mountladder.errors import PeerError
from mountladder.membership.hello import Hello
from mountladder.membership.instance import Instance
from mountladder.membership.link import Link
from mountladder.membership.wire import VERSION, Message, decode, encode
from mountladder.memory.memoryaccount import MemoryAccount

NONCE_BYTES = 16
PROOF_BYTES = 32
MAC_BYTES = 8
MAX_HELLO_BYTES = 2_048
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
HANDSHAKE_SECONDS = 3.0
READ_BYTES = 16_384
_HEAD = struct.Struct(">I8s")
_SIZE = struct.Struct(">I")


class TcpLink(Link):
    """Sends and receives messages over one TCP connection.

    Both ends prove that they have the fleet's key with an HMAC over the other's nonce. After that
    each message carries a MAC that covers a sequence number, so that messages that were changed,
    replayed or dropped are detected.

    Args:
        connection: The connected socket, which the link owns.
        secret: The fleet's key.
        me: This instance.
        account: Counts the bytes of messages that wait to be sent, or None.

    Attributes:
        holder: Counts them for this link, or None.
        received: The bytes that arrived and were not read yet.
        sent_bytes: How many bytes were sent.
    """

    def __init__(
        self,
        connection: socket.socket,
        secret: bytes,
        me: Instance,
        account: MemoryAccount | None = None,
    ) -> None:
        super().__init__()
        self.account = account
        self.holder = account.open("peer", self.cut) if account else None
        self.connection = connection
        self.secret = secret
        self.me = me
        self.lock = BoundedSemaphore(1)
        self.received = bytearray()
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_messages = 0
        self.send_key = b""
        self.receive_key = b""

    def handshake(self) -> Instance:
        """Exchange hello messages and proofs; return the instance at the other end.

        Raises:
            PeerError: The peer speaks another protocol version or does not have the key.
        """
        self.connection.settimeout(HANDSHAKE_SECONDS)
        nonce = os.urandom(NONCE_BYTES)
        own_hello = encode(Hello(VERSION, self.me, nonce))
        self.write(_SIZE.pack(len(own_hello)) + own_hello)
        received = self.read_sized(MAX_HELLO_BYTES)
        hello = decode(received)
        if not isinstance(hello, Hello):
            raise PeerError("the first message is not a hello", Code.BAD_MESSAGE)
        if hello.version != VERSION:
            raise PeerError(f"protocol version {hello.version}, not {VERSION}", Code.PEER_VERSION)
        if hello.instance.incarnation == self.me.incarnation:
            raise PeerError("an instance connected to itself", Code.PEER_REFUSED)
        self.write(self.proof(hello.nonce, own_hello))
        if not hmac.compare_digest(self.read(PROOF_BYTES), self.proof(nonce, received)):
            raise PeerError("", Code.PEER_REFUSED)
        self.send_key = self.proof(hello.nonce + nonce, b"session")
        self.receive_key = self.proof(nonce + hello.nonce, b"session")
        self.connection.settimeout(None)
        self.peer = hello.instance
        return hello.instance

    def proof(self, nonce: bytes, text: bytes) -> bytes:
        """Return the HMAC of a nonce and a text under the fleet's key."""
        return hmac.new(self.secret, nonce + text, hashlib.sha256).digest()

    def send(self, message: Message) -> int:
        """Send a message and return its size in bytes.

        Raises:
            PeerError: The connection is broken.
        """
        data = encode(message)
        size = len(data) + _HEAD.size
        if self.holder is not None:
            self.holder.add(size)
        try:
            with self.lock:
                mac = _mac(self.send_key, self.sent_messages, data)
                self.sent_messages += 1
                self.write(_HEAD.pack(len(data), mac) + data)
        finally:
            if self.holder is not None:
                self.holder.add(-size)
        return size

    def receive(self) -> Message:
        """Return the next message.

        Raises:
            PeerError: The connection is broken or the message fails authentication.
        """
        size, mac = _HEAD.unpack(self.read(_HEAD.size))
        if size > MAX_MESSAGE_BYTES:
            raise PeerError(
                f"a message of {size} bytes exceeds {MAX_MESSAGE_BYTES}", Code.BAD_MESSAGE
            )
        data = self.read(size)
        expected = _mac(self.receive_key, self.received_messages, data)
        self.received_messages += 1
        if not hmac.compare_digest(mac, expected):
            raise PeerError("the MAC of a message does not match", Code.BAD_MESSAGE)
        return decode(data)

    def read_sized(self, limit: int) -> bytes:
        """Read a length-prefixed byte string.

        Raises:
            PeerError: The connection is broken or the length exceeds the limit.
        """
        (size,) = _SIZE.unpack(self.read(_SIZE.size))
        if size > limit:
            raise PeerError(f"a hello message of {size} bytes exceeds {limit}", Code.BAD_MESSAGE)
        return self.read(size)

    def write(self, data: bytes) -> None:
        """Write bytes.

        Raises:
            PeerError: The connection is broken.
        """
        try:
            # The socket takes most messages whole. gevent's sendall alone makes another system call
            # and starts its chunking for each of them.
            sent = self.connection.send(data)
            if sent < len(data):
                self.write_rest(data[sent:])
        except OSError as error:
            raise PeerError(f"the connection broke: {error}") from error
        self.sent_bytes += len(data)

    def write_rest(self, data: bytes) -> None:
        """Write bytes to a peer that does not take them at once."""
        if self.holder is not None:
            self.holder.blocked_since = self.account.clock.now()
        try:
            self.connection.sendall(data)
        finally:
            if self.holder is not None:
                self.holder.blocked_since = None

    def cut(self, reason: str) -> None:
        """Break the connection, so that the tasks that read and write fail."""
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has closed it before.
            return

    def read(self, size: int) -> bytes:
        """Read an exact number of bytes.

        Raises:
            PeerError: The connection is broken.
        """
        while len(self.received) < size:
            try:
                # Reads beyond this message save system calls: its head and body arrive together.
                piece = self.connection.recv(READ_BYTES)
            except OSError as error:
                raise PeerError(f"the connection broke: {error}") from error
            if not piece:
                raise PeerError("the peer closed the connection")
            self.received += piece
        data = bytes(self.received[:size])
        del self.received[:size]
        return data

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()
        if self.holder is not None:
            # Tasks that still wait to send release their own messages.
            self.account.holders.discard(self.holder)


def _mac(key: bytes, number: int, data: bytes) -> bytes:
    mac = hashlib.blake2b(data, digest_size=MAC_BYTES, key=key, salt=number.to_bytes(16, "big"))
    return mac.digest()
