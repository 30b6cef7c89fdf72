"""Owns what is known of each connection: a client's open streams, a node's connections and what is out on
them, the coordinator's feed.

It must never talk to the module or answer a req: what comes in goes to the director, in its words.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Dict, List, Optional, Set

import anyio
from loguru import logger

from ..facts import Address
from . import clientwire, feed, nodewire
from .ending import Ending
from .links import Frame, Link

if TYPE_CHECKING:
    from .director import Director, OpenReq

STREAMS = 32  # open reqs that a client's connection carries, says the protocol


class Client:
    """One client's connection."""

    def __init__(self, director: Director):
        self.director = director
        self.wire = clientwire.ClientWire()
        self.open: Dict[int, OpenReq] = {}  # by stream
        self.link: Link
        self.ending_at: Optional[int] = None  # when we began to end it

    def up(self, link: Link) -> None:
        self.link = link
        self.director.clients[self] = None
        if self.director.leaving:
            link.write(clientwire.no_more())

    def receive(self, link: Link, data: memoryview) -> None:
        for message in self.wire.feed(data):
            if self.ending_at is not None:
                return
            if isinstance(message, clientwire.Gone):
                self._gone(message.stream)
            elif isinstance(message, clientwire.ReadyAsked):
                link.write(clientwire.ready(message.stream, not self.director.leaving))
            elif isinstance(message, (clientwire.Came, clientwire.Unreadable)):
                if not message.stream or message.stream in self.open:
                    self._refuse(f"stream {message.stream} can't take a req")
                elif len(self.open) >= STREAMS:
                    self._refuse(f"more than {STREAMS} open reqs")
                else:
                    self.director.take(self, message)
            else:
                self._refuse(message.text)

    def _gone(self, stream: int) -> None:
        req = self.open.pop(stream, None)
        if req is not None:
            self.director.left(req)
        for frame in [each for each in self.link.pending if each.mark == stream]:
            self.link.drop(frame)  # an answer that waits to be written

    def answer(self, req: OpenReq, code: int, fields: Dict[str, str], body: bytes) -> None:
        """The final answer; after the last one a connection that has to end does."""
        self.open.pop(req.stream, None)
        self.link.write(clientwire.answer(req.stream, code, fields, body), req.stream, req.wanted_until)
        if self.ending_at is not None and not self.open:
            self.link.finish()

    def _refuse(self, text: str) -> None:
        """Tells the client what is wrong, and ends the connection once its open reqs are answered."""
        logger.warning("a client's connection is ended: {}", text)
        self.link.write(clientwire.error(text))
        self.ending_at = self.director.clock.now()
        if not self.open:
            self.link.finish()

    def ended(self, link: Link, ending: Ending) -> None:
        self.director.clients.pop(self, None)
        for req in list(self.open.values()):
            self.director.left(req)
        self.open.clear()


class Errand:
    """What is out at a node: a dispatch of a req, or a probe."""

    __slots__ = ("name", "node", "sent_at", "carrier", "frame", "over")

    def __init__(self, name: str, node: Node, sent_at: int):
        self.name, self.node, self.sent_at = name, node, sent_at  # the name is its id on the wire
        self.carrier: Optional[NodeLink] = None
        self.frame: Optional[Frame] = None
        self.over = False

    def taken_back(self) -> bool:
        """True when nothing of it had been written, and now never will be."""
        return self.carrier is None or self.frame is None or self.carrier.link.drop(self.frame)


class Dispatch(Errand):
    __slots__ = ("req", "number", "source")

    def __init__(self, req: OpenReq, node: Node, source: Optional[Node], sent_at: int):
        super().__init__(req.id, node, sent_at)
        self.req, self.number, self.source = req, req.dispatches, source

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
        self.open: Dict[str, Errand] = {}
        self.spent: Set[str] = set()  # ids given up here: a late answer could pass for a later dispatch's
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
            probe = answer.ending in (Ending.READY, Ending.AILING)
            if probe is isinstance(errand, Dispatch):
                fault = nodewire.Unparsable(f"{answer.ending.name} as the answer to another command")
                break
            self.director.end(errand, answer.ending, answer)
        if fault is not None:
            logger.warning("node {}: can't read {}", self.node.id, fault)
            link.end(Ending.GARBLED)

    def give_up(self, errand: Dispatch) -> bool:
        """Tells the node that nobody waits for a dispatch that it may have; False if that is not on its way.
        Guards against two dispatches of a req out together: the next one may go out on another connection,
        so this must be written before it and not just queued."""
        self.spent.add(errand.name)
        if len(self.spent) >= self.director.told.transport.streams:
            self.stale = True
        return self.link.write_now((nodewire.never_mind(errand.name),))

    def ended(self, link: Link, ending: Ending) -> None:
        self.node.links.remove(self)
        if ending in (Ending.REFUSED, Ending.NEVER_UP, Ending.RESET):
            logger.info("node {} at {}:{}: connection {}", self.node.id, *self.node.address, ending.name)
        for errand in list(self.open.values()):
            had_it = not link.is_up or errand.frame is not None and link.written(errand.frame)
            self.director.end(errand, ending if had_it else Ending.CUT)


class Node:
    """A cache node, parent or the origin as a place to connect to."""

    def __init__(self, name: str, address: Address):
        self.id, self.address = name, address
        self.state = "ready"
        self.started_unix, self.started = 0, 0  # the Unix millisecond told, and the module's instant for it
        self.links: List[NodeLink] = []

    def link_for(self, name: str, director: Director) -> NodeLink:
        """The connection that carries least, one that is up before one that is not yet; or a new one."""
        most = director.told.transport.streams
        free = [each for each in self.links if len(each.open) < most and not each.stale]
        free = [each for each in free if name not in each.spent]
        if free:
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

    def let_go(self, idle_since: int) -> None:
        """Ends connections that are not used any more."""
        for each in list(self.links):
            if not each.open and each.link.is_up and (each.stale or each.idle_at < idle_since):
                each.link.end(Ending.CLOSED)


class FeedLink:
    """The connection to the coordinator."""

    def __init__(self, director: Director):
        self.director = director
        self.wire = feed.FeedWire()
        self.over = anyio.Event()
        self.heard = False

    def up(self, link: Link) -> None:
        link.write((feed.hello(self.director.number),))

    def receive(self, link: Link, data: memoryview) -> None:
        news, fault = self.wire.feed(data)
        for one in news:
            self.heard = True
            self.director.learn(one)
        if fault is not None:
            logger.warning("coordinator: can't read {}", fault)
            link.end(Ending.GARBLED)

    def ended(self, link: Link, ending: Ending) -> None:
        self.over.set()
