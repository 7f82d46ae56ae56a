"""Components of the fleet of a soak run: chunk servers with proxies, and fronts with their processes."""

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

from umberlead.testing.soak.fleet import Child, FrontProcess
from umberlead.testing.soak.lists import Agent, Entry
from umberlead.testing.soak.load_clients import LoadKind


@dataclass(slots=True)
class Server:
    """A chunk server of the run, and the proxy in front of it."""

    slot: int
    name: str
    incarnation: int
    address: str
    proxy_address: str
    node: Child
    proxy: Child

    @property
    def record_name(self) -> str:
        """The name of the server in records; it differs after each start."""
        return f"{self.name}#{self.incarnation}"


@dataclass(slots=True)
class Front:
    """A front of the run: its processes and its discovery agent."""

    name: str
    number: int
    agent: Agent
    folder: Path
    processes: list[FrontProcess] = field(default_factory=list)
    ended_processes: list[FrontProcess] = field(default_factory=list)
    uses_other_lists_port: bool = False  # it reads endpoint lists from the second address

    def live(self) -> list[FrontProcess]:
        """Return its running processes that have not been stopped."""
        return [p for p in self.processes if not p.ends and p.process.returncode is None]


class Fleet(Protocol):
    """The interface of a run that the injection of faults uses.

    Attributes:
        fronts: all fronts, indexed by number.
        servers: chunk servers in service, by slot.
        incarnations: number of starts so far, by server name and by slot.
    """

    fronts: list[Front]
    servers: dict[int, Server]
    incarnations: Counter[str]

    def record_event(self, what: str, who: str, at: float | None = None, value: float = 0.0) -> None:
        """Record an event at `at`, a monotonic time in seconds, or now."""

    def entry(self, server: Server, status: str = "ready", cold: bool = False) -> Entry:
        """Return the list entry of a server."""

    def configure(self, front: Front) -> None:
        """Rewrite the configuration file of a front."""

    def step_clock(self, step_ns: int) -> None:
        """Step the wall clock of all machines."""

    async def start_server(self, slot: int, name: str, cold: bool) -> Server:
        """Start a chunk server and its proxy."""

    async def launch_process(self, front: Front) -> FrontProcess:
        """Start a process of a front; return before it is ready."""

    async def start_process(self, front: Front) -> FrontProcess:
        """Start a process of a front, and wait until it is ready."""

    async def end_process(self, front: Front, process: FrontProcess) -> None:
        """Stop a process with SIGTERM, and check that it exits."""

    async def crowd(self, front: Front, seconds: float) -> None:
        """Open idle clients that use up the descriptors of a front, for `seconds`."""

    async def load(self, front: Front, kind: LoadKind, seconds: float) -> None:
        """Occupy a front with clients of one kind, for `seconds`."""

    async def kill_process(self, front: Front, process: FrontProcess) -> None:
        """Send SIGKILL to a process."""
