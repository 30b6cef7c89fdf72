"""Which endpoint has which address: one that is told at the address of another one replaces it.

A process that vanished keeps its open connections, so requests for its id would go on to it, while the new
process at its address is told as an endpoint of its own. Two endpoints can't both be at one address; the one
that is told later, or with a later start, is.
"""

from __future__ import annotations

from loguru import logger

from ..config import Address, EndpointListUpdate, EndpointRecord
from ..interface import EndpointState
from .upstream_pool import UpstreamPool


class EndpointAddresses:
    """The endpoint at each address, and those that were replaced there."""

    def __init__(self, pool: UpstreamPool):
        self._pool = pool
        self._ids: dict[Address, str] = {}  # of the endpoint that was told last at an address
        self._replaced: dict[str, EndpointRecord] = {}  # by id, the record of the endpoint that replaced it

    def resolve(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Returns the update with the removal of endpoints that it replaces, or that were replaced before.

        A complete list is taken as it is: nothing in it tells which of two endpoints is the later one.
        """
        if update.is_full:
            self._replaced.clear()
            self._ids = {record.address: record.endpoint.id for record in update.records}
            return update
        records: list[EndpointRecord] = []
        for record in update.records:
            records += self._resolve_record(record)
        return update._replace(records=tuple(records))

    def _resolve_record(self, record: EndpointRecord) -> tuple[EndpointRecord, ...]:
        endpoint_id = record.endpoint.id
        is_removed = record.endpoint.state is EndpointState.REMOVED
        if not is_removed and self._is_replaced(record):
            return (_removal(record, endpoint_id),)
        self._replaced.pop(endpoint_id, None)
        if is_removed:
            return (record,)
        holder_id = self._ids.get(record.address)
        self._ids[record.address] = endpoint_id
        holder = self._pool.upstreams.get(holder_id) if holder_id not in (None, endpoint_id) else None
        if holder is None or holder.state is EndpointState.REMOVED or holder.address != record.address:
            return (record,)
        logger.info("upstream_replaced upstream={} by={}", holder.id, endpoint_id)
        self._replaced[holder.id] = record
        return _removal(record, holder.id), record

    def _is_replaced(self, record: EndpointRecord) -> bool:
        """Returns whether the endpoint was replaced at this address, and has not been started again since."""
        replacement = self._replaced.get(record.endpoint.id)
        return (
            replacement is not None
            and replacement.address == record.address
            and record.started_unix_ms <= replacement.started_unix_ms
        )


def _removal(record: EndpointRecord, endpoint_id: str) -> EndpointRecord:
    """Returns the record by which an endpoint at the address of `record` is removed."""
    endpoint = record.endpoint._replace(id=endpoint_id, state=EndpointState.REMOVED)
    return EndpointRecord(endpoint, record.address, 0)
