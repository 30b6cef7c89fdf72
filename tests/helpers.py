"""Helpers of the tests.

For the router: a small deployment, random events, and a checker that verifies each command by a simple, slow
computation. For the director: fake upstreams, a fake coordinator and fake clients on loopback sockets, and
the director as a process.
"""

import contextlib
import json
import os
import queue
import socket
import struct
import subprocess
import sys
import threading
import time
from random import Random

from ironhinge import interface
from ironhinge.interface import DedupScope, EndpointState, Idempotency
from ironhinge.lab.ports import PortAllocator
from ironhinge.routing import Router

PARENT, ORIGIN = 1, 2
CACHES = [f"c{i}" for i in range(5)]
IDEMPOTENCY = (
    (Idempotency.IDEMPOTENT, DedupScope.ALL),
    (Idempotency.KEYED, DedupScope.CELL),
    (Idempotency.KEYED, DedupScope.ALL),
    (Idempotency.NON_IDEMPOTENT, DedupScope.ALL),
)


def new_deployment(**overrides):
    """Returns a deployment with four request classes, one for each entry of `IDEMPOTENCY`."""
    request_classes = tuple(
        interface.RequestClass(
            4000,
            1.6,
            30000,
            1.0,
            0.2,
            idempotency,
            dedup_scope,
            9000,
            False,
            20000 if i % 2 else 0,
            0,
            1.0,
            True,
        )
        for i, (idempotency, dedup_scope) in enumerate(IDEMPOTENCY)
    )
    fields = {
        "request_classes": request_classes,
        "zone": 0,
        "router_count": 2,
        "local_router_count": 2,
        "hub_by_zone": (1, 1),
        "ingress_bandwidth": (),
        "parent_kind": PARENT,
        "origin_kind": ORIGIN,
        "direct_to_source": True,
        "sibling_fill": "location",
        "coalesces_fills": True,
        "cache_status_level": "all",
        "transfer_rate": 5000.0,
        "weight_kind": "rough",
        "load_report_fields": ("in_hand",),
        "watch_required": False,
        "discovery_poll_interval": 0,
        "max_attempts": 6,
        "health_checks_allowed": False,
        "gossip_allowed": False,
        "cancellation_allowed": True,
        "max_retry_after": 10000,
        "slow_start_min_share": 0.2,
        "slow_start_duration": 150000,
        "overload_multiple": 2.0,
        "overload_window": 20000,
        "parent_slow_start_min_share": 0.1,
        "parent_slow_start_duration": 200000,
        "parent_overload_multiple": 2.0,
        "origin_overload_multiple": 2.5,
        "drain_grace": 5000,
        "purge_grace": 3000,
        "purge_retention": 60000,
        "min_batch_interval": 20,
        "prices": (),
    }
    return interface.Deployment(**{**fields, **overrides})


def new_endpoint(endpoint_id, state="ready", started_at=0, weight=20.0):
    """Returns an endpoint whose id gives its kind: "o" is the origin, "p..." a parent, any other a cache."""
    kind = ORIGIN if endpoint_id == "o" else PARENT if endpoint_id[0] == "p" else 0
    return interface.Endpoint(
        endpoint_id,
        EndpointState(state),
        int(endpoint_id[1:] or 0) % 2,
        1 if kind else 0,
        started_at,
        weight,
        kind,
    )


def new_router(deployment=None, endpoint_ids=(*CACHES, "p0", "p1", "o")):
    """Returns a router that was started at time 0 and has received the endpoint list."""
    router = Router(deployment or new_deployment(), 7)
    router.handle(0, interface.InstanceStarted())
    router.handle(
        0, interface.EndpointsUpdated(True, tuple(new_endpoint(endpoint_id) for endpoint_id in endpoint_ids))
    )
    return router


def request_received(request_id, object_id=1, class_index=0, size=500.0, time_remaining=25000, group=0):
    return interface.RequestReceived(
        request_id, object_id, 0, group, size, time_remaining, class_index, False, False
    )


def attempt_finished(command, result, attempt_number=0, duration=100, request_closed=None, cache_status=0):
    """Returns the end of the attempt that a command sent; by default "done" closes the request."""
    return interface.AttemptFinished(
        command.request_id,
        attempt_number,
        command.endpoint_id,
        result,
        duration,
        result == "done" if request_closed is None else request_closed,
        cache_status,
        0,
        None,
    )


class RuleChecker:
    """Checks each command of a router against the rules.

    It records all events and attempts, and for each command computes from them anew what is allowed, without
    the incremental state of the router.
    """

    def __init__(self, deployment):
        self.deployment, self.endpoints, self.purges, self.requests, self.attempts, self.final_states = (
            deployment,
            {},  # by id, also the removed ones
            [],  # instant of the purge, event
            {},  # request id: instant at which it was received, event
            {},  # request id: its attempts as [endpoint id, instant at which it was sent, result or None]
            {},  # request id: "answered", "done" or "left"; open requests are missing
        )
        self.expected_work = {}  # class index: transfer times of all its requests
        self.slow_start_work = {}  # (endpoint id, its start): work sent to it during slow start

    def record_event(self, now, event):
        """Records an event before the router handles it."""
        if type(event) is interface.RequestReceived:
            self.requests[event.request_id], self.attempts[event.request_id] = (now, event), []
            self.expected_work.setdefault(event.class_index, []).append(
                event.size * 10_000 / self.deployment.transfer_rate
            )
        elif type(event) is interface.EndpointsUpdated:
            for endpoint in event.endpoints:
                self.endpoints[endpoint.id] = endpoint
            if event.is_full:
                for endpoint_id in set(self.endpoints) - {endpoint.id for endpoint in event.endpoints}:
                    self.endpoints[endpoint_id] = self.endpoints[endpoint_id]._replace(
                        state=EndpointState.REMOVED
                    )
        elif type(event) is interface.PurgeNotified:
            self.purges.append((now - event.age, event))
        elif type(event) is interface.AttemptFinished:
            self.attempts[event.request_id][event.attempt_number][2] = event.result
            if event.request_closed:
                self.final_states[event.request_id] = "done"
        elif type(event) is interface.ClientDisconnected:
            self.final_states.setdefault(event.request_id, "left")

    def check_command(self, now, command):
        """Checks that a command is allowed, and records the attempt or the final answer."""
        if type(command) in (interface.SendAttempt, interface.SendAttemptWithFill):
            self.check_attempt(now, command)
        elif type(command) in (interface.RejectRequest, interface.FailRequest):
            assert command.request_id not in self.final_states, "two final answers"
            received_at, request = self.requests[command.request_id]
            assert now <= received_at + request.time_remaining, "answered after the client timeout"
            if type(command) is interface.RejectRequest:
                assert self.is_safe_to_resend(command.request_id, now), "rejected a request that may have run"
            self.final_states[command.request_id] = "answered"

    def possibly_run_attempts(self, request_id):
        """Returns the attempts whose results mean that the request ran or may have run."""
        return [
            attempt
            for attempt in self.attempts[request_id]
            if attempt[2] in ("done", "error", "timeout", "reset", "cancelled")
        ]

    def is_safe_to_resend(self, request_id, now):
        """Returns whether the client can send the request again without its running twice."""
        request_class, possibly_run = (
            self.deployment.request_classes[self.requests[request_id][1].class_index],
            self.possibly_run_attempts(request_id),
        )
        return (
            not possibly_run
            or request_class.idempotency == Idempotency.IDEMPOTENT
            or (request_class.idempotency == Idempotency.KEYED and request_class.dedup_scope == "all")
        )

    def check_attempt(self, now, command):
        received_at, request = self.requests[command.request_id]
        request_class, earlier_attempts = (
            self.deployment.request_classes[request.class_index],
            self.attempts[command.request_id],
        )
        assert command.request_id not in self.final_states, "sent after the final answer"
        assert len(earlier_attempts) < self.deployment.max_attempts
        assert all(attempt[2] for attempt in earlier_attempts), "two attempts in flight for one request"
        assert now < command.deadline <= received_at + request.time_remaining
        possibly_run = self.possibly_run_attempts(command.request_id)
        if possibly_run and request_class.idempotency != Idempotency.IDEMPOTENT:
            assert request_class.idempotency == Idempotency.KEYED, "could run twice"
            assert now < possibly_run[0][1] + request_class.dedup_window, "could run twice"
            assert (
                request_class.dedup_scope == "all"
                or self.endpoints[command.endpoint_id].cell == self.endpoints[possibly_run[0][0]].cell
            ), "sent to a cell that does not know its idempotency key"
        source_id = getattr(command, "source_id", command.endpoint_id)
        for endpoint_id in {command.endpoint_id, source_id}:
            assert self.endpoints[endpoint_id].state == "ready", "sent to a draining or removed endpoint"
            self.check_slow_start(now, endpoint_id, request, command.endpoint_id)
        purges = [
            purged_at
            for purged_at, purge in self.purges
            if (
                purge.object_id == request.object_id
                if purge.object_id is not None
                else purge.group == request.group
            )
            and purged_at + self.deployment.purge_retention >= now
        ]
        if purges and command.endpoint_id != "o":
            assert type(command) is interface.SendAttemptWithFill, (
                "a copy from before the purge could be served"
            )
            assert 0 < command.max_copy_age <= max(1, now - max(purges)), (
                "a copy from before the purge could be served"
            )
        if type(command) is interface.SendAttemptWithFill and request_class.freshness_lifetime:
            assert command.max_copy_age <= request_class.freshness_lifetime + request_class.stale_grace
        earlier_attempts.append([command.endpoint_id, now, None])

    def check_slow_start(self, now, endpoint_id, request, cache_id):
        """Checks that an endpoint in slow start gets no more work per window than its share allows."""
        endpoint, deployment, is_parent = (
            self.endpoints[endpoint_id],
            self.deployment,
            self.endpoints[endpoint_id].kind == PARENT,
        )
        duration = deployment.parent_slow_start_duration if is_parent else deployment.slow_start_duration
        if not endpoint.started_at or now >= endpoint.started_at + duration or endpoint.kind == ORIGIN:
            return
        class_work = self.expected_work[request.class_index]
        work = (
            request.size * 10_000 / self.deployment.transfer_rate
            if is_parent
            else sum(class_work) / len(class_work)
        )
        sent_work = self.slow_start_work.setdefault((endpoint_id, endpoint.started_at), [])
        sent_work.append((now, work))
        min_share, multiple = (
            (deployment.parent_slow_start_min_share, deployment.parent_overload_multiple)
            if is_parent
            else (deployment.slow_start_min_share, deployment.overload_multiple)
        )
        share = min_share + (1 - min_share) * max(0, now - endpoint.started_at) / duration
        routers = deployment.router_count if is_parent else deployment.local_router_count
        assert sum(work for sent_at, work in sent_work if sent_at > now - deployment.overload_window) <= (
            multiple * share * endpoint.weight * deployment.overload_window / routers
        ), "overloaded an endpoint during slow start"


def random_event(random, checker, now, request_count):
    """Returns a request, a disconnect (None if no request is open), a purge or an endpoint update."""
    draw = random.random()
    if draw < 0.7:
        return request_received(
            f"r{request_count + 1}",
            random.randrange(40),
            random.randrange(4),
            random.choice([50.0, 500.0, 4000.0]),
            random.choice([500, 9000, 25000]),
            random.randrange(3),
        )
    if draw < 0.78:
        open_request_ids = [
            request_id for request_id in checker.requests if request_id not in checker.final_states
        ]
        return interface.ClientDisconnected(random.choice(open_request_ids)) if open_request_ids else None
    if draw < 0.86:
        object_id = random.choice([None, random.randrange(40)])
        return interface.PurgeNotified(object_id, random.randrange(3), random.randrange(3000))
    endpoint_id = random.choice([*CACHES, "p0", "p1", "o"])
    state = random.choice(["ready", "ready", "draining", "gone"])
    return interface.EndpointsUpdated(False, (new_endpoint(endpoint_id, state, random.choice([0, now])),))


def run_random_events(seed, deployment, total_requests=400):
    """Sends random events to a router and checks all its commands; returns the checker.

    Also checks that every request gets a final answer.
    """
    random, checker, now, request_count = Random(seed), RuleChecker(deployment), 0, 0
    router, in_flight, endpoint_ids = Router(deployment, seed), [], [*CACHES, "p0", "p1", "o"]

    def handle(event):
        checker.record_event(now, event)
        for command in router.handle(now, event):
            checker.check_command(now, command)
            if type(command) in (interface.SendAttempt, interface.SendAttemptWithFill):
                ends_at = min(command.deadline, now + int(random.expovariate(1 / 3000)) + 1)
                in_flight.append(
                    (
                        ends_at,
                        len(checker.requests) * 10 + len(checker.attempts[command.request_id]),
                        command,
                        len(checker.attempts[command.request_id]) - 1,
                        command.deadline,
                    )
                )

    handle(interface.InstanceStarted())
    handle(interface.EndpointsUpdated(True, tuple(new_endpoint(endpoint_id) for endpoint_id in endpoint_ids)))
    while request_count < total_requests or in_flight:
        step_end = now + random.randrange(200)
        while in_flight and min(in_flight)[0] <= step_end:
            next_end = min(in_flight)
            in_flight.remove(next_end)
            now, command, attempt_number, deadline = (
                max(now, next_end[0]),
                next_end[2],
                next_end[3],
                next_end[4],
            )
            result = random.choice(["done"] * 9 + ["miss", "full", "error", "reset", "unconnected"])
            result = (
                "cancelled"
                if command.request_id in checker.final_states
                else "timeout"
                if next_end[0] == deadline
                else result
            )
            handle(
                attempt_finished(
                    command,
                    result,
                    attempt_number,
                    200,
                    result == "done" or command.request_id in checker.final_states,
                    random.randrange(11),
                )
            )
        now = step_end
        if request_count >= total_requests:
            continue
        event = random_event(random, checker, now, request_count)
        request_count += type(event) is interface.RequestReceived
        if event is not None:
            handle(event)
    assert set(checker.final_states) == set(checker.requests), "a request without a final answer"
    return checker


# Fake peers on loopback sockets; they encode and decode the protocols without the code under test

TIMEOUT_SECONDS = 20  # a test fails if what it waits for has not happened by then


def settings(**policy_limits):
    """Returns the settings of a director's configuration; times are in microseconds."""
    request_classes = [
        {"name": "film", "aim": 400000, "deadline": 15000000, "semantics": "repeatable"},
        {"name": "order", "aim": 400000, "deadline": 15000000, "semantics": "once"},
    ]
    return {
        "classes": request_classes,
        "extra": {
            "store-kind": 2,
            "second-tier-kind": 1,
            "note-level": "all",
            "class-write": [False, True],
            "purge-settles": 6000000,
            "obey-after": 300000,
            "one-flow-kb-per-s": 5000.0,
        },
        "failure-domains": ["east", "west"],
        "shapes": ["std", "parent", "origin"],
        "policy-limits": {
            "conn-idle": 15000000,
            "dial-timeout": 400000,
            "max-attempts": 6,
            "max-retry-after": 1000000,
            "may-cancel": True,
            "multiplex": 32,
            "retry-after": True,
            **policy_limits,
        },
        "rules": {"cold-from": 0.2, "cold": 5000000, "fall": 1000000, "fall-multiple": 3.0},
        "telemetry": {"fields": ["busy", "rif"], "how": "inline"},
        "granularity": 2000,
    }


def endpoint_config(name, address, kind="std", status="SERVING", since_ms=0):
    """Returns an endpoint as an endpoint list in the configuration has it."""
    return {
        "name": name,
        "address": address,
        "zone": "east" if kind == "std" else "west",
        "type": kind,
        "group": 0,
        "status": status,
        "weight": 20,
        "since_ms": since_ms,
    }


def configuration(endpoints, listen="127.0.0.1:7001", updates=(), **overrides):
    """Returns a director's configuration, whose known updates are the endpoint list and then `updates`."""
    updates_at_start = [
        {"index": 1, "endpoints": {"index": 1, "snapshot": True, "endpoints": endpoints}},
        *updates,
    ]
    return {
        "name": "n0",
        "listen": listen,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": len(updates_at_start), "updates": updates_at_start},
        "settings": settings(),
        **overrides,
    }


PORT_ALLOCATOR = PortAllocator()  # keeps its ports reserved until the test run ends


def free_port():
    return PORT_ALLOCATOR.allocate()


def receive_exactly(sock, count):
    """Returns the next `count` bytes; raises `EOFError` if the connection ends before them."""
    data = b""
    while len(data) < count:
        chunk = sock.recv(count - len(data))
        if not chunk:
            raise EOFError
        data += chunk
    return data


class FakeServer:
    """A server on a port of its own that calls `serve(connection)` in a thread per connection."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._serve_connection, args=(connection,), daemon=True).start()

    def _serve_connection(self, connection):
        with contextlib.suppress(OSError, EOFError, ValueError):
            self.serve(connection)

    def close_and_reset(self):
        """Stops listening and resets all connections."""
        self.sock.shutdown(socket.SHUT_RDWR)  # wakes the thread in accept
        self.sock.close()
        for connection in self.connections:
            reset_connection(connection)


def reset_connection(connection):
    """Closes a connection with a reset, also while another thread reads from it."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)
    connection.close()


def body_of(object_id, part):
    """Returns the body that fake upstreams serve for a part of an object."""
    return (f"{object_id}/{part} ").encode() * 400


class FakeUpstream(FakeServer):
    """A cache, a parent or the origin.

    Attributes:
        handle_command: Called with each command; returns the bytes to send, or None to send nothing.
        has_all_objects: Whether it answers each request as a hit, also for objects that it has not stored.
        stored: Keys of the stored objects.
        commands: Queue of the received commands: verb, operation id, fields, connection.
        request_ids: Operation ids of the received requests.
    """

    def __init__(self, handle_command=None, has_all_objects=False):
        self.handle_command, self.has_all_objects, self.stored = (
            handle_command or self.answer_command,
            has_all_objects,
            set(),
        )
        self.commands, self.request_ids = queue.Queue(), set()
        super().__init__()

    def serve(self, connection):
        reader = connection.makefile("rb")
        while True:
            item_count = int(reader.readline()[1:] or b"x")
            items = []
            for _ in range(item_count):
                item_bytes = int(reader.readline()[1:])
                items.append(reader.read(item_bytes + 2)[:item_bytes])
            verb, operation_id = items[0].decode(), items[1].decode()
            text = items[2].decode() if len(items) > 2 else "-"
            fields = dict(part.split("=", 1) for part in text.split(",")) if text != "-" else {}
            command = (verb, operation_id, fields, connection)
            if verb == "want":
                self.request_ids.add(operation_id)
            self.commands.put(command)
            answer = self.handle_command(command)
            if answer:
                connection.sendall(answer)

    def answer_command(self, command):
        """Answers a request as a cache does: with a hit, a fill from the given parent, or a miss."""
        verb, operation_id, fields, _ = command
        if verb != "want":
            return None
        key = fields["obj"], fields.get("seg", "0")
        if not self.has_all_objects and key not in self.stored and "parent" not in fields:
            return resp_array(operation_id, "NOENT", "-", b"")
        cache_status = "h" if key in self.stored or self.has_all_objects else "f"
        if "shelf" in fields:
            self.stored.add(key)
        if "got" in fields and fields["got"] == "4be0c1927d55a6f3":
            return resp_array(
                operation_id, "NOMOD", f"digest={fields['got']},dated={int(time.time() * 1000)},res=h", b""
            )
        return served_answer(operation_id, body_of(*key), f"res={cache_status},gauges=inflight:7;util:0.5")

    def next_command(self, verb="want"):
        """Returns the next command with that verb and drops those before it."""
        while True:
            command = self.commands.get(timeout=TIMEOUT_SECONDS)
            if command[0] == verb:
                return command


def resp_array(*items):
    """Encodes items as a RESP array of bulk strings."""
    items = [item if isinstance(item, bytes) else item.encode() for item in items]
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items)


def served_answer(operation_id, body, fields="res=h"):
    """Encodes an answer with a body that is produced now."""
    return resp_array(operation_id, "ACK", f"digest=4b,dated={int(time.time() * 1000)},{fields}", body)


class FakeCoordinator(FakeServer):
    """The discovery service: sends each subscriber all updates after the index that it subscribed with.

    An empty frame follows the updates that exist then, if `answers_at_once`; later ones would end a silence
    that tests rely on.

    Attributes:
        subscriptions: Queue of the subscriptions: last known index, connection.
        updates: The published updates: index, encoded update.
    """

    def __init__(self):
        self.subscriptions, self.updates, self.updates_changed = queue.Queue(), [], threading.Condition()
        self.answers_at_once = True
        super().__init__()

    def serve(self, connection):
        known_index = int.from_bytes(receive_exactly(connection, 8), "big")
        first_index = known_index
        known_index = self._send_updates(connection, known_index)
        if self.answers_at_once:
            connection.sendall(self._encode_frame(known_index, 0, b""))
        self.subscriptions.put((first_index, connection))
        while True:
            with self.updates_changed:
                while not self.updates or self.updates[-1][0] <= known_index:
                    self.updates_changed.wait()
            known_index = self._send_updates(connection, known_index)

    def _send_updates(self, connection, known_index):
        """Sends the updates after an index; returns the index of the last one that the subscriber has."""
        with self.updates_changed:
            updates = [(index, data) for index, data in self.updates if index > known_index]
        for _, data in updates:
            connection.sendall(data)
        return updates[-1][0] if updates else known_index

    def publish(self, index, kind, body):
        """Sends an update to all subscribers, and to later ones that don't have it yet."""
        with self.updates_changed:
            self.updates.append((index, self._encode_frame(index, kind, body)))
            self.updates_changed.notify_all()

    def send_keepalive(self):
        """Sends an empty frame to all subscribers."""
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.sendall(self._encode_frame(self.updates[-1][0] if self.updates else 0, 0, b""))

    @staticmethod
    def _encode_frame(index, kind, body):
        payload = index.to_bytes(8, "big") + bytes([kind]) + body
        return len(payload).to_bytes(4, "big") + payload


def endpoint_record(endpoint_id, address, state):
    """Encodes an endpoint as in an update from the coordinator."""
    host, port = address.split(":")
    return (
        int(endpoint_id[2:], 16).to_bytes(4, "big")
        + socket.inet_aton(host)
        + int(port).to_bytes(2, "big")
        + bytes([state, 0, 0])
        + struct.pack(">HIQ", 0, 20000, 0)
    )


class FakeClient:
    """A client on one connection."""

    trace_random = Random(1)  # shared, so that the requests of all clients have different traces

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_SECONDS)
        self.stream, self.buffered_answers = 0, {}

    def send_frame(self, kind, stream, payload=b""):
        self.sock.sendall(struct.pack(">IBI", 5 + len(payload), kind, stream) + payload)

    def send_request(self, body=b"", **fields):
        """Sends a request and returns its stream."""
        data = self.encode_request(body, **fields)
        self.sock.sendall(data)
        return self.stream

    def encode_request(self, body=b"", **fields):
        """Encodes a request on the next stream without sending it; fields that are None are left out."""
        self.stream += 1
        values = {
            "route": "film",
            "trace": f"{self.trace_random.getrandbits(64):016x}",
            "patience": "15000",
            "entity": "7f3a9c21e0b4d655",
            "part": "3",
            "group": "17",
            "size": "40",
            **fields,
        }
        encoded_fields = [
            (key.encode(), str(value).encode()) for key, value in values.items() if value is not None
        ]
        field_bytes = b"".join(
            bytes([len(key)]) + key + len(value).to_bytes(2, "big") + value for key, value in encoded_fields
        )
        payload = bytes([len(encoded_fields)]) + field_bytes + body
        return struct.pack(">IBI", 5 + len(payload), 7, self.stream) + payload

    def read_frame(self):
        """Returns the next frame: type, stream, payload."""
        (length,) = struct.unpack(">I", receive_exactly(self.sock, 4))
        data = receive_exactly(self.sock, length)
        return data[0], int.from_bytes(data[1:5], "big"), data[5:]

    def read_answer(self, stream):
        """Returns the answer on a stream: code, fields, body. Answers on other streams are buffered."""
        while stream not in self.buffered_answers:
            kind, answer_stream, payload = self.read_frame()
            if kind != 8:
                continue
            offset, fields = 2, {}
            for _ in range(payload[1]):
                name_end = offset + 1 + payload[offset]
                size = int.from_bytes(payload[name_end : name_end + 2], "big")
                offset, name = name_end + 2 + size, payload[offset + 1 : name_end].decode()
                fields[name] = payload[name_end + 2 : offset].decode()
            assert answer_stream not in self.buffered_answers, "two answers on a stream"
            self.buffered_answers[answer_stream] = payload[0], fields, payload[offset:]
        return self.buffered_answers.pop(stream)

    def is_ready(self):
        """Sends a readiness query and returns the director's report; other frames are dropped."""
        self.send_frame(1, 0, b"\0")
        while True:
            kind, _, payload = self.read_frame()
            if kind == 2:
                return payload[0] == 1


class DirectorProcess:
    """A director in a process of its own.

    The constructor waits until the director accepts connections, and fails if it is not ready then.
    """

    args = ()  # further arguments of `serve`, set by subclasses

    def __init__(self, folder, config):
        self.port = int(config["listen"].split(":")[1])
        self.log_file = (folder / "log").open("w+")  # closed by stop
        self.config_path = folder / "config.json"
        self.config_path.write_text(json.dumps(config))
        env = {**os.environ, "PROXY_CONFIG": str(self.config_path)}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ironhinge", "serve", *self.args], env=env, stderr=self.log_file
        )
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not self._is_listening():
            assert self.process.poll() is None, self.log_text()
            assert time.monotonic() < deadline, self.log_text()
            time.sleep(0.02)

    def _is_listening(self):
        try:
            client = FakeClient(self.port)
        except ConnectionRefusedError:
            return False
        assert client.is_ready()
        return True

    def log_text(self):
        self.log_file.seek(0)
        return self.log_file.read()

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.log_file.close()
