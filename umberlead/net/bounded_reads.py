"""Bounded reads: what one connection receives in one turn of the event loop, in bytes.

libuv reads a socket up to 32 times in a row as long as each read fills its buffer. A small buffer, and a
pause after a few full reads, let the other connections have their turn.
"""

import asyncio
from typing import cast

READ_BUFFER_BYTES = 16 * 1024
MAX_CONSECUTIVE_FULL_READS = 4  # after which a connection waits for the next turn of the event loop

# Shared by all connections: each read is copied out of it before the next one begins.
_READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))


class BoundedReadProtocol(asyncio.BufferedProtocol):
    """A protocol whose connection reads at most `READ_BUFFER_BYTES` at once, and little in one turn."""

    def __init__(self) -> None:
        """Create a protocol before its connection is established."""
        super().__init__()
        self._full_read_count = 0  # consecutive
        self._waits_for_turn = False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read, and pause reading after several full reads."""
        if nbytes < READ_BUFFER_BYTES:
            self._full_read_count = 0
        else:
            self._full_read_count += 1
        self.data_received(bytes(_READ_BUFFER[:nbytes]))
        if self._full_read_count >= MAX_CONSECUTIVE_FULL_READS:
            self._full_read_count = 0
            self._pause_for_a_turn()

    def data_received(self, data: bytes) -> None:
        """Handle what was read."""
        raise NotImplementedError

    def reading_transport(self) -> asyncio.BaseTransport | None:
        """Return the transport that is read from; None before the connection is established."""
        raise NotImplementedError

    def may_resume_reading(self) -> bool:
        """Return whether reading is not paused for another reason."""
        return True

    def _pause_for_a_turn(self) -> None:
        transport = cast(asyncio.Transport | None, self.reading_transport())
        if self._waits_for_turn or transport is None or transport.is_closing() or not transport.is_reading():
            return
        self._waits_for_turn = True
        transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._resume_after_turn)

    def _resume_after_turn(self) -> None:
        self._waits_for_turn = False
        transport = cast(asyncio.Transport | None, self.reading_transport())
        if transport is None or transport.is_closing() or transport.is_reading():
            return
        if self.may_resume_reading():
            transport.resume_reading()
