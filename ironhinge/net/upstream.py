"""Owns what is known of the connections that the director makes: a node's and what is out on them, and the
coordinator's feed.

It must never talk to the module or answer a req: what comes in goes to the director, in its words.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from loguru import logger

from ..config import Address
from . import discovery_wire, upstream_wire
from .attempt_end import AttemptEnd
from .connection import Connection, Frame

if TYPE_CHECKING:
    from .director import Director
    from .discovery import Discovery
    from .open_request import OpenRequest

SECOND = 10_000  # tenths of a millisecond


class UpstreamOperation:
    """What is out at a node: a dispatch of a req, or a probe."""

    __slots__ = (
        "start_deadline",
        "connection",
        "frame",
        "operation_id",
        "upstream",
        "is_finished",
        "started_at",
        "deadline",
    )

    def __init__(self, name: str, node: Upstream, sent_at: int):
        self.operation_id, self.upstream, self.started_at = (
            name,
            node,
            sent_at,
        )  # the name is its id on the wire
        self.deadline, self.start_deadline = sent_at, 0
        self.connection: UpstreamConnection | None = None
        self.frame: Frame | None = None
        self.is_finished = False

    def withdraw(self) -> bool:
        """True when nothing of it had been written, and now never will be."""
        return (
            self.connection is None or self.frame is None or self.connection.connection.withdraw(self.frame)
        )


class Attempt(UpstreamOperation):
    __slots__ = ("attempt_number", "oldest_copy_unix_ms", "request", "source")

    def __init__(self, req: OpenRequest, node: Upstream, source: Upstream | None, sent_at: int):
        super().__init__(req.request_id, node, sent_at)
        self.request, self.attempt_number, self.source = req, req.attempt_count, source
        self.oldest_copy_unix_ms = 0  # the Unix millisecond of the oldest copy that will do

    def is_outdated(self) -> bool:
        """True when the list says by now that it should not go, or not where it was going."""
        if self.connection is not None and self.connection.is_retired:
            return True
        return any(node is not None and node.state != "ready" for node in (self.upstream, self.source))


class UpstreamConnection:
    """One connection to a node."""

    def __init__(self, director: Director, node: Upstream):
        self.director, self.upstream = director, node
        self.wire = upstream_wire.UpstreamWire()
        self.operations: dict[str, UpstreamOperation] = {}
        # ids given up here, and when no answer can come any more: a late one could pass for a later one's
        self.retired_ids: dict[str, int] = {}
        self.is_retired = False  # takes nothing more
        self.idle_since = 0
        self.connection: Connection

    def on_connected(self, link: Connection) -> None: ...

    def on_data(self, link: Connection, data: memoryview) -> None:
        answers, fault = self.wire.feed(data)
        for answer in answers:
            errand = self.operations.get(answer.operation_id)
            if errand is None:
                continue  # given up, and answered all the same
            copy = isinstance(errand, Attempt) and not errand.request.received.is_write  # a write leaves none
            if copy and answer.end is AttemptEnd.SERVED and not (answer.produced_unix_ms and answer.has_tag):
                fault = upstream_wire.UnparsableError("bytes without their tag or date")
                break
            probe = answer.end in (AttemptEnd.HEALTHY, AttemptEnd.UNHEALTHY)
            if probe is isinstance(errand, Attempt):
                fault = upstream_wire.UnparsableError(f"{answer.end.name} as the answer to another command")
                break
            self.director.finish_operation(errand, answer.end, answer)
        if fault is not None:
            self.director.warn("garbled", f"node {self.upstream.id}: can't read {fault}")
            link.close(AttemptEnd.UNPARSABLE)
        else:
            self.retire_if_out_of_step()

    def retire_if_out_of_step(self) -> None:
        """Takes nothing more where something has begun to come that belongs to no dispatch. Guards the next
        dispatch, whose answer would stand behind what may never end, or be read as a part of it.
        """
        if not self.operations and self.wire.has_partial_answer():
            self.is_retired = True

    def cancel(self, errand: Attempt) -> bool:
        """Tells the node that nobody waits for a dispatch that it may have; False if that is not on its way.
        Guards against two dispatches of a req out together: the next one may go out on another connection,
        so this must be written before it and not just queued.
        """
        self.retired_ids[errand.operation_id] = errand.deadline + SECOND
        return self.connection.write_now((upstream_wire.never_mind(errand.operation_id),))

    def is_idle(self) -> bool:
        return self.connection.is_connected and not self.operations

    def check_timeouts(self, now: int, idle_since: int) -> None:
        """Ends the connection if it is of no use any more."""
        if not self.connection.is_connected:
            return
        stuck = (
            self.wire.has_partial_answer()
            and now
            > int(self.connection.last_received_at * SECOND) + self.director.config.transport.connect_timeout
        )
        if stuck and not self.connection.has_unread():
            # guards against answers that stop short: what is open here would wait for them in vain
            self.connection.close(AttemptEnd.STALLED)
        elif not self.operations and (self.is_retired or self.idle_since < idle_since):
            self.connection.close(AttemptEnd.CLOSED)
        elif self.retired_ids:
            for name in [name for name, until in self.retired_ids.items() if until < now]:
                del self.retired_ids[name]

    def on_closed(self, link: Connection, ending: AttemptEnd) -> None:
        """A connection that breaks is one failure, however many dispatches were out on it: the one that
        waited longest stands for it. Guards the node's name, and the others' next try.
        """
        self.upstream.connections.remove(self)
        if ending in (AttemptEnd.CONNECTION_REFUSED, AttemptEnd.CONNECT_TIMEOUT):
            logger.info(
                "node {} at {}:{}: connection {}", self.upstream.id, *self.upstream.address, ending.name
            )
        first = ending is not AttemptEnd.CONNECTION_SHARED_FAILURE
        for errand in list(self.operations.values()):
            if link.is_connected or ending is AttemptEnd.CUT_BEFORE_SEND:
                had_it = errand.frame is not None and link.is_written(errand.frame)
                one = ending if had_it else AttemptEnd.CUT_BEFORE_SEND
                other = AttemptEnd.CONNECTION_SHARED_FAILURE if had_it else AttemptEnd.NOT_SENT
                self.director.finish_operation(errand, one if first else other)
                first = False
            else:
                self.director.finish_operation(errand, ending)


class Upstream:
    """A cache node, parent or the origin as a place to connect to."""

    def __init__(self, name: str, address: Address):
        self.id, self.address = name, address
        self.state = "ready"
        self.started_unix_ms, self.started_at = (
            0,
            0,
        )  # the Unix millisecond told, and the module's instant for it
        self.connections: list[UpstreamConnection] = []

    def connection_for(self, name: str, director: Director) -> UpstreamConnection:
        """A connection that carries nothing, the one used last; else a new one while the node's share of
        descriptors allows it; else the one that carries least. Guards what is out against answers that spoil
        their connection: it takes down the fewer.
        """
        most = director.config.transport.operations_per_connection
        free = [each for each in self.connections if len(each.operations) < most and not each.is_retired]
        free = [each for each in free if name not in each.retired_ids]
        idle = [each for each in free if each.is_idle()]
        for each in sorted(idle, key=lambda each: each.idle_since, reverse=True):
            if not each.connection.peer_has_closed():
                return each
            # guards reqs that must not be sent twice: what is written to a closed connection may have run
            free.remove(each)
            each.connection.close(AttemptEnd.CLOSED)
        if free and len(self.connections) >= director.connections_per_upstream:
            return min(free, key=lambda each: (not each.connection.is_connected, len(each.operations)))
        new = UpstreamConnection(director, self)
        self.connections.append(new)
        new.connection = director.manager.connect(
            new, self.address, director.clock.seconds(director.config.transport.connect_timeout)
        )
        return new

    def retire(self) -> None:
        """Its connections take nothing new and end with what is open on them."""
        for each in list(self.connections):
            each.is_retired = True
            if not each.operations:
                each.connection.close(AttemptEnd.CLOSED)

    def check_timeouts(self, now: int, idle_since: int) -> None:
        for each in list(self.connections):
            each.check_timeouts(now, idle_since)


class DiscoveryConnection:
    """The connection to the coordinator."""

    def __init__(self, director: Director, discovery: Discovery):
        self.director, self.discovery = director, discovery
        self.wire = discovery_wire.DiscoveryWire()
        self.closed = anyio.Event()
        self.has_received = False
        self.last_received_at = director.clock.now()  # a whole frame, or the call
        self.connection: Connection

    def on_connected(self, link: Connection) -> None:
        link.write((discovery_wire.hello(self.discovery.last_index),))

    def on_data(self, link: Connection, data: memoryview) -> None:
        news, fault = self.wire.feed(data)
        for one in news:
            self.has_received, self.last_received_at = True, self.director.clock.now()
            self.discovery.apply(one)
            if isinstance(
                one, discovery_wire.Keepalive
            ):  # nothing new: all that happened so far has been told
                self.discovery.caught_up_at = self.last_received_at
        if fault is not None:
            logger.warning("coordinator: can't read {}", fault)
            link.close(AttemptEnd.UNPARSABLE)

    def on_closed(self, link: Connection, ending: AttemptEnd) -> None:
        self.closed.set()
