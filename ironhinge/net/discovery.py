"""Follows the coordinator: keeps a connection to it, wherever it is by now, and learns what it tells.

Events are numbered; those that are known already are passed over. What each means is told to the decision
module, and attempts that have not begun and should not go any more are taken back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from loguru import logger

from .. import interface
from ..config import DirectorConfig, EndpointListUpdate, EndpointRecord, PurgeUpdate
from .attempt_end import AttemptEnd
from .clock import SECOND
from .system_calls import spread
from .upstream import Attempt, DiscoveryConnection, Upstream

if TYPE_CHECKING:
    from .director import Director

FEED_SILENCE = 2 * SECOND  # the coordinator writes each second; its news count as told 4 s after a stop
FEED_LOOK = SECOND // 4  # how often that is looked at
FEED_AGAIN, FEED_AGAIN_MOST = 0.05, 0.4  # seconds before the coordinator is called again; its news count as
# told 2 s after a break
FOLLOWED = "seed", "known", "known_index", "discovery_address"  # what each configuration may say anew
WRITES_EACH = 1000  # milliseconds: the coordinator writes in order, and each second at least


class Discovery:
    """What the coordinator has told, and the connection to it."""

    def __init__(self, director: Director):
        self.director = director
        self.last_index = 0  # of the last event
        self.connection: DiscoveryConnection | None = None
        self.caught_up_at = director.clock.now()  # all that there was to tell by then is known

    def apply(self, news: Any) -> None:
        """An event of the coordinator; those that are known already are passed over."""
        director = self.director
        if director.local_store is not None:
            director.local_store.hears(director.clock.unix_ms() - WRITES_EACH)
        if isinstance(news, PurgeUpdate) and news.event_index > self.last_index:
            self.last_index = news.event_index
            self._apply_purge(news)
        elif isinstance(news, EndpointListUpdate) and news.event_index > self.last_index:
            self.last_index = news.event_index
            listed = interface.EndpointsUpdated(news.is_full, self._apply_endpoints(news))
            if director.traffic_account is not None:
                director.traffic_account.listed(director.clock.now(), listed)
            director.report(listed)
            director.withdraw_unsent(Attempt.is_outdated)

    def _apply_purge(self, news: PurgeUpdate) -> None:
        director = self.director
        if director.local_store is not None:
            director.local_store.purge(news.object_id, news.group, news.unix_ms)
        age = director.clock.age_of_event(news.unix_ms, self.caught_up_at)
        director.report(interface.PurgeNotified(news.object_id, news.group, age))
        if news.object_id is None:
            director.withdraw_unsent(lambda out: out.request.received.group == news.group)
        else:
            director.withdraw_unsent(lambda out: out.request.received.object_id == news.object_id)

    def _apply_endpoints(self, news: EndpointListUpdate) -> tuple[interface.Endpoint, ...]:
        nodes = self.director.upstreams
        rows = tuple(self._apply_endpoint(listing) for listing in news.records)
        here = {row.id for row in rows}
        for node in nodes.values():
            if news.is_full and node.id not in here:
                node.state = "gone"
            if node.state == "gone":
                node.retire()
        return rows

    def _apply_endpoint(self, listing: EndpointRecord) -> interface.Endpoint:
        row, address, started_unix = listing
        nodes = self.director.upstreams
        node = nodes.get(row.id)
        if node is None:
            node = nodes[row.id] = Upstream(row.id, address)
        elif node.address != address or started_unix > node.started_unix_ms:
            node.retire()  # another process listens there now
        if row.state != node.state:
            logger.info("node {} is {}", row.id, row.state)
        node.address, node.state = address, row.state
        if started_unix > node.started_unix_ms:  # once: told again it must not look like another restart
            node.started_unix_ms = started_unix
            node.started_at = self.director.clock.start_instant(started_unix, self.caught_up_at)
        return row._replace(started_at=node.started_at if started_unix else 0)

    async def follow(self) -> None:
        """Keeps a connection to the coordinator, wherever it is by now."""
        director, again = self.director, FEED_AGAIN
        while True:
            at = director.config.discovery_address
            if at is None:
                await anyio.sleep(FEED_AGAIN_MOST)
                continue
            receiver = self.connection = DiscoveryConnection(director, self)
            dial = director.clock.seconds(director.config.transport.connect_timeout)
            receiver.connection = director.manager.connect(receiver, at, dial, needed=True)
            await self._wait_until_closed(receiver)
            if director.config.discovery_address == at:
                logger.warning("coordinator: connection over, calling again")
                again = FEED_AGAIN if receiver.has_received else min(FEED_AGAIN_MOST, 2 * again)
                await anyio.sleep(spread(again))

    async def _wait_until_closed(self, receiver: DiscoveryConnection) -> None:
        """Until a connection is over, or was silent for too long."""
        clock = self.director.clock
        while not receiver.closed.is_set():
            with anyio.move_on_after(clock.seconds(FEED_LOOK)):
                await receiver.closed.wait()
            if clock.now() > receiver.last_received_at + FEED_SILENCE:
                receiver.connection.close(AttemptEnd.TIMED_OUT)

    def apply_config(self, told: DirectorConfig) -> None:
        """What a new configuration changes while all else lives on: where the coordinator is. It is asked for
        what follows the last event that we have.
        """
        director = self.director
        for name in DirectorConfig._fields:
            if name not in FOLLOWED and getattr(told, name) != getattr(director.config, name):
                logger.warning("SIGHUP: '{}' has changed, which takes a restart", name)
        if told.discovery_address == director.config.discovery_address:
            return logger.info("SIGHUP: the coordinator is where it was")
        if told.discovery_address is not None:
            logger.info("SIGHUP: the coordinator is at {}:{} from now on", *told.discovery_address)
        director.config = director.config._replace(discovery_address=told.discovery_address)
        if self.connection is not None:
            self.connection.connection.close(AttemptEnd.CLOSED)
