"""A TCP proxy on loopback that delays bytes, forwards them in pieces, and delays the close of either side."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import NamedTuple

from .plan import NetworkPath
from .sockets import READ_BYTES

MAX_PIECES = 64  # limit per read, approximately: in large reads, pieces exceed `piece_bytes` to meet it


class _Chunk(NamedTuple):
    """The bytes of one read, or None for the end of the stream, and when to forward them."""

    due: float
    data: bytes | None


class Proxy:
    """Forwards connections from one port to another over a `NetworkPath`."""

    def __init__(self, listen_port: int, target_port: int, path: NetworkPath) -> None:
        """Create a proxy that does not listen yet."""
        self.listen_port = listen_port
        self.target_port = target_port
        self.path = path
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connection_numbers = itertools.count(1)

    async def start(self) -> int:
        """Start to listen and return the port.

        Raises:
            OSError: The port is taken.
        """
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.listen_port)
        return self.listen_port

    def stop(self) -> None:
        """Stop listening and abort all forwarded connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        number = next(self._connection_numbers)
        self.on_connected(number)

        def return_delay(count: int) -> float:
            """Return the delay of bytes for the client."""
            self.on_returned(count)
            return self.return_delay(number)

        async def forward() -> None:
            """Forward what the client writes."""
            try:
                await self._pump(reader, target_writer, lambda _: self.path.delay)
            finally:
                self.on_client_closed(number)

        pumps = [
            asyncio.ensure_future(forward()),
            asyncio.ensure_future(self._pump(target_reader, writer, return_delay)),
        ]
        self._tasks.update(pumps)
        try:
            await asyncio.gather(*pumps)
        except (OSError, asyncio.CancelledError):
            target_writer.transport.abort()
            writer.transport.abort()
        finally:
            self._tasks.difference_update(pumps)
            for pump in pumps:
                pump.cancel()
            target_writer.close()
            writer.close()

    def on_connected(self, number: int) -> None:
        """Note that a connection was established; connections are numbered from 1."""

    def on_client_closed(self, number: int) -> None:
        """Note that the client has closed its side, or that the connection has ended otherwise."""

    def on_returned(self, count: int) -> None:
        """Note that the server has written bytes."""

    def return_delay(self, number: int) -> float:
        """Return the seconds by which bytes for the client of connection `number` are delayed now."""
        return self.path.delay

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, delay: Callable[[int], float]
    ) -> None:
        """Forward each read after its delay, in order; reading goes on in the meantime."""
        queue: asyncio.Queue[_Chunk] = asyncio.Queue()
        loop = asyncio.get_running_loop()
        writing = asyncio.ensure_future(self._write_chunks(queue, writer))
        try:
            while data := await reader.read(READ_BYTES):
                queue.put_nowait(_Chunk(loop.time() + delay(len(data)), data))
            queue.put_nowait(_Chunk(loop.time() + delay(0) + self.path.end_delay, None))
            await writing
        finally:
            writing.cancel()

    async def _write_chunks(self, queue: asyncio.Queue[_Chunk], writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            chunk = await queue.get()
            await asyncio.sleep(max(0.0, chunk.due - loop.time()))
            if chunk.data is None:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            size = self._piece_size(len(chunk.data))
            for start in range(0, len(chunk.data), size):
                writer.write(chunk.data[start : start + size])
                await writer.drain()

    def _piece_size(self, length: int) -> int:
        if not self.path.piece_bytes:
            return length
        return max(self.path.piece_bytes, length // MAX_PIECES)
