"""Datagrams to and from the other directors of the tier; they may be lost, and so may the socket."""

from __future__ import annotations

import socket
from typing import Protocol

import anyio

from ..config import Address, DirectorConfig
from ..interface import SendGossip
from .socket_calls import SocketCalls
from .system_calls import Backoff, Remedy

DATAGRAM_READ_SIZE = 512  # bytes; the protocol has 256 at most


class GossipHandler(Protocol):
    """What hears of datagrams."""

    def on_datagram(self, sender: int, data: bytes) -> None:
        """A datagram came from the peer with that index."""


class Gossip:
    """The socket to the other directors; without one, nothing is sent."""

    def __init__(self, config: DirectorConfig, calls: SocketCalls, handler: GossipHandler):
        self.sock: socket.socket | None = None  # none where the configuration has no address for it
        self._config = config
        self._calls = calls
        self._handler = handler

    def send(self, command: SendGossip) -> None:
        """Sends to one peer, or to all where the platform has an address for that."""
        config = self._config
        target = config.gossip_broadcast if command.peer is None else config.gossip_peers[command.peer]
        if self.sock is not None and target is not None:
            self._calls.send_datagram(self.sock, command.data, target)

    def broadcast(self, data: bytes) -> None:
        """Sends to all of the tier at once, or to each where there is no address for all.

        Does nothing where the settings do not allow gossip.
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
        """Hands on the datagrams of other directors."""
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
