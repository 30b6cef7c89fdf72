"""Owns the open reqs, their dispatches and the timers, and is the one place where happenings go to
`Router.step` and its actions are carried out.

It must never choose a node, a time or an answer: it reports what happened, does what it is told, and sees
that each req gets one final answer and each dispatch one end.
"""

from __future__ import annotations

import resource
from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import anyio
from anyio import lowlevel
from loguru import logger

from .. import interface
from ..facts import Assignment, load_report
from ..interface import FillNote
from ..routing import Router
from . import clientwire, nodewire
from .client_connection import HURRIED_STALLED, UNASKED_NOTICE, Client, CloseCause, Use
from .clock import MILLISECOND as MS
from .clock import SECOND, Clock
from .discovery import Discovery
from .driver import Driver
from .ending import RESULTS, Ending
from .event_log import EventKind, EventLog
from .extensions import CopyStore, TrafficAccount
from .links import Link
from .open_request import OpenRequest, read_request
from .parties import Dispatch, Errand, Node
from .peers import Peers
from .system_calls import Call, Remedy

PULSE = 50 * MS  # how often lateness is measured
SWEEP = 2  # pulses between two looks for connections to let go
REPORT = 1200  # pulses between two lines of counters
SLACK = 50 * MS  # each limit of the protocol is longer by this
UNREAD = 30 * MS  # an attempt may begin 0.1 s after its client has left
LAG_FADES = 97  # per cent of the lateness seen that is still reckoned with a pulse later
SETTLED = 150 * MS  # a client's connection is not closed for others' sake before it has waited that long; and
PRESSED = 100 * MS  # or that long, where no descriptor is left; and
AT_PEACE = SECOND  # one on which something was asked not before that, while there is any room at all; nor is
# one to a node
PASSED_ON = {"part": "seg", "nonce": "token"}  # a client's field, where it has one, and the command's; the
# nonce is the mark by which nodes know a repeat
DELIVERED = Ending.SERVED, Ending.SAME  # nothing follows these


class Director:
    def __init__(
        self,
        told: Assignment,
        driver: Driver,
        books: TrafficAccount | None = None,
        shelf: CopyStore | None = None,
        clock: Clock | None = None,
    ):
        self.told, self.driver, self.clock = told, driver, clock or Clock()
        self.events = EventLog(self.clock.now)
        driver.on_failed_call = self.call_failed
        self.books = books  # the account of crossings, where operators turned it on
        self.shelf = shelf  # copies of our own, where operators turned them on
        self.router = Router(told.deployment, told.seed)
        self.router.fill_budget, self.router.local_store = books, shelf
        driver.give_way = self.give_way
        self.at_hand: dict[
            str, tuple[interface.RequestReceived, nodewire.Answer]
        ] = {}  # what came just now, while it may be kept
        self.reqs: dict[str, OpenRequest] = {}
        self.clients: dict[Client, None] = {}  # the one that was heard of longest ago first
        self.nodes: dict[str, Node] = {}
        self.queue: deque[interface.Event] = deque()
        self.stepping = False
        self.leave_at: int | None = None  # by then all is answered
        self.no_more_at: int | None = None  # reqs read after that are not taken
        self.discovery = Discovery(self)
        self.peers = Peers(self)
        self.lag = 0  # the most that it was late, fading
        self.timers: list[tuple[int, int, str | Errand]] = []
        self.set_timers = 0
        self.earlier = anyio.Event()  # a timer is due earlier than all others
        self.probes = 0
        self.counts: Counter[str] = Counter()
        self.complained: set[str] = set()
        self.links_each = 1  # connections that a node may have
        self.clients_seen = 0
        self.carry_out: dict[type, Callable[[Any], None]] = {
            interface.SendAttempt: self._ask,
            interface.SendAttemptWithFill: self._fetch,
            interface.ServeLocalCopy: self._serve,
            interface.StoreLocalCopy: self._keep,
            interface.CancelAttempt: self._call_off,
            interface.RejectRequest: self._deny,
            interface.FailRequest: self._abort,
            interface.SetTimer: self._remind,
            interface.SetWatch: self._nothing,
            interface.RequestFullList: self._nothing,
            interface.SendHealthCheck: self._probe,
            interface.SendGossip: self.peers.say,
            interface.WriteLog: self._log,
        }

    def start(self) -> None:
        """All that is known goes to the module before any client does."""
        self.happen(interface.InstanceStarted())
        for news in self.told.known:
            self.discovery.learn(news)
        self.discovery.number = max(self.discovery.number, self.told.known_number)

    def happen(self, what: interface.Event) -> None:
        """Tells the module, in order, and carries out what it answers. A fault of the module costs the req at
        hand, not the program.
        """
        self.queue.append(what)
        if self.stepping:
            return
        self.stepping = True
        try:
            while self.queue:
                what = self.queue.popleft()
                try:
                    for act in self.router.handle(self.clock.now(), what):
                        self.carry_out[type(act)](act)
                except Exception:
                    logger.exception("the module failed on {}", type(what).__name__)
                    self.counts["faults"] += 1
                    self.events.dump_for_fault("the decision module failed")
                    self._finish(getattr(what, "request_id", ""), clientwire.ABORTED, {})
        finally:
            self.stepping = False
            self.at_hand.clear()

    # Reqs

    def take(self, client: Client, message: clientwire.Came | clientwire.Unreadable) -> None:
        now = self.clock.now()
        if self.no_more_at is not None and now > self.no_more_at:
            # guards reqs that come when hardly any time is left: they are answered at once, and sent nowhere
            self.events.record(EventKind.REQUEST_REFUSED, f"client {client.number}", "shutdown")
            client.link.write(clientwire.answer(message.stream, clientwire.DENIED, {}))
            return
        try:
            if isinstance(message, clientwire.Unreadable):
                raise ValueError(message.text)
            margin = self.margin(client.link)
            told = self.told
            came = read_request(message.fields, told.names, told.deployment, client.number, margin)
            if came.request_id in self.reqs:
                raise ValueError("field 'trace' names an open req")
        except ValueError as fault:
            self.complain("unreadable", f"a req can't be read: {fault}")
            text = str(fault).encode()
            client.link.write(clientwire.answer(message.stream, clientwire.ABORTED, {}, text))
            return
        if self.leave_at is not None:
            came = came._replace(time_remaining=max(0, min(came.time_remaining, self.leave_at - now)))
        req = OpenRequest(came, client, message, now)
        client.open[req.stream] = self.reqs[req.id] = req
        self.counts["reqs"] += 1
        self.happen(came)

    def left(self, req: OpenRequest) -> None:
        """Its client has gone: nothing more is owed."""
        if req.closed:
            return
        req.closed = req.gone = True
        self.counts["left"] += 1
        self.events.record(EventKind.REQUEST_LEFT, req.id, "client")
        self.happen(interface.ClientDisconnected(req.id))
        if req.out is not None and req.out.taken_back():
            # guards nodes against work for nobody, also where the settings allow no giving up of what has
            # begun: what waits for its connection or behind a blocked socket has not
            self.end(req.out, Ending.UNWRITTEN)
        self._forget(req)

    def abort(self, req: OpenRequest) -> None:
        """Answers a req whose connection has to end; the module learns that nobody waits for it."""
        if not req.closed:
            self.left(req)
            req.client.answer(req, clientwire.ABORTED, {}, b"")

    def _finish(self, name: str, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        """The one final answer of a req that is still open."""
        req = self.reqs.get(name)
        if req is None or req.closed:
            return
        req.closed = True
        end = clientwire.CODES[code]
        self.counts[end] += 1
        if code != clientwire.DONE:
            kind = EventKind.REQUEST_REFUSED if code == clientwire.DENIED else EventKind.REQUEST_FAILED
            self.events.record(kind, name, f"after {req.dispatches} attempts")
        logger.debug("req {} {} after {} dispatches", name, end, req.dispatches)
        req.client.answer(req, code, fields, body)
        self._forget(req)

    def _forget(self, req: OpenRequest) -> None:
        if req.closed and req.out is None:
            self.reqs.pop(req.id, None)

    def complain(self, kind: str, text: str) -> None:
        """Guards the log and the CPU against floods: of each kind of complaint one line a minute, and a count
        with the counters.
        """
        self.counts[kind] += 1
        if kind not in self.complained:
            self.complained.add(kind)
            logger.warning("{} (more of it: see '{}' in the counters)", text, kind)

    def call_failed(self, call: Call, error: str, remedy: Remedy) -> None:
        """A system call failed otherwise than calls do on a calm day."""
        self.events.record(EventKind.CALL_FAILED, call.name, error, remedy.name)
        self.complain(
            f"{call.name} {error}", f"system call {call.name} failed with {error}: {remedy.name.lower()}"
        )
        if remedy is Remedy.BUG:
            self.events.dump_for_fault(f"{call.name} failed with {error}")

    # Dispatches

    def _send(self, errand: Errand, until: int, render: Callable[[], tuple[bytes, ...]]) -> None:
        errand.until = until
        errand.carrier = errand.node.link_for(errand.name, self)
        errand.carrier.open[errand.name] = errand
        errand.frame = errand.carrier.link.write((), render=render)
        self._at(until, errand)

    def _command(self, out: Dispatch, fields: dict[str, str]) -> tuple[bytes, ...]:
        """An attempt's command, made when it begins to be written: it may have waited for its connection, and
        its client may have left meanwhile, unread.
        """
        now = self.clock.now()
        link = out.req.client.link
        if link.unread_since is not None or now > int(self.driver.poll.unread_since() * SECOND) + UNREAD:
            link.read_now()  # else what it has not read came within that time: an attempt may still begin
        if not out.over and (out.req.closed or now >= out.until):
            self.end(out, Ending.UNWRITTEN if out.taken_back() else Ending.TIMED_OUT)
        if out.over:
            return ()
        fields["ms"] = str(-(-(out.until - now) // MS))
        return (nodewire.want(out.name, fields, out.req.body),)

    def end(self, errand: Errand, ending: Ending, answer: nodewire.Answer | None = None) -> None:
        """The one end of a dispatch or a probe."""
        if errand.over:
            return None
        errand.over = True
        if errand.frame is not None:
            errand.frame.render = None  # knows the errand: nothing here may wait for a collection
        now = self.clock.now()
        if errand.carrier is not None:
            errand.carrier.open.pop(errand.name, None)
            errand.carrier.idle_at = now
            errand.carrier.settle()
            if answer is not None and ending not in DELIVERED:
                # guards the req's next dispatch against a second answer to this one: it takes another way
                errand.carrier.spent[errand.name] = now + SECOND
        took, node, note, load = now - errand.sent_at, errand.node.id, FillNote.NONE, None
        if answer is not None:
            note = answer.note
            load = load_report(answer.load, self.told.deployment) if answer.load else None
        if not isinstance(errand, Dispatch):
            return self.happen(interface.HealthCheckFinished(node, RESULTS[ending], took, load))
        body = len(answer.body) if answer is not None and ending is Ending.SERVED else None
        req = errand.req
        have = req.fields.get("have")
        if ending is Ending.SAME and (answer is None or not have or answer.tag != have):
            ending = Ending.ERRED  # guards clients' copies: only the one that the node has named is the same
        if answer is not None and answer.dated and answer.dated < errand.oldest:
            ending = (
                Ending.ERRED
            )  # older than what was asked for: guards purges against a node that forgets them
        self.counts[ending.name] += 1
        if ending not in DELIVERED:
            self.events.record(EventKind.ATTEMPT_ENDED, req.id, ending.name, node)
        req.out = None
        if ending is Ending.SERVED and answer is not None:
            self._finish(req.id, clientwire.DONE, {}, answer.body)
        elif ending is Ending.SAME:
            self._finish(req.id, clientwire.DONE, {"same": "1"})
        self._forget(req)
        result = RESULTS[ending]
        if self.shelf is not None and body and answer is not None:
            self.at_hand[req.id] = req.came, answer
        if self.books is not None:
            self.books.ended(now, req.came, result, note, body, took, req.gone)
        self.happen(
            interface.AttemptFinished(req.id, errand.number, node, result, took, req.closed, note, 0, load)
        )

    def _give_up(self, errand: Errand, ending: Ending) -> None:
        """Ends what has no answer: what was not begun is never sent, and the node is told of the rest."""
        if errand.over:
            return
        carrier, told = errand.carrier, True
        if errand.taken_back():
            ending = Ending.UNWRITTEN
        elif isinstance(errand, Dispatch) and carrier is not None:
            told = carrier.give_up(errand) or errand.req.closed
            if ending is Ending.TIMED_OUT and carrier.link.heard_at * SECOND < errand.sent_at:
                # guards against connections that are dead and silent: a new one shows whether the node lives
                told = False
        self.end(errand, ending)
        if not told and carrier is not None:
            carrier.link.end(Ending.BESIDE)  # gives up all that is on it, before anything else is written

    def take_back(self, wrong: Callable[[Dispatch], bool]) -> None:
        """Guards drains and purges, which count a send from its first byte: dispatches that were waiting for
        a connection when the news came are never sent.
        """
        for req in list(self.reqs.values()):
            if req.out is not None and wrong(req.out) and req.out.taken_back():
                self.end(req.out, Ending.UNWRITTEN)

    # Actions

    def _ask(self, act: interface.SendAttempt) -> None:
        self._dispatch(act, None, {})

    def _fetch(self, act: interface.SendAttemptWithFill) -> None:
        how: dict[str, str] = {}
        if act.source_id != act.endpoint_id:
            how["parent"] = act.source_id
        if act.admission_rank:
            how["shelf"] = str(act.admission_rank)
        oldest = 0
        if act.max_copy_age:
            how["accept"] = str(max(1, act.max_copy_age // MS))
            oldest = self.clock.unix_ms() - max(1, act.max_copy_age // MS) - SLACK // MS
        hints = (("join", act.may_join_fill), ("held", act.source_cached_only), ("renew", act.revalidates))
        text = "+".join(word for word, on in hints if on)
        if text:
            how["hints"] = text
        self._dispatch(act, self.nodes.get(act.source_id), how, oldest)

    def _dispatch(
        self,
        act: interface.SendAttempt | interface.SendAttemptWithFill,
        source: Node | None,
        how: dict[str, str],
        oldest: int = 0,
    ) -> None:
        name, to, until = act.request_id, act.endpoint_id, act.deadline
        req, now = self.reqs.get(name), self.clock.now()
        if req is None:
            return None
        out = req.out = Dispatch(req, self.nodes[to], source, now)
        out.oldest = oldest
        req.dispatches += 1
        self.counts["dispatches"] += 1
        if self.books is not None:
            self.books.sent(now, req.came, to, source.id if source is not None else "", how)
        if req.closed or until <= now:
            return self.end(out, Ending.UNWRITTEN)
        fields = {"kind": req.fields["route"], "obj": req.fields["entity"]}
        for told, passed in PASSED_ON.items():
            if told in req.fields:
                fields[passed] = req.fields[told]
        fields["ms"] = ""  # has its place; told when the command is written
        fields.update(how)
        if req.fields.get("have"):
            fields["got"] = req.fields["have"]
        self._send(out, until, lambda: self._command(out, fields))
        if act.start_deadline:
            out.begin_by = act.start_deadline
            self._at(act.start_deadline, out)

    def _serve(self, act: interface.ServeLocalCopy) -> None:
        req = self.reqs.get(act.request_id)
        if req is not None:
            self.driver.tasks.start_soon(self._serve_copy, req)

    async def _serve_copy(self, req: OpenRequest) -> None:
        """Our own copy, or word that it could not be had; either way the module hears of it once."""
        served = False
        try:
            copy = await self.shelf.read(req.came) if self.shelf is not None else None
            if copy is not None:
                served = True
                same = req.fields.get("have") == copy.tag.decode(errors="replace")
                self._finish(
                    req.id, clientwire.DONE, {"same": "1"} if same else {}, b"" if same else copy.body
                )
        except Exception:
            logger.exception("a copy of our own could not be served")
        self.happen(interface.LocalCopyFinished(req.id, served))
        self.driver.flush()

    def _keep(self, act: interface.StoreLocalCopy) -> None:
        found = self.at_hand.pop(act.request_id, None)
        if found is not None and self.shelf is not None:
            came, answer = found
            self.shelf.keep(came, answer.tag, answer.dated, answer.body)

    def _call_off(self, act: interface.CancelAttempt) -> None:
        req = self.reqs.get(act.request_id)
        if req is not None and req.out is not None and req.out.number == act.attempt_number:
            self._give_up(req.out, Ending.CALLED_OFF)

    def _deny(self, act: interface.RejectRequest) -> None:
        pause = act.retry_after // MS
        self._finish(act.request_id, clientwire.DENIED, {"pause": str(pause)} if pause else {})

    def _abort(self, act: interface.FailRequest) -> None:
        self._finish(act.request_id, clientwire.ABORTED, {})

    def _remind(self, act: interface.SetTimer) -> None:
        self._at(self.clock.now() + act.delay, act.token)

    def _nothing(self, act: Any) -> None:
        """The coordinator's feed is always followed, and holds all changes."""

    def _probe(self, act: interface.SendHealthCheck) -> None:
        self.probes += 1
        probe = Errand(f"probe-{self.probes}", self.nodes[act.endpoint_id], self.clock.now())
        command = (nodewire.busy(probe.name),)
        self._send(probe, probe.sent_at + self.told.transport.dial, lambda: command)

    def _log(self, act: interface.WriteLog) -> None:
        logger.info("module: {}", act.text)

    # Time

    def _at(self, when: int, what: str | Errand) -> None:
        self.set_timers += 1
        heappush(self.timers, (when, self.set_timers, what))
        if self.timers[0][2] is what:
            self.earlier.set()

    def ring(self) -> None:
        """Carries out the timers that have come due, and drops those at the top that nobody needs."""
        now = self.clock.now()
        while self.timers:
            when, _, what = self.timers[0]
            if isinstance(what, str):
                if when > now:
                    return
                heappop(self.timers)
                self.happen(interface.TimerFired(what))
            else:
                if when > now and not what.over:
                    return
                heappop(self.timers)
                if when == what.begin_by:
                    # guards 'no effect twice' where repeats are dropped for a while only: what still waits
                    # for its connection when that is over would run again
                    if not what.over and what.taken_back():
                        self.end(what, Ending.UNWRITTEN)
                elif not what.over:
                    self.lag = max(self.lag, now - when)
                    self._give_up(what, Ending.TIMED_OUT)

    async def keep_time(self) -> None:
        while True:
            self.earlier = anyio.Event()
            self.ring()
            self.driver.flush()
            wait = self.timers[0][0] - self.clock.now() if self.timers else SECOND
            with anyio.move_on_after(max(0, self.clock.seconds(wait))):
                await self.earlier.wait()
            await (
                lowlevel.checkpoint()
            )  # after a pause of the program, answers are read before time-outs count

    async def keep_watch(self) -> None:
        """Measures how late the program runs, lets connections go, and writes the counters now and then."""
        pulses = 0
        while True:
            due = self.clock.now() + PULSE
            await anyio.sleep(self.clock.seconds(PULSE))
            self.lag = max(self.clock.now() - due, self.lag * LAG_FADES // 100)
            pulses += 1
            self.clock.look()
            if pulses % SWEEP == 0 or self.driver.is_crowded():
                self.sweep()
                self.driver.flush()
            if pulses % REPORT == 0:
                logger.info("{}", self.report())
                self.complained.clear()
                self.events.allow_again()

    def margin(self, link: Link) -> int:
        """Guards against reqs lost while the program is short of CPU or descriptors: what a req that was just
        read may have waited, in the backlog too, and what its end may come late by, beyond what the protocol
        leaves room for.
        """
        since = self.driver.poll.unread_since()
        if link.unread_since is not None:
            since = min(since, link.unread_since)
        waited = self.clock.now() - int(since * SECOND)
        return max(0, waited + self.lag - SLACK)

    def sweep(self) -> None:
        """Connections to nodes go well before the nodes let them go, so that no req crosses the close."""
        now = self.clock.now()
        idle = AT_PEACE if self.driver.is_crowded() else (self.told.transport.idle or now) // 2
        linked = [node for node in self.nodes.values() if node.links]
        for node in linked:
            node.look(now, now - idle)
        for name in [node.id for node in self.nodes.values() if node.state == "gone" and not node.links]:
            del self.nodes[name]  # guards the memory on days on which all nodes are replaced
        self.links_each = self.driver.share_of(sum(bool(node.links) for node in linked))
        for client in list(self.clients):
            client.link.drop_late(self.clock.seconds(now))
            client.look(now)

    def make_room(self, pressing: bool) -> bool:
        """Guards the descriptors against clients that hold connections and ask nothing: the one that has
        waited longest goes, and of those first that never brought a request. The protocol allows closing
        where no request is open; but whoever will ask again comes back at once, so that ending more than one
        for each that comes makes a crowd of its own.
        """
        ending = sum(client.cause is CloseCause.ROOM for client in self.clients)
        if ending >= self.driver.ending_at_once():
            return False
        now = self.clock.now()
        least = PRESSED if pressing else SETTLED
        settled = [client for client in self.clients if client.since <= now - least]
        for use in Use:
            for client in settled:
                if client.use is not use or not client.is_idle():
                    continue
                if use is Use.REQUESTS and not pressing and client.since > now - AT_PEACE:
                    break
                client.make_room(pressing)
                return True
        if pressing and not ending:
            return any(client.end_stalled(now, HURRIED_STALLED) for client in list(self.clients))
        return False

    def give_way(self) -> None:
        """Guards the way to nodes where there are more of them than descriptors: the connection to a node
        that has carried nothing for longest makes room for another.
        """
        idle = [each for node in self.nodes.values() for each in node.links if each.is_idle()]
        if idle:
            min(idle, key=lambda each: each.idle_at).link.end(Ending.CLOSED)

    def report(self) -> str:
        counts = {**self.counts, **self.events.counts}
        counted = ", ".join(f"{name} {count}" for name, count in counts.items())
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        open_now = f"{len(self.reqs)} reqs and {self.driver.open} connections open"
        return f"{counted}; {open_now}; lag {self.lag / MS} ms; at most {peak} MB"

    # The end

    def leave(self, left: int) -> None:
        """Not ready any more: clients are told, and what was taken is answered within that time."""
        self.leave_at = self.clock.now() + left
        self.happen(interface.ShutdownStarted(left))
        for req in list(self.reqs.values()):
            if req.out is not None:
                self._at(self.leave_at, req.out)
        for client in list(self.clients):
            client.announce(CloseCause.SHUTDOWN, None)
        self.driver.flush()

    def take_no_more(self) -> None:
        """From now on requests are answered as refused, at once, and sent nowhere."""
        self.no_more_at = self.clock.now()

    def end_silent_clients(self) -> None:
        """Begins to end the connections of clients that never asked anything."""
        for client in list(self.clients):
            if client.use is Use.NONE:
                client.announce(CloseCause.SHUTDOWN, UNASKED_NOTICE)

    def end_all_clients(self) -> None:
        """Ends our side of every connection, after what is queued on it."""
        for client in list(self.clients):
            client.half_close()
        self.driver.flush()
