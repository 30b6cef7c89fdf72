"""How the directors of a location move parts of a budget to where the demand is.

Each director spends only its own part, and the parts sum up to the budget. One that has a surplus withdraws
bytes from its own buckets first and then grants them to a peer that refused fills lately. The recipient
deposits what is new in the sender's counter (see `quota_datagram`). So a message that is lost, late or
duplicated never makes two bytes of one; what is lost with an incarnation on either side is lost, and nothing
is granted to a peer that was not heard from lately. An unresponsive peer's part is never taken from it:
nobody can tell a dead peer from one that only can't be reached.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ..settings import records
from .budget import Budget
from .quota_datagram import (
    GRANT,
    MAX_BYTES,
    REQUEST,
    QuotaGrant,
    QuotaMessage,
    QuotaRequest,
    budget_key,
    decode,
    encode_grants,
    encode_header,
    encode_requests,
)
from .types import BroadcastDatagram, LedgerCommand

PEER_TIMEOUT = 20_000  # a peer that was not heard from for that long is granted nothing
DEMAND_DECAY = 0.5  # of the unmet demand, after each message
LONG_AGO = -(1 << 60)


class QuotaPeer:
    """What is known of one incarnation of a peer; all sizes by the key of their budget."""

    __slots__ = ("granted", "incarnation", "last_seen", "received", "requested")

    def __init__(self, incarnation: int, now: int):
        self.incarnation, self.last_seen = incarnation, now
        self.requested: dict[int, int] = {}  # what is left of its last requests
        self.granted: dict[int, int] = {}  # all that went to it
        self.received: dict[int, int] = {}  # all that came from it


class QuotaExchange:
    """The requests and grants of one director."""

    def __init__(
        self, config: records.Share, budgets: Mapping[str, Budget], peer_index: int, incarnation: int
    ):
        self._config, self._peer_index, self._incarnation = config, peer_index, incarnation
        self._budgets = {budget_key(name): budget for name, budget in budgets.items()}
        self.peers: dict[int, QuotaPeer] = {}
        self._sequence = 0
        self._sent_at = LONG_AGO
        self._grant_offset = 0  # where the next message begins among the grants

    def receive(self, now: int, sender: int, data: bytes) -> None:
        """Takes in a datagram, whatever it holds."""
        message = decode(data)
        if message is None or message.sender != sender or sender == self._peer_index:
            return
        peer = self.peers.get(sender)
        if peer is None or message.incarnation > peer.incarnation:
            peer = self.peers[sender] = QuotaPeer(message.incarnation, now)
        elif message.incarnation < peer.incarnation:
            return  # it comes late, from an earlier incarnation
        peer.last_seen = now
        peer.requested.update(message.requests)
        self._deposit_grants(peer, message)

    def _deposit_grants(self, peer: QuotaPeer, message: QuotaMessage) -> None:
        for key, recipient, incarnation, total in message.grants:
            budget = self._budgets.get(key)
            if budget is None or recipient != self._peer_index or incarnation != self._incarnation:
                continue
            newly_granted = total - peer.received.get(key, 0)
            if newly_granted > 0:
                peer.received[key] = total
                for bucket in budget.regular.buckets:
                    bucket.deposit(newly_granted)

    def tick(self, now: int) -> list[LedgerCommand]:
        """Grants what is in surplus and sends a message, when it is time to."""
        if now < self._sent_at + self._config.every:
            return []
        self._sent_at = now
        for key, budget in self._budgets.items():
            self._grant_surplus(now, key, budget)
        return [BroadcastDatagram(self._next_message())]

    def _grant_surplus(self, now: int, key: int, budget: Budget) -> None:
        """Divides the surplus among the peers that request some, in proportion to what they request."""
        requesting = [
            (peer.requested.get(key, 0), peer)
            for peer in self.peers.values()
            if now - peer.last_seen <= PEER_TIMEOUT and peer.requested.get(key, 0) > 0
        ]
        buckets = budget.regular.buckets
        if not requesting or budget.unmet_demand > 0 or not buckets:
            return
        surplus = self._config.grant_ratio * min(bucket.surplus(now) for bucket in buckets)
        total_requested = sum(requested for requested, _ in requesting)
        for requested, peer in requesting:
            size = int(min(requested, surplus * requested / total_requested))
            if size <= 0:
                continue
            for bucket in buckets:
                bucket.withdraw(size)  # before anyone else can have it
            peer.granted[key] = peer.granted.get(key, 0) + size
            peer.requested[key] = requested - size

    def _next_message(self) -> bytes:
        """Requests first, then as many grants as fit, in turn: all of them come round."""
        self._sequence += 1
        header = encode_header(self._peer_index, self._incarnation, self._sequence)
        max_requests = (MAX_BYTES - len(header)) // 2 // REQUEST.size
        requests = encode_requests(self._requests())[:max_requests]
        used = len(header) + REQUEST.size * len(requests)
        grants = encode_grants(self._grants())
        return b"".join([header, *requests, *self._rotated(grants, (MAX_BYTES - used) // GRANT.size)])

    def _requests(self) -> list[QuotaRequest]:
        requests = []
        for key, budget in self._budgets.items():
            demand = budget.unmet_demand
            requests.append(QuotaRequest(key, int(demand)))
            budget.unmet_demand = demand * DEMAND_DECAY if demand > 1 else 0.0
        return requests

    def _grants(self) -> list[QuotaGrant]:
        return [
            QuotaGrant(key, index, peer.incarnation, total)
            for index, peer in sorted(self.peers.items())
            for key, total in sorted(peer.granted.items())
        ]

    def _rotated(self, entries: Sequence[bytes], max_entries: int) -> list[bytes]:
        if len(entries) <= max_entries:
            return list(entries)
        self._grant_offset = (self._grant_offset + max_entries) % len(entries)
        return [entries[(self._grant_offset + offset) % len(entries)] for offset in range(max_entries)]
