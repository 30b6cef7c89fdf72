"""The remedy for each error of a system call.

This is the only module of the network code that interprets errno values. `docs/system-calls.md` has the same
table with the test of each row. Sources: the Linux man pages accept(2), connect(2), socket(2), send(2),
recv(2), setsockopt(2), shutdown(2), epoll_ctl(2), ip(7), tcp(7).
"""

from __future__ import annotations

import errno
import random
from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

from .errors import RemedyTableError

MIN_PAUSE = 0.001  # seconds before a call that failed for lack of a resource is first repeated
MAX_PAUSE = 0.02  # seconds between later repeats; a client's cancellation has to be read within 0.1 s


class Call(Enum):
    """A system call of the network code."""

    SOCKET = auto()
    CONNECT = auto()  # also the result of a connect in progress, from getsockopt(SO_ERROR)
    ACCEPT = auto()
    SEND = auto()
    RECEIVE = auto()
    SET_OPTION = auto()
    GET_OPTION = auto()
    SHUTDOWN = auto()
    CLOSE = auto()
    POLL = auto()
    SEND_DATAGRAM = auto()
    RECEIVE_DATAGRAM = auto()
    LISTEN = auto()  # bind and listen, at start-up


class Remedy(Enum):
    """What the caller does about an error."""

    RETRY = auto()  # repeat the call at once
    WAIT = auto()  # the call would block or is in progress: wait until the socket is ready
    PAUSE = auto()  # the system is short of a resource for a moment: repeat the call after a pause
    DESCRIPTORS = auto()  # no file descriptor is left: free one before the call is made again
    SKIP = auto()  # the connection no longer exists, or the result does not matter: ignore the error
    BROKEN = auto()  # the connection is broken
    REFUSED = auto()  # nothing listens at the peer's address
    RESET = auto()  # the peer reset the connection while it was being established
    UNREACHABLE = auto()  # the peer can't be reached; for `LISTEN`: the address can't be listened on
    DONE = auto()  # nothing to do: the call succeeded, or an earlier call already had this effect
    BUG = auto()  # a programming error: the call was invalid
    LATE = auto()  # the call was not made, since its deadline had passed


class Rule(NamedTuple):
    """The remedy for some errors of a call."""

    call: Call
    remedy: Remedy
    errors: tuple[int, ...]


_BUGS = (errno.EBADF, errno.EFAULT, errno.EINVAL, errno.ENOTSOCK)
_NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
_NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
_FILTERED = (errno.EPERM, errno.EACCES)  # a packet filter rejected a packet
_BROKEN = (
    errno.ECONNRESET,
    errno.EPIPE,
    errno.ECONNABORTED,
    errno.ENOTCONN,
    errno.ESHUTDOWN,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.EHOSTDOWN,
    errno.ECONNREFUSED,
)
# This machine's network is down; if that has broken the connection, a later call reports so.
_NETWORK_DOWN = (errno.ENETDOWN, errno.ENETUNREACH)

_RULES: tuple[Rule, ...] = (
    Rule(Call.SOCKET, Remedy.DESCRIPTORS, _NO_DESCRIPTORS),
    Rule(Call.SOCKET, Remedy.PAUSE, _NO_MEMORY),
    Rule(Call.SOCKET, Remedy.RETRY, (errno.EINTR,)),
    Rule(Call.SOCKET, Remedy.BUG, (errno.EACCES, errno.EAFNOSUPPORT, errno.EINVAL, errno.EPROTONOSUPPORT)),
    Rule(Call.CONNECT, Remedy.DONE, (0, errno.EISCONN)),
    # connect(2): an interrupted connect continues in the background
    Rule(Call.CONNECT, Remedy.WAIT, (errno.EINPROGRESS, errno.EALREADY, errno.EINTR)),
    Rule(Call.CONNECT, Remedy.REFUSED, (errno.ECONNREFUSED,)),
    Rule(Call.CONNECT, Remedy.RESET, (errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED)),
    Rule(Call.CONNECT, Remedy.UNREACHABLE, (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EHOSTDOWN)),
    # ports, routes, buffers and packet filters of this machine: not the peer's fault, and usually brief
    Rule(Call.CONNECT, Remedy.PAUSE, (errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN)),
    Rule(Call.CONNECT, Remedy.PAUSE, _NO_MEMORY + _NETWORK_DOWN + _FILTERED),
    Rule(Call.CONNECT, Remedy.BUG, (*_BUGS, errno.EAFNOSUPPORT, errno.EPROTOTYPE)),
    Rule(Call.ACCEPT, Remedy.WAIT, (errno.EAGAIN,)),
    Rule(Call.ACCEPT, Remedy.RETRY, (errno.EINTR,)),
    Rule(Call.ACCEPT, Remedy.DESCRIPTORS, _NO_DESCRIPTORS),
    Rule(Call.ACCEPT, Remedy.PAUSE, _NO_MEMORY),
    # accept(2): errors of the connection that was to be accepted; the next one may have none
    Rule(Call.ACCEPT, Remedy.SKIP, (errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.EHOSTDOWN)),
    Rule(Call.ACCEPT, Remedy.SKIP, (errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ETIMEDOUT)),
    Rule(Call.ACCEPT, Remedy.SKIP, (errno.ECONNRESET, *_NETWORK_DOWN, *_FILTERED)),
    Rule(Call.ACCEPT, Remedy.BUG, _BUGS),
    Rule(Call.SEND, Remedy.WAIT, (errno.EAGAIN,)),
    Rule(Call.SEND, Remedy.RETRY, (errno.EINTR,)),
    Rule(Call.SEND, Remedy.PAUSE, _NO_MEMORY + _NETWORK_DOWN + _FILTERED),
    Rule(Call.SEND, Remedy.BROKEN, _BROKEN),
    Rule(
        Call.SEND, Remedy.BUG, (*_BUGS, errno.EDESTADDRREQ, errno.EISCONN, errno.EMSGSIZE, errno.EOPNOTSUPP)
    ),
    Rule(Call.RECEIVE, Remedy.WAIT, (errno.EAGAIN,)),
    Rule(Call.RECEIVE, Remedy.RETRY, (errno.EINTR,)),
    Rule(Call.RECEIVE, Remedy.PAUSE, _NO_MEMORY + _NETWORK_DOWN),
    Rule(Call.RECEIVE, Remedy.BROKEN, _BROKEN),
    Rule(Call.RECEIVE, Remedy.BUG, _BUGS),
    Rule(Call.SET_OPTION, Remedy.RETRY, (errno.EINTR,)),
    Rule(Call.SET_OPTION, Remedy.PAUSE, _NO_MEMORY),
    Rule(Call.SET_OPTION, Remedy.SKIP, (errno.EINVAL, errno.ENOPROTOOPT, errno.EDOM, errno.EPERM)),
    Rule(Call.SET_OPTION, Remedy.BUG, (errno.EBADF, errno.EFAULT, errno.ENOTSOCK)),
    Rule(Call.GET_OPTION, Remedy.RETRY, (errno.EINTR,)),
    Rule(Call.GET_OPTION, Remedy.PAUSE, _NO_MEMORY),
    Rule(Call.GET_OPTION, Remedy.BUG, (*_BUGS, errno.ENOPROTOOPT)),
    Rule(Call.SHUTDOWN, Remedy.RETRY, (errno.EINTR,)),
    Rule(Call.SHUTDOWN, Remedy.PAUSE, _NO_MEMORY),
    Rule(Call.SHUTDOWN, Remedy.BROKEN, _BROKEN),
    Rule(Call.SHUTDOWN, Remedy.BUG, _BUGS),
    Rule(Call.CLOSE, Remedy.SKIP, (errno.EINTR, errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.ECONNRESET)),
    Rule(Call.CLOSE, Remedy.SKIP, _NO_MEMORY),
    Rule(Call.CLOSE, Remedy.BUG, (errno.EBADF,)),
    # a socket that can't be polled is used again after a pause
    Rule(Call.POLL, Remedy.PAUSE, (errno.ENOSPC, *_NO_MEMORY)),
    Rule(Call.POLL, Remedy.BUG, (errno.EBADF, errno.EEXIST, errno.EINVAL, errno.ENOENT, errno.EPERM)),
    # the gossip protocol tolerates lost datagrams
    Rule(Call.SEND_DATAGRAM, Remedy.SKIP, (errno.EAGAIN, errno.EINTR, errno.EMSGSIZE)),
    Rule(Call.SEND_DATAGRAM, Remedy.SKIP, _NO_MEMORY + _NETWORK_DOWN + _FILTERED + _BROKEN),
    Rule(Call.SEND_DATAGRAM, Remedy.BUG, _BUGS),
    Rule(Call.RECEIVE_DATAGRAM, Remedy.WAIT, (errno.EAGAIN,)),
    Rule(Call.RECEIVE_DATAGRAM, Remedy.RETRY, (errno.EINTR,)),
    Rule(Call.RECEIVE_DATAGRAM, Remedy.PAUSE, _NO_MEMORY + _NETWORK_DOWN + _BROKEN),
    Rule(Call.RECEIVE_DATAGRAM, Remedy.BUG, _BUGS),
    # the address may be in use for a moment by the process that this one replaces
    Rule(Call.LISTEN, Remedy.PAUSE, (errno.EADDRINUSE, *_NO_MEMORY)),
    Rule(Call.LISTEN, Remedy.DESCRIPTORS, _NO_DESCRIPTORS),
    Rule(Call.LISTEN, Remedy.RETRY, (errno.EINTR,)),
    Rule(Call.LISTEN, Remedy.UNREACHABLE, (errno.EADDRNOTAVAIL, *_FILTERED)),
    Rule(Call.LISTEN, Remedy.BUG, (*_BUGS, errno.EOPNOTSUPP, errno.EAFNOSUPPORT)),
)


def make_remedy_table(rules: Iterable[Rule]) -> dict[tuple[Call, int], Remedy]:
    """Indexes rules by call and errno value.

    Raises:
        RemedyTableError: Two rules disagree.
    """
    table: dict[tuple[Call, int], Remedy] = {}
    for call, remedy, errors in rules:
        for error in errors:
            known = table.setdefault((call, error), remedy)
            if known is not remedy:
                raise RemedyTableError(
                    f"{call.name} {error_name(error)}: two remedies, {known.name} and {remedy.name}"
                )
    return table


def error_name(error: int) -> str:
    """Returns the symbolic name of an errno value, for the log."""
    return errno.errorcode.get(error, str(error))


REMEDIES = make_remedy_table(_RULES)
# An error that no man page lists may be transient, and must not fail a request.
UNKNOWN_ERROR_REMEDY = Remedy.PAUSE


def remedy_for(call: Call, error: int) -> Remedy:
    """Returns the remedy for a call that failed with this errno value; 0 means success."""
    return REMEDIES.get((call, error), UNKNOWN_ERROR_REMEDY)


def with_jitter(pause: float) -> float:
    """Adds jitter: returns a random value between half of `pause` and all of it, in the same unit.

    Tasks that wait for the same thing must not all wake at the same moment.
    """
    return pause * (0.5 + random.random() / 2)


class Backoff:
    """Pauses between repeats of a failing call: exponential up to a limit, with jitter.

    Attributes:
        pause: The next pause before jitter, in seconds.
    """

    __slots__ = ("pause",)

    def __init__(self) -> None:
        self.pause = MIN_PAUSE

    def reset(self) -> None:
        """Starts over, after a call that succeeded."""
        self.pause = MIN_PAUSE

    def next(self) -> float:
        """Returns the seconds to pause now, and doubles the next pause."""
        pause = self.pause
        self.pause = min(MAX_PAUSE, 2 * pause)
        return with_jitter(pause)
