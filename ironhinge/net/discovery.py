"""Follows the coordinator: keeps a connection to it, wherever it is by now, and learns what it tells.

Events are numbered; those that are known already are passed over. What each means is told to the decision
module, and attempts that have not begun and should not go any more are taken back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from loguru import logger

from .. import interface
from ..facts import Assignment, Listing, ListNews, PurgeNews
from .clock import SECOND
from .ending import Ending
from .parties import Dispatch, FeedLink, Node
from .system_calls import spread

if TYPE_CHECKING:
    from .director import Director

FEED_SILENCE = 2 * SECOND  # the coordinator writes each second; its news count as told 4 s after a stop
FEED_LOOK = SECOND // 4  # how often that is looked at
FEED_AGAIN, FEED_AGAIN_MOST = 0.05, 0.4  # seconds before the coordinator is called again; its news count as
# told 2 s after a break
FOLLOWED = "seed", "known", "known_number", "coordinator"  # what each configuration may say anew
WRITES_EACH = 1000  # milliseconds: the coordinator writes in order, and each second at least


class Discovery:
    """What the coordinator has told, and the connection to it."""

    def __init__(self, director: Director):
        self.director = director
        self.number = 0  # of the last event
        self.feed: FeedLink | None = None
        self.caught_up_at = director.clock.now()  # all that there was to tell by then is known

    def learn(self, news: Any) -> None:
        """An event of the coordinator; those that are known already are passed over."""
        director = self.director
        if director.shelf is not None:
            director.shelf.hears(director.clock.unix_ms() - WRITES_EACH)
        if isinstance(news, PurgeNews) and news.number > self.number:
            self.number = news.number
            self._learn_purge(news)
        elif isinstance(news, ListNews) and news.number > self.number:
            self.number = news.number
            listed = interface.EndpointsUpdated(news.whole, self._learn_nodes(news))
            if director.books is not None:
                director.books.listed(director.clock.now(), listed)
            director.happen(listed)
            director.take_back(Dispatch.is_outdated)

    def _learn_purge(self, news: PurgeNews) -> None:
        director = self.director
        if director.shelf is not None:
            director.shelf.purge(news.obj, news.group, news.unix_ms)
        age = director.clock.age_of_event(news.unix_ms, self.caught_up_at)
        director.happen(interface.PurgeNotified(news.obj, news.group, age))
        if news.obj is None:
            director.take_back(lambda out: out.req.came.group == news.group)
        else:
            director.take_back(lambda out: out.req.came.object_id == news.obj)

    def _learn_nodes(self, news: ListNews) -> tuple[interface.Endpoint, ...]:
        nodes = self.director.nodes
        rows = tuple(self._learn_node(listing) for listing in news.listings)
        here = {row.id for row in rows}
        for node in nodes.values():
            if news.whole and node.id not in here:
                node.state = "gone"
            if node.state == "gone":
                node.retire()
        return rows

    def _learn_node(self, listing: Listing) -> interface.Endpoint:
        row, address, started_unix = listing
        nodes = self.director.nodes
        node = nodes.get(row.id)
        if node is None:
            node = nodes[row.id] = Node(row.id, address)
        elif node.address != address or started_unix > node.started_unix:
            node.retire()  # another process listens there now
        if row.state != node.state:
            logger.info("node {} is {}", row.id, row.state)
        node.address, node.state = address, row.state
        if started_unix > node.started_unix:  # once: told again it must not look like another restart
            node.started_unix = started_unix
            node.started = self.director.clock.start_of(started_unix, self.caught_up_at)
        return row._replace(started_at=node.started if started_unix else 0)

    async def follow(self) -> None:
        """Keeps a connection to the coordinator, wherever it is by now."""
        director, again = self.director, FEED_AGAIN
        while True:
            at = director.told.coordinator
            if at is None:
                await anyio.sleep(FEED_AGAIN_MOST)
                continue
            receiver = self.feed = FeedLink(director, self)
            dial = director.clock.seconds(director.told.transport.dial)
            receiver.link = director.driver.dial(receiver, at, dial, needed=True)
            await self._until_over(receiver)
            if director.told.coordinator == at:
                logger.warning("coordinator: connection over, calling again")
                again = FEED_AGAIN if receiver.heard else min(FEED_AGAIN_MOST, 2 * again)
                await anyio.sleep(spread(again))

    async def _until_over(self, receiver: FeedLink) -> None:
        """Until a connection is over, or was silent for too long."""
        clock = self.director.clock
        while not receiver.over.is_set():
            with anyio.move_on_after(clock.seconds(FEED_LOOK)):
                await receiver.over.wait()
            if clock.now() > receiver.heard_at + FEED_SILENCE:
                receiver.link.end(Ending.TIMED_OUT)

    def follow_anew(self, told: Assignment) -> None:
        """What a new configuration changes while all else lives on: where the coordinator is. It is asked for
        what follows the last event that we have.
        """
        director = self.director
        for name in Assignment._fields:
            if name not in FOLLOWED and getattr(told, name) != getattr(director.told, name):
                logger.warning("SIGHUP: '{}' has changed, which takes a restart", name)
        if told.coordinator == director.told.coordinator:
            return logger.info("SIGHUP: the coordinator is where it was")
        if told.coordinator is not None:
            logger.info("SIGHUP: the coordinator is at {}:{} from now on", *told.coordinator)
        director.told = director.told._replace(coordinator=told.coordinator)
        if self.feed is not None:
            self.feed.link.end(Ending.CLOSED)
