"""A readable history of one request, from the records of a run."""

from __future__ import annotations

from .records import ConnectionRecord, Records, RequestRecord

READ_CLASSES = ("read", "part")  # many requests read the same object, so executions cannot be matched to one

Entry = tuple[float, str]  # time and description


def timeline(trace: str, records: Records) -> list[str]:
    """Return the events of a request, its connection and its director process, one per line, in order."""
    request = next((each for each in records.requests if each.trace == trace), None)
    if request is None:
        return []
    entries = _client_entries(request) + _node_entries(request, records)
    entries += _director_entries(request.connection, records)
    return [f"{at - request.started_at:+9.3f} s  {text}" for at, text in sorted(entries)]


def _client_entries(request: RequestRecord) -> list[Entry]:
    connection = request.connection
    entries: list[Entry] = [
        (request.started_at, f"started: class {request.class_name}, timeout {request.client_timeout:.3f} s")
    ]
    for at, text in (
        (connection.opened_at, f"connection {connection.number} opened to director {connection.director}"),
        (connection.goaway_at, "GOAWAY received"),
        (connection.ended_at, f"connection ended: {connection.ending}"),
        (request.written_at, "written completely"),
        (request.cancelled_at, "cancelled by the client"),
    ):
        if at is not None:
            entries.append((at, text))
    entries += [(answer.at, f"answered with {answer.code}") for answer in request.answers]
    return entries


def _node_entries(request: RequestRecord, records: Records) -> list[Entry]:
    entries = [
        (arrival.at, f"attempt at {arrival.node}: {arrival.fields}")
        for arrival in records.arrivals
        if arrival.trace == request.trace
    ]
    if request.class_name not in READ_CLASSES:
        entries += [
            (execution.at, f"executed at {execution.node}")
            for execution in records.executions
            if execution.operation == request.operation
        ]
    return entries


def _director_entries(connection: ConnectionRecord, records: Records) -> list[Entry]:
    entries: list[Entry] = []
    for incarnation in records.incarnations:
        if (incarnation.director, incarnation.number) != (connection.director, connection.incarnation):
            continue
        for at, text in (
            (incarnation.terminated_at, "SIGTERM"),
            (incarnation.killed_at, "SIGKILL"),
            (incarnation.exited_at, "exit"),
        ):
            if at is not None:
                entries.append((at, f"director: {text}"))
        for begin, end in incarnation.pauses:
            entries.append((begin, f"director stopped for {end - begin:.3f} s"))
        for at, wait in incarnation.cpu_waits:
            entries.append((at, f"director had waited {wait:.3f} s for a processor"))
    return entries
