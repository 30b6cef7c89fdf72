"""The exchange of quota between directors: loss, delay and duplication of datagrams create no quota."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ironhinge.traffic.buckets import NEVER
from ironhinge.traffic.quota_datagram import MAX_BYTES, decode
from ironhinge.traffic.types import BroadcastDatagram, ClockTick, DatagramReceived

from .helpers import new_deployment, request_received
from .traffic_helpers import SECOND, UNIX_MS, end_attempt, new_ledger, try_fill

BUDGETS = 'r: {rate: "100KB/s", burst: "100KB"}\ns: {sum: "2000KB"}'
RATE_ONLY = BUDGETS.split("\n")[0]
SHARE = 'share: {every: "50ms"}'


def new_peer(index, count=2, incarnation=7, budgets=BUDGETS, **clock):
    deployment = new_deployment(router_count=count, local_router_count=count)
    return new_ledger(budgets, deployment, index, incarnation, SHARE, **clock)


def tick(ledger, now, unix_ms=UNIX_MS):
    """Handles a clock tick; returns the datagrams that the ledger broadcasts."""
    commands = ledger.handle(now, ClockTick(unix_ms))
    return [command.data for command in commands if type(command) is BroadcastDatagram]


def fill_until_exhausted(ledger, now, name):
    """Fills until the budgets are exhausted; returns the number of fills."""
    fills = 0
    while not try_fill(ledger, now, f"{name}.{fills}"):
        end_attempt(ledger, now, f"{name}.{fills}")
        fills += 1
    return fills


def test_arbitrary_bytes_are_decoded_or_rejected():
    random = Random(1)
    for _ in range(2000):
        decode(random.randbytes(random.randrange(300)))
        decode(b"i1" + random.randbytes(random.randrange(280)))
    (good,) = tick(new_ledger(BUDGETS, peer_index=1, more_settings=SHARE), SECOND)
    assert len(good) <= MAX_BYTES
    assert decode(good).sender == 1
    assert all(decode(good[:cut]) is None or cut >= 16 for cut in range(len(good)))


def test_unused_quota_is_granted_to_a_director_that_needs_it():
    peers = [new_peer(index, budgets=RATE_ONLY) for index in range(2)]
    fills = 0
    for step in range(200):
        now = step * 1000
        for index, peer in enumerate(peers):
            for data in tick(peer, now, UNIX_MS + step * 100):
                peers[1 - index].handle(now, DatagramReceived(index, data))
        fills += fill_until_exhausted(peers[0], now, f"r{step}")
    fills_without_grants = 20 * 50_000 // 10_000
    assert fills_without_grants * 1.5 < fills <= (20 * 100_000 + 100_000) // 10_000


@settings(max_examples=30)
@given(st.integers(0, 10**6), st.integers(2, 5), st.floats(0, 0.6))
def test_lost_duplicated_and_delayed_datagrams_never_exceed_the_budget(seed, count, loss):
    """Datagrams are lost, duplicated, delayed and delivered after restarts; clients use up all quota."""
    random = Random(seed)
    now, incarnation, delayed, spent, number = 0, 1, [], 0, 0
    peers = [new_peer(index, count, incarnation) for index in range(count)]
    for _ in range(150):
        now += random.randrange(1, 3000)
        index = random.randrange(count)
        draw = random.random()
        if draw < 0.03:
            incarnation += 1
            peers[index] = new_peer(index, count, incarnation, now=now, unix_ms=UNIX_MS + now // 10)
        elif draw < 0.5:
            for data in tick(peers[index], now, UNIX_MS + now // 10):
                others = [other for other in range(count) if other != index]
                delayed += [(index, other, data) for other in others if random.random() > loss]
        elif draw < 0.7 and delayed:
            position = random.randrange(len(delayed))
            is_duplicated = random.random() < 0.3
            sender, recipient, data = delayed[position] if is_duplicated else delayed.pop(position)
            peers[recipient].handle(now, DatagramReceived(sender, data))
        else:
            spender = peers[random.randrange(count)]
            for _ in range(8):
                number += 1
                if not try_fill(spender, now, f"r{number}"):
                    end_attempt(spender, now, f"r{number}")
                    spent += 10_000
        assert spent <= 100_000 + 100_000 * now / SECOND + 1
    assert spent <= 2_000_000


@pytest.fixture
def granted():
    """A director that has requested quota, and a datagram that grants it some."""
    granter, recipient = (new_peer(index) for index in range(2))
    for step in range(40):
        now = step * 1000
        granter.handle(now, ClockTick(UNIX_MS))
        fill_until_exhausted(recipient, now, f"r{now}")
        for data in tick(recipient, now):
            granter.handle(now, DatagramReceived(1, data))
    data = tick(granter, 40 * SECOND)[0]
    assert decode(data).grants
    return recipient, data


def level(ledger):
    return ledger.budgets["r"].regular.buckets[0].level


def test_grant_to_an_earlier_incarnation_is_ignored(granted):
    _, data = granted
    next_incarnation = new_peer(1, incarnation=8)
    next_incarnation.handle(0, DatagramReceived(0, data))
    assert level(next_incarnation) == 0


def test_duplicated_grant_is_deposited_once(granted):
    recipient, data = granted
    after = []
    for _ in range(3):
        recipient.handle(40 * SECOND, DatagramReceived(0, data))
        after.append(level(recipient))
    assert after[0] == after[1] == after[2]


def test_fill_from_an_unlisted_source_never_waits(granted):
    recipient, _ = granted
    assert recipient.wait_time(0, request_received("x"), "p9") == 0
    assert NEVER > SECOND
