"""Follows the discovery service: applies the events that its connections deliver.

Events are numbered; those that were applied already are ignored. Each event is reported to the router, and
unsent attempts that it makes invalid are withdrawn. A reloaded configuration may know events that have not
arrived yet, for example while the service is down.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

from loguru import logger

from ..config import (
    CONFIG_KEYS,
    DirectorConfig,
    DiscoveryUpdate,
    EndpointListUpdate,
    EndpointRecord,
    PurgeUpdate,
)
from ..interface import Endpoint, EndpointState, EndpointsUpdated, Event, PurgeNotified
from .attempt_end import AttemptEnd
from .clock import MILLISECOND, SECOND, Clock
from .connection_manager import ConnectionManager
from .delivery_delay import KEEPALIVE_INTERVAL
from .discovery_connection import DiscoveryConnection
from .discovery_connections import DiscoveryConnections
from .discovery_progress import DiscoveryProgress
from .endpoint_addresses import EndpointAddresses
from .extensions import LocalCopyStore, TrafficAccount
from .open_request import Attempt
from .upstream import Upstream
from .upstream_pool import UpstreamPool

# fields that may change in a reloaded configuration without a warning; `seed` takes no effect
RELOADABLE_FIELDS = "seed", "known", "known_index", "discovery_address"
# Purges may be missing beyond this delay though they count as delivered, 7 s after they happened.
MAX_CURRENT_DELAY = 5 * SECOND


class ChangeOrigin(StrEnum):
    """Where a change of the endpoint list was learned from."""

    CONFIGURATION = "configuration"
    RELOAD = "reload"
    DISCOVERY = "discovery"


class PurgeIdentity(NamedTuple):
    """What a purge names: the same in a configuration and in the event, whatever index it has there."""

    object_id: int | None
    group: int
    unix_ms: int


def _identity(update: PurgeUpdate) -> PurgeIdentity:
    return PurgeIdentity(update.object_id, update.group, update.unix_ms)


def _set_state(upstream: Upstream, state: EndpointState, cause: str) -> None:
    if state is not upstream.state:
        logger.info("upstream_state_changed upstream={} state={} {}", upstream.id, state, cause)
    upstream.state = state


class DiscoveryListener(Protocol):
    """Receives the discovery events."""

    def report(self, event: Event) -> None:
        """Reports an event to the router."""

    def withdraw_unsent(self, is_affected: Callable[[Attempt], bool]) -> None:
        """Withdraws the affected attempts of which nothing has been written."""


class Discovery:
    """The progress through the events of the discovery service.

    Attributes:
        last_index: Index of the last event applied.
        connections: The connections to the service.
        progress: How far the events of the service have been followed.
        traffic_account: Records endpoint list updates, if this extension is in use.
        local_store: Records purges and the progress of discovery, if this extension is in use.
    """

    def __init__(
        self,
        config: DirectorConfig,
        manager: ConnectionManager,
        pool: UpstreamPool,
        clock: Clock,
        listener: DiscoveryListener,
    ):
        self.last_index = 0
        self.progress = DiscoveryProgress(clock)
        self.traffic_account: TrafficAccount | None = None
        self.local_store: LocalCopyStore | None = None
        self._config = config
        self.connections = DiscoveryConnections(
            self, manager, clock, lambda: self._config.discovery_address, self._update_currency
        )
        self._pool = pool
        self._clock = clock
        self._listener = listener
        self._addresses = EndpointAddresses(pool)
        self._reloaded_list_index = 0  # of the last event that the endpoint list of a reload includes
        self._reloaded_purges: set[PurgeIdentity] = set()  # those of a reload that have not arrived yet
        self._caught_up_at = clock.now()  # all events up to this instant have been received

    def set_caught_up(self, now: int) -> None:
        """Records that all events up to `now` have been received."""
        self._caught_up_at = now

    def on_discovery_connected(self, connection: DiscoveryConnection) -> None:
        """Records that a connection to the configured address was established."""
        self.connections.on_established()
        if self._config.discovery_address is not None:
            self.progress.on_connected(self._config.discovery_address, self.last_index)

    def on_discovery_closed(self, connection: DiscoveryConnection, end: AttemptEnd) -> None:
        """Handles the end of a connection."""
        self.connections.on_closed(connection, end)

    def on_discovery_bytes(self) -> None:
        """Records that bytes have arrived."""
        self.progress.on_bytes()

    def summary(self) -> str:
        """Returns how far the events of the service have been followed, as key=value fields."""
        now = self._clock.now()
        delay, last_end = self.connections.delay(now), self.connections.last_end
        delay_s = "unknown" if delay is None else f"{self._clock.seconds(delay):.1f}"
        received_at = max((each.last_received_at for each in self.connections.connections), default=now)
        return (
            f"{self.progress.summary(self.last_index)} discovery_delay_s={delay_s} "
            f"discovery_silent_s={self._clock.seconds(now - received_at):.1f} "
            f"discovery_open={len(self.connections.connections)} discovery_opened={self.connections.opened} "
            f"discovery_last_end={last_end.reason if last_end else 'none'}"
        )

    def apply_known(self) -> None:
        """Applies the endpoint list of the configuration, before any client is served."""
        for update in self._config.known:
            self._apply_event(update, ChangeOrigin.CONFIGURATION)
        self.last_index = max(self.last_index, self._config.known_index)

    def apply(self, update: DiscoveryUpdate) -> None:
        """Applies one event that has arrived, unless it was applied already."""
        self.progress.on_event()
        self._apply_event(update, ChangeOrigin.DISCOVERY)
        self._report_progress_to_store()

    def on_keepalive(self, connection: DiscoveryConnection) -> None:
        """Handles an empty frame: all that the service held when it wrote the frame has been received."""
        now = self._clock.now()
        if connection.is_proved:
            self.set_caught_up(max(self._caught_up_at, now - connection.delay.at(now)))
            self.progress.on_synced()
        self.connections.on_keepalive()
        self._update_currency()
        self._report_progress_to_store()

    def _update_currency(self) -> None:
        """Records whether all that the service holds has been applied, as far as its connections show it."""
        delay = self.connections.delay(self._clock.now())
        self.progress.set_current(delay is not None and delay <= MAX_CURRENT_DELAY, self.last_index, delay)

    def _report_progress_to_store(self) -> None:
        """Reports to the local store which purges have been received.

        Frames arrive in order, so that all those have been which were issued before the write of the latest
        frame, less the longest time between two frames.
        """
        delay = self.connections.delay(self._clock.now())
        if self.local_store is not None and delay is not None and self.progress.is_current:
            age = delay + KEEPALIVE_INTERVAL
            self.local_store.on_discovery_progress(self._clock.unix_ms() - age // MILLISECOND)

    def _apply_event(self, update: DiscoveryUpdate, origin: ChangeOrigin) -> None:
        if update.event_index <= self.last_index:
            return
        self.last_index = update.event_index
        if isinstance(update, PurgeUpdate):
            if _identity(update) in self._reloaded_purges:
                self._reloaded_purges.discard(_identity(update))
            else:
                self._apply_purge(update)
        elif update.event_index > self._reloaded_list_index:
            self._apply_list(update, origin)

    def _apply_reloaded(self, config: DirectorConfig) -> None:
        """Applies the known events of a reloaded configuration, if it knows some that have not arrived.

        The service is still asked for all events after the last one that arrived from it: the configuration
        may lack purges. Endpoint lists that its own list includes are ignored then, since they are older.
        """
        has_full_list = any(
            isinstance(update, EndpointListUpdate) and update.is_full for update in config.known
        )
        if config.known_index <= max(self.last_index, self._reloaded_list_index) or not has_full_list:
            return
        for update in config.known:
            if isinstance(update, EndpointListUpdate):
                self._apply_list(update, ChangeOrigin.RELOAD)
            elif update.event_index > self.last_index and _identity(update) not in self._reloaded_purges:
                self._reloaded_purges.add(_identity(update))
                self._apply_purge(update)
        self._reloaded_list_index = config.known_index
        logger.info("config_events_applied index={}", config.known_index)

    def _apply_list(self, update: EndpointListUpdate, origin: ChangeOrigin) -> None:
        update = self._addresses.resolve(update)
        event = EndpointsUpdated(update.is_full, self._apply_endpoints(update, origin))
        if self.traffic_account is not None:
            self.traffic_account.on_endpoints_updated(self._clock.now(), event)
        self._listener.report(event)
        self._listener.withdraw_unsent(Attempt.is_outdated)

    def _apply_purge(self, update: PurgeUpdate) -> None:
        object_id, group = update.object_id, update.group
        if self.local_store is not None:
            self.local_store.on_purge(object_id, group, update.unix_ms)
        self._clock.observe_event(update.unix_ms, self._caught_up_at)
        # It counts as new: its time stamp does not tell a late event from a step of the clock that it was
        # taken from, and a purge that is dated too early would be forgotten too early.
        self._listener.report(PurgeNotified(object_id, group, age=0))
        if object_id is None:
            self._listener.withdraw_unsent(lambda attempt: attempt.request.received.group == group)
        else:
            self._listener.withdraw_unsent(lambda attempt: attempt.request.received.object_id == object_id)

    def _apply_endpoints(self, update: EndpointListUpdate, origin: ChangeOrigin) -> tuple[Endpoint, ...]:
        cause = f"index={update.event_index} origin={origin}"
        endpoints = tuple(self._apply_record(record, cause) for record in update.records)
        listed = {endpoint.id for endpoint in endpoints}
        for upstream in self._pool.upstreams.values():
            if update.is_full and upstream.id not in listed:
                _set_state(upstream, EndpointState.REMOVED, cause)
            if upstream.state is EndpointState.REMOVED:
                upstream.retire()
        return endpoints

    def _apply_record(self, record: EndpointRecord, cause: str) -> Endpoint:
        endpoint, address, started_unix_ms = record
        upstream = self._pool.upstreams.get(endpoint.id)
        if upstream is None:
            upstream = self._pool.add(endpoint.id, address)
        elif upstream.address != address or upstream.is_restarted(started_unix_ms):
            upstream.retire()  # a new process replaced the one that these connections lead to
        upstream.address = address
        _set_state(upstream, endpoint.state, cause)
        self._record_start(upstream, started_unix_ms)
        return endpoint._replace(started_at=upstream.started_at if started_unix_ms else 0)

    def _record_start(self, upstream: Upstream, started_unix_ms: int) -> None:
        """Records a start, which counts from now, once: a repeated report is not another restart.

        Its time stamp does not tell a late report from a step of the clock that it was taken from, and an
        upstream whose start is dated too early would be taken for a warm one.
        """
        if upstream.is_restarted(started_unix_ms):
            self._clock.observe_start(started_unix_ms)
            upstream.record_start(started_unix_ms, self._clock.now())

    def catch_up(self, max_age: float) -> None:
        """Reads the events that have arrived, unless none older than `max_age` seconds can be unread."""
        self.connections.catch_up(max_age)

    async def follow(self) -> None:
        """Keeps the discovery service connected, also after a reload changes its address."""
        await self.connections.run()

    def apply_config(self, config: DirectorConfig) -> None:
        """Applies a reloaded configuration: its known events, and the address of the discovery service.

        A new connection continues after the last event that arrived. Changes of other fields need a restart
        and are logged.
        """
        for name in DirectorConfig._fields:
            if name not in RELOADABLE_FIELDS and getattr(config, name) != getattr(self._config, name):
                key = CONFIG_KEYS.get(name, name)
                logger.warning("config_change_needs_restart key={}", key)
        self._apply_reloaded(config)
        address = config.discovery_address
        if address == self._config.discovery_address:
            logger.info("config_reloaded discovery=unchanged")
            return
        if address is None:
            logger.info("config_reloaded discovery=none")
        else:
            logger.info("config_reloaded discovery={}:{}", *address)
        self._config = self._config._replace(discovery_address=address)
        self.connections.move()
