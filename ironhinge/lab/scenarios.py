"""The scenarios, and the requests that are generated from a scenario and a seed. No I/O.

There are two request classes: a card is a small object that is requested as a whole; a film is an object in
parts, and a stream is one client's requests for all parts of a film.

Bodies on sockets are scaled down: `SOCKET_BYTES_PER_KB` bytes are sent for each KB of a request's size.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random
from typing import NamedTuple

SOCKET_BYTES_PER_KB = 100
CARD, FILM = "card", "film"  # names of the two request classes
POPULARITY_EXPONENT = 0.9  # exponent of the Zipf distribution by which cards are requested
MIN_CANCEL_DELAY, MAX_CANCEL_DELAY = 0.005, 0.05  # seconds until a client cancels, drawn from this range
ID_BASE_BITS = 32
ID_BASE_SHIFT = 24
FILM_ID_OFFSET = 1 << 20  # keeps films apart from cards


class ScenarioRequest(NamedTuple):
    """A request, or a stream of requests, to be sent. Requests are sorted by the fields in this order."""

    send_at: float  # seconds since the scenario's start
    client_number: int  # determines the director
    route: str  # name of the request class
    object_id: int
    part_count: int  # requested in order; 1 for a card
    body_bytes: int  # of each part
    cancel_after: float  # seconds; 0 if the client does not cancel


class FaultAction(StrEnum):
    """What a fault does to its target, a hub's node or a director."""

    KILL = "kill"
    RESTORE = "back"
    STALL = "silence"
    RESUME = "wake"
    SLOW_DOWN = "slow"
    RESTART_DIRECTOR = "restart"


class Fault(NamedTuple):
    """A fault at a fixed time of a scenario."""

    start_share: float  # time of the fault as a share of the scenario's duration
    action: FaultAction
    target: str  # letter of a hub, or index of a director
    transfer_rate: float = 0.0  # bytes per second, for SLOW_DOWN


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load, capacities, budget and faults of one scenario.

    Sizes are bytes; rates are bytes per second where no other unit is stated.
    """

    name: str
    description: str
    card_rate: float = 60.0  # requests per second
    card_count: int = 400
    max_card_bytes: int = 6_000  # the smallest card has half this size
    stream_rate: float = 2.0  # streams started per second
    film_count: int = 60
    parts_per_stream: int = 8
    part_interval: float = 0.5  # seconds
    part_bytes: int = 8_000
    unique_films: bool = False  # no two streams request the same film
    cancel_share: float = 0.02  # share of the card requests that are cancelled
    transfer_rate: float = 400_000.0  # of one transfer from a hub or the origin
    link_rate: float = 3_000_000.0  # of the branch's ingress link
    cache_bytes: int = 400_000
    cache_count: int = 4
    budget_settings: str = ""  # contents of `budgets` in the operations file
    budget_rate: float = 0.0  # of the budget under test, with its emergency rate
    budget_burst: float = 0.0  # of the budget under test, with its emergency burst
    budget_routes: tuple[str, ...] = ()  # routes that the budget covers
    faults: tuple[Fault, ...] = ()
    disk_size: str = ""  # of each director's disk tier; empty without one


OTHER_HUBS_BUDGET = """    other_hubs: {
        ways: ["other-hub", "origin"]
        rate: "60KB/s"
        burst: "60KB"
        emergency: {rate: "40KB/s", burst: "40KB"}
    }
"""
AMPLE_BUDGET = """    other_hubs: {ways: ["other-hub"], rate: "600KB/s", burst: "600KB"}
"""
INGRESS_LINK_BUDGET = """    link_in: {
        ways: ["own-hub", "other-hub", "origin"]
        rate: "%s"
        burst: "%s"%s
    }
"""
STREAM_RESERVATIONS = """
        streams: {part: 0.9, interval: "500ms"}"""

_STREAM_BUDGET = Scenario(
    "stream-budget",
    "streams request twice what the budget of the ingress link allows",
    card_rate=10.0,
    stream_rate=12.0,
    unique_films=True,
    parts_per_stream=10,
    part_bytes=4_000,
    cancel_share=0.0,
    budget_settings=INGRESS_LINK_BUDGET % ("240KB/s", "240KB", STREAM_RESERVATIONS),
    budget_rate=240_000,
    budget_burst=240_000,
    budget_routes=("own-hub", "other-hub", "origin"),
)

_ALL_SCENARIOS = (
    Scenario(
        "calm",
        "usual load, an ample budget",
        budget_settings=AMPLE_BUDGET,
        budget_rate=600_000,
        budget_burst=600_000,
        budget_routes=("other-hub",),
    ),
    Scenario(
        "hub-loss",
        "the own hub's cache is killed during transfers and restarts empty",
        cancel_share=0.04,
        budget_settings=OTHER_HUBS_BUDGET,
        budget_rate=100_000,
        budget_burst=100_000,
        budget_routes=("other-hub", "origin"),
        faults=(Fault(0.35, FaultAction.KILL, "a"), Fault(0.7, FaultAction.RESTORE, "a")),
    ),
    _STREAM_BUDGET,
    Scenario(
        "disk-restart",
        "directors with a disk tier, restarted in turn under load; caches and hubs have little space",
        card_rate=80.0,
        card_count=150,
        stream_rate=3.0,
        film_count=12,
        parts_per_stream=6,
        cancel_share=0.0,
        cache_bytes=60_000,
        disk_size="2MB",
        faults=(
            Fault(0.5, FaultAction.RESTART_DIRECTOR, "0"),
            Fault(0.6, FaultAction.RESTART_DIRECTOR, "1"),
        ),
    ),
    Scenario("off", "usual load without accounts or budgets: the baseline for their cost"),
    replace(
        _STREAM_BUDGET,
        name="stream-plain",
        description="stream-budget without reservations for streams: its baseline",
        budget_settings=INGRESS_LINK_BUDGET % ("240KB/s", "240KB", ""),
    ),
)

SCENARIOS: dict[str, Scenario] = {scenario.name: scenario for scenario in _ALL_SCENARIOS}


def scaled_scenario(name: str, scale: float = 1.0) -> Scenario:
    """Return a scenario with its load multiplied by `scale`.

    Raises:
        KeyError: There is no scenario of that name.
    """
    scenario = SCENARIOS[name]
    return replace(scenario, card_rate=scenario.card_rate * scale, stream_rate=scenario.stream_rate * scale)


def generate_requests(scenario: Scenario, seed: int, seconds: float) -> list[ScenarioRequest]:
    """Return all requests of a scenario, sorted by time; the same seed gives the same requests."""
    rng = Random(seed)
    smallest = scenario.max_card_bytes // 2
    sizes = [rng.randrange(smallest, scenario.max_card_bytes) for _ in range(scenario.card_count)]
    weights = [1 / (rank + 1) ** POPULARITY_EXPONENT for rank in range(scenario.card_count)]
    id_base = rng.getrandbits(ID_BASE_BITS) << ID_BASE_SHIFT

    def card_request(send_at: float, client_number: int) -> ScenarioRequest:
        """Return a request for a random card."""
        card = rng.choices(range(scenario.card_count), weights)[0]
        cancels = rng.random() < scenario.cancel_share
        cancel_after = rng.uniform(MIN_CANCEL_DELAY, MAX_CANCEL_DELAY) if cancels else 0.0
        return ScenarioRequest(send_at, client_number, CARD, id_base + card, 1, sizes[card], cancel_after)

    requests = _poisson_arrivals(rng, scenario.card_rate, seconds, card_request)
    cards = len(requests)

    def film_request(send_at: float, stream: int) -> ScenarioRequest:
        """Return a stream of a random film or, if films are unique, of the next one."""
        film_index = stream if scenario.unique_films else rng.randrange(scenario.film_count)
        object_id = id_base + FILM_ID_OFFSET + film_index
        part_count, part_bytes = scenario.parts_per_stream, scenario.part_bytes
        return ScenarioRequest(send_at, cards + stream, FILM, object_id, part_count, part_bytes, 0.0)

    # Streams start only while they can still end within the scenario, or else during its first half.
    last_start = max(seconds / 2, seconds - scenario.parts_per_stream * scenario.part_interval)
    requests += _poisson_arrivals(rng, scenario.stream_rate, last_start, film_request)
    return sorted(requests)


def _poisson_arrivals(
    rng: Random, rate: float, end: float, make_request: Callable[[float, int], ScenarioRequest]
) -> list[ScenarioRequest]:
    """Return requests at exponentially distributed intervals until `end`.

    `make_request` gets the time in seconds and the number of the request, counted from 1.
    """
    requests: list[ScenarioRequest] = []
    send_at = rng.expovariate(rate) if rate else end
    while send_at < end:
        requests.append(make_request(send_at, len(requests) + 1))
        send_at += rng.expovariate(rate)
    return requests
