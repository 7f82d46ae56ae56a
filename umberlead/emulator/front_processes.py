"""The fronts of a scenario on real sockets, each a process."""

import asyncio
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tomli_w

from umberlead.emulator.client_connections import ClientConnection
from umberlead.emulator.discovery_agent import Agent
from umberlead.emulator.plan import TABLES_BESIDE_SETTINGS, Plan, zones_table

EXIT_TIMEOUT_S = 15.0  # s for a front to end after SIGTERM


@dataclass
class FrontProcess:
    """A front under test: its process, its agent and where it listens."""

    number: int
    process: asyncio.subprocess.Process | None = None
    agent: Agent = field(default_factory=Agent)
    address: tuple[str, int] = ("", 0)
    admin_port: int = 0
    idle: list[ClientConnection] = field(default_factory=list)
    reader: asyncio.Task[None] | None = None

    @property
    def runs(self) -> bool:
        """It was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    @property
    def ended(self) -> bool:
        """It was started and has ended."""
        return self.process is not None and self.process.returncode is not None

    async def start(self, python: str, root: Path, configuration: Path) -> None:
        """Starts the front's program as it lies under `root`."""
        self.process = await asyncio.create_subprocess_exec(
            python,
            "-B",
            "-m",
            "umberlead",
            cwd=root,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"UMBERLEAD_CONFIG": str(configuration)},
        )

    def terminate(self) -> None:
        """Asks it to end."""
        assert self.process is not None
        self.process.terminate()

    async def end(self) -> int:
        """Its exit code, with patience for its end."""
        assert self.process is not None
        try:
            return await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            return await self.process.wait()


def configuration_text(plan: Plan, number: int, discovery_port: int, collector: str) -> str:
    """The configuration file of the front of this number; `collector` may be empty."""
    conf: dict[str, Any] = {
        "name": f"f{number}",
        "listen": "127.0.0.1:0",
        "management": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": f"{plan.seed * 1000 + number:x}",
        "log": {"level": "info"} | ({"collector": collector} if collector else {}),
        "settings": {k: v for k, v in plan.front_settings.items() if k not in TABLES_BESIDE_SETTINGS},
    }
    if "rooms" in plan.front_settings:
        conf["rooms"] = zones_table(plan, number)
    return tomli_w.dumps(conf)
