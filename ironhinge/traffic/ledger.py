"""The one entry point of the account and its budgets: `step` takes what happened and gives what is to be
done, `wait` tells the one module whether a source's budgets have room.

How bytes are known. A fill's bytes are those of its answer, where the note says that it was a fill. A hit
and a joined fill carry none (whoever began the fill has them). An answer that the client's own copy stands
for, a renewal behind an old copy, and a fill that broke off or outlived its client are guessed: its size
(told, or the mean of its vhost's answers) times the part of its usual time that it had. Guessed bytes are
told apart.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from .. import interface
from ..routing.hashing import hash_key, score
from ..settings import records
from .account import Account
from .budget import NEVER, Budget, RatePot
from .calendar import Calendar
from .share import Sharing
from .streams import Streams
from .types import PLACES, Crossing, Doing, Ended, Heard, Note, Sent, Tick, Told, Use, Way

FILLED = 2, 3  # notes of answers that a fill of their own brought
BY_ORIGIN = 3
OLD = 5
NO_BYTES = 1, 4, 6, 8, 9, 10  # found, joined, and sources that gave nothing
SURE = "unsent", "cut", "unconnected", "full", "miss"  # ends before which nothing crossed
SOON = 0.15  # part of a fill's usual time before which none of it has crossed
HOMES = 4096  # objects whose first hub is remembered
REMEMBER = 6_000_000  # for how long a hub that went is reckoned with, where no budget says
LATELY = 0.05  # weight of the newest answer in means
SECOND = 10_000


class Place(NamedTuple):
    """A node as the account knows it."""

    zone: int
    kind: int
    salt: int
    way: Way


class Fill:
    """A dispatch that is out and may carry bytes across."""

    __slots__ = ("came", "source", "way", "into", "out_of", "kept", "renew", "forced", "guess", "at") + (
        "charges",
        "again",
    )

    def __init__(
        self, came: interface.RequestReceived, source: str, way: Way, into: int, out_of: int, at: int
    ):
        self.came, self.source, self.way = came, source, way
        self.into, self.out_of, self.at = into, out_of, at
        self.kept = self.renew = self.forced = self.again = False
        self.guess = 0.0
        self.charges: list[tuple[Budget, list[RatePot], float]] = []


class Means:
    """What answers of a vhost were like: bytes, and how long a fill takes a byte, where its source held the
    object and where that had to ask the origin first.
    """

    __slots__ = ("behind", "body", "most", "time", "time_behind")

    def __init__(self) -> None:
        self.body = self.most = self.time = self.time_behind = self.behind = 0.0

    def learn(self, body: int, took: int, behind: bool) -> None:
        self.body += (body - self.body) * (LATELY if self.body else 1.0)
        self.most = max(float(body), self.most * (1 - LATELY))
        self.behind += LATELY * (behind - self.behind)
        pace = took / body
        if behind:
            self.time_behind += (pace - self.time_behind) * (LATELY if self.time_behind else 1.0)
        else:
            self.time += (pace - self.time) * (LATELY if self.time else 1.0)

    def part(self, size: float, took: int) -> float:
        """The part of a fill that should have crossed by then: nothing does while the source asks the origin,
        and one that takes longer than where the source has it is one of those.
        """
        if not size or not (self.time or self.time_behind):
            return 1.0
        sends = size * (self.time or self.time_behind)
        if took < SOON * sends:  # no answer of any source: it was refused, or broke at once
            return 0.0
        waits = max(0.0, size * self.time_behind - sends)
        held = min(1.0, took / sends) if took < sends else 0.0
        asked = min(1.0, max(0.0, took - waits) / sends)
        return (1 - self.behind) * held + self.behind * asked if took < sends else asked


class Ledger:
    def __init__(
        self,
        told: records.Traffic,
        facts: interface.Deployment,
        zones: Sequence[str],
        vhosts: Sequence[str],
        now: int,
        unix_ms: int,
        me: int = 0,
        incarnation: int = 0,
    ):
        self.told, self.facts = told, facts
        self.zones, self.vhosts = tuple(zones), tuple(vhosts)
        self.calendar = Calendar(max(1, told.period // 10), now, unix_ms)
        self.account = Account(max(1, told.period // 10))
        self.nodes: dict[str, Place] = {}
        self.hubs: dict[
            str, Place
        ] = {}  # parents that should be there: listed ones, and those that went lately
        self.went: dict[str, int] = {}
        self.fills: dict[str, Fill] = {}
        self.lively: dict[str, list[int]] = {}  # sources: when one was last asked, and last gave something
        self.crossed: dict[str, None] = {}  # open reqs for which bytes have crossed already
        self.means = [Means() for _ in vhosts]
        self.per_kb, self.kb = 1000.0, 0.0  # bytes on the socket a KB that reqs tell; and over how many KB
        ends, left = self.calendar.ends(), self.calendar.left()
        self.budgets: dict[str, Budget] = {}
        for name, one in told.budgets.items():
            among = facts.local_router_count if one.scope == "branch" else facts.router_count
            self.budgets[name] = Budget(name, one, 1.0 / max(1, among), now, ends, left)
        for name, one in told.budgets.items():
            self.budgets[name].above = self.budgets[one.within] if one.within else None
        spans = [one.streams for one in told.budgets.values() if one.streams is not None]
        self.streams: Streams | None = None
        if spans:
            idle, interval = max(one.idle for one in spans), min(one.interval for one in spans)
            self.streams = Streams(told.most_streams, idle, interval)
        emergencies = [one.emergency.remember for one in told.budgets.values() if one.emergency]
        self.remember = max(emergencies, default=REMEMBER)
        self.sharing = Sharing(told.share, self.budgets, me, incarnation) if told.share else None
        self.matches: dict[tuple[int, int, Way], tuple[Budget, ...]] = {}
        self.homes: dict[int, str] = {}  # the first hub of an object, while the hubs are the same
        self.judged: tuple[Any, ...] | None = (
            None  # what the last `wait` found, for the dispatch that follows
        )
        self.unknown_ms = 0  # of this period: time in which it was not running, and nothing was booked
        self.shapes: Any | None = None
        if told.distributions:
            from .shapes import Shapes

            self.shapes = Shapes(self.vhosts)
        self.period = self.calendar.start()
        self.acts: list[Doing] = []

    # What happens

    def step(self, now: int, what: Told) -> list[Doing]:
        """The entry point."""
        self.acts = []
        if isinstance(what, Sent):
            self._sent(now, what)
        elif isinstance(what, Ended):
            self._ended(now, what)
        elif isinstance(what, interface.EndpointsUpdated):
            self._listed(now, what)
        elif isinstance(what, Tick):
            self._tick(now, what.unix_ms)
        elif isinstance(what, Heard) and self.sharing is not None:
            self.sharing.heard(now, what.sender, what.data)
        return self.acts

    def _tick(self, now: int, unix_ms: int) -> None:
        self.calendar.read(now, unix_ms)
        start = self.calendar.start()
        if start != self.period:
            self.period, self.unknown_ms = start, 0
            for budget in self.budgets.values():
                budget.begin_period(now, self.calendar.ends())
            self.acts.append(Note(f"a billing period has begun at Unix millisecond {start}"))
        if self.streams is not None:
            self.streams.lapse(now)
        for name in [name for name, at in self.went.items() if now > at + self.remember]:
            del self.went[name], self.hubs[name]
            self.homes.clear()
        if self.sharing is not None:
            self.acts += self.sharing.tick(now)

    def _listed(self, now: int, what: interface.EndpointsUpdated) -> None:
        self.homes.clear()
        self.judged = None
        if what.is_full:
            here = {row.id for row in what.endpoints}
            for name in [name for name in self.nodes if name not in here]:
                self._gone(now, name)
        for row in what.endpoints:
            if row.state == "gone":
                self._gone(now, row.id)
                continue
            way = self._way(row.zone, row.kind)
            place = self.nodes[row.id] = Place(row.zone, row.kind, hash_key(row.id), way)
            if row.kind == self.facts.parent_kind:
                self.hubs[row.id] = place
                self.went.pop(row.id, None)

    def _gone(self, now: int, name: str) -> None:
        self.nodes.pop(name, None)
        self.lively.pop(name, None)
        if name in self.hubs and name not in self.went:
            self.went[name] = now
            while len(self.went) > max(8, 2 * len(self.nodes)):  # guards the memory on days of replacements
                first = next(iter(self.went))
                del self.went[first], self.hubs[first]

    # What the module asks

    def wait_time(self, now: int, came: interface.RequestReceived, source: str) -> int:
        """0 where the budgets of that source have room for this req's fill, else the time until they
        should.
        """
        place = self.nodes.get(source)
        if place is None:
            return 0
        budgets = self._matching(came.class_index, place)
        if not budgets:
            return 0
        need, begun = self.size(came), False
        if self.streams is not None and self.facts.request_classes[came.class_index].is_segmented:
            stream = self.streams.find((came.connection_id, came.object_id), now)
            begun = stream is not None
            if stream is None:
                rate = self.streams.rate(came.class_index, need)
                if any(each.book is not None and not each.book.admits(rate) for each in budgets):
                    self._refused(budgets, need)
                    return int(self.streams.gap(came.class_index)) + 1
        forced = self._forced(came, source, place)
        found = [budget.wait(now, need, begun, forced) for budget in budgets]
        wait = max([each for each, _ in found])
        if wait:
            self._refused(budgets, need)
            return min(wait, NEVER)
        self.judged = now, came, source, forced, [pots for _, pots in found]
        return 0

    def _refused(self, budgets: tuple[Budget, ...], need: float) -> None:
        for budget in budgets:
            budget.refused += 1
            budget.wanted += need

    def size(self, came: interface.RequestReceived) -> float:
        """The bytes that its fill should carry: what is told, else the most that its vhost's lately were."""
        return came.size * self.per_kb if came.size else self.means[came.class_index].most

    def _way(self, zone: int, kind: int) -> Way:
        facts = self.facts
        if kind == facts.origin_kind:
            return Way.ORIGIN
        if kind != facts.parent_kind:
            return Way.NEIGHBOUR
        own = facts.hub_by_zone[facts.zone] if facts.zone < len(facts.hub_by_zone) else facts.zone
        return Way.OWN_HUB if zone == own else Way.OTHER_HUB

    def _matching(self, vhost: int, place: Place) -> tuple[Budget, ...]:
        """The budgets that a fill falls under, with those above them."""
        key = vhost, place.zone, place.way
        found = self.matches.get(key)
        if found is None:
            here: dict[str, Budget] = {}
            for budget in self.budgets.values():
                told = budget.told
                if (
                    key[2] in [PLACES[way] for way in told.ways]
                    and (told.into is None or self.zone_name(self.facts.zone) == told.into)
                    and (told.out_of is None or self.zone_name(place.zone) == told.out_of)
                    and (told.vhosts is None or self.vhosts[vhost] in told.vhosts)
                ):
                    above: Budget | None = budget
                    while above is not None:
                        here[above.name] = above
                        above = above.above
            found = self.matches[key] = tuple(here.values())
        return found

    def zone_name(self, place: int) -> str:
        return self.zones[place] if 0 <= place < len(self.zones) else ""

    def _forced(self, came: interface.RequestReceived, source: str, place: Place) -> bool:
        """True when another hub should have served it: the first of its hash order over all hubs that are
        listed, or went lately. Told from crossings that the order itself chose.
        """
        if place.kind not in (self.facts.parent_kind, self.facts.origin_kind) or not self.hubs:
            return False
        first = self.homes.get(came.object_id)
        if first is None:
            home = score(came.object_id, 0)
            first = max(self.hubs, key=lambda name: score(home, self.hubs[name].salt))
            if len(self.homes) >= HOMES:
                self.homes.clear()
            self.homes[came.object_id] = first
        return first != source

    # What goes out and comes to its end

    def _sent(self, now: int, what: Sent) -> None:
        came, node = what.came, self.nodes.get(what.node)
        if node is None:
            return
        if self.streams is not None and self.facts.request_classes[came.class_index].is_segmented:
            self.streams.goes_on(
                (came.connection_id, came.object_id), came.class_index, now
            )  # also where it needs no fill
        behind = node.kind in (self.facts.parent_kind, self.facts.origin_kind)
        name = what.node if behind else what.source  # past the caches the node itself is what bytes come from
        source = self.nodes.get(name)
        if source is None:
            return
        fill = Fill(came, name, source.way, self.facts.zone, source.zone, now)
        self.lively.setdefault(name, [0, 0])[0] = now
        fill.kept, fill.renew = bool(what.rank) and not behind, what.renew
        judged, self.judged = self.judged, None
        if judged is None or judged[:3] != (now, came, name):
            judged = None
        fill.forced = self._forced(came, name, source) if judged is None else judged[3]
        fill.again = came.request_id in self.crossed
        fill.guess = self.size(came)
        self.fills[came.request_id] = fill
        budgets = self._matching(came.class_index, source)
        if not budgets:
            return
        parts = self.streams is not None and self.facts.request_classes[came.class_index].is_segmented
        key = came.connection_id, came.object_id
        if judged is None:
            begun = bool(parts and self.streams and self.streams.find(key, now))
            all_pots = [budget.wait(now, fill.guess, begun, fill.forced)[1] for budget in budgets]
        else:
            all_pots = judged[4]
        for budget, pots in zip(budgets, all_pots, strict=True):
            budget.charge(pots, fill.guess)
            fill.charges.append((budget, pots, fill.guess))
            budget.wanted = max(0.0, budget.wanted - fill.guess)
        if parts and self.streams is not None:
            books = [budget.book for budget in budgets if budget.book is not None]
            self.streams.part_came(key, came.class_index, fill.guess, now, books)

    def _ended(self, now: int, what: Ended) -> None:
        fill = self.fills.pop(what.id, None)
        if fill is None:
            if what.gone:
                self.crossed.pop(what.id, None)
            return
        came, means = fill.came, self.means[fill.came.class_index]
        carried, guessed = self._carried(fill, what)
        if what.result == "done" and what.body:
            if came.size and what.body:  # bytes on the socket for each KB told: the same everywhere
                self.kb = min(self.kb + came.size, 1e6)
                self.per_kb += (what.body / came.size - self.per_kb) * came.size / self.kb
            if what.note in FILLED:
                self.lively.setdefault(fill.source, [0, 0])[1] = now
                means.learn(what.body, what.took, what.note == BY_ORIGIN)
                if self.shapes is not None:
                    self.shapes.add(came.class_index, what.body, what.took)
        use = Use.KEPT if fill.kept else Use.UNKEPT
        if what.result != "done" or (what.gone and what.body is None) or what.note == OLD:
            use = Use.WASTED
        elif fill.again:
            use = Use.REPEATED
        if carried:
            crossing = Crossing(fill.into, fill.out_of, fill.way, use, came.class_index, fill.forced)
            behind = carried if what.note == BY_ORIGIN and fill.way is not Way.ORIGIN else 0
            self.account.add(self.calendar.at(now), crossing, 1, carried, guessed, behind)
        for budget, pots, charged in fill.charges:
            budget.settle(pots, charged, carried)
        if what.gone or what.result == "done":
            self.crossed.pop(what.id, None)
        elif carried:
            self.crossed[what.id] = None
            if len(self.crossed) > self.told.most_streams:  # guards the memory: an end that is never told
                del self.crossed[next(iter(self.crossed))]

    def _carried(self, fill: Fill, what: Ended) -> tuple[int, int]:
        """Bytes that crossed, and how many of them are guessed."""
        if what.result in SURE or what.note in NO_BYTES:
            return 0, 0
        # what a KB told is on the socket is known from the first answer on; before that nothing is made up
        size = self.size(fill.came) if self.kb else 0.0
        if what.result == "done":
            if what.note in FILLED or not what.note:
                if what.body is not None:
                    return what.body, 0 if what.note else what.body
                return int(size), int(size)  # the client's copy stands for it
            return (int(size), int(size)) if fill.renew else (0, 0)
        asked, gave = self.lively.get(fill.source, (0, 0))
        if what.result == "timeout" and gave < fill.at < asked:
            return 0, 0  # asked again since, and it gave nothing to anyone: a silent source, not a slow one
        guess = int(size * self.means[fill.came.class_index].part(size, what.took))
        return guess, guess

    # What is kept and told

    def spans(self) -> dict[str, Any]:
        """The state of the budgets, for reports."""
        out: dict[str, Any] = {}
        for name, budget in self.budgets.items():
            told = budget.told
            out[name] = {
                "spent": budget.spent,
                "drawn": budget.drawn,
                "refused": budget.refused,
                "sum": told.sum * budget.part if told.sum is not None else None,
                "rate": told.rate * budget.part if told.rate is not None else None,
                "left": next((pot.plain()[-1] for pot in budget.pots if len(pot.plain()) > 1), None),
                "streams": budget.book.open if budget.book is not None else None,
            }
        return out

    def plain(self, clean: bool) -> dict[str, Any]:
        """All that a restart has to know, as plain values."""
        return {
            "zones": list(self.zones),
            "vhosts": list(self.vhosts),
            "zone": self.facts.zone,
            "unix": self.calendar.unix,
            "period": self.period,
            "period_ms": self.calendar.length,
            "clean": clean,
            "unknown_ms": self.unknown_ms,
            "per_kb": [self.per_kb, self.kb],
            "account": self.account.plain(),
            "budgets": {name: budget.plain() for name, budget in self.budgets.items()},
            "spans": self.spans(),
            "shapes": self.shapes.plain() if self.shapes is not None else {},
        }

    def restore(self, plain: dict[str, Any], now: int) -> list[Doing]:
        """Takes up a snapshot. What it can't know, the time since it was taken, counts as spent in the
        budgets and is told as unknown in the account: it is never made up.
        """
        if tuple(plain["zones"]) != self.zones or tuple(plain["vhosts"]) != self.vhosts:
            return [Note("the snapshot is of another deployment: begun anew")]
        if plain["period_ms"] != self.calendar.length:
            return [Note("the snapshot has billing periods of another length: begun anew")]
        gap = max(0, self.calendar.at(now) - plain["unix"])
        self.calendar.unix = max(self.calendar.unix, plain["unix"])  # a clock that was set back since
        self.period = self.calendar.start()
        self.account.restore(plain["account"])
        self.per_kb, self.kb = plain["per_kb"]
        if plain["period"] != self.period:
            return [
                Note("the snapshot is of an earlier period: its account goes on, its budgets are begun anew")
            ]
        unclean = 0 if plain["clean"] else gap
        self.unknown_ms = plain["unknown_ms"] + unclean
        for name, budget in self.budgets.items():
            if name in plain["budgets"]:
                budget.restore(plain["budgets"][name], now, unclean / 1000)
        if unclean:
            return [
                Note(
                    f"{unclean} ms before this start are not in the account; the budgets count them as spent"
                )
            ]
        return []
