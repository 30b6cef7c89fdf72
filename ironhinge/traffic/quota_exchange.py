"""The exchange of quota between the directors of a location: parts of a budget move to where the demand is.

Each director spends only its own part, and the parts sum up to the budget. A director with a surplus first
withdraws bytes from its own buckets and then grants them to a peer that recently refused fills. The recipient
deposits only the increase of the sender's counter (see `quota_datagram`), so a message that is lost, late or
duplicated never duplicates bytes. Grants that are in transit when either director restarts are lost, and
nothing is granted to a peer that has been silent for `PEER_TIMEOUT`. The part of a silent peer is never taken
over, because a stopped peer can't be distinguished from an unreachable one.
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

PEER_TIMEOUT = 20_000  # two seconds; a peer that has been silent for longer is granted nothing
DEMAND_DECAY = 0.5  # factor applied to the unmet demand after each message
LONG_AGO = -(1 << 60)


class QuotaPeer:
    """The state of the exchange with one incarnation of a peer; sizes are by budget key."""

    __slots__ = ("granted", "incarnation", "last_seen", "received", "requested")

    def __init__(self, incarnation: int, now: int):
        self.incarnation, self.last_seen = incarnation, now
        self.requested: dict[int, int] = {}  # bytes that it last requested, less those granted since
        self.granted: dict[int, int] = {}  # total bytes granted to it
        self.received: dict[int, int] = {}  # total bytes received from it


class QuotaExchange:
    """Requests quota from peers and grants them the surplus of this director."""

    def __init__(
        self, config: records.QuotaSharing, budgets: Mapping[str, Budget], peer_index: int, incarnation: int
    ):
        self._config, self._peer_index, self._incarnation = config, peer_index, incarnation
        self._budgets = {budget_key(name): budget for name, budget in budgets.items()}
        self.peers: dict[int, QuotaPeer] = {}
        self._sequence = 0
        self._sent_at = LONG_AGO
        self._grant_offset = 0  # index of the first grant in the last message that could not hold all grants

    def receive(self, now: int, sender: int, data: bytes) -> None:
        """Applies a datagram; invalid ones are ignored."""
        message = decode(data)
        if message is None or message.sender != sender or sender == self._peer_index:
            return
        peer = self.peers.get(sender)
        if peer is None or message.incarnation > peer.incarnation:
            peer = self.peers[sender] = QuotaPeer(message.incarnation, now)
        elif message.incarnation < peer.incarnation:
            return  # a late datagram of an earlier incarnation
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
        """Grants the surplus and sends a message, if the interval since the last one has passed."""
        if now < self._sent_at + self._config.every:
            return []
        self._sent_at = now
        for key, budget in self._budgets.items():
            self._grant_surplus(now, key, budget)
        return [BroadcastDatagram(self._next_message())]

    def _grant_surplus(self, now: int, key: int, budget: Budget) -> None:
        """Divides the surplus among the requesting peers, in proportion to their requests.

        Grants nothing of a budget while this director has unmet demand for it.
        """
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
                bucket.withdraw(size)  # withdrawn first, so that no byte is spent on both sides
            peer.granted[key] = peer.granted.get(key, 0) + size
            peer.requested[key] = requested - size

    def _next_message(self) -> bytes:
        """Encodes requests, then as many grants as fit; the grants rotate, so that all of them get sent."""
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
