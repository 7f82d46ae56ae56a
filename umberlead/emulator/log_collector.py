"""The collector of fronts' log lines."""

import asyncio
import re
from typing import cast

from umberlead.emulator.scenario_driver import ScenarioDriver


class CollectorConnection(asyncio.Protocol):
    """Takes fronts' log lines, or for a while does not."""

    def __init__(self, play: ScenarioDriver) -> None:
        """Lines go to `play`."""
        self.play = play
        self.rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport, which may be paused."""
        self.transport = cast(asyncio.Transport, transport)
        self.play.collectors.append(self)

    def data_received(self, data: bytes) -> None:
        """Takes whole lines out of what came."""
        self.rest += data  # each line behind its count of octets (RFC 6587)
        while (count := re.match(rb"([0-9]{1,7}) ", self.rest)) is not None:
            end = count.end() + int(count[1])
            if len(self.rest) < end:
                return
            self.play.line(self.rest[count.end() : end].decode("utf-8", "replace"))
            self.rest = self.rest[end:]
