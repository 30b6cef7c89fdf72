"""Datagrams to and from the other directors of the tier; they may be lost, and so may the socket."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio

from .. import interface
from ..facts import Address
from .system_calls import Backoff, Remedy

if TYPE_CHECKING:
    from .director import Director

DATAGRAM = 512  # bytes read of one; the protocol has 256 at most


class Peers:
    """The way to the other directors."""

    def __init__(self, director: Director):
        self.director = director
        self.sock: socket.socket | None = None  # none where the configuration has no address for it

    def say(self, act: interface.SendGossip) -> None:
        """To one of them, or to all where the platform has an address for that."""
        told = self.director.told
        to = told.peers_all if act.peer is None else told.peers[act.peer]
        if self.sock is not None and to is not None:
            self.director.driver.caller.send_datagram(self.sock, act.data, to)

    def tell_all(self, data: bytes) -> None:
        """To all of the tier at once, or to each where there is no address for all; nothing where the
        settings do not allow it.
        """
        told = self.director.told
        if not told.deployment.gossip_allowed:
            return None
        if told.peers_all is not None:
            return self.say(interface.SendGossip(None, data))
        for place, peer in enumerate(told.peers):
            if peer != told.peer_listen:
                self.say(interface.SendGossip(place, data))

    async def hear(self) -> None:
        """Hands on the datagrams of other directors."""
        caller, backoff = self.director.driver.caller, Backoff()
        while self.sock is not None:
            data, sender, remedy = caller.receive_datagram(self.sock, DATAGRAM)
            if sender is not None:
                backoff.reset()
                self._take(data, sender)
            elif remedy is Remedy.WAIT:
                await caller.readable(self.sock)
            else:
                await anyio.sleep(backoff.next())

    def _take(self, data: bytes, sender: Address) -> None:
        director = self.director
        if sender not in director.told.peers:
            return
        place = director.told.peers.index(sender)
        if director.books is not None and director.books.heard(director.clock.now(), place, data):
            return
        director.happen(interface.GossipReceived(place, data))
        director.driver.flush()
