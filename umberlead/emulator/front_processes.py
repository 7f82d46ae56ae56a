"""Processes of the fronts in a scenario on real sockets."""

import asyncio
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tomli_w

from umberlead.emulator.client_connections import ClientConnection
from umberlead.emulator.discovery_agent import Agent
from umberlead.emulator.plan import TABLES_BESIDE_SETTINGS, Plan, zones_table

EXIT_TIMEOUT_S = 15.0  # time for a front to exit after SIGTERM, before SIGKILL


@dataclass
class FrontProcess:
    """A front under test: its process, its discovery agent and its addresses."""

    number: int
    process: asyncio.subprocess.Process | None = None
    agent: Agent = field(default_factory=Agent)
    address: tuple[str, int] = ("", 0)
    admin_port: int = 0
    idle: list[ClientConnection] = field(default_factory=list)
    reader: asyncio.Task[None] | None = None

    @property
    def runs(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    @property
    def ended(self) -> bool:
        """Return whether the process was started and has exited."""
        return self.process is not None and self.process.returncode is not None

    async def start(self, python: str, root: Path, configuration: Path) -> None:
        """Start the program in the directory `root`."""
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
        """Send SIGTERM to the process."""
        assert self.process is not None
        self.process.terminate()

    async def end(self) -> int:
        """Wait for the process and return its exit code; kill it after `EXIT_TIMEOUT_S`."""
        assert self.process is not None
        try:
            return await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            return await self.process.wait()


def configuration_text(plan: Plan, number: int, discovery_port: int, collector: str) -> str:
    """Return the configuration file of the front of this number; `collector` is "" for none."""
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
