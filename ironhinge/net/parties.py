"""Owns what is known of the connections that the director makes: a node's and what is out on them, and the
coordinator's feed.

It must never talk to the module or answer a req: what comes in goes to the director, in its words.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from ..facts import Address
from . import feed, nodewire
from .ending import Ending
from .links import Frame, Link

if TYPE_CHECKING:
    from .director import Director
    from .discovery import Discovery
    from .open_request import OpenRequest

SECOND = 10_000  # tenths of a millisecond


class Errand:
    """What is out at a node: a dispatch of a req, or a probe."""

    __slots__ = ("begin_by", "carrier", "frame", "name", "node", "over", "sent_at", "until")

    def __init__(self, name: str, node: Node, sent_at: int):
        self.name, self.node, self.sent_at = name, node, sent_at  # the name is its id on the wire
        self.until, self.begin_by = sent_at, 0
        self.carrier: NodeLink | None = None
        self.frame: Frame | None = None
        self.over = False

    def taken_back(self) -> bool:
        """True when nothing of it had been written, and now never will be."""
        return self.carrier is None or self.frame is None or self.carrier.link.drop(self.frame)


class Dispatch(Errand):
    __slots__ = ("number", "oldest", "req", "source")

    def __init__(self, req: OpenRequest, node: Node, source: Node | None, sent_at: int):
        super().__init__(req.id, node, sent_at)
        self.req, self.number, self.source = req, req.dispatches, source
        self.oldest = 0  # the Unix millisecond of the oldest copy that will do

    def is_outdated(self) -> bool:
        """True when the list says by now that it should not go, or not where it was going."""
        if self.carrier is not None and self.carrier.stale:
            return True
        return any(node is not None and node.state != "ready" for node in (self.node, self.source))


class NodeLink:
    """One connection to a node."""

    def __init__(self, director: Director, node: Node):
        self.director, self.node = director, node
        self.wire = nodewire.NodeWire()
        self.open: dict[str, Errand] = {}
        # ids given up here, and when no answer can come any more: a late one could pass for a later one's
        self.spent: dict[str, int] = {}
        self.stale = False  # takes nothing more
        self.idle_at = 0
        self.link: Link

    def up(self, link: Link) -> None: ...

    def receive(self, link: Link, data: memoryview) -> None:
        answers, fault = self.wire.feed(data)
        for answer in answers:
            errand = self.open.get(answer.id)
            if errand is None:
                continue  # given up, and answered all the same
            copy = isinstance(errand, Dispatch) and not errand.req.came.is_write  # a write leaves none
            if copy and answer.ending is Ending.SERVED and not (answer.dated and answer.tagged):
                fault = nodewire.Unparsable("bytes without their tag or date")
                break
            probe = answer.ending in (Ending.READY, Ending.AILING)
            if probe is isinstance(errand, Dispatch):
                fault = nodewire.Unparsable(f"{answer.ending.name} as the answer to another command")
                break
            self.director.end(errand, answer.ending, answer)
        if fault is not None:
            self.director.complain("garbled", f"node {self.node.id}: can't read {fault}")
            link.end(Ending.GARBLED)
        else:
            self.settle()

    def settle(self) -> None:
        """Takes nothing more where something has begun to come that belongs to no dispatch. Guards the next
        dispatch, whose answer would stand behind what may never end, or be read as a part of it.
        """
        if not self.open and self.wire.begun():
            self.stale = True

    def give_up(self, errand: Dispatch) -> bool:
        """Tells the node that nobody waits for a dispatch that it may have; False if that is not on its way.
        Guards against two dispatches of a req out together: the next one may go out on another connection,
        so this must be written before it and not just queued.
        """
        self.spent[errand.name] = errand.until + SECOND
        return self.link.write_now((nodewire.never_mind(errand.name),))

    def is_idle(self) -> bool:
        return self.link.is_up and not self.open

    def look(self, now: int, idle_since: int) -> None:
        """Ends the connection if it is of no use any more."""
        if not self.link.is_up:
            return
        stuck = (
            self.wire.begun() and now > int(self.link.heard_at * SECOND) + self.director.told.transport.dial
        )
        if stuck and not self.link.has_unread():
            # guards against answers that stop short: what is open here would wait for them in vain
            self.link.end(Ending.STUCK)
        elif not self.open and (self.stale or self.idle_at < idle_since):
            self.link.end(Ending.CLOSED)
        elif self.spent:
            for name in [name for name, until in self.spent.items() if until < now]:
                del self.spent[name]

    def ended(self, link: Link, ending: Ending) -> None:
        """A connection that breaks is one failure, however many dispatches were out on it: the one that
        waited longest stands for it. Guards the node's name, and the others' next try.
        """
        self.node.links.remove(self)
        if ending in (Ending.REFUSED, Ending.NEVER_UP):
            logger.info("node {} at {}:{}: connection {}", self.node.id, *self.node.address, ending.name)
        first = ending is not Ending.BESIDE
        for errand in list(self.open.values()):
            if link.is_up or ending is Ending.CUT:
                had_it = errand.frame is not None and link.written(errand.frame)
                one = ending if had_it else Ending.CUT
                other = Ending.BESIDE if had_it else Ending.UNWRITTEN
                self.director.end(errand, one if first else other)
                first = False
            else:
                self.director.end(errand, ending)


class Node:
    """A cache node, parent or the origin as a place to connect to."""

    def __init__(self, name: str, address: Address):
        self.id, self.address = name, address
        self.state = "ready"
        self.started_unix, self.started = 0, 0  # the Unix millisecond told, and the module's instant for it
        self.links: list[NodeLink] = []

    def link_for(self, name: str, director: Director) -> NodeLink:
        """A connection that carries nothing, the one used last; else a new one while the node's share of
        descriptors allows it; else the one that carries least. Guards what is out against answers that spoil
        their connection: it takes down the fewer.
        """
        most = director.told.transport.streams
        free = [each for each in self.links if len(each.open) < most and not each.stale]
        free = [each for each in free if name not in each.spent]
        idle = [each for each in free if each.is_idle()]
        for each in sorted(idle, key=lambda each: each.idle_at, reverse=True):
            if not each.link.has_ended():
                return each
            # guards reqs that must not be sent twice: what is written to a closed connection may have run
            free.remove(each)
            each.link.end(Ending.CLOSED)
        if free and len(self.links) >= director.links_each:
            return min(free, key=lambda each: (not each.link.is_up, len(each.open)))
        new = NodeLink(director, self)
        self.links.append(new)
        new.link = director.driver.dial(
            new, self.address, director.clock.seconds(director.told.transport.dial)
        )
        return new

    def retire(self) -> None:
        """Its connections take nothing new and end with what is open on them."""
        for each in list(self.links):
            each.stale = True
            if not each.open:
                each.link.end(Ending.CLOSED)

    def look(self, now: int, idle_since: int) -> None:
        for each in list(self.links):
            each.look(now, idle_since)


class FeedLink:
    """The connection to the coordinator."""

    def __init__(self, director: Director, discovery: Discovery):
        self.director, self.discovery = director, discovery
        self.wire = feed.FeedWire()
        self.over = anyio.Event()
        self.heard = False
        self.heard_at = director.clock.now()  # a whole frame, or the call
        self.link: Link

    def up(self, link: Link) -> None:
        link.write((feed.hello(self.discovery.number),))

    def receive(self, link: Link, data: memoryview) -> None:
        news, fault = self.wire.feed(data)
        for one in news:
            self.heard, self.heard_at = True, self.director.clock.now()
            self.discovery.learn(one)
            if isinstance(one, feed.Alive):  # nothing new: all that happened so far has been told
                self.discovery.caught_up_at = self.heard_at
        if fault is not None:
            logger.warning("coordinator: can't read {}", fault)
            link.end(Ending.GARBLED)

    def ended(self, link: Link, ending: Ending) -> None:
        self.over.set()
