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
from ..config import DirectorConfig, load_report_in_order
from ..interface import FillNote
from ..routing import Router
from . import client_wire, upstream_wire
from .attempt_end import RESULTS, AttemptEnd
from .client_connection import HURRIED_STALLED, UNASKED_NOTICE, ClientConnection, CloseCause, Usage
from .clock import MILLISECOND as MS
from .clock import SECOND, Clock
from .connection import Connection
from .connection_manager import ConnectionManager
from .discovery import Discovery
from .event_log import EventKind, EventLog
from .extensions import CopyStore, TrafficAccount
from .gossip import Gossip
from .open_request import OpenRequest, read_request
from .system_calls import Call, Remedy
from .upstream import Attempt, Upstream, UpstreamOperation

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
DELIVERED = AttemptEnd.SERVED, AttemptEnd.NOT_MODIFIED  # nothing follows these


class Director:
    def __init__(
        self,
        told: DirectorConfig,
        driver: ConnectionManager,
        books: TrafficAccount | None = None,
        shelf: CopyStore | None = None,
        clock: Clock | None = None,
    ):
        self.config, self.manager, self.clock = told, driver, clock or Clock()
        self.event_log = EventLog(self.clock.now)
        driver.on_call_failed = self.on_call_failed
        self.traffic_account = books  # the account of crossings, where operators turned it on
        self.local_store = shelf  # copies of our own, where operators turned them on
        self.router = Router(told.deployment, told.seed)
        self.router.fill_budget, self.router.local_store = books, shelf
        driver.shed_idle = self.shed_idle
        self.recent_responses: dict[
            str, tuple[interface.RequestReceived, upstream_wire.UpstreamAnswer]
        ] = {}  # what came just now, while it may be kept
        self.requests: dict[str, OpenRequest] = {}
        self.clients: dict[ClientConnection, None] = {}  # the one that was heard of longest ago first
        self.upstreams: dict[str, Upstream] = {}
        self.event_queue: deque[interface.Event] = deque()
        self.is_handling = False
        self.shutdown_deadline: int | None = None  # by then all is answered
        self.admission_deadline: int | None = None  # reqs read after that are not taken
        self.discovery = Discovery(self)
        self.gossip = Gossip(self)
        self.loop_lag = 0  # the most that it was late, fading
        self.timers: list[tuple[int, int, str | UpstreamOperation]] = []
        self.timer_count = 0
        self.timer_moved_up = anyio.Event()  # a timer is due earlier than all others
        self.health_check_count = 0
        self.counters: Counter[str] = Counter()
        self.warned: set[str] = set()
        self.connections_per_upstream = 1  # connections that a node may have
        self.clients_accepted = 0
        self.command_handlers: dict[type, Callable[[Any], None]] = {
            interface.SendAttempt: self._send_attempt,
            interface.SendAttemptWithFill: self._send_attempt_with_fill,
            interface.ServeLocalCopy: self._serve_local_copy,
            interface.StoreLocalCopy: self._store_local_copy,
            interface.CancelAttempt: self._cancel_attempt,
            interface.RejectRequest: self._reject_request,
            interface.FailRequest: self._fail_request,
            interface.SetTimer: self._set_timer,
            interface.SetWatch: self._ignore,
            interface.RequestFullList: self._ignore,
            interface.SendHealthCheck: self._send_health_check,
            interface.SendGossip: self.gossip.send,
            interface.WriteLog: self._write_log,
        }

    def start(self) -> None:
        """All that is known goes to the module before any client does."""
        self.report(interface.InstanceStarted())
        for news in self.config.known:
            self.discovery.apply(news)
        self.discovery.last_index = max(self.discovery.last_index, self.config.known_index)

    def report(self, what: interface.Event) -> None:
        """Tells the module, in order, and carries out what it answers. A fault of the module costs the req at
        hand, not the program.
        """
        self.event_queue.append(what)
        if self.is_handling:
            return
        self.is_handling = True
        try:
            while self.event_queue:
                what = self.event_queue.popleft()
                try:
                    for act in self.router.handle(self.clock.now(), what):
                        self.command_handlers[type(act)](act)
                except Exception:
                    logger.exception("the module failed on {}", type(what).__name__)
                    self.counters["faults"] += 1
                    self.event_log.dump_for_fault("the decision module failed")
                    self._send_final_answer(getattr(what, "request_id", ""), client_wire.ABORTED, {})
        finally:
            self.is_handling = False
            self.recent_responses.clear()

    # Reqs

    def admit(
        self, client: ClientConnection, message: client_wire.RequestFrame | client_wire.MalformedRequest
    ) -> None:
        now = self.clock.now()
        if self.admission_deadline is not None and now > self.admission_deadline:
            # guards reqs that come when hardly any time is left: they are answered at once, and sent nowhere
            self.event_log.record(EventKind.REQUEST_REFUSED, f"client {client.number}", "shutdown")
            client.connection.write(client_wire.answer(message.stream, client_wire.DENIED, {}))
            return
        try:
            if isinstance(message, client_wire.MalformedRequest):
                raise ValueError(message.text)
            margin = self.deadline_margin(client.connection)
            told = self.config
            came = read_request(message.fields, told.names, told.deployment, client.number, margin)
            if came.request_id in self.requests:
                raise ValueError("field 'trace' names an open req")
        except ValueError as fault:
            self.warn("unreadable", f"a req can't be read: {fault}")
            text = str(fault).encode()
            client.connection.write(client_wire.answer(message.stream, client_wire.ABORTED, {}, text))
            return
        if self.shutdown_deadline is not None:
            came = came._replace(
                time_remaining=max(0, min(came.time_remaining, self.shutdown_deadline - now))
            )
        req = OpenRequest(came, client, message, now)
        client.open_requests[req.stream] = self.requests[req.request_id] = req
        self.counters["reqs"] += 1
        self.report(came)

    def on_client_left(self, req: OpenRequest) -> None:
        """Its client has gone: nothing more is owed."""
        if req.is_closed:
            return
        req.is_closed = req.client_left = True
        self.counters["left"] += 1
        self.event_log.record(EventKind.REQUEST_LEFT, req.request_id, "client")
        self.report(interface.ClientDisconnected(req.request_id))
        if req.attempt is not None and req.attempt.withdraw():
            # guards nodes against work for nobody, also where the settings allow no giving up of what has
            # begun: what waits for its connection or behind a blocked socket has not
            self.finish_operation(req.attempt, AttemptEnd.NOT_SENT)
        self._forget(req)

    def fail(self, req: OpenRequest) -> None:
        """Answers a req whose connection has to end; the module learns that nobody waits for it."""
        if not req.is_closed:
            self.on_client_left(req)
            req.client.send_answer(req, client_wire.ABORTED, {}, b"")

    def _send_final_answer(self, name: str, code: int, fields: dict[str, str], body: bytes = b"") -> None:
        """The one final answer of a req that is still open."""
        req = self.requests.get(name)
        if req is None or req.is_closed:
            return
        req.is_closed = True
        end = client_wire.CODES[code]
        self.counters[end] += 1
        if code != client_wire.DONE:
            kind = EventKind.REQUEST_REFUSED if code == client_wire.DENIED else EventKind.REQUEST_FAILED
            self.event_log.record(kind, name, f"after {req.attempt_count} attempts")
        logger.debug("req {} {} after {} dispatches", name, end, req.attempt_count)
        req.client.send_answer(req, code, fields, body)
        self._forget(req)

    def _forget(self, req: OpenRequest) -> None:
        if req.is_closed and req.attempt is None:
            self.requests.pop(req.request_id, None)

    def warn(self, kind: str, text: str) -> None:
        """Guards the log and the CPU against floods: of each kind of complaint one line a minute, and a count
        with the counters.
        """
        self.counters[kind] += 1
        if kind not in self.warned:
            self.warned.add(kind)
            logger.warning("{} (more of it: see '{}' in the counters)", text, kind)

    def on_call_failed(self, call: Call, error: str, remedy: Remedy) -> None:
        """A system call failed otherwise than calls do on a calm day."""
        self.event_log.record(EventKind.CALL_FAILED, call.name, error, remedy.name)
        self.warn(
            f"{call.name} {error}", f"system call {call.name} failed with {error}: {remedy.name.lower()}"
        )
        if remedy is Remedy.BUG:
            self.event_log.dump_for_fault(f"{call.name} failed with {error}")

    # Dispatches

    def _send(self, errand: UpstreamOperation, until: int, render: Callable[[], tuple[bytes, ...]]) -> None:
        errand.deadline = until
        errand.connection = errand.upstream.connection_for(errand.operation_id, self)
        errand.connection.operations[errand.operation_id] = errand
        errand.frame = errand.connection.connection.write((), render=render)
        self._schedule(until, errand)

    def _render_command(self, out: Attempt, fields: dict[str, str]) -> tuple[bytes, ...]:
        """An attempt's command, made when it begins to be written: it may have waited for its connection, and
        its client may have left meanwhile, unread.
        """
        now = self.clock.now()
        link = out.request.client.connection
        if link.unread_since is not None or now > int(self.manager.selector.unread_since() * SECOND) + UNREAD:
            link.read_now()  # else what it has not read came within that time: an attempt may still begin
        if not out.is_finished and (out.request.is_closed or now >= out.deadline):
            self.finish_operation(out, AttemptEnd.NOT_SENT if out.withdraw() else AttemptEnd.TIMED_OUT)
        if out.is_finished:
            return ()
        fields["ms"] = str(-(-(out.deadline - now) // MS))
        return (upstream_wire.want(out.operation_id, fields, out.request.body),)

    def finish_operation(
        self,
        errand: UpstreamOperation,
        ending: AttemptEnd,
        answer: upstream_wire.UpstreamAnswer | None = None,
    ) -> None:
        """The one end of a dispatch or a probe."""
        if errand.is_finished:
            return None
        errand.is_finished = True
        if errand.frame is not None:
            errand.frame.render = None  # knows the errand: nothing here may wait for a collection
        now = self.clock.now()
        if errand.connection is not None:
            errand.connection.operations.pop(errand.operation_id, None)
            errand.connection.idle_since = now
            errand.connection.retire_if_out_of_step()
            if answer is not None and ending not in DELIVERED:
                # guards the req's next dispatch against a second answer to this one: it takes another way
                errand.connection.retired_ids[errand.operation_id] = now + SECOND
        took, node, note, load = now - errand.started_at, errand.upstream.id, FillNote.NONE, None
        if answer is not None:
            note = answer.fill_note
            load = (
                load_report_in_order(answer.load_report, self.config.deployment)
                if answer.load_report
                else None
            )
        if not isinstance(errand, Attempt):
            return self.report(interface.HealthCheckFinished(node, RESULTS[ending], took, load))
        body = len(answer.body) if answer is not None and ending is AttemptEnd.SERVED else None
        req = errand.request
        have = req.fields.get("have")
        if ending is AttemptEnd.NOT_MODIFIED and (answer is None or not have or answer.tag != have):
            ending = (
                AttemptEnd.ERROR
            )  # guards clients' copies: only the one that the node has named is the same
        if (
            answer is not None
            and answer.produced_unix_ms
            and answer.produced_unix_ms < errand.oldest_copy_unix_ms
        ):
            ending = (
                AttemptEnd.ERROR
            )  # older than what was asked for: guards purges against a node that forgets them
        self.counters[ending.name] += 1
        if ending not in DELIVERED:
            self.event_log.record(EventKind.ATTEMPT_ENDED, req.request_id, ending.name, node)
        req.attempt = None
        if ending is AttemptEnd.SERVED and answer is not None:
            self._send_final_answer(req.request_id, client_wire.DONE, {}, answer.body)
        elif ending is AttemptEnd.NOT_MODIFIED:
            self._send_final_answer(req.request_id, client_wire.DONE, {"same": "1"})
        self._forget(req)
        result = RESULTS[ending]
        if self.local_store is not None and body and answer is not None:
            self.recent_responses[req.request_id] = req.received, answer
        if self.traffic_account is not None:
            self.traffic_account.ended(now, req.received, result, note, body, took, req.client_left)
        self.report(
            interface.AttemptFinished(
                req.request_id, errand.attempt_number, node, result, took, req.is_closed, note, 0, load
            )
        )

    def _abandon(self, errand: UpstreamOperation, ending: AttemptEnd) -> None:
        """Ends what has no answer: what was not begun is never sent, and the node is told of the rest."""
        if errand.is_finished:
            return
        carrier, told = errand.connection, True
        if errand.withdraw():
            ending = AttemptEnd.NOT_SENT
        elif isinstance(errand, Attempt) and carrier is not None:
            told = carrier.cancel(errand) or errand.request.is_closed
            if (
                ending is AttemptEnd.TIMED_OUT
                and carrier.connection.last_received_at * SECOND < errand.started_at
            ):
                # guards against connections that are dead and silent: a new one shows whether the node lives
                told = False
        self.finish_operation(errand, ending)
        if not told and carrier is not None:
            carrier.connection.close(
                AttemptEnd.CONNECTION_SHARED_FAILURE
            )  # gives up all that is on it, before anything else is written

    def withdraw_unsent(self, wrong: Callable[[Attempt], bool]) -> None:
        """Guards drains and purges, which count a send from its first byte: dispatches that were waiting for
        a connection when the news came are never sent.
        """
        for req in list(self.requests.values()):
            if req.attempt is not None and wrong(req.attempt) and req.attempt.withdraw():
                self.finish_operation(req.attempt, AttemptEnd.NOT_SENT)

    # Actions

    def _send_attempt(self, act: interface.SendAttempt) -> None:
        self._start_attempt(act, None, {})

    def _send_attempt_with_fill(self, act: interface.SendAttemptWithFill) -> None:
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
        self._start_attempt(act, self.upstreams.get(act.source_id), how, oldest)

    def _start_attempt(
        self,
        act: interface.SendAttempt | interface.SendAttemptWithFill,
        source: Upstream | None,
        how: dict[str, str],
        oldest: int = 0,
    ) -> None:
        name, to, until = act.request_id, act.endpoint_id, act.deadline
        req, now = self.requests.get(name), self.clock.now()
        if req is None:
            return None
        out = req.attempt = Attempt(req, self.upstreams[to], source, now)
        out.oldest_copy_unix_ms = oldest
        req.attempt_count += 1
        self.counters["dispatches"] += 1
        if self.traffic_account is not None:
            self.traffic_account.sent(now, req.received, to, source.id if source is not None else "", how)
        if req.is_closed or until <= now:
            return self.finish_operation(out, AttemptEnd.NOT_SENT)
        fields = {"kind": req.fields["route"], "obj": req.fields["entity"]}
        for told, passed in PASSED_ON.items():
            if told in req.fields:
                fields[passed] = req.fields[told]
        fields["ms"] = ""  # has its place; told when the command is written
        fields.update(how)
        if req.fields.get("have"):
            fields["got"] = req.fields["have"]
        self._send(out, until, lambda: self._render_command(out, fields))
        if act.start_deadline:
            out.start_deadline = act.start_deadline
            self._schedule(act.start_deadline, out)

    def _serve_local_copy(self, act: interface.ServeLocalCopy) -> None:
        req = self.requests.get(act.request_id)
        if req is not None:
            self.manager.task_group.start_soon(self._read_local_copy, req)

    async def _read_local_copy(self, req: OpenRequest) -> None:
        """Our own copy, or word that it could not be had; either way the module hears of it once."""
        served = False
        try:
            copy = await self.local_store.read(req.received) if self.local_store is not None else None
            if copy is not None:
                served = True
                same = req.fields.get("have") == copy.tag.decode(errors="replace")
                self._send_final_answer(
                    req.request_id,
                    client_wire.DONE,
                    {"same": "1"} if same else {},
                    b"" if same else copy.body,
                )
        except Exception:
            logger.exception("a copy of our own could not be served")
        self.report(interface.LocalCopyFinished(req.request_id, served))
        self.manager.flush()

    def _store_local_copy(self, act: interface.StoreLocalCopy) -> None:
        found = self.recent_responses.pop(act.request_id, None)
        if found is not None and self.local_store is not None:
            came, answer = found
            self.local_store.keep(came, answer.tag, answer.produced_unix_ms, answer.body)

    def _cancel_attempt(self, act: interface.CancelAttempt) -> None:
        req = self.requests.get(act.request_id)
        if req is not None and req.attempt is not None and req.attempt.attempt_number == act.attempt_number:
            self._abandon(req.attempt, AttemptEnd.CANCELLED)

    def _reject_request(self, act: interface.RejectRequest) -> None:
        pause = act.retry_after // MS
        self._send_final_answer(act.request_id, client_wire.DENIED, {"pause": str(pause)} if pause else {})

    def _fail_request(self, act: interface.FailRequest) -> None:
        self._send_final_answer(act.request_id, client_wire.ABORTED, {})

    def _set_timer(self, act: interface.SetTimer) -> None:
        self._schedule(self.clock.now() + act.delay, act.token)

    def _ignore(self, act: Any) -> None:
        """The coordinator's feed is always followed, and holds all changes."""

    def _send_health_check(self, act: interface.SendHealthCheck) -> None:
        self.health_check_count += 1
        probe = UpstreamOperation(
            f"probe-{self.health_check_count}", self.upstreams[act.endpoint_id], self.clock.now()
        )
        command = (upstream_wire.busy(probe.operation_id),)
        self._send(probe, probe.started_at + self.config.transport.connect_timeout, lambda: command)

    def _write_log(self, act: interface.WriteLog) -> None:
        logger.info("module: {}", act.text)

    # Time

    def _schedule(self, when: int, what: str | UpstreamOperation) -> None:
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, what))
        if self.timers[0][2] is what:
            self.timer_moved_up.set()

    def fire_timers(self) -> None:
        """Carries out the timers that have come due, and drops those at the top that nobody needs."""
        now = self.clock.now()
        while self.timers:
            when, _, what = self.timers[0]
            if isinstance(what, str):
                if when > now:
                    return
                heappop(self.timers)
                self.report(interface.TimerFired(what))
            else:
                if when > now and not what.is_finished:
                    return
                heappop(self.timers)
                if when == what.start_deadline:
                    # guards 'no effect twice' where repeats are dropped for a while only: what still waits
                    # for its connection when that is over would run again
                    if not what.is_finished and what.withdraw():
                        self.finish_operation(what, AttemptEnd.NOT_SENT)
                elif not what.is_finished:
                    self.loop_lag = max(self.loop_lag, now - when)
                    self._abandon(what, AttemptEnd.TIMED_OUT)

    async def run_timers(self) -> None:
        while True:
            self.timer_moved_up = anyio.Event()
            self.fire_timers()
            self.manager.flush()
            wait = self.timers[0][0] - self.clock.now() if self.timers else SECOND
            with anyio.move_on_after(max(0, self.clock.seconds(wait))):
                await self.timer_moved_up.wait()
            await (
                lowlevel.checkpoint()
            )  # after a pause of the program, answers are read before time-outs count

    async def run_maintenance(self) -> None:
        """Measures how late the program runs, lets connections go, and writes the counters now and then."""
        pulses = 0
        while True:
            due = self.clock.now() + PULSE
            await anyio.sleep(self.clock.seconds(PULSE))
            self.loop_lag = max(self.clock.now() - due, self.loop_lag * LAG_FADES // 100)
            pulses += 1
            self.clock.check_wall_clock()
            if pulses % SWEEP == 0 or self.manager.is_nearly_full():
                self.close_idle_connections()
                self.manager.flush()
            if pulses % REPORT == 0:
                logger.info("{}", self.summary())
                self.warned.clear()
                self.event_log.reset_dump_allowance()

    def deadline_margin(self, link: Connection) -> int:
        """Guards against reqs lost while the program is short of CPU or descriptors: what a req that was just
        read may have waited, in the backlog too, and what its end may come late by, beyond what the protocol
        leaves room for.
        """
        since = self.manager.selector.unread_since()
        if link.unread_since is not None:
            since = min(since, link.unread_since)
        waited = self.clock.now() - int(since * SECOND)
        return max(0, waited + self.loop_lag - SLACK)

    def close_idle_connections(self) -> None:
        """Connections to nodes go well before the nodes let them go, so that no req crosses the close."""
        now = self.clock.now()
        idle = (
            AT_PEACE
            if self.manager.is_nearly_full()
            else (self.config.transport.upstream_idle_timeout or now) // 2
        )
        linked = [node for node in self.upstreams.values() if node.connections]
        for node in linked:
            node.check_timeouts(now, now - idle)
        for name in [
            node.id for node in self.upstreams.values() if node.state == "gone" and not node.connections
        ]:
            del self.upstreams[name]  # guards the memory on days on which all nodes are replaced
        self.connections_per_upstream = self.manager.connections_per_upstream(
            sum(bool(node.connections) for node in linked)
        )
        for client in list(self.clients):
            client.connection.withdraw_expired(self.clock.seconds(now))
            client.check_timeouts(now)

    def reclaim_descriptor(self, pressing: bool) -> bool:
        """Guards the descriptors against clients that hold connections and ask nothing: the one that has
        waited longest goes, and of those first that never brought a request. The protocol allows closing
        where no request is open; but whoever will ask again comes back at once, so that ending more than one
        for each that comes makes a crowd of its own.
        """
        ending = sum(client.close_cause is CloseCause.CAPACITY for client in self.clients)
        if ending >= self.manager.max_concurrent_closes():
            return False
        now = self.clock.now()
        least = PRESSED if pressing else SETTLED
        settled = [client for client in self.clients if client.waiting_since <= now - least]
        for use in Usage:
            for client in settled:
                if client.usage is not use or not client.is_idle():
                    continue
                if use is Usage.REQUESTS and not pressing and client.waiting_since > now - AT_PEACE:
                    break
                client.close_for_capacity(pressing)
                return True
        if pressing and not ending:
            return any(client.close_if_stalled(now, HURRIED_STALLED) for client in list(self.clients))
        return False

    def shed_idle(self) -> None:
        """Guards the way to nodes where there are more of them than descriptors: the connection to a node
        that has carried nothing for longest makes room for another.
        """
        idle = [each for node in self.upstreams.values() for each in node.connections if each.is_idle()]
        if idle:
            min(idle, key=lambda each: each.idle_since).connection.close(AttemptEnd.CLOSED)

    def summary(self) -> str:
        counts = {**self.counters, **self.event_log.counts}
        counted = ", ".join(f"{name} {count}" for name, count in counts.items())
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        open_now = f"{len(self.requests)} reqs and {self.manager.open_sockets} connections open"
        return f"{counted}; {open_now}; lag {self.loop_lag / MS} ms; at most {peak} MB"

    # The end

    def begin_shutdown(self, left: int) -> None:
        """Not ready any more: clients are told, and what was taken is answered within that time."""
        self.shutdown_deadline = self.clock.now() + left
        self.report(interface.ShutdownStarted(left))
        for req in list(self.requests.values()):
            if req.attempt is not None:
                self._schedule(self.shutdown_deadline, req.attempt)
        for client in list(self.clients):
            client.announce_close(CloseCause.SHUTDOWN, None)
        self.manager.flush()

    def stop_admitting(self) -> None:
        """From now on requests are answered as refused, at once, and sent nowhere."""
        self.admission_deadline = self.clock.now()

    def close_unused_clients(self) -> None:
        """Begins to end the connections of clients that never asked anything."""
        for client in list(self.clients):
            if client.usage is Usage.NONE:
                client.announce_close(CloseCause.SHUTDOWN, UNASKED_NOTICE)

    def close_all_clients(self) -> None:
        """Ends our side of every connection, after what is queued on it."""
        for client in list(self.clients):
            client.half_close()
        self.manager.flush()
