"""Owns the open reqs, their dispatches, the nodes' connections and the timers, and is the one place where
happenings go to `Router.step` and its actions are carried out.

It must never choose a node, a time or an answer: it reports what happened, does what it is told, and sees that
each req takes one final answer and each dispatch one end.
"""

from __future__ import annotations

import time
from collections import deque
from heapq import heappop, heappush
from typing import Any, Callable, Deque, Dict, List, Optional, Tuple

import anyio
from loguru import logger

from .. import interface as face
from ..brain import Router
from ..facts import Address, Assignment, ListNews, PurgeNews, load_report
from . import clientwire, feed, nodewire
from .ending import RESULTS, Ending
from .links import Driver, Frame, Link, Receiver

MS = 10  # tenths of a millisecond
SECOND = 1000 * MS
STREAMS = 32  # open reqs that a client's connection carries, says the protocol
FEED_SILENCE = 3 * SECOND  # the coordinator writes each second
FEED_AGAIN = 0.1  # seconds before the coordinator is called again
LINGER = SECOND  # a connection that we ended may stay half open for so long


class Clock:
    """The module's time is monotonic; the system's Unix time is turned into it here and nowhere else."""

    @staticmethod
    def now() -> int:
        return time.monotonic_ns() // 100_000

    @staticmethod
    def unix_age(unix_ms: int) -> int:
        """Time since a Unix millisecond, rounded down."""
        return max(0, time.time_ns() // 100_000 - unix_ms * MS)

    def from_unix(self, unix_ms: int) -> int:
        return self.now() - (time.time_ns() // 100_000 - unix_ms * MS) + 1


class OpenReq:
    """From its last byte to its one final answer, and on until its dispatch has ended."""

    __slots__ = ("id", "client", "stream", "fields", "body", "closed", "dispatches", "dispatch", "key", "group")

    def __init__(self, came: face.ReqCame, client: "Client", stream: int, fields: Dict[str, str], body: bytes):
        self.id, self.key, self.group = came.id, came.obj, came.group
        self.client, self.stream, self.fields, self.body = client, stream, fields, body
        self.closed = False  # answered, or its client has left
        self.dispatches = 0
        self.dispatch: Optional[Dispatch] = None


class Dispatch:
    __slots__ = ("req", "number", "node", "source", "sent_at", "frame", "link", "over")

    def __init__(self, req: OpenReq, node: "Node", source: Optional["Node"], sent_at: int):
        self.req, self.number, self.node, self.source, self.sent_at = req, req.dispatches, node, source, sent_at
        self.link: Optional[Link] = None
        self.frame: Optional[Frame] = None
        self.over = False


class Probing:
    __slots__ = ("node", "sent_at", "tag", "link", "frame", "over")

    def __init__(self, node: "Node", sent_at: int, tag: str):
        self.node, self.sent_at, self.tag, self.over = node, sent_at, tag, False


class Client(Receiver):
    """The receiver of one client's connection."""

    def __init__(self, director: "Director"):
        self.director = director
        self.wire = clientwire.ClientWire()
        self.open: Dict[int, OpenReq] = {}
        self.link: Link
        self.ending_at: Optional[int] = None  # when we began to end it

    def up(self, link: Link) -> None:
        self.link = link
        self.director.clients[self] = None
        if self.director.leaving:
            link.write(clientwire.no_more())

    def receive(self, link: Link, data: memoryview) -> None:
        if self.ending_at is not None:
            return
        for message in self.wire.feed(data):
            self.director.client_said(self, message)

    def ended(self, link: Link, ending: Ending) -> None:
        self.director.clients.pop(self, None)
        self.director.client_ended(self)

    def refuse(self, text: str, now: int) -> None:
        """Tells the client what is wrong and ends the connection once its open reqs are answered."""
        logger.warning("a client's connection is ended: {}", text)
        self.link.write(clientwire.error(text))
        self.ending_at = now
        if not self.open:
            self.link.finish()


class NodeLink(Receiver):
    """The receiver of one connection to a node."""

    def __init__(self, director: "Director", node: "Node"):
        self.director, self.node = director, node
        self.wire = nodewire.NodeWire()
        self.open: Dict[str, Any] = {}  # dispatches and probes by the id that they bear on the wire
        self.spent: set = set()  # ids given up here: a late answer could be taken for a later dispatch's
        self.stale = False  # takes no more dispatches
        self.idle_at = 0
        self.link: Link

    def up(self, link: Link) -> None: ...

    def receive(self, link: Link, data: memoryview) -> None:
        answers, fault = self.wire.feed(data)
        for answer in answers:
            out = self.open.get(answer.id)
            if out is not None:
                self.director.end(out, answer.ending, answer)
        if fault is not None:
            logger.warning("node {}: can't read {}", self.node.id, fault)
            link.end(Ending.GARBLED)

    def ended(self, link: Link, ending: Ending) -> None:
        self.node.links.remove(self)
        if ending in (Ending.REFUSED, Ending.NEVER_UP):
            logger.info("node {} at {}: {}", self.node.id, self.node.address, ending.name)
        for out in list(self.open.values()):
            whole = link.is_up and link.written(out.frame)
            told = ending if whole or not link.is_up else Ending.CUT
            self.director.end(out, told)


class Node:
    """A cache node, parent or the origin as a place to connect to."""

    def __init__(self, name: str, address: Address):
        self.id, self.address = name, address
        self.state, self.started_unix = "ready", 0
        self.links: List[NodeLink] = []


class FeedLink(Receiver):
    """The receiver of the connection to the coordinator."""

    def __init__(self, director: "Director"):
        self.director = director
        self.wire = feed.FeedWire()
        self.over = anyio.Event()

    def up(self, link: Link) -> None:
        link.write((feed.hello(self.director.number),))

    def receive(self, link: Link, data: memoryview) -> None:
        news, fault = self.wire.feed(data)
        for one in news:
            self.director.learn(one)
        if fault is not None:
            logger.warning("coordinator: can't read {}", fault)
            link.end(Ending.GARBLED)

    def ended(self, link: Link, ending: Ending) -> None:
        self.over.set()


class Director:
    def __init__(self, told: Assignment, driver: Driver):
        self.told, self.driver, self.clock = told, driver, Clock()
        self.router = Router(told.deployment, told.seed)
        self.reqs: Dict[str, OpenReq] = {}
        self.clients: Dict[Client, None] = {}
        self.nodes: Dict[str, Node] = {}
        self.number = 0  # of the last event of the coordinator
        self.queue: Deque[face.Happening] = deque()
        self.stepping = False
        self.leaving = False
        self.lag = 0  # by how much the program was late, lately
        self.timers: List[Tuple[int, int, Any]] = []
        self.timer_count = 0
        self.earlier = anyio.Event()
        self.peers: Any = None  # the socket to the other directors
        self.tags = 0
        self.counts: Dict[str, int] = {}
        self.carry: Dict[type, Callable[[Any], None]] = {
            face.Ask: self._ask, face.Fetch: self._fetch, face.CallOff: self._call_off, face.Deny: self._deny,
            face.Abort: self._abort, face.Remind: self._remind, face.Watch: self._nothing,
            face.Snapshot: self._nothing, face.Probe: self._probe, face.Say: self._say, face.Log: self._log,
        }  # fmt: skip

    def start(self) -> None:
        self.happen(face.Started())
        for news in self.told.known:
            self.learn(news)
        self.number = max(self.number, self.told.known_number)

    # The module

    def happen(self, what: face.Happening) -> None:
        """Tells the module, in order, and carries out what it answers."""
        self.queue.append(what)
        if self.stepping:
            return
        self.stepping = True
        try:
            while self.queue:
                now = self.queue.popleft()
                try:
                    for act in self.router.step(self.clock.now(), now):
                        self.carry[type(act)](act)
                except Exception:
                    logger.exception("the module failed on {}", type(now).__name__)
                    self._finish(getattr(now, "id", ""), clientwire.ABORTED, {})
        finally:
            self.stepping = False

    # Clients

    def client_said(self, client: Client, message: clientwire.Message) -> None:
        kind = type(message)
        if kind is clientwire.Came or kind is clientwire.Unreadable:
            self._take(client, message)
        elif kind is clientwire.Gone:
            req = client.open.pop(message.stream, None)
            if req is not None:
                self._left(req)
        elif kind is clientwire.ReadyAsked:
            client.link.write(clientwire.ready(message.stream, not self.leaving))
        else:
            client.refuse(message.text, self.clock.now())

    def _take(self, client: Client, message: Any) -> None:
        stream = message.stream
        if not stream or stream in client.open:
            return client.refuse(f"stream {stream} can't take a req", self.clock.now())
        if len(client.open) >= STREAMS:
            return client.refuse(f"more than {STREAMS} open reqs", self.clock.now())
        try:
            if type(message) is clientwire.Unreadable:
                raise ValueError(message.text)
            came = self._came(message.fields)
        except ValueError as fault:
            self._count("unreadable")
            logger.warning("a req can't be read: {}", fault)
            client.link.write(clientwire.answer(stream, clientwire.ABORTED, {}, str(fault).encode()))
            return
        req = OpenReq(came, client, stream, message.fields, message.body)
        client.open[stream] = self.reqs[came.id] = req
        self._count("reqs")
        self.happen(came)

    def _came(self, fields: Dict[str, str]) -> face.ReqCame:
        name = clientwire.digits_of(fields, "trace")
        if name in self.reqs:
            raise ValueError("field 'trace' names an open req")
        route = clientwire.text_of(fields, "route")
        if route not in self.told.names.vhosts:
            raise ValueError(f"field 'route' has the unknown name '{route}'")
        vhost = self.told.names.vhosts.index(route)
        patience = int(clientwire.number_of(fields, "patience") * MS)
        return face.ReqCame(
            id=name,
            obj=int(clientwire.digits_of(fields, "entity"), 16),
            part=int(clientwire.number_of(fields, "part", 0)),
            group=int(clientwire.number_of(fields, "group", 0)),
            size=clientwire.number_of(fields, "size", 0.0),
            left=max(0, patience - self.lag),
            vhost=vhost,
            repeat=fields.get("redo") == "1",
            write=self.told.deployment.vhosts[vhost].writes,
        )

    def client_ended(self, client: Client) -> None:
        for req in client.open.values():
            self._left(req)
        client.open.clear()

    def _left(self, req: OpenReq) -> None:
        self._count("left")
        req.closed = True
        self.happen(face.Left(req.id))
        if req.dispatch is None:
            self.reqs.pop(req.id, None)

    def _finish(self, name: str, code: int, fields: Dict[str, str], body: bytes = b"") -> None:
        """The one final answer of a req that is still open."""
        req = self.reqs.get(name)
        if req is None or req.closed:
            return
        req.closed = True
        self._count(("", "done", "denied", "aborted")[code])
        client = req.client
        client.open.pop(req.stream, None)
        client.link.write(clientwire.answer(req.stream, code, fields, body))
        if client.ending_at is not None and not client.open:
            client.link.finish()
        if req.dispatch is None:
            del self.reqs[name]

    # Actions

    def _ask(self, act: face.Ask) -> None:
        self._dispatch(act.id, act.node, act.until, None, {})

    def _fetch(self, act: face.Fetch) -> None:
        fields = {}
        if act.source != act.node:
            fields["parent"] = act.source
        if act.rank:
            fields["shelf"] = str(act.rank)
        if act.age:
            fields["accept"] = str(max(1, act.age // MS))
        hints = [word for word, on in (("join", act.join), ("held", act.held_only), ("renew", act.renew)) if on]
        if hints:
            fields["hints"] = "+".join(hints)
        self._dispatch(act.id, act.node, act.until, self.nodes.get(act.source), fields)

    def _dispatch(self, name: str, to: str, until: int, source: Optional[Node], how: Dict[str, str]) -> None:
        req, now = self.reqs.get(name), self.clock.now()
        if req is None:
            return
        node = self.nodes[to]
        out = req.dispatch = Dispatch(req, node, source, now)
        req.dispatches += 1
        self._count("dispatches")
        if req.closed or until <= now or node.state != "ready":
            return self.end(out, Ending.UNWRITTEN)
        came = req.fields
        fields = {"kind": came["route"], "obj": came["entity"]}
        if "part" in came:
            fields["seg"] = came["part"]
        fields["ms"] = str(max(1, -(-(until - now) // MS)))
        fields.update(how)
        if came.get("have", "").isalnum():
            fields["got"] = came["have"]
        self._send(out, req.id, nodewire.want(req.id, fields, req.body))
        self._at(until, out)

    def _send(self, out: Any, name: str, command: bytes) -> None:
        """On the node's connection that carries least, or a new one."""
        node, best = out.node, None
        for each in node.links:
            if not each.stale and len(each.open) < self.told.transport.streams and name not in each.spent:
                if best is None or (each.link.is_up, -len(each.open)) > (best.link.is_up, -len(best.open)):
                    best = each
        if best is None:
            best = NodeLink(self, node)
            node.links.append(best)
            best.link = self.driver.dial(best, node.address, self.told.transport.dial / SECOND)
        out.link = best
        out.frame = best.link.write((command,))
        best.open[name] = out

    def end(self, out: Any, ending: Ending, answer: Optional[nodewire.Answer] = None) -> None:
        """The one end of a dispatch or a probe."""
        if out.over:
            return
        out.over = True
        now = self.clock.now()
        took, load = now - out.sent_at, None
        if answer is not None and answer.load:
            load = load_report(answer.load, self.told.deployment)
        name = out.tag if type(out) is Probing else out.req.id
        if out.link is not None:
            out.link.open.pop(name, None)
            out.link.idle_at = now
        self._count(ending.name)
        if type(out) is Probing:
            return self.happen(face.Probed(out.node.id, RESULTS[ending], took, load))
        req = out.req
        if ending in (Ending.SERVED, Ending.SAME):
            same = ending is Ending.SAME
            self._finish(
                req.id, clientwire.DONE, {"same": "1"} if same else {}, b"" if same else answer.body
            )
        req.dispatch = None
        if req.closed:
            self.reqs.pop(req.id, None)
        note = answer.note if answer is not None else 0
        self.happen(
            face.Outcome(
                req.id, out.number, out.node.id, RESULTS[ending], took, req.closed, note, 0, load
            )
        )

    def _give_up(self, out: Any, ending: Ending) -> None:
        """Ends what has no answer: what was not begun is taken back, the node is told of the rest."""
        if out.over:
            return
        carrier = out.link
        if carrier.link.drop(out.frame):
            if ending is Ending.TIMED_OUT:
                ending = Ending.UNWRITTEN if carrier.link.is_up else Ending.NEVER_UP
            elif ending is Ending.CALLED_OFF:
                ending = Ending.UNWRITTEN
        elif type(out) is Dispatch:
            carrier.link.write((nodewire.never_mind(out.req.id),))
            carrier.spent.add(out.req.id)
            if ending is Ending.TIMED_OUT and carrier.link.heard_at * SECOND < out.sent_at:
                carrier.stale = True  # it may be dead and silent: a new one shows whether the node lives
        self.end(out, ending)

    def _call_off(self, act: face.CallOff) -> None:
        req = self.reqs.get(act.id)
        if req is not None and req.dispatch is not None and req.dispatch.number == act.number:
            self._give_up(req.dispatch, Ending.CALLED_OFF)

    def _deny(self, act: face.Deny) -> None:
        pause = act.backoff // MS
        self._finish(act.id, clientwire.DENIED, {"pause": str(pause)} if pause else {})

    def _abort(self, act: face.Abort) -> None:
        self._finish(act.id, clientwire.ABORTED, {})

    def _remind(self, act: face.Remind) -> None:
        self._at(self.clock.now() + act.after, act.token)

    def _nothing(self, act: Any) -> None:
        """The coordinator's feed is always followed."""

    def _probe(self, act: face.Probe) -> None:
        self.tags += 1
        out = Probing(self.nodes[act.node], self.clock.now(), f"probe-{self.tags}")
        self._send(out, out.tag, nodewire.busy(out.tag))
        self._at(out.sent_at + self.told.transport.dial, out)

    def _say(self, act: face.Say) -> None:
        to = self.told.peers_all if act.peer is None else self.told.peers[act.peer]
        if self.peers is not None and to is not None:
            try:
                self.peers.sendto(act.data, to)
            except OSError:
                pass  # datagrams may be lost

    def _log(self, act: face.Log) -> None:
        logger.info("module: {}", act.text)

    # The coordinator

    def learn(self, news: Any) -> None:
        if type(news) is feed.Alive or news.number <= self.number:
            return
        self.number = news.number
        if type(news) is PurgeNews:
            self.happen(face.Purged(news.obj, news.group, self.clock.unix_age(news.unix_ms)))
            self._take_back(
                lambda out: out.req.key == news.obj if news.obj is not None else out.req.group == news.group
            )
            return
        rows = []
        for listing in news.listings:
            row = listing.row
            started = self.clock.from_unix(listing.started_unix) if listing.started_unix else 0
            rows.append(row._replace(started=started))
            node = self.nodes.get(row.id)
            if node is None:
                node = self.nodes[row.id] = Node(row.id, listing.address)
            elif node.address != listing.address or listing.started_unix > node.started_unix:
                self._retire(node)
            node.address, node.state = listing.address, row.state
            node.started_unix = max(node.started_unix, listing.started_unix)
            if row.state != "ready":
                logger.info("node {} is {}", row.id, row.state)
        if news.whole:
            here = {row.id for row in rows}
            for node in self.nodes.values():
                if node.id not in here:
                    node.state = "gone"
        for node in self.nodes.values():
            if node.state == "gone":
                self._retire(node)
        self.happen(face.Listed(news.whole, tuple(rows)))
        self._take_back(
            lambda out: out.node.state != "ready" or out.source is not None and out.source.state != "ready"
        )

    def _take_back(self, wrong: Callable[[Dispatch], bool]) -> None:
        """Dispatches not begun to be written when news came that they don't know: they are never sent. Guards
        drains and purges, which count a send from its first byte."""
        for req in list(self.reqs.values()):
            out = req.dispatch
            if out is not None and out.link is not None and wrong(out) and out.link.link.drop(out.frame):
                self.end(out, Ending.UNWRITTEN)

    def _retire(self, node: Node) -> None:
        """Its connections take nothing new and end with what is open on them."""
        for each in list(node.links):
            each.stale = True
            if not each.open:
                each.link.end(Ending.CLOSED)

    # Time

    def _at(self, when: int, what: Any) -> None:
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, what))
        if self.timers[0][2] is what:
            self.earlier.set()

    def ring(self) -> None:
        """Carries out the timers that have come due."""
        now = self.clock.now()
        while self.timers and self.timers[0][0] <= now:
            _, _, what = heappop(self.timers)
            if isinstance(what, str):
                self.happen(face.Rang(what))
            else:
                self._give_up(what, Ending.TIMED_OUT)

    def sweep(self) -> None:
        """Lets idle connections to nodes go well before the nodes do, and ends those that linger."""
        now = self.clock.now()
        idle = self.told.transport.idle
        for node in self.nodes.values():
            for each in list(node.links):
                if not each.open and (each.stale or idle and now - each.idle_at > idle // 2) and each.link.is_up:
                    each.link.end(Ending.CLOSED)
        for client in list(self.clients):
            if client.link.finishing and now - (client.ending_at or 0) > self.told.transport.dial + LINGER:
                client.link.end(Ending.CLOSED)

    async def keep_time(self) -> None:
        while True:
            self.earlier = anyio.Event()
            wait = max(0, self.timers[0][0] - self.clock.now()) / SECOND if self.timers else 3600
            with anyio.move_on_after(wait):
                await self.earlier.wait()
            self.ring()
            self.driver.flush()

    async def keep_watch(self) -> None:
        """Measures how late the program runs, and sweeps."""
        step, turns = 50 * MS, 0
        while True:
            due = self.clock.now() + step
            await anyio.sleep(step / SECOND)
            late = max(0, self.clock.now() - due)
            self.lag = max(late, self.lag * 9 // 10)
            turns += 1
            if turns % 10 == 0:
                self.sweep()
                self.driver.flush()
            if turns % 200 == 0:
                logger.info("so far: {}; lag {} ms", self.counts, self.lag / MS)

    async def follow(self) -> None:
        """Keeps a connection to the coordinator."""
        while self.told.coordinator is not None:
            receiver = FeedLink(self)
            link = self.driver.dial(receiver, self.told.coordinator, self.told.transport.dial / SECOND)
            while not receiver.over.is_set():
                with anyio.move_on_after(1):
                    await receiver.over.wait()
                silence = time.monotonic() - max(link.heard_at, 0)
                if link.is_up and link.heard_at and silence * SECOND > FEED_SILENCE:
                    logger.warning("coordinator: silent")
                    link.end(Ending.TIMED_OUT)
            logger.warning("coordinator: connection over, again")
            await anyio.sleep(FEED_AGAIN)

    async def hear_peers(self, sock: Any) -> None:
        self.peers = sock
        while True:
            try:
                data, sender = sock.recvfrom(512)
            except BlockingIOError:
                await anyio.wait_readable(sock)
                continue
            except OSError:
                continue
            sender = Address(*sender)
            if sender in self.told.peers:
                self.happen(face.PeerSaid(self.told.peers.index(sender), data))
                self.driver.flush()

    # The end

    def leave(self) -> None:
        """Not ready any more: clients are told, and what was taken is answered."""
        self.leaving = True
        for client in self.clients:
            client.link.write(clientwire.no_more())
        self.driver.flush()

    def idle(self) -> bool:
        return not any(client.open or client.link.pending or client.link.outward.held for client in self.clients)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
