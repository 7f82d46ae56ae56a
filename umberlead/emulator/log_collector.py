"""Emulated collector of the fronts' logs."""

import asyncio
import re
from typing import cast

from umberlead.emulator.scenario_driver import ScenarioDriver


class CollectorConnection(asyncio.Protocol):
    """A front's connection to the log collector; the driver can pause its reading."""

    def __init__(self, play: ScenarioDriver) -> None:
        """Pass received lines to `play`."""
        self.play = play
        self.rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, whose reading the driver can pause."""
        self.transport = cast(asyncio.Transport, transport)
        self.play.collectors.append(self)

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into lines."""
        self.rest += data  # octet counting of RFC 6587: each line follows its length
        while (count := re.match(rb"([0-9]{1,7}) ", self.rest)) is not None:
            end = count.end() + int(count[1])
            if len(self.rest) < end:
                return
            self.play.line(self.rest[count.end() : end].decode("utf-8", "replace"))
            self.rest = self.rest[end:]
