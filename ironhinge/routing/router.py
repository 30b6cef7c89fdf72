"""The decisions of one router instance: events go in, commands come out.

A request is sent to the first ready caches of its object's rendezvous order, one attempt at a time. The
request rates of each cache say whether a copy is kept there and at which rank; rejections move the request
on; fills of an object meet at its parent. docs/design.md has the design and its reasons.

Each mechanism beside it has a module of its own: `outlier_detection`, `liveness`, `congestion`, `slow_start`,
`purges`, `retries` and `fill_source`. Two more are small: where the deployment allows it and no cache will
do, a request goes straight to its fill source; and copies of the router's own are served and kept where a
local store is set.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from ..interface import (
    AttemptFinished,
    CancelAttempt,
    ClientDisconnected,
    Command,
    Deployment,
    DiscoveryFailed,
    EndpointsUpdated,
    Event,
    FillBudget,
    InstanceStarted,
    LocalCopyFinished,
    LocalStore,
    PurgeNotified,
    RequestReceived,
    ResponseStarted,
    ServeLocalCopy,
    SetTimer,
    SetWatch,
    ShutdownStarted,
    StoreLocalCopy,
    TimerFired,
)
from .attempt_results import DONE, AttemptResults
from .attempts import AttemptSender
from .cache_selection import CacheSelector
from .congestion import CongestionControl
from .deterministic_random import DeterministicRandom
from .eligibility import Eligibility
from .fill_source import FillSourceSelector
from .final_answers import final_answer
from .liveness import LivenessMonitor
from .outlier_detection import OutlierDetector
from .purges import PurgeLog
from .request_rates import NOT_STORED, AdmissionRank, RecentRequests
from .request_state import ROUND_TRIP_BATCHES, RequestClassState, RequestState
from .retries import may_retry_on
from .slow_start import SlowStart
from .upstream_registry import UpstreamRegistry
from .upstreams import Upstream

MAX_CACHES_TRIED = 2  # caches in which a request looks for a copy
CLIENT_RETRY_TARGET_SHARE = (
    0.5  # part of the target that a request is taken to have used up before a client's retry
)
DEFAULT_CLIENT_TIMEOUT = 10_000  # where the deployment has no request class
TIME_UNITS_PER_SECOND = 10_000
WATCH_RETRIES_PER_POLL = 10  # a broken watch is set again after this part of the poll interval
WATCH_TIMER = "watch"  # token of the only timer


class AttemptPlan(NamedTuple):
    """The next attempt of a request."""

    upstream: Upstream
    source: Upstream  # of a fill; the upstream itself for none
    rank: AdmissionRank


class Router:
    """The decisions of one instance; a front makes one, and calls `handle` for each event in order."""

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.local_store: LocalStore | None = None
        self.longest_client_timeout = max(
            [each.client_timeout for each in deployment.request_classes], default=DEFAULT_CLIENT_TIMEOUT
        )
        self.request_classes = [RequestClassState(each) for each in deployment.request_classes]
        self.requests: dict[str, RequestState] = {}
        self.recent_requests = RecentRequests(deployment.local_router_count)
        self.random = DeterministicRandom(seed)
        self.upstreams = UpstreamRegistry(deployment)
        self.purges = PurgeLog(deployment.purge_retention)
        self.congestion = CongestionControl(self.longest_client_timeout, deployment.local_router_count)
        self.slow_start = SlowStart(deployment, self.upstreams, self.random)
        liveness = LivenessMonitor(self.upstreams)
        outliers = OutlierDetector(self.upstreams, self.random, self.longest_client_timeout)
        eligibility = Eligibility(liveness, self.slow_start, self.congestion)
        self.cache_selector = CacheSelector(self.upstreams, eligibility, self.slow_start)
        self.fill_sources = FillSourceSelector(self.upstreams, eligibility, self.congestion)
        self.attempts = AttemptSender(deployment, self.upstreams, self.slow_start, self.purges)
        self.results = AttemptResults(deployment, self.upstreams, self.congestion, liveness, outliers)
        self._commands: list[Command] = []
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            RequestReceived: self.on_request,
            AttemptFinished: self.on_attempt_finished,
            EndpointsUpdated: self.upstreams.update,
            ClientDisconnected: self.on_client_disconnected,
            PurgeNotified: self.purges.on_purge,
            LocalCopyFinished: self.on_local_copy,
            ResponseStarted: self.on_response_started,
            ShutdownStarted: self.on_shutdown,
            DiscoveryFailed: self.on_discovery_failed,
            TimerFired: self.on_timer,
            InstanceStarted: self.on_instance_started,
        }

    @property
    def fill_budget(self) -> FillBudget | None:
        """The operators' budget of bytes for fills, where they have set one."""
        return self.fill_sources.fill_budget

    @fill_budget.setter
    def fill_budget(self, budget: FillBudget | None) -> None:
        """Sets the budget; None for no limit."""
        self.fill_sources.fill_budget = budget

    def handle(self, now: int, event: Event) -> list[Command]:
        """Decides what is to be done about an event; returns the commands in their order."""
        self._commands = []
        handler = self._handlers.get(type(event))
        if handler is not None:
            try:
                handler(now, event)
            except Exception:
                self._discard_request(getattr(event, "request_id", ""))
                raise
        return self._commands

    def _discard_request(self, request_id: str) -> None:
        """Drops a request lost to a fault: an attempt in flight for ever would distort what is known."""
        request = self.requests.pop(request_id, None)
        if request is not None:
            for path in request.in_flight_at_send:
                path.in_flight.pop(request_id, None)

    # Events

    def on_request(self, now: int, event: RequestReceived) -> None:
        """Serves a new request from a copy of the router's own, or sends it on its way."""
        request_class = self.request_classes[event.class_index]
        transfer_time = self._transfer_time(event, request_class)
        request = RequestState(event, request_class, now, transfer_time)
        self.requests[event.request_id] = request
        if event.is_client_retry:  # its client has waited before, and its first try counts
            request.target_at -= int(CLIENT_RETRY_TARGET_SHARE * request_class.definition.latency_target)
        request.recently_requested = self.recent_requests.record(request.key, now)
        if self._can_serve_local_copy(now, request):
            self._commands.append(ServeLocalCopy(request.id))
        else:
            self.route(now, request)

    def _transfer_time(self, event: RequestReceived, request_class: RequestClassState) -> int:
        """How long the transfer takes on an idle path: by its size, else as others of its class."""
        rate = self.deployment.transfer_rate
        if not event.size or not rate:
            return request_class.observed_transfer_time()
        transfer_time = int(event.size * TIME_UNITS_PER_SECOND / rate) + 1
        request_class.record_transfer_time(transfer_time)
        return transfer_time

    def _can_serve_local_copy(self, now: int, request: RequestState) -> bool:
        """Whether the local store has a copy that is young enough, and there is time to read it."""
        if self.local_store is None or not request.is_cacheable:
            return False
        age = self.local_store.lookup(now, request.received)
        if age < 0:
            return False
        freshness_lifetime = request.request_class.definition.freshness_lifetime
        max_age = self.purges.max_copy_age(now, request) or freshness_lifetime
        if max_age and age > max_age:
            return False
        round_trip = ROUND_TRIP_BATCHES * self.deployment.min_batch_interval
        return now + round_trip < request.client_deadline

    def on_local_copy(self, now: int, event: LocalCopyFinished) -> None:
        """Routes a request whose local copy could not be read in time: nothing but that time is lost."""
        request = self.requests.get(event.request_id)
        if request is None:
            return
        if event.served or request.client_disconnected:
            del self.requests[request.id]
        else:
            self.route(now, request)

    def on_response_started(self, now: int, event: ResponseStarted) -> None:
        """No attempt may follow one whose answer has begun."""
        request = self.requests.get(event.request_id)
        if request is not None:
            request.response_started = True

    def on_client_disconnected(self, now: int, event: ClientDisconnected) -> None:
        """Cancels the attempt in flight, which counts at its upstream until its result comes."""
        request = self.requests.get(event.request_id)
        if request is None or request.client_disconnected:
            return
        request.client_disconnected = True
        if self.deployment.cancellation_allowed:
            self._commands.append(CancelAttempt(request.id, request.attempt_count - 1))

    def on_shutdown(self, now: int, event: ShutdownStarted) -> None:
        """Shortens what open requests have left, as client timeouts may be longer than that."""
        deadline = now + event.time_remaining
        for request in self.requests.values():
            request.client_deadline = min(request.client_deadline, deadline)

    def on_discovery_failed(self, now: int, event: DiscoveryFailed) -> None:
        """Schedules another try to watch the endpoint list."""
        delay = max(1, self.deployment.discovery_poll_interval // WATCH_RETRIES_PER_POLL)
        self._commands.append(SetTimer(delay, WATCH_TIMER))

    def on_timer(self, now: int, event: TimerFired) -> None:
        """Watches the endpoint list again: there is no other timer."""
        self._commands.append(SetWatch(True))

    def on_instance_started(self, now: int, event: InstanceStarted) -> None:
        """Watches the endpoint list where it comes only to those that watch it."""
        if self.deployment.watch_required:
            self._commands.append(SetWatch(True))

    def on_attempt_finished(self, now: int, event: AttemptFinished) -> None:
        """Learns from an attempt's result, and routes its request on if that has no answer yet."""
        request = self.requests.get(event.request_id)
        if request is None or event.attempt_number != request.attempt_count - 1:
            return
        attempt = request.attempt
        if attempt is None or attempt.upstream.id != event.endpoint_id:
            return
        self.results.record_load_report(attempt.upstream, event.load_report)
        self.attempts.untrack(request, attempt)
        self.results.record_result(now, request, attempt, event)
        if event.result == DONE and self._should_store(now, request):
            self._commands.append(StoreLocalCopy(request.id))
        if event.request_closed or request.response_started or request.client_disconnected:
            del self.requests[request.id]
        else:
            self.route(now, request)

    def _should_store(self, now: int, request: RequestState) -> bool:
        if self.local_store is None or not request.is_cacheable:
            return False
        return self.local_store.should_store(now, request.received)

    # Routing

    def route(self, now: int, request: RequestState) -> None:
        """Sends the next attempt of a request, or gives its final answer where none can follow."""
        plan = self._plan_attempt(now, request) if self._may_attempt(now, request) else None
        if plan is None:
            self.finish_unserved(now, request)
        else:
            command = self.attempts.send(now, request, plan.upstream, plan.source, plan.rank)
            self._commands.append(command)

    def _may_attempt(self, now: int, request: RequestState) -> bool:
        """Whether the request has an attempt left, and the time for it."""
        deployment = self.deployment
        if request.attempt_count >= deployment.max_attempts:
            return False
        min_duration = max(request.transfer_time, ROUND_TRIP_BATCHES * deployment.min_batch_interval)
        return now + min_duration < request.client_deadline

    def _plan_attempt(self, now: int, request: RequestState) -> AttemptPlan | None:
        """The next untried cache, else the first one without keeping a copy, else past the caches."""
        selector = self.cache_selector
        checked = selector.check_with_side_effects(now, request, self.requests.values())
        source = self.fill_sources.select(now, request)
        first, untried = selector.select_cache(now, request, checked)
        if untried is not None and request.is_cacheable and len(request.tried) < MAX_CACHES_TRIED:
            rank = selector.admission_rank(now, request, untried)
            return AttemptPlan(untried, source if rank and source is not None else untried, rank)
        if source is not None:
            if first is not None:
                return AttemptPlan(first, source, NOT_STORED)
            if self.deployment.direct_to_source and may_retry_on(now, request, source):
                return AttemptPlan(source, source, NOT_STORED)
        last_resort = selector.select_last_resort(now, request)
        if last_resort is None or source is None:
            return None
        return AttemptPlan(last_resort, source, NOT_STORED)

    def finish_unserved(self, now: int, request: RequestState) -> None:
        """Gives a request that no upstream could serve its final answer."""
        del self.requests[request.id]
        self._commands.append(final_answer(now, request, self.deployment.max_retry_after))
