"""The router: handles the events of one instance and returns the commands for its host.

A request is sent to the first eligible caches in the rendezvous order of its object, one attempt at a time.
The object's request rates at a cache determine whether the cache stores a copy and with which rank. A
rejected request moves on to the next cache. All fills of an object go through the same parent. docs/design.md
describes the design and its reasons.

The mechanisms have modules of their own: `outlier_detection`, `liveness`, `congestion`, `slow_start`,
`purges`, `retries` and `fill_source`. Two small ones are in this module: a request is sent directly to its
fill source if no cache is eligible and the deployment allows it, and copies are served from and stored in the
router's local store if one is configured.
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
    FailRequest,
    FillBudget,
    InstanceStarted,
    LocalCopyFinished,
    LocalStore,
    PurgeNotified,
    RejectRequest,
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
from .executed_requests import ExecutedRequests
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

MAX_CACHE_LOOKUPS = 2  # number of caches in which a request looks for a copy
CLIENT_RETRY_TARGET_SHARE = 0.5  # share of the latency target that a client retry is assumed to have used up
DEFAULT_CLIENT_TIMEOUT = 10_000  # ticks; used if the deployment has no request classes
TIME_UNITS_PER_SECOND = 10_000
WATCH_RETRIES_PER_POLL = 10  # a broken watch is retried this many times per poll interval
WATCH_TIMER = "watch"  # token of the only timer


class AttemptPlan(NamedTuple):
    """The next attempt of a request."""

    upstream: Upstream
    source: Upstream  # of a fill; the upstream itself: no fill
    rank: AdmissionRank


class Router:
    """Makes the routing decisions of one instance; its host calls `handle` for each event in order."""

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.local_store: LocalStore | None = None
        self.longest_client_timeout = max(
            [each.client_timeout for each in deployment.request_classes], default=DEFAULT_CLIENT_TIMEOUT
        )
        self.request_classes = [RequestClassState(each) for each in deployment.request_classes]
        self.requests: dict[str, RequestState] = {}
        self.executed_requests = ExecutedRequests(self.longest_client_timeout)
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
        """The operators' limit on the bytes of fills; None for no limit."""
        return self.fill_sources.fill_budget

    @fill_budget.setter
    def fill_budget(self, budget: FillBudget | None) -> None:
        """Sets the budget; None for no limit."""
        self.fill_sources.fill_budget = budget

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handles an event; returns the commands to execute, in order."""
        self._commands = []
        handler = self._handlers.get(type(event))
        if handler is not None:
            try:
                handler(now, event)
            except Exception:
                self._discard_request(now, getattr(event, "request_id", ""))
                raise
        return self._commands

    def _discard_request(self, now: int, request_id: str) -> None:
        """Discards a request whose event handler raised an exception.

        An attempt that stayed in flight forever would distort the state of its upstreams.
        """
        request = self.requests.get(request_id)
        if request is not None:
            self._close(now, request, may_have_run=request.attempt_count > 0)
            for path in request.in_flight_at_send:
                path.in_flight.pop(request_id, None)

    # Events

    def on_request(self, now: int, event: RequestReceived) -> None:
        """Serves a new request from the local store, or routes it."""
        request_class = self.request_classes[event.class_index]
        if not request_class.is_idempotent and not self._may_run(now, event.request_id):
            return
        transfer_time = self._transfer_time(event, request_class)
        request = RequestState(event, request_class, now, transfer_time)
        self.requests[event.request_id] = request
        if event.is_client_retry:  # counts the time that its client has waited already
            request.target_at -= int(CLIENT_RETRY_TARGET_SHARE * request_class.definition.latency_target)
        request.recently_requested = self.recent_requests.record(request.key, now)
        if self._can_serve_local_copy(now, request):
            self._commands.append(ServeLocalCopy(request.id))
        else:
            self.route(now, request)

    def _may_run(self, now: int, request_id: str) -> bool:
        """Returns whether a request that is not idempotent may run; answers it if it may not.

        It fails if one with its id may have run, since a rejection would invite the client to repeat it. It
        is rejected while no further id can be remembered.
        """
        if self.executed_requests.contains(now, request_id):
            self._commands.append(FailRequest(request_id))
            return False
        if self.executed_requests.is_full():
            self._commands.append(RejectRequest(request_id, self.deployment.max_retry_after))
            return False
        return True

    def _close(self, now: int, request: RequestState, may_have_run: bool) -> None:
        """Deletes a request that has ended, and remembers its id if it must not run again."""
        del self.requests[request.id]
        if may_have_run and not request.request_class.is_idempotent:
            self.executed_requests.add(now, request.id)

    def _transfer_time(self, event: RequestReceived, request_class: RequestClassState) -> int:
        """Returns the transfer time on an idle path: from the size, else the average of the class."""
        rate = self.deployment.transfer_rate
        if not event.size or not rate:
            return request_class.observed_transfer_time()
        transfer_time = int(event.size * TIME_UNITS_PER_SECOND / rate) + 1
        request_class.record_transfer_time(transfer_time)
        return transfer_time

    def _can_serve_local_copy(self, now: int, request: RequestState) -> bool:
        """Returns whether the local store has a recent enough copy and there is time to read it."""
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
        """Deletes a request that was served or whose client has disconnected; routes it otherwise."""
        request = self.requests.get(event.request_id)
        if request is None:
            return
        if event.served or request.client_disconnected:
            del self.requests[request.id]
        else:
            self.route(now, request)

    def on_response_started(self, now: int, event: ResponseStarted) -> None:
        """Records that the answer has started, so that no further attempt is made."""
        request = self.requests.get(event.request_id)
        if request is not None:
            request.response_started = True

    def on_client_disconnected(self, now: int, event: ClientDisconnected) -> None:
        """Cancels the attempt in flight if allowed; it remains in flight until its result is reported."""
        request = self.requests.get(event.request_id)
        if request is None or request.client_disconnected:
            return
        request.client_disconnected = True
        if self.deployment.cancellation_allowed:
            self._commands.append(CancelAttempt(request.id, request.attempt_count - 1))

    def on_shutdown(self, now: int, event: ShutdownStarted) -> None:
        """Limits the deadlines of open requests to that of the shutdown, which may be earlier."""
        deadline = now + event.time_remaining
        for request in self.requests.values():
            request.client_deadline = min(request.client_deadline, deadline)

    def on_discovery_failed(self, now: int, event: DiscoveryFailed) -> None:
        """Schedules a retry of the watch of the endpoint list."""
        delay = max(1, self.deployment.discovery_poll_interval // WATCH_RETRIES_PER_POLL)
        self._commands.append(SetTimer(delay, WATCH_TIMER))

    def on_timer(self, now: int, event: TimerFired) -> None:
        """Retries the watch of the endpoint list; no other timer is set."""
        self._commands.append(SetWatch(True))

    def on_instance_started(self, now: int, event: InstanceStarted) -> None:
        """Starts watching the endpoint list if it is sent only to routers that watch it."""
        if self.deployment.watch_required:
            self._commands.append(SetWatch(True))

    def on_attempt_finished(self, now: int, event: AttemptFinished) -> None:
        """Records the result of an attempt, and routes its request again if it is still unanswered."""
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
            self._close(now, request, event.result == DONE or request.possibly_run_attempt is not None)
        else:
            self.route(now, request)

    def _should_store(self, now: int, request: RequestState) -> bool:
        if self.local_store is None or not request.is_cacheable:
            return False
        return self.local_store.should_store(now, request.received)

    # Routing

    def route(self, now: int, request: RequestState) -> None:
        """Sends the next attempt of a request, or gives its final answer if no attempt is possible."""
        plan = self._plan_attempt(now, request) if self._may_attempt(now, request) else None
        if plan is None:
            self.finish_unserved(now, request)
        else:
            command = self.attempts.send(now, request, plan.upstream, plan.source, plan.rank)
            self._commands.append(command)

    def _may_attempt(self, now: int, request: RequestState) -> bool:
        """Returns whether the request has an attempt left and enough time for it."""
        deployment = self.deployment
        if request.attempt_count >= deployment.max_attempts:
            return False
        min_duration = max(request.transfer_time, ROUND_TRIP_BATCHES * deployment.min_batch_interval)
        return now + min_duration < request.client_deadline

    def _plan_attempt(self, now: int, request: RequestState) -> AttemptPlan | None:
        """Plans the next attempt: the first possible one in this order; None if none is possible.

        1. The first eligible cache that has not reported a miss, if the request is cacheable and fewer than
           `MAX_CACHE_LOOKUPS` caches have reported one; its admission rank says whether it stores a copy.
        2. With a fill source: the first eligible cache, without storing a copy.
        3. The fill source itself, if the deployment allows it and the request may be sent there.
        4. With a fill source: a cache with capacity, even if it is unhealthy.
        """
        selector = self.cache_selector
        checked = selector.check_with_side_effects(now, request, self.requests.values())
        source = self.fill_sources.select(now, request)
        first, untried = selector.select_cache(now, request, checked)
        if untried is not None and request.is_cacheable and len(request.misses) < MAX_CACHE_LOOKUPS:
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
        """Ends a request that no upstream could serve, with a rejection or a failure."""
        self._close(now, request, request.possibly_run_attempt is not None)
        self._commands.append(final_answer(now, request, self.deployment.max_retry_after))
