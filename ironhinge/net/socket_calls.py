"""System calls on sockets: errors are returned as a `Remedy`, not raised as OSError.

Only polling errors that are bugs, and errors of opening a listener or a UDP socket, are raised. This module
keeps no state of a connection, and waits only in `readable` and `writable`.
"""

from __future__ import annotations

import socket
import sys
from collections.abc import Callable
from math import inf
from time import monotonic

import anyio

from ..config import Address
from .system_calls import MIN_PAUSE, Call, Remedy, error_name, remedy_for

LISTEN_BACKLOG = 1024  # connections that may wait to be accepted
# Values of the first byte of struct tcp_info, tcpi_state.
TCP_ESTABLISHED = 1
TCP_CLOSE_WAIT = 8  # the peer has ended its side
TCP_PEER_LEFT_STATES = (6, 7, 9, 11)  # the peer has ended its side after ours, or has reset the connection
TCP_LISTEN = 10  # the first byte of struct tcp_info, tcpi_state, of a listener
TCP_BACKLOG_LENGTH = slice(24, 28)  # of struct tcp_info: tcpi_unacked, which a listener uses for its backlog
TCP_LAST_DATA_RECEIVED = slice(52, 56)  # of struct tcp_info: tcpi_last_data_recv, in milliseconds
MAX_IMMEDIATE_RETRIES = 8  # calls in a row that may be interrupted before the caller has to pause

FailureCallback = Callable[[Call, str, Remedy], None]  # gets the call, the name of its errno, and the remedy
UNREPORTED = (Remedy.WAIT, Remedy.BROKEN)  # remedies of errors that occur in normal operation


class SocketCalls:
    """Makes system calls and maps their errors to remedies.

    Errors that do not occur in normal operation are also passed to `on_failure`.
    """

    def __init__(self, on_failure: FailureCallback):
        self._on_failure = on_failure
        # the system has reported a connection as established, so that other states are reported too
        self._reports_states = False

    def classify_failure(self, call: Call, error: int | None) -> Remedy:
        """Returns the remedy for an errno value; reports the error if it is unusual."""
        remedy = remedy_for(call, error or 0)
        if remedy not in UNREPORTED:
            self._on_failure(call, error_name(error or 0), remedy)
        return remedy

    def new_stream(self) -> tuple[socket.socket | None, Remedy]:
        """Creates a non-blocking TCP socket; or returns None and the remedy."""
        try:
            return _new_socket(socket.SOCK_STREAM), Remedy.DONE
        except OSError as error:
            return None, self.classify_failure(Call.SOCKET, error.errno)

    def accept(self, listener: socket.socket) -> tuple[socket.socket | None, Remedy]:
        """Accepts the next connection in the backlog; or returns None and the remedy."""
        for _ in range(MAX_IMMEDIATE_RETRIES):
            try:
                return listener.accept()[0], Remedy.DONE
            except OSError as error:
                remedy = self.classify_failure(Call.ACCEPT, error.errno)
            if remedy is not Remedy.RETRY:
                return None, remedy
        return None, Remedy.PAUSE

    def connect(self, sock: socket.socket, address: Address) -> Remedy:
        """Starts to connect; returns WAIT while that is in progress."""
        try:
            error = sock.connect_ex(address)
        except OSError as raised:
            error = raised.errno or 0
        return self._connect_error(error)

    def connect_result(self, sock: socket.socket) -> Remedy:
        """Returns the result of a connect that was in progress."""
        try:
            return self._connect_error(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        except OSError as error:
            remedy = self.classify_failure(Call.GET_OPTION, error.errno)
            return Remedy.PAUSE if remedy is Remedy.RETRY else remedy

    def _connect_error(self, error: int) -> Remedy:
        remedy = remedy_for(Call.CONNECT, error)
        if remedy in (Remedy.PAUSE, Remedy.BUG):
            self.classify_failure(Call.CONNECT, error)
        return remedy

    def send(self, sock: socket.socket, data: memoryview, send_deadline: float = inf) -> tuple[int, Remedy]:
        """Returns how many bytes the system accepted, and DONE or the remedy if it accepted none.

        Args:
            sock: The socket.
            data: The bytes to send.
            send_deadline: After this (monotonic seconds) nothing is sent; checked just before the call.
        """
        for _ in range(MAX_IMMEDIATE_RETRIES):
            send = sock.send
            if monotonic() > send_deadline:
                return 0, Remedy.LATE
            try:
                return send(data), Remedy.DONE
            except OSError as error:
                remedy = self.classify_failure(Call.SEND, error.errno)
            if remedy is not Remedy.RETRY:
                return 0, remedy
        return 0, Remedy.PAUSE

    def receive(self, sock: socket.socket, buffer: memoryview) -> tuple[int, Remedy]:
        """Returns how many bytes were read, and DONE or the remedy; 0 and DONE: the peer has closed."""
        for _ in range(MAX_IMMEDIATE_RETRIES):
            try:
                return sock.recv_into(buffer), Remedy.DONE
            except OSError as error:
                remedy = self.classify_failure(Call.RECEIVE, error.errno)
            if remedy is not Remedy.RETRY:
                return 0, remedy
        return 0, Remedy.PAUSE

    def peek(self, sock: socket.socket) -> tuple[bool, Remedy]:
        """Returns whether bytes have arrived and are unread; False and DONE: the peer has closed."""
        for _ in range(MAX_IMMEDIATE_RETRIES):
            try:
                return bool(sock.recv(1, socket.MSG_PEEK)), Remedy.DONE
            except OSError as error:
                remedy = self.classify_failure(Call.RECEIVE, error.errno)
            if remedy is not Remedy.RETRY:
                return False, remedy
        return False, Remedy.PAUSE

    def enable_no_delay(self, sock: socket.socket) -> bool:
        """Turns TCP_NODELAY on, so that small writes are not delayed; returns False to try again later."""
        for _ in range(MAX_IMMEDIATE_RETRIES):
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as error:
                remedy = self.classify_failure(Call.SET_OPTION, error.errno)
            else:
                return True
            if remedy is not Remedy.RETRY:
                return remedy is not Remedy.PAUSE
        return False

    def seconds_since_data(self, sock: socket.socket, default: float) -> float:
        """Returns the seconds since data last arrived or, if none has, since the connection was established.

        That is how the kernel sets tcpi_last_data_recv of tcp(7); `default` if it is unknown.
        """
        info = self._tcp_info(sock)
        if len(info) < TCP_LAST_DATA_RECEIVED.stop:
            return default
        return int.from_bytes(info[TCP_LAST_DATA_RECEIVED], sys.byteorder) / 1000

    def backlog_length(self, listener: socket.socket) -> int | None:
        """Returns how many connections wait to be accepted; None if it is unknown."""
        info = self._tcp_info(listener)
        if len(info) < TCP_BACKLOG_LENGTH.stop or info[0] != TCP_LISTEN:
            return None
        return int.from_bytes(info[TCP_BACKLOG_LENGTH], sys.byteorder)

    def is_closed_by_peer(self, sock: socket.socket) -> bool:
        """Returns whether the peer has closed or reset the connection, though data may be unread before that.

        False if the state of the connection is unknown.
        """
        state = self._tcp_info(sock, 1)[:1]
        if not state or state[0] == TCP_ESTABLISHED:
            self._reports_states = self._reports_states or bool(state)
            return False
        return state[0] == TCP_CLOSE_WAIT or (self._reports_states and state[0] in TCP_PEER_LEFT_STATES)

    def _tcp_info(self, sock: socket.socket, size: int = TCP_LAST_DATA_RECEIVED.stop) -> bytes:
        """Returns the start of struct tcp_info, by default up to the last field used; empty if unknown."""
        try:
            return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        except OSError as error:
            self.classify_failure(Call.GET_OPTION, error.errno)
            return b""

    def shut_down(self, sock: socket.socket, how: int) -> Remedy:
        """Ends one or both directions of a connection, like shutdown(2)."""
        for _ in range(MAX_IMMEDIATE_RETRIES):
            try:
                sock.shutdown(how)
            except OSError as error:
                remedy = self.classify_failure(Call.SHUTDOWN, error.errno)
            else:
                return Remedy.DONE
            if remedy is not Remedy.RETRY:
                return remedy
        return Remedy.PAUSE

    def close(self, sock: socket.socket) -> None:
        """Releases a descriptor; according to its man page, Linux does so even if it reports an error."""
        try:
            sock.close()
        except OSError as error:
            self.classify_failure(Call.CLOSE, error.errno)

    async def readable(self, sock: socket.socket) -> None:
        """Waits until a socket is ready to be read, or for a pause if it can't be polled."""
        try:
            await anyio.wait_readable(sock)
        except OSError as error:
            await self._pause_without_polling(error)

    async def writable(self, sock: socket.socket) -> None:
        """Waits until a socket is ready to be written, or for a pause if it can't be polled."""
        try:
            await anyio.wait_writable(sock)
        except OSError as error:
            await self._pause_without_polling(error)

    async def _pause_without_polling(self, error: OSError) -> None:
        if self.classify_failure(Call.POLL, error.errno) is Remedy.BUG:
            raise error
        await anyio.sleep(MIN_PAUSE)

    def send_datagram(self, sock: socket.socket, data: bytes, address: Address) -> bool:
        """Sends a datagram, which may be lost; returns False if the system did not accept it."""
        try:
            sock.sendto(data, address)
        except OSError as error:
            self.classify_failure(Call.SEND_DATAGRAM, error.errno)
            return False
        return True

    def receive_datagram(self, sock: socket.socket, max_bytes: int) -> tuple[bytes, Address | None, Remedy]:
        """Returns the next datagram, its sender, and DONE; or no data and the remedy."""
        try:
            data, sender = sock.recvfrom(max_bytes)
            return data, Address(*sender), Remedy.DONE
        except OSError as error:
            return b"", None, self.classify_failure(Call.RECEIVE_DATAGRAM, error.errno)


def _new_socket(kind: socket.SocketKind) -> socket.socket:
    sock = socket.socket(socket.AF_INET, kind)
    sock.setblocking(False)
    return sock


def listen(address: Address) -> socket.socket:
    """Opens a listening TCP socket.

    Raises:
        OSError: The address is not available.
    """
    sock = _new_socket(socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def open_datagram_socket(address: Address) -> socket.socket:
    """Opens a bound UDP socket.

    Raises:
        OSError: The address is not available.
    """
    sock = _new_socket(socket.SOCK_DGRAM)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
