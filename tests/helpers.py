"""A small deployment, random happenings for it, the slow plain model of the rules, and stand-ins for all that
a director talks to."""

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


def new_router(deployment=None, names=(*CACHES, "p0", "p1", "o")):
    router = Router(deployment or new_deployment(), 7)
    router.handle(0, interface.InstanceStarted())
    router.handle(0, interface.EndpointsUpdated(True, tuple(new_endpoint(name) for name in names)))
    return router


def request_received(request_id, object_id=1, class_index=0, size=500.0, time_remaining=25000, group=0):
    return interface.RequestReceived(
        request_id, object_id, 0, group, size, time_remaining, class_index, False, False
    )


def attempt_finished(command, result, attempt_number=0, duration=100, request_closed=None, cache_status=0):
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


class Rules:
    """What is allowed, worked out anew from the whole record at every action."""

    def __init__(self, deployment):
        self.deployment, self.rows, self.purges, self.came, self.sent, self.ended = (
            deployment,
            {},
            [],
            {},
            {},
            {},
        )
        self.works = {}  # sending times of each vhost's reqs
        self.loads = {}  # node: what was sent to it while cold

    def happened(self, now, what):
        if type(what) is interface.RequestReceived:
            self.came[what.request_id], self.sent[what.request_id] = (now, what), []
            self.works.setdefault(what.class_index, []).append(
                what.size * 10_000 / self.deployment.transfer_rate
            )
        elif type(what) is interface.EndpointsUpdated:
            for one in what.endpoints:
                self.rows[one.id] = one
            if what.is_full:
                for name in set(self.rows) - {one.id for one in what.endpoints}:
                    self.rows[name] = self.rows[name]._replace(state=EndpointState.REMOVED)
        elif type(what) is interface.PurgeNotified:
            self.purges.append((now - what.age, what))
        elif type(what) is interface.AttemptFinished:
            self.sent[what.request_id][what.attempt_number][2] = what.result
            if what.request_closed:
                self.ended[what.request_id] = "done"
        elif type(what) is interface.ClientDisconnected:
            self.ended.setdefault(what.request_id, "left")

    def acted(self, now, act):
        if type(act) in (interface.SendAttempt, interface.SendAttemptWithFill):
            self.dispatched(now, act)
        elif type(act) in (interface.RejectRequest, interface.FailRequest):
            assert act.request_id not in self.ended, "two final answers"
            at, came = self.came[act.request_id]
            assert now <= at + came.time_remaining, "answered after the client timeout"
            if type(act) is interface.RejectRequest:
                assert self.harmless(act.request_id, now), "denied what may have run"
            self.ended[act.request_id] = "answered"

    def ran(self, name):
        return [
            one for one in self.sent[name] if one[2] in ("done", "error", "timeout", "reset", "cancelled")
        ]

    def harmless(self, name, now):
        vhost, ran = self.deployment.request_classes[self.came[name][1].class_index], self.ran(name)
        return (
            not ran
            or vhost.idempotency == Idempotency.IDEMPOTENT
            or (vhost.idempotency == Idempotency.KEYED and vhost.dedup_scope == "all")
        )

    def dispatched(self, now, act):
        at, came = self.came[act.request_id]
        vhost, before = self.deployment.request_classes[came.class_index], self.sent[act.request_id]
        assert act.request_id not in self.ended, "sent after the end"
        assert len(before) < self.deployment.max_attempts
        assert all(one[2] for one in before), "two dispatches out together"
        assert now < act.deadline <= at + came.time_remaining
        ran = self.ran(act.request_id)
        if ran and vhost.idempotency != Idempotency.IDEMPOTENT:
            assert vhost.idempotency == Idempotency.KEYED, "an effect twice"
            assert now < ran[0][1] + vhost.dedup_window, "an effect twice"
            assert (
                vhost.dedup_scope == "all" or self.rows[act.endpoint_id].cell == self.rows[ran[0][0]].cell
            ), "outside its group"
        source = getattr(act, "source_id", act.endpoint_id)
        for name in {act.endpoint_id, source}:
            assert self.rows[name].state == "ready", "sent to a node that drains or is gone"
            self.load(now, name, came, act.endpoint_id)
        purges = [
            when
            for when, what in self.purges
            if (what.object_id == came.object_id if what.object_id is not None else what.group == came.group)
            and when + self.deployment.purge_retention >= now
        ]
        if purges and act.endpoint_id != "o":
            assert type(act) is interface.SendAttemptWithFill, "an old copy would do"
            assert 0 < act.max_copy_age <= max(1, now - max(purges)), "an old copy would do"
        if type(act) is interface.SendAttemptWithFill and vhost.freshness_lifetime:
            assert act.max_copy_age <= vhost.freshness_lifetime + vhost.stale_grace
        before.append([act.endpoint_id, now, None])

    def load(self, now, name, came, node):
        one, deployment, parent = self.rows[name], self.deployment, self.rows[name].kind == PARENT
        length = deployment.parent_slow_start_duration if parent else deployment.slow_start_duration
        if not one.started_at or now >= one.started_at + length or one.kind == ORIGIN:
            return
        works = self.works[came.class_index]
        work = came.size * 10_000 / self.deployment.transfer_rate if parent else sum(works) / len(works)
        loads = self.loads.setdefault((name, one.started_at), [])
        loads.append((now, work))
        least, multiple = (
            (deployment.parent_slow_start_min_share, deployment.parent_overload_multiple)
            if parent
            else (deployment.slow_start_min_share, deployment.overload_multiple)
        )
        share = least + (1 - least) * max(0, now - one.started_at) / length
        routers = deployment.router_count if parent else deployment.local_router_count
        assert sum(work for when, work in loads if when > now - deployment.overload_window) <= (
            multiple * share * one.weight * deployment.overload_window / routers
        ), "a cold node pushed over"


def random_event(chance, rules, now, number):
    """The next event from outside: a request, a client that leaves, a purge or a change of the list."""
    dice = chance.random()
    if dice < 0.7:
        return request_received(
            f"r{number + 1}",
            chance.randrange(40),
            chance.randrange(4),
            chance.choice([50.0, 500.0, 4000.0]),
            chance.choice([500, 9000, 25000]),
            chance.randrange(3),
        )
    if dice < 0.78:
        held = [name for name in rules.came if name not in rules.ended]
        return interface.ClientDisconnected(chance.choice(held)) if held else None
    if dice < 0.86:
        object_id = chance.choice([None, chance.randrange(40)])
        return interface.PurgeNotified(object_id, chance.randrange(3), chance.randrange(3000))
    name = chance.choice([*CACHES, "p0", "p1", "o"])
    state = chance.choice(["ready", "ready", "draining", "gone"])
    return interface.EndpointsUpdated(False, (new_endpoint(name, state, chance.choice([0, now])),))


def play(seed, deployment, steps=400):
    """Plays random happenings against a router and the rules; returns how many reqs ended in each way."""
    chance, rules, now, number = Random(seed), Rules(deployment), 0, 0
    router, out, names = Router(deployment, seed), [], [*CACHES, "p0", "p1", "o"]

    def tell(what):
        rules.happened(now, what)
        for act in router.handle(now, what):
            rules.acted(now, act)
            if type(act) in (interface.SendAttempt, interface.SendAttemptWithFill):
                due = min(act.deadline, now + int(chance.expovariate(1 / 3000)) + 1)
                out.append(
                    (
                        due,
                        len(rules.came) * 10 + len(rules.sent[act.request_id]),
                        act,
                        len(rules.sent[act.request_id]) - 1,
                        act.deadline,
                    )
                )

    tell(interface.InstanceStarted())
    tell(interface.EndpointsUpdated(True, tuple(new_endpoint(name) for name in names)))
    while number < steps or out:
        then = now + chance.randrange(200)
        while out and min(out)[0] <= then:
            due = min(out)
            out.remove(due)
            now, act, place, until = max(now, due[0]), due[2], due[3], due[4]
            result = chance.choice(["done"] * 9 + ["miss", "full", "error", "reset", "unconnected"])
            result = (
                "cancelled" if act.request_id in rules.ended else "timeout" if due[0] == until else result
            )
            tell(
                attempt_finished(
                    act,
                    result,
                    place,
                    200,
                    result == "done" or act.request_id in rules.ended,
                    chance.randrange(11),
                )
            )
        now = then
        if number >= steps:
            continue
        what = random_event(chance, rules, now, number)
        number += type(what) is interface.RequestReceived
        if what is not None:
            tell(what)
    assert set(rules.ended) == set(rules.came), "a req without a final answer"
    return rules


# Stand-ins on loopback sockets, with framing of their own

TIMEOUT_SECONDS = 20  # seconds after which a test gives up on what has to come


def settings(**policy_limits):
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


PORT_ALLOCATOR = PortAllocator()  # for as long as the tests run


def free_port():
    return PORT_ALLOCATOR.allocate()


def receive_exactly(sock, count):
    data = b""
    while len(data) < count:
        chunk = sock.recv(count - len(data))
        if not chunk:
            raise EOFError
        data += chunk
    return data


class FakeServer:
    """Listens on a port of its own; each connection is served by a thread."""

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
        """Takes no more connections, and resets those that it has."""
        self.sock.shutdown(socket.SHUT_RDWR)  # wakes the thread in accept
        self.sock.close()
        for connection in self.connections:
            reset_connection(connection)


def reset_connection(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)
    connection.close()


def body_of(object_id, part):
    return (f"{object_id}/{part} ").encode() * 400


class FakeUpstream(FakeServer):
    """A cache node, parent or origin. `act(command)` may return raw bytes to send, or None to stay silent."""

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
            count = int(reader.readline()[1:] or b"x")
            items = []
            for _ in range(count):
                size = int(reader.readline()[1:])
                items.append(reader.read(size + 2)[:size])
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
        """The next command of that word."""
        while True:
            command = self.commands.get(timeout=TIMEOUT_SECONDS)
            if command[0] == verb:
                return command


def resp_array(*items):
    items = [item if isinstance(item, bytes) else item.encode() for item in items]
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items)


def served_answer(operation_id, body, fields="res=h"):
    return resp_array(operation_id, "ACK", f"digest=4b,dated={int(time.time() * 1000)},{fields}", body)


class FakeCoordinator(FakeServer):
    def __init__(self):
        self.subscriptions, self.updates, self.updates_changed = queue.Queue(), [], threading.Condition()
        super().__init__()

    def serve(self, connection):
        known_index = int.from_bytes(receive_exactly(connection, 8), "big")
        self.subscriptions.put((known_index, connection))
        while True:
            with self.updates_changed:
                while not self.updates or self.updates[-1][0] <= known_index:
                    self.updates_changed.wait()
                new_updates = [data for index, data in self.updates if index > known_index]
                known_index = self.updates[-1][0]
            for data in new_updates:
                connection.sendall(data)

    def publish(self, index, kind, body):
        payload = index.to_bytes(8, "big") + bytes([kind]) + body
        with self.updates_changed:
            self.updates.append((index, len(payload).to_bytes(4, "big") + payload))
            self.updates_changed.notify_all()


def endpoint_record(endpoint_id, address, state):
    host, port = address.split(":")
    return (
        int(endpoint_id[2:], 16).to_bytes(4, "big")
        + socket.inet_aton(host)
        + int(port).to_bytes(2, "big")
        + bytes([state, 0, 0])
        + struct.pack(">HIQ", 0, 20000, 0)
    )


class FakeClient:
    """One client's connection, spoken in frames."""

    trace_random = Random(1)

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_SECONDS)
        self.stream, self.buffered_answers = 0, {}

    def send_frame(self, kind, stream, payload=b""):
        self.sock.sendall(struct.pack(">IBI", 5 + len(payload), kind, stream) + payload)

    def send_request(self, body=b"", **fields):
        data = self.encode_request(body, **fields)
        self.sock.sendall(data)
        return self.stream

    def encode_request(self, body=b"", **fields):
        """The bytes of a request on the next stream, not sent."""
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
        """The next frame: type, stream, payload."""
        (length,) = struct.unpack(">I", receive_exactly(self.sock, 4))
        data = receive_exactly(self.sock, length)
        return data[0], int.from_bytes(data[1:5], "big"), data[5:]

    def read_answer(self, stream):
        """The answer on a stream: code, fields, body. Answers on other streams wait for their turn."""
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
        self.send_frame(1, 0, b"\0")
        while True:
            kind, _, payload = self.read_frame()
            if kind == 2:
                return payload[0] == 1


class DirectorProcess:
    """The program as a process of its own."""

    args = ()

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
