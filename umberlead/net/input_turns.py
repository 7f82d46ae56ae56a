"""Sharing of the event loop among connections with more input than one turn can handle."""

import asyncio
import itertools
from typing import Protocol

STEPS_PER_READ = 8  # steps that a connection may take at once after a read
STEPS_PER_TURN = 64  # of all waiting connections together


class WaitingConnection(Protocol):
    """A connection whose buffered input can be handled further."""

    def serve_input(self, max_steps: int) -> None:
        """Take up to `max_steps` steps: parse a piece of the input, or start a request."""


class InputTurns:
    """The connections that continue in one of the next turns of the event loop, round robin."""

    def __init__(self) -> None:
        """Start without connections."""
        self._waiting: dict[WaitingConnection, None] = {}
        self._is_scheduled = False

    def defer(self, connection: WaitingConnection) -> None:
        """Let a connection continue in a later turn, after the other connections' I/O."""
        self._waiting[connection] = None
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled = False
        batch = list(itertools.islice(self._waiting, STEPS_PER_TURN))
        max_steps = STEPS_PER_TURN // len(batch)
        for connection in batch:
            del self._waiting[connection]
            connection.serve_input(max_steps)
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)
