"""Classifies the errors of system calls: for each call and errno, what the program has to do.

This is the only place in the network code that knows an errno. `docs/system-calls.md` has the same table with
the test of each row. Sources: the Linux man pages accept(2), connect(2), socket(2), send(2), recv(2),
setsockopt(2), shutdown(2), epoll_ctl(2), ip(7), tcp(7).
"""

from __future__ import annotations

import errno
import random
from collections.abc import Iterable
from enum import Enum, auto

SHORTEST_PAUSE = (
    0.001  # seconds before a call that failed for want of a resource is made again, the first time
)
LONGEST_PAUSE = 0.02  # seconds between later ones: a client's cancellation has to be read within 0.1 s


class Call(Enum):
    """A system call of the network code."""

    SOCKET = auto()
    CONNECT = auto()  # also the error that getsockopt(SO_ERROR) tells of a connect in progress
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
    LISTEN = auto()  # bind and listen, at the start


class Remedy(Enum):
    """What to do about an error."""

    RETRY = auto()  # make the call again at once
    WAIT = auto()  # wait until the socket is ready
    PAUSE = auto()  # the system is short of something for a moment: make the call again after a pause
    DESCRIPTORS = auto()  # no file descriptor is left: make room, and try again after a pause
    SKIP = auto()  # what the call was for has gone, or does not matter: go on without it
    GONE = auto()  # the connection is broken
    REFUSED = auto()  # nobody listens at the peer's address
    RESET = auto()  # the peer reset the connection while it came up
    UNREACHABLE = auto()  # the peer can't be reached
    DONE = auto()  # the call has had its effect already
    BUG = auto()  # the program made a call that it must not make


Row = tuple[Call, Remedy, tuple[int, ...]]

_BUGS = (errno.EBADF, errno.EFAULT, errno.EINVAL, errno.ENOTSOCK)
_NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
_NO_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
_FILTERED = (errno.EPERM, errno.EACCES)  # a packet filter turned a packet away
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
_NETWORK_AWAY = (
    errno.ENETDOWN,
    errno.ENETUNREACH,
)  # ours; a connection that is broken says so at the next call

_ROWS: tuple[Row, ...] = (
    (Call.SOCKET, Remedy.DESCRIPTORS, _NO_DESCRIPTORS),
    (Call.SOCKET, Remedy.PAUSE, _NO_MEMORY),
    (Call.SOCKET, Remedy.RETRY, (errno.EINTR,)),
    (Call.SOCKET, Remedy.BUG, (errno.EACCES, errno.EAFNOSUPPORT, errno.EINVAL, errno.EPROTONOSUPPORT)),
    (Call.CONNECT, Remedy.DONE, (0, errno.EISCONN)),
    # an interrupted connect goes on by itself, says connect(2)
    (Call.CONNECT, Remedy.WAIT, (errno.EINPROGRESS, errno.EALREADY, errno.EINTR)),
    (Call.CONNECT, Remedy.REFUSED, (errno.ECONNREFUSED,)),
    (Call.CONNECT, Remedy.RESET, (errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED)),
    (Call.CONNECT, Remedy.UNREACHABLE, (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EHOSTDOWN)),
    # ports, routes, buffers and rules of this machine: no fault of the peer unless it lasts
    (Call.CONNECT, Remedy.PAUSE, (errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN)),
    (Call.CONNECT, Remedy.PAUSE, _NO_MEMORY + _NETWORK_AWAY + _FILTERED),
    (Call.CONNECT, Remedy.BUG, (*_BUGS, errno.EAFNOSUPPORT, errno.EPROTOTYPE)),
    (Call.ACCEPT, Remedy.WAIT, (errno.EAGAIN,)),
    (Call.ACCEPT, Remedy.RETRY, (errno.EINTR,)),
    (Call.ACCEPT, Remedy.DESCRIPTORS, _NO_DESCRIPTORS),
    (Call.ACCEPT, Remedy.PAUSE, _NO_MEMORY),
    # errors of the connection that was to be accepted, says accept(2): the next one may be well
    (Call.ACCEPT, Remedy.SKIP, (errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.EHOSTDOWN)),
    (Call.ACCEPT, Remedy.SKIP, (errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ETIMEDOUT)),
    (Call.ACCEPT, Remedy.SKIP, (errno.ECONNRESET, *_NETWORK_AWAY, *_FILTERED)),
    (Call.ACCEPT, Remedy.BUG, _BUGS),
    (Call.SEND, Remedy.WAIT, (errno.EAGAIN,)),
    (Call.SEND, Remedy.RETRY, (errno.EINTR,)),
    (Call.SEND, Remedy.PAUSE, _NO_MEMORY + _NETWORK_AWAY + _FILTERED),
    (Call.SEND, Remedy.GONE, _BROKEN),
    (Call.SEND, Remedy.BUG, (*_BUGS, errno.EDESTADDRREQ, errno.EISCONN, errno.EMSGSIZE, errno.EOPNOTSUPP)),
    (Call.RECEIVE, Remedy.WAIT, (errno.EAGAIN,)),
    (Call.RECEIVE, Remedy.RETRY, (errno.EINTR,)),
    (Call.RECEIVE, Remedy.PAUSE, _NO_MEMORY + _NETWORK_AWAY),
    (Call.RECEIVE, Remedy.GONE, _BROKEN),
    (Call.RECEIVE, Remedy.BUG, _BUGS),
    (Call.SET_OPTION, Remedy.RETRY, (errno.EINTR,)),
    (Call.SET_OPTION, Remedy.PAUSE, _NO_MEMORY),
    (Call.SET_OPTION, Remedy.SKIP, (errno.EINVAL, errno.ENOPROTOOPT, errno.EDOM, errno.EPERM)),
    (Call.SET_OPTION, Remedy.BUG, (errno.EBADF, errno.EFAULT, errno.ENOTSOCK)),
    (Call.GET_OPTION, Remedy.RETRY, (errno.EINTR,)),
    (Call.GET_OPTION, Remedy.PAUSE, _NO_MEMORY),
    (Call.GET_OPTION, Remedy.BUG, (*_BUGS, errno.ENOPROTOOPT)),
    (Call.SHUTDOWN, Remedy.RETRY, (errno.EINTR,)),
    (Call.SHUTDOWN, Remedy.PAUSE, _NO_MEMORY),
    (Call.SHUTDOWN, Remedy.GONE, _BROKEN),
    (Call.SHUTDOWN, Remedy.BUG, _BUGS),
    (Call.CLOSE, Remedy.SKIP, (errno.EINTR, errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.ECONNRESET)),
    (Call.CLOSE, Remedy.SKIP, _NO_MEMORY),
    (Call.CLOSE, Remedy.BUG, (errno.EBADF,)),
    # a socket that can't be watched is looked at again after a pause
    (Call.POLL, Remedy.PAUSE, (errno.ENOSPC, *_NO_MEMORY)),
    (Call.POLL, Remedy.BUG, (errno.EBADF, errno.EEXIST, errno.EINVAL, errno.ENOENT, errno.EPERM)),
    # datagrams may be lost, says the protocol
    (Call.SEND_DATAGRAM, Remedy.SKIP, (errno.EAGAIN, errno.EINTR, errno.EMSGSIZE)),
    (Call.SEND_DATAGRAM, Remedy.SKIP, _NO_MEMORY + _NETWORK_AWAY + _FILTERED + _BROKEN),
    (Call.SEND_DATAGRAM, Remedy.BUG, _BUGS),
    (Call.RECEIVE_DATAGRAM, Remedy.WAIT, (errno.EAGAIN,)),
    (Call.RECEIVE_DATAGRAM, Remedy.RETRY, (errno.EINTR,)),
    (Call.RECEIVE_DATAGRAM, Remedy.PAUSE, _NO_MEMORY + _NETWORK_AWAY + _BROKEN),
    (Call.RECEIVE_DATAGRAM, Remedy.BUG, _BUGS),
    # an address may be held for a moment by the program that this one follows
    (Call.LISTEN, Remedy.PAUSE, (errno.EADDRINUSE, *_NO_MEMORY)),
    (Call.LISTEN, Remedy.DESCRIPTORS, _NO_DESCRIPTORS),
    (Call.LISTEN, Remedy.RETRY, (errno.EINTR,)),
    (Call.LISTEN, Remedy.UNREACHABLE, (errno.EADDRNOTAVAIL, *_FILTERED)),
    (Call.LISTEN, Remedy.BUG, (*_BUGS, errno.EOPNOTSUPP, errno.EAFNOSUPPORT)),
)


def _table(rows: Iterable[Row]) -> dict[tuple[Call, int], Remedy]:
    table: dict[tuple[Call, int], Remedy] = {}
    for call, remedy, numbers in rows:
        for number in numbers:
            if table.setdefault((call, number), remedy) is not remedy:
                raise ValueError(f"{call.name} {errno.errorcode[number]} has two remedies")
    return table


REMEDIES = _table(_ROWS)
UNKNOWN = Remedy.PAUSE  # an error that no man page names may pass, and must not cost a request


def remedy_for(call: Call, error: int) -> Remedy:
    """What to do when a call ended with this errno; 0 stands for success."""
    return REMEDIES.get((call, error), UNKNOWN)


def name_of(error: int) -> str:
    """The errno's name, for the log."""
    return errno.errorcode.get(error, str(error))


def spread(pause: float) -> float:
    """A pause of half its length to all of it, by chance: many that wait for the same thing don't wake
    together.
    """
    return pause * (0.5 + random.random() / 2)


class Backoff:
    """The pauses between calls that fail one after another: doubling up to a bound, and spread."""

    __slots__ = ("pause",)

    def __init__(self) -> None:
        self.pause = SHORTEST_PAUSE

    def reset(self) -> None:
        """A call went well."""
        self.pause = SHORTEST_PAUSE

    def next(self) -> float:
        """Seconds to pause now."""
        pause = self.pause
        self.pause = min(LONGEST_PAUSE, 2 * pause)
        return spread(pause)
