"""Datagrams to and from the other directors of the tier; they may be lost, and so may the socket."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio

from .. import interface
from ..config import Address
from .system_calls import Backoff, Remedy

if TYPE_CHECKING:
    from .director import Director

DATAGRAM = 512  # bytes read of one; the protocol has 256 at most


class Gossip:
    """The way to the other directors."""

    def __init__(self, director: Director):
        self.director = director
        self.sock: socket.socket | None = None  # none where the configuration has no address for it

    def send(self, act: interface.SendGossip) -> None:
        """To one of them, or to all where the platform has an address for that."""
        told = self.director.config
        to = told.gossip_broadcast if act.peer is None else told.gossip_peers[act.peer]
        if self.sock is not None and to is not None:
            self.director.manager.calls.send_datagram(self.sock, act.data, to)

    def broadcast(self, data: bytes) -> None:
        """To all of the tier at once, or to each where there is no address for all; nothing where the
        settings do not allow it.
        """
        told = self.director.config
        if not told.deployment.gossip_allowed:
            return None
        if told.gossip_broadcast is not None:
            return self.send(interface.SendGossip(None, data))
        for place, peer in enumerate(told.gossip_peers):
            if peer != told.gossip_listen:
                self.send(interface.SendGossip(place, data))

    async def receive_loop(self) -> None:
        """Hands on the datagrams of other directors."""
        caller, backoff = self.director.manager.calls, Backoff()
        while self.sock is not None:
            data, sender, remedy = caller.receive_datagram(self.sock, DATAGRAM)
            if sender is not None:
                backoff.reset()
                self._on_datagram(data, sender)
            elif remedy is Remedy.WAIT:
                await caller.readable(self.sock)
            else:
                await anyio.sleep(backoff.next())

    def _on_datagram(self, data: bytes, sender: Address) -> None:
        director = self.director
        if sender not in director.config.gossip_peers:
            return
        place = director.config.gossip_peers.index(sender)
        if director.traffic_account is not None and director.traffic_account.heard(
            director.clock.now(), place, data
        ):
            return
        director.report(interface.GossipReceived(place, data))
        director.manager.flush()
