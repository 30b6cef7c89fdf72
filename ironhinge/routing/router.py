"""All decisions of ironhinge: where a req goes, from where it is filled, how it is kept, and how it ends.

A front makes one Router an instance and calls `Router.step(now, happening)` for each thing that happened;
the actions that come back are carried out in order. Happenings and actions are typed in `interface.py`.
The design (docs/design.md): a req walks the first K ready caches of its object's hash order; the table of
each cache says whether a copy is kept there and at which rank; refusals move the req on; fills meet at the
object's parent.

Mechanisms beside the design:
 1. bench: nodes that fail more than their peers are passed over for a while and let back in by single
    trials.
 2. silence watch: nodes that owe an answer and show no life are passed over before their time-outs tell,
    and held for cold for a while after.
 3. crowding: caches, sources and the link in whose seen pace would miss a req's target are passed over;
    parents are only asked for what they hold when the origin behind them may be full.
 4. cold budget: a node that started lately gets no more than its share of what it can do.
 5. purge limit: copies older than a purge are refused until the purge has settled.
 6. past the caches: where the settings allow it and no cache will do, a req goes straight to its source.
 7. copies of our own are served where they are at hand and young enough, and kept where the tier wants them.
 8. budgets: sources whose budget of bytes is spent are passed over, where operators have set one.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from heapq import nlargest
from math import log2

from .. import interface
from ..interface import DedupScope, EndpointState, Idempotency
from .hashing import MASK, RendezvousHasher, hash_key, score

K = 2  # caches that a req walks
HALF_LIFE = 100_000  # of the rates in a cache's table
HIGH, MIDDLE = 32, 96  # entries of a table that rank high; and the next that rank middle
TABLE = 4096  # entries of a table, and objects remembered as seen
FILLS_BOUND = 24  # fills under way at a parent, ours, from which the object's next parent is asked; or its
# weight, the transfers that it can send at once, if that is more
LATELY = 0.25  # weight of the newest outcome in a node's share of failures
BAD, WELL = 0.7, 0.25  # shares of failures above which a node is benched, and below which it is trusted again
FULL = 0.25  # a node that turned a req away is passed over for this share of the vhost's mean sending time
# times the location's routers, as each of them sends that much less
SILENT = 2.0  # a dispatch is overdue after this many times its sending time, and a first-byte target
PACE_MEMORY = 0.25  # half-life of a lone router's memory of paces, as a share of the longest client timeout
PACE_PRIOR = 0.05  # work at full pace that a node is taken to have done besides, as a share of the same
ADVICE = 0.25  # part of the time to spare before its target that a denied client is asked to stay away
WAITED = 0.5  # part of the first-byte target that a client's repeat is taken to have used up
GROWTH = 1.2  # by this much a cache's pace is taken to worsen while it sends: others come onto it meanwhile
CROWDED = 1.5  # a node that takes this many times the sending time has no room for reqs that are late already
BENCH = 0.25  # first bench, as a share of the longest client timeout; doubles to BENCH_MOST
BENCH_MOST = 4.0
LOST = 0.25  # a node that was silent is held for cold this part of the time, then the list would have told
COLD_MARGIN = 0.75  # part of a cold node's budget that we dare use: its capacity is judged, not told
CARRY = 100_000  # time over which the work that a node carries is averaged
MEAN_WEIGHT = 20  # reqs that the first guess of a vhost's mean sending time weighs
ORDER_KEPT = 8  # caches of an object's hash order that are remembered; rarely is one further on asked
MOST_ADDED = 512  # caches that came before all orders are forgotten
MERGED = 64  # caches that came since; with more of them the order is worked out anew
LIKELY = 4 * ORDER_KEPT  # caches that are looked through for the first of an order, in the mean
ROOM = 1.5  # a dispatch may take this many times its sending time before its time-out may come


class Chance:
    """A linear congruential generator; the high bits are used."""

    def __init__(self, seed: int):
        self.state = seed & MASK

    def share(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & MASK
        return (self.state >> 33) / (1 << 31)


class VhostRow:
    """What differs by vhost and is read here."""

    def __init__(self, facts: interface.RequestClass):
        self.facts = facts
        self.cacheable = not facts.is_write
        self.work_sum, self.work_count = facts.target * MEAN_WEIGHT, MEAN_WEIGHT

    def mean_work(self) -> float:
        """On the high side while few reqs were seen."""
        return max(self.work_sum / self.work_count, self.seen_work())

    def seen_work(self) -> int:
        seen = self.work_count - MEAN_WEIGHT
        return (self.work_sum - self.facts.target * MEAN_WEIGHT) // seen if seen else 0

    def learn(self, work: int) -> None:
        self.work_sum += work
        self.work_count += 1


class Table:
    """One cache's req rates over size, decaying; `order` keeps them sorted so that a rank is one search. A
    score is the log2 of rate over size on a scale that grows with time, so entries need no touch to
    decay.
    """

    def __init__(self):
        self.scores: dict[tuple[int, int], float] = {}  # by object and part; the longest uncounted first
        self.order: list[float] = []

    def count(self, key: tuple[int, int], size: float, now: int) -> int:
        """Counts a req; returns how many entries rank above its."""
        new = now / HALF_LIFE - log2(size or 1.0)
        old = self.scores.pop(key, None)
        if old is not None:
            del self.order[bisect_left(self.order, old)]
            new = max(old, new) + log2(1 + 2 ** -abs(old - new))
        elif len(self.scores) >= TABLE:
            del self.order[bisect_left(self.order, self.scores.pop(next(iter(self.scores))))]
        self.scores[key] = new
        insort(self.order, new)
        return len(self.order) - bisect_right(self.order, new)


class Flow:
    """What is under way somewhere, and how fast things were seen to go there."""

    is_cache_here = False  # a ready cache of this router's location: on the walk of each req

    def __init__(self):
        self.out: dict[str, Req] = {}  # reqs with a dispatch out that takes this way
        self.took, self.work, self.pace_at = 0.0, 0.0, 0  # time that sending took lately, and full-pace time
        self.crowd = 0.0  # dispatches that were out then, weighted by work
        self.ease = 0.0  # the most that were out while one was not crowded, fading as fast

    def paced(self, took: float, req: Req, now: int, memory: float) -> None:
        fade = 2 ** ((self.pace_at - now) / memory)
        self.took, self.work, self.pace_at = self.took * fade + took, self.work * fade + req.work, now
        out = (req.crowd[self] + len(self.out) + 1) / 2
        self.crowd = self.crowd * fade + req.work * out
        self.ease = max(self.ease * fade, out if took < CROWDED * req.work else 0.0)

    def pace(self, now: int, memory: float, prior: float) -> float:
        """How many times its sending time a req would take now: what was seen, scaled by the dispatches out
        now against then, since what was seen is as old as the transfers that showed it. Guards against
        swinging. As many as went at ease lately count as then: where nothing is full, more take no longer.
        """
        fade = 2 ** ((self.pace_at - now) / memory)
        seen = (self.took * fade + prior) / (self.work * fade + prior)
        if not self.crowd:
            return seen
        ease = self.ease * fade
        return max(1.0, seen * max(len(self.out) + 1, ease) / max(self.crowd / self.work, ease))


class Node(Flow):
    """All that is known of a cache, a parent or the origin."""

    def __init__(self, row: interface.Endpoint):
        super().__init__()
        self.id, self.salt, self.row = row.id, hash_key(row.id), row
        self.table = Table()
        self.reset()

    def reset(self) -> None:
        """Forgets what a restart makes void."""
        self.bad = 0.0  # share of failures in its latest outcomes
        self.answered_at = 0  # when it last showed that it is alive
        self.full_until = 0
        self.took = self.work = self.crowd = self.ease = 0.0
        self.benched_until = 0
        self.bench = 0.0  # length of the last bench, as a share of the longest client timeout
        self.busy = 1.0  # share of what it can do that it says is in use, averaged
        self.carry, self.carry_at = 0.0, 0  # work done for us in each unit of time, averaged
        self.lost_at = 0  # when it last took no connection or was found silent
        self.room: float | None = None  # while cold: work that it may be sent, below 0 when overdrawn
        self.room_at = 0

    def carried(self, work: float, now: int) -> None:
        self.carry = self.carry_now(now) + work / CARRY
        self.carry_at = now

    def carry_now(self, now: int) -> float:
        return self.carry * 2 ** ((self.carry_at - now) / CARRY)


class Order:
    """The caches of an object's hash order whose hashes are not under a floor, in that order; some may have
    left since.
    """

    __slots__ = ("first", "floor", "seen")

    def __init__(self, first: list[Node], floor: int, seen: int):
        self.first, self.floor, self.seen = first, floor, seen  # `seen` of those added are in it

    def merge(self, salt: int, added: list[Node]) -> None:
        """Takes in those that were added since."""
        new = [node for node in added[self.seen :] if node not in self.first]
        new = [node for node in new if score(salt, node.salt) >= self.floor]
        if new:
            here = [
                node for node in {**dict.fromkeys(self.first), **dict.fromkeys(new)} if node.is_cache_here
            ]
            self.first = sorted(here, key=lambda node: score(salt, node.salt), reverse=True)
        self.seen = len(added)


class Req:
    def __init__(self, came: interface.RequestReceived, vhost: VhostRow, now: int, work: int):
        self.came, self.unpaid = came, 0  # how long until a budget that had no room for it has
        self.id, self.key, self.group, self.size = (
            came.request_id,
            (came.object_id, came.part),
            came.group,
            came.size,
        )
        self.vhost, self.work, self.left_at = vhost, work, now + came.time_remaining
        self.salt = score(came.object_id, came.part + 1)
        self.home = score(came.object_id, 0)
        self.cacheable = vhost.cacheable and not came.is_write
        self.asked: list[Node] = []  # caches walked that had no copy
        self.ranks: dict[Node, int] = {}  # what the tables of the caches walked said
        self.failed: list[Node] = []  # nodes and sources that failed it
        self.dispatches = 0
        self.node: Node | None = None  # of the dispatch that is out
        self.source: Node | None = None
        self.sent_at = 0
        facts = vhost.facts
        self.target_at = min(self.left_at, now + facts.target + int(facts.target_stretch * work))
        self.may_have_run: tuple[Node, int] | None = None  # where first, and when it was sent
        self.streaming = False
        self.lately = False  # its object was asked for not long ago
        self.crowd: dict[Flow, int] = {}  # dispatches out on its ways, at its own dispatch
        self.over = False  # its client has left


class Router:
    fill_budget: interface.FillBudget | None = (
        None  # operators' budgets, and copies of our own: most have neither
    )
    local_store: interface.LocalStore | None = None

    def __init__(self, facts: interface.Deployment, seed: int):
        self.deployment, self.chance = facts, Chance(seed)
        self.vhosts = [VhostRow(vhost) for vhost in facts.request_classes]
        self.longest_client_timeout = max(
            [vhost.client_timeout for vhost in facts.request_classes], default=10_000
        )
        self.nodes: dict[str, Node] = {}
        self.caches: list[Node] = []
        self.cache_salts: list[int] = []  # of the same, in the same order
        self.mixer: RendezvousHasher | None = None  # of these salts, once it is needed
        self.added: list[
            Node
        ] = []  # caches in the order in which they came, for what is remembered of orders
        self.orders: dict[int, Order] = {}  # by an object's salt; that used longest ago first
        self.may_be_cold: dict[Node, None] = {}  # caches that started or were lost not long ago
        self.parents: list[Node] = []
        self.origin: Node | None = None
        self.inlet = Flow()  # the location's link in, which all fills share
        self.memory = (
            PACE_MEMORY * self.longest_client_timeout * facts.local_router_count**0.5
        )  # the more, the less each sees
        self.prior = PACE_PRIOR * self.longest_client_timeout
        self.listed = False
        self.reqs: dict[str, Req] = {}
        self.seen: dict[tuple[int, int], int] = {}  # when a part was last asked for; oldest first
        self.usual: dict[int, float] = {}  # by kind: what a warm node carries for us, in work a unit of time
        self.purged_objects: dict[int, int] = {}  # the newest purge known
        self.purged_groups: dict[int, int] = {}
        self.acts: list[interface.Command] = []
        self.now = 0

    def handle(self, now: int, what: interface.Event) -> list[interface.Command]:
        """The entry point."""
        self.now, self.acts = now, []
        try:
            self.take_in(what)
        except (
            Exception
        ):  # guards what is believed of nodes: a req lost to a fault must not stay out for ever
            name = getattr(what, "request_id", "")
            req = self.reqs.pop(name, None)
            for way in req.crowd if req else ():
                way.out.pop(name, None)
            raise
        return self.acts

    def take_in(self, what: interface.Event) -> None:
        if isinstance(what, interface.RequestReceived):
            self.take(what)
        elif isinstance(what, interface.AttemptFinished):
            self.outcome(what)
        elif isinstance(what, interface.EndpointsUpdated):
            self.learn_list(what)
        elif isinstance(what, interface.ClientDisconnected):
            self.client_left(what.request_id)
        elif isinstance(what, interface.PurgeNotified):
            self.purge(what)
        elif isinstance(what, interface.LocalCopyFinished):
            self.own(what)
        elif isinstance(what, interface.ResponseStarted):
            if what.request_id in self.reqs:
                self.reqs[what.request_id].streaming = True
        elif isinstance(
            what, interface.ShutdownStarted
        ):  # guards reqs whose client timeout is longer than our life
            for req in self.reqs.values():
                req.left_at = min(req.left_at, self.now + what.time_remaining)
        elif isinstance(what, interface.DiscoveryFailed):
            self.acts.append(
                interface.SetTimer(max(1, self.deployment.discovery_poll_interval // 10), "watch")
            )
        elif isinstance(what, interface.TimerFired) or (
            isinstance(what, interface.InstanceStarted) and self.deployment.watch_required
        ):
            self.acts.append(interface.SetWatch(True))  # the only timer is the one to watch again

    # The list of nodes

    def learn_list(self, listed: interface.EndpointsUpdated) -> None:
        if listed.is_full:
            here = {row.id for row in listed.endpoints}
            for node in [each for each in self.nodes.values() if each.id not in here]:
                node.row = node.row._replace(state=EndpointState.REMOVED)
                self.place(node)
        for row in listed.endpoints:
            known = self.nodes.get(row.id)
            if known is None:
                if self.listed and not listed.is_full and not row.started_at:
                    row = row._replace(started_at=self.now)  # a newcomer is cold, told when it started or not
                known = self.nodes[row.id] = Node(row)
            elif row.state == EndpointState.REMOVED:
                known.row = known.row._replace(state=EndpointState.REMOVED)
            else:
                if row.started_at > known.row.started_at:
                    known.reset()
                    known.table = Table()
                known.row = row._replace(started_at=max(row.started_at, known.row.started_at))
            self.place(known)
        self.listed = True

    def place(self, node: Node) -> None:
        """Sorts a node that has changed in or out; a change of one costs that one, however many there are.
        One that is gone is forgotten: an id told again starts from nothing.
        """
        facts, ready = self.deployment, node.row.state == EndpointState.READY
        kind, behind = node.row.kind, (facts.parent_kind, facts.origin_kind)
        if node.row.state == EndpointState.REMOVED:
            del self.nodes[node.id]
        if kind == facts.origin_kind:
            self.origin = self.first_origin()
        elif kind == facts.parent_kind and ready is not (node in self.parents):
            self.parents = (
                [*self.parents, node] if ready else [each for each in self.parents if each is not node]
            )
        is_here = ready and node.row.zone == facts.zone and kind not in behind
        if is_here and not node.is_cache_here:
            self.caches.append(node)
            self.cache_salts.append(node.salt)
            self.mixer = None
            if len(self.added) >= MOST_ADDED:  # guards the memory: what is remembered holds those that left
                self.added.clear()
                self.orders.clear()
            self.added.append(node)
        elif node.is_cache_here and not is_here:
            at = self.caches.index(node)
            del self.caches[at], self.cache_salts[at]
            self.mixer = None
        node.is_cache_here = is_here
        if is_here and (node.row.started_at or node.lost_at):
            self.may_be_cold[node] = None
        elif not is_here:
            self.may_be_cold.pop(node, None)

    def first_origin(self) -> Node | None:
        """The origin that was listed first, of those that are ready."""
        for node in self.nodes.values():
            if node.row.state == EndpointState.READY and node.row.kind == self.deployment.origin_kind:
                return node
        return None

    # Purges

    def purge(self, what: interface.PurgeNotified) -> None:
        """Guards 'purges kept'. A late notice of an older purge must not loosen a newer one: hence the
        max. Harms only by fills: good copies older than the limit are fetched anew.
        """
        book = self.purged_groups if what.object_id is None else self.purged_objects
        name = what.group if what.object_id is None else what.object_id
        at = self.now - what.age + 1
        book[name] = max(book.pop(name, at), at)
        while book:
            oldest = next(iter(book))
            if book[oldest] + self.deployment.purge_retention >= self.now:
                break
            del book[oldest]

    def age_limit(self, req: Req) -> int:
        """The oldest copy that will do; 0 for what the vhost allows by itself."""
        books = ((self.purged_objects, req.key[0]), (self.purged_groups, req.group))
        purges = [book[name] for book, name in books if name in book]
        at = max(purges, default=0)
        if not purges or self.now > at + self.deployment.purge_retention:
            return 0
        limit = max(1, self.now - at)
        fresh = req.vhost.facts.freshness_lifetime
        return min(limit, fresh) if fresh else limit

    # Reqs

    def take(self, came: interface.RequestReceived) -> None:
        vhost = self.vhosts[came.class_index]
        if came.size and self.deployment.transfer_rate:
            work = int(came.size * 10_000 / self.deployment.transfer_rate) + 1
            vhost.learn(work)
        else:
            work = vhost.seen_work()
        req = self.reqs[came.request_id] = Req(came, vhost, self.now, work)
        if came.is_client_retry:  # its client has waited before, and the first ask counts
            req.target_at -= int(WAITED * vhost.facts.target)
        last = self.seen.pop(req.key, None)
        if len(self.seen) >= TABLE:
            del self.seen[next(iter(self.seen))]
        self.seen[req.key] = self.now
        req.lately = last is not None and self.now - last <= HALF_LIFE * self.deployment.local_router_count
        age = (
            self.local_store.lookup(self.now, came) if self.local_store is not None and req.cacheable else -1
        )
        limit = (self.age_limit(req) or vhost.facts.freshness_lifetime) if age >= 0 else 0
        if (
            age >= 0
            and (not limit or age <= limit)
            and self.now + 2 * self.deployment.time_granularity < req.left_at
        ):
            return self.acts.append(interface.ServeLocalCopy(req.id))
        self.go_on(req)

    def own(self, what: interface.LocalCopyFinished) -> None:
        """A copy of our own that could not be read in time costs nothing but the time: the walk begins."""
        req = self.reqs.get(what.request_id)
        if req is not None and not what.served and not req.over:
            self.go_on(req)
        elif req is not None:
            del self.reqs[req.id]

    def client_left(self, name: str) -> None:
        """Nothing more is owed, but the dispatch that is out weighs on its nodes until its outcome
        comes.
        """
        req = self.reqs.get(name)
        if req is None or req.over:
            return
        req.over = True
        if self.deployment.cancellation_allowed:
            self.acts.append(interface.CancelAttempt(req.id, req.dispatches - 1))

    def go_on(self, req: Req) -> None:
        """The walk: the next cache of the order, else the first one as a pass-through, else past the
        caches.
        """
        facts = self.deployment
        if (
            req.dispatches >= facts.max_attempts
            or self.now + max(req.work, 2 * facts.time_granularity) >= req.left_at
        ):
            return self.give_up(req)
        known = self.look_at_those_that_change(req)
        source = self.fill_source(req)
        first, unasked = self.first_fit(req, known)
        if req.cacheable and len(req.asked) < K and unasked is not None:
            rank = self.rank(req, unasked)
            return self.dispatch(req, unasked, source if rank and source is not None else unasked, rank)
        if first is not None and source is not None:
            return self.dispatch(req, first, source, 0)
        if facts.direct_to_source and source is not None and self.allowed(req, source):
            return self.dispatch(req, source, source, 0)
        able = [node for node in self.hash_order(req) if self.allowed(req, node)]
        rest = [node for node in able if self.now >= node.full_until and self.has_room(req, node)]
        if rest and source is not None:
            best = min(rest, key=lambda node: (req.failed.count(node), node.benched_until))
            return self.dispatch(req, best, source, 0)
        self.give_up(req)

    def rank(self, req: Req, node: Node) -> int:
        """The rank at which a cache keeps the object; counted once a req."""
        if node not in req.ranks:
            above = node.table.count(req.key, req.size, self.now)
            rank = 3 if above < HIGH else 2 if above < HIGH + MIDDLE else 1
            if not req.lately:  # a first sighting is no rate yet; short tables rank all of them high
                rank = 1 if rank > 1 else 0
            req.ranks[node] = rank
        return req.ranks[node]

    def hash_order(self, req: Req) -> Iterator[Node]:
        """All caches in the object's hash order. The first of it are remembered: the order of thousands costs
        milliseconds.
        """
        order = self.remembered(req.salt)
        yield from [node for node in order.first if node.is_cache_here]
        hashes = self.hashes(req.salt) if len(order.first) < len(self.caches) else []
        places = [place for place in range(len(hashes)) if hashes[place] < order.floor]
        places.sort(key=hashes.__getitem__, reverse=True)
        yield from [self.caches[place] for place in places]

    def remembered(self, salt: int) -> Order:
        """The first caches of a hash order, with those that came since it was worked out."""
        order = self.orders.pop(salt, None)
        if order is None or len(self.added) - order.seen > MERGED:
            order = self.work_out(salt)
            if len(self.orders) >= TABLE:
                del self.orders[next(iter(self.orders))]
        elif order.seen < len(self.added):
            order.merge(salt, self.added)
        self.orders[salt] = order
        return order

    def hashes(self, salt: int) -> list[int]:
        """An object's hash at each cache."""
        if self.mixer is None:
            self.mixer = RendezvousHasher(self.cache_salts)
        return self.mixer.scores(salt)

    def work_out(self, salt: int) -> Order:
        """The first caches of a hash order, from all of them."""
        hashes = self.hashes(salt)
        high = MASK - MASK // max(1, len(hashes)) * LIKELY
        likely = [place for place, value in enumerate(hashes) if value > high]
        if len(likely) < ORDER_KEPT:
            likely = list(range(len(hashes)))
        places = nlargest(ORDER_KEPT, likely, key=hashes.__getitem__)
        floor = hashes[places[-1]] if len(places) == ORDER_KEPT else 0
        return Order([self.caches[place] for place in places], floor, len(self.added))

    def look_at_those_that_change(self, req: Req) -> dict[Node, bool]:
        """Whether each cache fits of which asking that changes what is known: those that owe an answer, and
        those that may be cold. All others can be asked one by one until one fits.
        """
        busy = [each.node for each in self.reqs.values() if each.node is not None]
        some = dict.fromkeys([*busy, *self.may_be_cold])
        here = [node for node in some if node.is_cache_here and self.allowed(req, node)]
        if self.may_be_cold:  # chance is drawn for cold nodes, in this order
            here.sort(key=lambda node: score(req.salt, node.salt), reverse=True)
        known = {}
        for node in here:
            if node not in req.failed:
                known[node] = self.fit(req, node)
                if node in self.may_be_cold and not self.is_cold(node):
                    del self.may_be_cold[node]
        return known

    def first_fit(self, req: Req, known: dict[Node, bool]) -> tuple[Node | None, Node | None]:
        """The first cache in the hash order that fits, and the first of those that the req has not asked."""
        first = None
        for node in self.hash_order(req):
            if node in req.failed or not self.allowed(req, node):
                continue
            if not (known[node] if node in known else self.fit(req, node)):
                continue
            first = first or node
            if node not in req.asked:
                return first, node
        return first, None

    def fill_source(self, req: Req) -> Node | None:
        """A hash order of the object over all listed parents, the origin when none of them will do; none
        when the link in that all fills share is crowded, since moving on would not help.
        """
        req.unpaid = 0
        if not self.in_time(req, self.inlet):
            return None
        for node in sorted(self.parents, key=lambda node: score(req.home, node.salt), reverse=True):
            bound = max(FILLS_BOUND, node.row.weight)
            if node not in req.failed and len(node.out) < bound and self.fit(req, node):
                if self.paid(req, node):
                    return node
        origin = self.origin
        return origin if origin is not None and self.fit(req, origin) and self.paid(req, origin) else None

    def paid(self, req: Req, node: Node) -> bool:
        """Guards operators' budgets: a source whose budget is spent is passed over like a crowded one. The
        soonest that one has room again is what its client is told. Harms hits at caches not at all.
        """
        wait = self.fill_budget.wait_time(self.now, req.came, node.id) if self.fill_budget is not None else 0
        req.unpaid = min(req.unpaid or wait, wait) if wait else req.unpaid
        return not wait

    def dispatch(self, req: Req, node: Node, source: Node, rank: int) -> None:
        facts, now = self.deployment, self.now
        end = req.left_at - 2 * facts.time_granularity
        until = end
        if req.vhost.facts.idempotency == Idempotency.IDEMPOTENT:
            # a silent node must leave time for another dispatch before the client timeout
            until = min(end, max(end - int(ROOM * req.work), now + (end - now) // 2))
        ran = req.may_have_run if req.vhost.facts.idempotency != Idempotency.IDEMPOTENT else None
        begin = ran[1] + req.vhost.facts.dedup_window if ran else 0  # later it would run again
        limit = self.age_limit(req)
        behind = node.row.kind in (facts.parent_kind, facts.origin_kind)
        if source is node and (node is self.origin or (not behind and not limit)):
            act: interface.Command = interface.SendAttempt(req.id, node.id, until, begin)
        else:
            if source is node and node in self.parents and self.origin is not None:
                source = self.origin
            renew = bool(req.vhost.facts.freshness_lifetime) and source is not node
            # guards against pushing a crowded origin further, each parent asking it anew; see blame
            held = source in self.parents and self.origin is not None and now < self.origin.full_until
            act = interface.SendAttemptWithFill(
                req.id, node.id, until, source.id, rank, limit, facts.coalesces_fills, renew, held, begin
            )
        req.node, req.source, req.sent_at = node, source if source is not node else None, now
        req.dispatches += 1
        inlet = self.inlet if req.source is not None or node.row.zone != facts.zone else None
        for way in (req.node, req.source, inlet):
            if way is not None:
                way.out[req.id] = req
                req.crowd[way] = len(way.out)
        for each in (req.node, req.source):
            if each is not None and each.room is not None:
                each.room -= self.weight(req, each)
        self.acts.append(act)

    def outcome(self, what: interface.AttemptFinished) -> None:
        req = self.reqs.get(what.request_id)
        if (
            req is None
            or req.node is None
            or req.node.id != what.endpoint_id
            or what.attempt_number != req.dispatches - 1
        ):
            return
        node, source, result = req.node, req.source, what.result
        if what.load_report and "busy" in self.deployment.load_report_fields:
            told = min(1.0, what.load_report[self.deployment.load_report_fields.index("busy")])
            node.busy += LATELY * (told - node.busy)
        req.node = req.source = None
        for each in (node, source, self.inlet):
            if each is not None:
                each.out.pop(req.id, None)
        if result == "done":
            filler = source if what.fill_note in (2, 3, 4) else None
            self.succeeded(node, req, req.work)
            if not req.size:
                req.vhost.learn(what.duration)
            if (
                self.local_store is not None
                and req.cacheable
                and self.local_store.should_store(self.now, req.came)
            ):
                self.acts.append(interface.StoreLocalCopy(req.id))
            if filler is not None:
                self.succeeded(filler, req, req.work)
            if filler is not None or node.row.zone != self.deployment.zone:
                self.inlet.paced(what.duration, req, self.now, self.memory)
            (filler or node).paced(what.duration, req, self.now, self.memory)
        elif result == "miss":
            self.succeeded(node, req, 0)
            req.asked.append(node)
            if source is not None:  # who else would hold it: fills meet at one parent
                req.failed += [source] if source is self.origin else self.parents
        elif result not in ("cancelled", "unsent"):
            req.failed.append(self.blame(req, node, source, what))
        if result in ("error", "timeout", "reset", "cancelled") and req.may_have_run is None:
            req.may_have_run = node, req.sent_at
        if what.request_closed or req.streaming or req.over:
            del self.reqs[req.id]
        else:
            self.go_on(req)

    def allowed(self, req: Req, node: Node) -> bool:
        """Guards 'no effect twice': where a req that may have run can still be sent."""
        if req.may_have_run is None or req.vhost.facts.idempotency == Idempotency.IDEMPOTENT:
            return True
        facts, (first, at) = req.vhost.facts, req.may_have_run
        if facts.idempotency == Idempotency.NON_IDEMPOTENT or self.now >= at + facts.dedup_window:
            return False
        same_zone = facts.dedup_scope == DedupScope.ZONE and node.row.zone == first.row.zone
        same_cell = facts.dedup_scope == DedupScope.CELL and node.row.cell == first.row.cell
        return facts.dedup_scope == DedupScope.ALL or same_zone or same_cell

    def give_up(self, req: Req) -> None:
        """The final answer of a req not done: a denial where trying again is harmless, else an abort."""
        del self.reqs[req.id]
        vhost, ran = req.vhost.facts, req.may_have_run
        dropped = vhost.idempotency == Idempotency.KEYED and vhost.dedup_scope == DedupScope.ALL
        harmless = (
            vhost.idempotency == Idempotency.IDEMPOTENT
            or not ran
            or (dropped and self.now < ran[1] + vhost.dedup_window)
        )
        slack = max(0, req.target_at - self.now - req.work)
        # back while the target can still be met, or when a budget that had no room should have it
        advice = min(self.deployment.max_retry_after, max(int(ADVICE * slack), req.unpaid))
        self.acts.append(
            interface.RejectRequest(req.id, advice) if harmless else interface.FailRequest(req.id)
        )

    # Health

    def succeeded(self, node: Node, req: Req, work: int) -> None:
        node.answered_at = self.now
        if req.sent_at < node.lost_at:  # what a restart would have lost was done: it was only slow
            node.lost_at = 0
        node.carried(work, self.now)
        node.bad *= 1 - LATELY
        if node.bench and self.now >= node.benched_until:
            node.bad = min(node.bad, BAD) * 0.5
            if node.bad < WELL:
                node.bench = 0.0

    def blame(self, req: Req, node: Node, source: Node | None, what: interface.AttemptFinished) -> Node:
        """Finds who failed a dispatch, the cache or its source: by the note if it tells, else whoever fails
        more. Guards against nodes that are dead, silent or failing, without a bad parent condemning good
        caches. What fails everywhere benches nobody; that may harm where most nodes of a location die at
        once.
        """
        result, culprit = what.result, node
        quick = what.duration <= 2 * self.deployment.time_granularity  # too soon for word from any source
        if result == "full":  # turned away at the door of one or the other: alive, but crowded
            culprit = node if quick or source is None or what.fill_note == 9 else source
            culprit.full_until = self.now + int(
                FULL * req.vhost.mean_work() * self.deployment.local_router_count
            )
            node.answered_at = self.now
            behind = what.fill_note == 10 or (
                not what.fill_note and any(each in self.parents for each in req.failed)
            )
            if (
                culprit is source
                and self.origin is not None
                and behind
                and self.deployment.origin_overload_multiple
            ):
                self.origin.full_until = culprit.full_until  # the second parent in turn: it is behind them
            if culprit is source and what.duration > req.vhost.facts.target:  # waited for in vain
                source.bad += LATELY * (1 - source.bad)
                self.bench(source)
            return culprit
        suspects = [node]
        if source is not None and not quick and result not in ("unconnected", "cut"):
            suspects.append(source)
            if what.fill_note in (6, 7, 8, 10) or (not what.fill_note and source.bad >= node.bad):
                culprit = source
        if (
            result == "timeout"
        ):  # guards the caches' hits while fills hang: see outcome, they are their sources'
            (source or culprit).paced(what.duration, req, self.now, self.memory)
        if result == "timeout" and culprit.answered_at > req.sent_at:
            return culprit  # slow, not silent
        if result != "timeout":
            node.answered_at = self.now
        if result == "unconnected":
            self.lost(culprit)
        for each in suspects:
            each.bad += LATELY * (1 - each.bad)
        self.bench(culprit, result == "unconnected")
        return culprit

    def bench(self, culprit: Node, surely: bool = False) -> None:
        alike = self.parents if culprit in self.parents else self.caches
        peers = [each.bad for each in alike if each is not culprit]
        usual = sum(peers) / len(peers) if peers else 0.0  # what fails everywhere is no node's own fault
        if (culprit.bad > BAD + usual or surely) and self.now >= culprit.benched_until:
            culprit.bad = max(culprit.bad, BAD)
            culprit.bench = min(BENCH_MOST, max(BENCH, 2 * culprit.bench))
            length = culprit.bench * (0.75 + self.chance.share() / 2)  # routers' trials fall apart in time
            culprit.benched_until = self.now + int(length * self.longest_client_timeout)

    def silent(self, node: Node) -> bool:
        """True when a dispatch is overdue and the node has shown no life since. Guards against nodes that
        take reqs and never answer, before the time-outs tell; may harm where a node's only req is merely
        slow. A source is only suspected where the cache that asked it lives. A node found silent counts as
        just started: it may come back cold before the list says so.
        """
        for req in reversed(node.out.values()):  # the latest first
            if req.sent_at < node.answered_at:
                break
            overdue = self.now > req.sent_at + SILENT * req.work + req.vhost.facts.target
            asked = req.node
            if overdue and asked and (node is asked or asked.answered_at > req.sent_at):
                self.lost(node)
                return True
        return False

    def lost(self, node: Node) -> None:
        """It showed no life: it may come back cold before the list says so."""
        node.lost_at = self.now
        if node.is_cache_here:
            self.may_be_cold[node] = None

    def fit(self, req: Req, node: Node) -> bool:
        if self.now < max(node.benched_until, node.full_until) or (node.bench and node.out):
            return False
        return not self.silent(node) and self.has_room(req, node)

    def has_room(self, req: Req, node: Node) -> bool:
        return self.in_budget(req, node) and self.in_time(req, node)

    def in_time(self, req: Req, way: Flow) -> bool:
        """Whether the present pace would get the req done within its target; one that is late already only
        goes where there is room. Guards against crowding of any cause: overload, a slow node, a full link
        or origin. May harm where a node's pace was bad by chance: it is forgotten within PACE_MEMORY.
        """
        pace = way.pace(self.now, self.memory, self.prior)
        if self.now + req.work > req.target_at:
            return pace < CROWDED
        growth = GROWTH if way.is_cache_here else 1.0
        return self.now + growth * pace * req.work <= req.target_at

    # Cold nodes

    def is_cold(self, node: Node) -> bool:
        length = (
            self.deployment.parent_slow_start_duration
            if node.row.kind == self.deployment.parent_kind
            else self.deployment.slow_start_duration
        )
        lost = node.lost_at and self.now < node.lost_at + LOST * length
        return bool(lost or (node.row.started_at and self.now < node.row.started_at + length))

    def weight(self, req: Req, node: Node) -> float:
        """In a budget: at a cache its vhost's mean sending time, at a parent its own if that is longer."""
        mean = req.vhost.mean_work()
        return max(req.work, mean) if node.row.kind == self.deployment.parent_kind else mean

    def in_budget(self, req: Req, node: Node) -> bool:
        """Guards 'no cold node pushed over'. Our share of a budget is taken from what we ourselves have
        warm nodes of its kind carry: summed over all routers that stays under what such a node can do. Each
        req overdraws it by what it weighs, and the first one waits a chance part of that, so that many
        routers with a req each fall apart in time. Room that nobody used lapses past `keep`, and the
        turn begins anew: also when all routers have a req at once, their rooms together come to half of what
        the rule leaves besides; the other half is chance. Harms where many routers see few reqs each,
        as most room lapses.
        """
        if node is self.origin or not self.is_cold(node):
            node.room = None
            return True
        facts = self.deployment
        parent = node.row.kind == facts.parent_kind
        least, length, multiple = (
            facts.slow_start_min_share,
            facts.slow_start_duration,
            facts.overload_multiple,
        )
        if parent:
            least, length, multiple = (
                facts.parent_slow_start_min_share,
                facts.parent_slow_start_duration,
                facts.parent_overload_multiple,
            )
        age = max(0, self.now - facts.overload_window - max(node.row.started_at, node.lost_at))
        share = least + (1 - least) * age / max(1, length)
        routers, weight = (
            facts.router_count if parent else facts.local_router_count,
            max(1, self.weight(req, node)),
        )
        told = facts.weight_kind in ("nominal", "rough")
        capacity = node.row.weight / routers if told else self.carried_by_kind(node.row.kind)
        allowed = multiple * share * capacity  # ours
        most = (
            allowed * routers * facts.overload_window / weight
        )  # of all routers together, in reqs: N in the rule
        keep = weight * ((1 - COLD_MARGIN) * most / 2 + most**0.5 + 1) / routers
        if node.room is None:
            node.room = -self.chance.share() * weight
        else:  # two reqs of all routers together are always allowed; we dare one
            gain = max(COLD_MARGIN * allowed, weight / (routers * max(1, facts.overload_window)))
            node.room += gain * (self.now - node.room_at)
        if node.room > keep:
            node.room = (node.room + weight) % (weight + keep) - weight
        node.room_at = self.now
        return node.room >= 0

    def carried_by_kind(self, kind: int) -> float:
        """What a warm node of the kind can do for us: what it carries, over how busy it says it is."""
        alike = self.parents if kind == self.deployment.parent_kind else self.caches
        warm = [each for each in alike if each.row.kind == kind and not self.is_cold(each) and not each.bench]
        if warm:
            busy = (
                sum(node.busy for node in warm) if "busy" in self.deployment.load_report_fields else len(warm)
            )
            can = sum(node.carry_now(self.now) for node in warm) / max(busy, 0.1 * len(warm))
            self.usual[kind] = max(can, self.usual.get(kind, 0.0))  # less may only mean that less was asked
        return self.usual.get(kind, 0.0)
