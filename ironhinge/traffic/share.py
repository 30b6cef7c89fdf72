"""Owns how directors of a branch move parts of a budget to where the demand is, in datagrams of 256 bytes.

Each director keeps its own part alone; the parts sum to the budget. One that has more than it needs takes
bytes out of its own pots first and then grants them to a peer that refused fills lately. A grant is a
counter that only rises, from one life of the giver to one life of the taker: the taker takes what is new in
it. So a message that is lost, late or doubled never makes two bytes of one; what is lost with a life on
either side is lost, and nothing is granted to a peer that was not heard lately. A silent peer's part is
never taken from it: nobody can tell a dead peer from one that only can't be heard.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from ..settings import records
from .budget import Budget
from .types import Doing, Tell

MOST = 256  # bytes of a datagram
HEAD = struct.Struct(">2sHQI")  # mark, sender, its life, number of the message
WANT = struct.Struct(">BIQ")  # 1, budget, bytes refused lately
GRANT = struct.Struct(">BIHQQ")  # 2, budget, taker, its life, bytes in all
MARK = b"i1"
SILENT = 20_000  # a peer unheard for that long is granted nothing
WANT_FADES = 0.5  # of what was refused, a message later


def tag(name: str) -> int:
    return xxhash.xxh32_intdigest(name)


class Message(NamedTuple):
    sender: int
    life: int
    number: int
    wants: tuple[tuple[int, int], ...]
    grants: tuple[tuple[int, int, int, int], ...]


def parse(data: bytes) -> Message | None:
    """None for what is no message of ours: a datagram may hold anything."""
    if not HEAD.size <= len(data) <= MOST:
        return None
    mark, sender, life, number = HEAD.unpack_from(data)
    if mark != MARK:
        return None
    at, wants, grants = HEAD.size, [], []
    try:
        while at < len(data):
            if data[at] == 1:
                wants.append(WANT.unpack_from(data, at)[1:])
                at += WANT.size
            elif data[at] == 2:
                grants.append(GRANT.unpack_from(data, at)[1:])
                at += GRANT.size
            else:
                return None
    except struct.error:
        return None
    return Message(sender, life, number, tuple(wants), tuple(grants))


class Peer:
    """What is known of one peer: its life, what it wants, what went to it and came from it in that life."""

    __slots__ = ("given", "heard_at", "life", "taken", "wants")

    def __init__(self, life: int, now: int):
        self.life, self.heard_at = life, now
        self.wants: dict[int, int] = {}
        self.given: dict[int, int] = {}
        self.taken: dict[int, int] = {}


class Sharing:
    def __init__(self, told: records.Share, budgets: dict[str, Budget], me: int, life: int):
        self.told, self.me, self.life = told, me, life
        self.budgets = {tag(name): budget for name, budget in budgets.items()}
        self.peers: dict[int, Peer] = {}
        self.number = 0
        self.sent_at = -(1 << 60)
        self.turn = 0

    def heard(self, now: int, sender: int, data: bytes) -> None:
        message = parse(data)
        if message is None or message.sender != sender or sender == self.me:
            return
        peer = self.peers.get(sender)
        if peer is None or message.life > peer.life:
            peer = self.peers[sender] = Peer(message.life, now)
        elif message.life < peer.life:
            return  # a word from an earlier life, late
        peer.heard_at = now
        for key, count in message.wants:
            peer.wants[key] = count
        for key, taker, life, count in message.grants:
            budget = self.budgets.get(key)
            if budget is None or taker != self.me or life != self.life:
                continue
            new = count - peer.taken.get(key, 0)
            if new > 0:
                peer.taken[key] = count
                for pot in budget.pots:
                    pot.give(new)

    def tick(self, now: int) -> list[Doing]:
        if now < self.sent_at + self.told.every:
            return []
        self.sent_at = now
        for key, budget in self.budgets.items():
            self._grant(now, key, budget)
        return [Tell(self._message(now))]

    def _grant(self, now: int, key: int, budget: Budget) -> None:
        """Hands what lies above half of a full pot to those that want it, most to the one that wants most."""
        hungry = [
            (peer.wants.get(key, 0), peer)
            for peer in self.peers.values()
            if now - peer.heard_at <= SILENT and peer.wants.get(key, 0) > 0
        ]
        if not hungry or budget.wanted > 0 or not budget.pots:
            return
        spare = self.told.give * min(pot.spare(now) for pot in budget.pots)
        wanted = sum(want for want, _ in hungry)
        for want, peer in hungry:
            count = int(min(want, spare * want / wanted))
            if count > 0:
                for pot in budget.pots:
                    pot.take(count)  # first ours no more, then theirs
                peer.given[key] = peer.given.get(key, 0) + count
                peer.wants[key] = want - count

    def _message(self, now: int) -> bytes:
        """Wants first, then as many counters as fit, in turns: all of them come round."""
        self.number += 1
        parts: list[bytes] = [HEAD.pack(MARK, self.me, self.life, self.number & 0xFFFFFFFF)]
        for key, budget in self.budgets.items():
            parts.append(WANT.pack(1, key, int(budget.wanted)))
            budget.wanted = budget.wanted * WANT_FADES if budget.wanted > 1 else 0.0
        room = MOST - sum(map(len, parts[:1]))
        parts[1:] = parts[1 : 1 + room // 2 // WANT.size]
        counters = [
            GRANT.pack(2, key, index, peer.life, count)
            for index, peer in sorted(self.peers.items())
            for key, count in sorted(peer.given.items())
        ]
        return b"".join(parts) + b"".join(self._some(counters, (MOST - sum(map(len, parts))) // GRANT.size))

    def _some(self, counters: Sequence[bytes], most: int) -> list[bytes]:
        if len(counters) <= most:
            return list(counters)
        self.turn = (self.turn + most) % len(counters)
        return [counters[(self.turn + place) % len(counters)] for place in range(most)]
