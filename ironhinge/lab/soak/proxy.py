"""A TCP proxy on loopback: holds bytes back, passes them on in pieces, and holds back the end of a side."""

from __future__ import annotations

import asyncio

from .plan import Path

MOST_PIECES = 64  # of one read; a longer one is passed on in so many


class Proxy:
    """Passes connections on to a port."""

    def __init__(self, listen: int, port: int, path: Path):
        self.listen, self.port, self.path = listen, port, path
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> int:
        """Listens; the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.listen)
        return self.listen

    def stop(self) -> None:
        """Ends it and what it carries."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            writer.transport.abort()
            return
        pumps = [asyncio.ensure_future(self._pump(*ends)) for ends in ((reader, back), (there, writer))]
        self.tasks.update(pumps)
        try:
            await asyncio.gather(*pumps)
        except (OSError, asyncio.CancelledError):
            back.transport.abort()
            writer.transport.abort()
        finally:
            self.tasks.difference_update(pumps)
            for pump in pumps:
                pump.cancel()
            back.close()
            writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Each read is passed on `delay` later, in order, also where reads overlap in time."""
        queue: asyncio.Queue = asyncio.Queue()
        loop = asyncio.get_running_loop()

        async def write() -> None:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0.0, due - loop.time()))
                if data is None:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                piece = max(self.path.piece, len(data) // MOST_PIECES) if self.path.piece else len(data)
                for at in range(0, len(data), piece):
                    writer.write(data[at : at + piece])
                    await writer.drain()

        writing = asyncio.ensure_future(write())
        try:
            while data := await reader.read(65536):
                queue.put_nowait((loop.time() + self.path.delay, data))
            queue.put_nowait((loop.time() + self.path.delay + self.path.hold_end, None))
            await writing
        finally:
            writing.cancel()
