"""Sends and receives gossip datagrams between the directors of the tier; datagrams may be lost."""

from __future__ import annotations

import socket
from typing import Protocol

import anyio

from ..config import Address, DirectorConfig
from ..interface import SendGossip
from .socket_calls import SocketCalls
from .system_calls import Backoff, Remedy

DATAGRAM_READ_SIZE = 512  # bytes; the protocol allows 256 at most


class GossipHandler(Protocol):
    """Receives the datagrams."""

    def on_datagram(self, sender: int, data: bytes) -> None:
        """Handles a datagram from the peer with the index `sender`."""


class Gossip:
    """The datagram socket for the other directors; without a socket, nothing is sent or received."""

    def __init__(self, config: DirectorConfig, calls: SocketCalls, handler: GossipHandler):
        self.sock: socket.socket | None = None  # None: the configuration has no address for it
        self._config = config
        self._calls = calls
        self._handler = handler

    def send(self, command: SendGossip) -> None:
        """Sends a datagram to one peer, or to all if there is a broadcast address."""
        config = self._config
        target = config.gossip_broadcast if command.peer is None else config.gossip_peers[command.peer]
        if self.sock is not None and target is not None:
            self._calls.send_datagram(self.sock, command.data, target)

    def broadcast(self, data: bytes) -> None:
        """Sends a datagram to the broadcast address, or to each peer if there is none.

        Does nothing if the settings do not allow gossip.
        """
        config = self._config
        if not config.deployment.gossip_allowed:
            return
        if config.gossip_broadcast is not None:
            self.send(SendGossip(None, data))
            return
        for index, peer in enumerate(config.gossip_peers):
            if peer != config.gossip_listen:
                self.send(SendGossip(index, data))

    async def receive_loop(self) -> None:
        """Receives datagrams and passes those of configured peers to the handler."""
        backoff = Backoff()
        while self.sock is not None:
            data, sender, remedy = self._calls.receive_datagram(self.sock, DATAGRAM_READ_SIZE)
            if sender is not None:
                backoff.reset()
                self._on_datagram(data, sender)
            elif remedy is Remedy.WAIT:
                await self._calls.readable(self.sock)
            else:
                await anyio.sleep(backoff.next())

    def _on_datagram(self, data: bytes, sender: Address) -> None:
        if sender in self._config.gossip_peers:
            self._handler.on_datagram(self._config.gossip_peers.index(sender), data)
