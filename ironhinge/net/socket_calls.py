"""Makes sockets, and makes their calls: each error of the system comes back as a remedy, never as an OSError.

It holds no connection's state and waits for nothing but a socket's readiness.
"""

from __future__ import annotations

import socket
import sys
from collections.abc import Callable

import anyio

from ..config import Address
from .system_calls import SHORTEST_PAUSE, Call, Remedy, name_of, remedy_for

BACKLOG = 1024  # connections that wait to be accepted
LAST_DATA_RECEIVED = slice(52, 56)  # of struct tcp_info: tcpi_last_data_recv, in milliseconds
AT_ONCE = 8  # times that an interrupted call is made again before it counts as short of something

Report = Callable[[Call, str, Remedy], None]  # hears of each error that is not ordinary
ORDINARY = (Remedy.WAIT, Remedy.GONE)  # remedies of errors that calm days bring as well


class SocketCalls:
    """Makes system calls and classifies their errors."""

    def __init__(self, report: Report):
        self._report = report

    def classify_failure(self, call: Call, error: int | None) -> Remedy:
        """The remedy for an errno; tells the report of it."""
        remedy = remedy_for(call, error or 0)
        if remedy not in ORDINARY:
            self._report(call, name_of(error or 0), remedy)
        return remedy

    def new_stream(self) -> tuple[socket.socket | None, Remedy]:
        """A TCP socket that does not block; or None and why not."""
        try:
            return _new_socket(socket.SOCK_STREAM), Remedy.DONE
        except OSError as error:
            return None, self.classify_failure(Call.SOCKET, error.errno)

    def accept(self, listener: socket.socket) -> tuple[socket.socket | None, Remedy]:
        """The next connection that waits; or None and why not."""
        for _ in range(AT_ONCE):
            try:
                return listener.accept()[0], Remedy.DONE
            except OSError as error:
                remedy = self.classify_failure(Call.ACCEPT, error.errno)
            if remedy is not Remedy.RETRY:
                return None, remedy
        return None, Remedy.PAUSE

    def connect(self, sock: socket.socket, address: Address) -> Remedy:
        """Begins to connect."""
        try:
            error = sock.connect_ex(address)
        except OSError as raised:
            error = raised.errno or 0
        return self._connect_error(error)

    def connected(self, sock: socket.socket) -> Remedy:
        """How a connect that was in progress ended."""
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

    def send(self, sock: socket.socket, data: memoryview) -> tuple[int, Remedy]:
        """How many bytes the system took; DONE, or why it took none."""
        for _ in range(AT_ONCE):
            try:
                return sock.send(data), Remedy.DONE
            except OSError as error:
                remedy = self.classify_failure(Call.SEND, error.errno)
            if remedy is not Remedy.RETRY:
                return 0, remedy
        return 0, Remedy.PAUSE

    def receive(self, sock: socket.socket, room: memoryview) -> tuple[int, Remedy]:
        """How many bytes came, 0 for the peer's end; DONE, or why none could be read."""
        for _ in range(AT_ONCE):
            try:
                return sock.recv_into(room), Remedy.DONE
            except OSError as error:
                remedy = self.classify_failure(Call.RECEIVE, error.errno)
            if remedy is not Remedy.RETRY:
                return 0, remedy
        return 0, Remedy.PAUSE

    def peek(self, sock: socket.socket) -> tuple[bool, Remedy]:
        """Whether bytes are there that were not read yet; DONE with none means the peer's end."""
        for _ in range(AT_ONCE):
            try:
                return bool(sock.recv(1, socket.MSG_PEEK)), Remedy.DONE
            except OSError as error:
                remedy = self.classify_failure(Call.RECEIVE, error.errno)
            if remedy is not Remedy.RETRY:
                return False, remedy
        return False, Remedy.PAUSE

    def enable_no_delay(self, sock: socket.socket) -> bool:
        """Turns TCP_NODELAY on, so that the system holds back no small write; False: try again later."""
        for _ in range(AT_ONCE):
            try:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                return True
            except OSError as error:
                remedy = self.classify_failure(Call.SET_OPTION, error.errno)
            if remedy is not Remedy.RETRY:
                return remedy is not Remedy.PAUSE
        return False

    def seconds_since_data(self, sock: socket.socket, unknown: float) -> float:
        """Seconds since bytes last came on a connection, as tcp(7) tells them; `unknown` where it does
        not.
        """
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.stop)
        except OSError as error:
            self.classify_failure(Call.GET_OPTION, error.errno)
            return unknown
        if len(info) < LAST_DATA_RECEIVED.stop:
            return unknown
        return int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder) / 1000

    def shut_down(self, sock: socket.socket, how: int) -> Remedy:
        """Ends one or both sides of a connection."""
        for _ in range(AT_ONCE):
            try:
                sock.shutdown(how)
                return Remedy.DONE
            except OSError as error:
                remedy = self.classify_failure(Call.SHUTDOWN, error.errno)
            if remedy is not Remedy.RETRY:
                return remedy
        return Remedy.PAUSE

    def close(self, sock: socket.socket) -> None:
        """Gives a descriptor back; Linux does so also where it tells an error, says close(2)."""
        try:
            sock.close()
        except OSError as error:
            self.classify_failure(Call.CLOSE, error.errno)

    async def readable(self, sock: socket.socket) -> None:
        """Waits until a socket can be read, or for a pause where it can't be watched."""
        try:
            await anyio.wait_readable(sock)
        except OSError as error:
            await self._pause_unwatched(error)

    async def writable(self, sock: socket.socket) -> None:
        """Waits until a socket can be written, or for a pause where it can't be watched."""
        try:
            await anyio.wait_writable(sock)
        except OSError as error:
            await self._pause_unwatched(error)

    async def _pause_unwatched(self, error: OSError) -> None:
        if self.classify_failure(Call.POLL, error.errno) is Remedy.BUG:
            raise error
        await anyio.sleep(SHORTEST_PAUSE)

    def send_datagram(self, sock: socket.socket, data: bytes, address: Address) -> bool:
        """Sends a datagram, which may be lost; False if the system did not take it."""
        try:
            sock.sendto(data, address)
            return True
        except OSError as error:
            self.classify_failure(Call.SEND_DATAGRAM, error.errno)
            return False

    def receive_datagram(self, sock: socket.socket, most: int) -> tuple[bytes, Address | None, Remedy]:
        """The next datagram and its sender; or why there is none."""
        try:
            data, sender = sock.recvfrom(most)
            return data, Address(*sender), Remedy.DONE
        except OSError as error:
            return b"", None, self.classify_failure(Call.RECEIVE_DATAGRAM, error.errno)


def _new_socket(kind: socket.SocketKind) -> socket.socket:
    sock = socket.socket(socket.AF_INET, kind)
    sock.setblocking(False)
    return sock


def listen(address: Address) -> socket.socket:
    """A listener; OSError where the address can't be had."""
    sock = _new_socket(socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def datagrams(address: Address) -> socket.socket:
    """A socket for datagrams; OSError where the address can't be had."""
    sock = _new_socket(socket.SOCK_DGRAM)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
