"""What records of a run mean under the operators' rules: the audit's questions about single records."""

from __future__ import annotations

from .plan import GROUPS
from .records import DirectorIncarnation, Notification, NotificationKind, RequestRecord

# seconds
SLACK = 0.05  # every time limit is extended by 50 ms
MIN_KILL_DELAY = 0.7  # SIGKILL follows SIGTERM no sooner than the longest deadline (at most 3 s) plus 0.7 s


def start_time(request: RequestRecord) -> float:
    """Return when a request counts as sent."""
    return request.written_at if request.written_at is not None else request.started_at


def excused_by_kill(incarnation: DirectorIncarnation, arrived_at: float) -> bool:
    """Return whether SIGKILL excuses the director from answering a request that arrived at `arrived_at`.

    A kill without SIGTERM, or less than `MIN_KILL_DELAY` after it (without the longest deadline), excuses all
    unanswered requests. A later kill excuses only requests that arrived less than `SLACK` before it, or after
    it: clients go on sending on open connections until the kill.
    """
    if incarnation.killed_at is None:
        return False
    if (
        incarnation.terminated_at is None
        or incarnation.killed_at < incarnation.terminated_at + MIN_KILL_DELAY
    ):
        return True
    return arrived_at > incarnation.killed_at - SLACK


def is_purge_of(event: Notification, request: RequestRecord) -> bool:
    """Return whether an event notified the request's director process of a purge of the requested object."""
    connection = request.connection
    if (event.director, event.incarnation) != (connection.director, connection.incarnation):
        return False
    match event.kind:
        case NotificationKind.OBJECT_PURGED:
            return event.target == request.operation
        case NotificationKind.GROUP_PURGED:
            return event.target == str(int(request.operation, 16) % GROUPS)
        case _:
            return False
