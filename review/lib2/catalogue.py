"""A service that the plug-ins of the cases ask; it may fall silent or end."""

import asyncio
import contextlib

from rig import HOST


class Catalogue:
    """The service: it answers each connection's question with one letter.

    Attributes:
        answers: cleared while it is silent: it accepts connections and answers none.
        port: where it listens.
    """

    def __init__(self) -> None:
        """Create a service that answers."""
        self.answers = asyncio.Event()
        self.answers.set()
        self.port = 0
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            if await reader.read(1):
                await self.answers.wait()
                writer.write(b"y")
        writer.close()

    async def stop(self) -> None:
        """Stop listening, and let the connections end."""
        if self._listener is not None:
            self._listener.close()
        self.answers.set()
        await asyncio.sleep(0.5)
