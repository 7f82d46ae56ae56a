"""The parts of a soak run's fleet: chunk servers with their proxies, and fronts with their processes."""

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

from umberlead.testing.soak.fleet import Child, FrontProcess
from umberlead.testing.soak.lists import Agent, Entry


@dataclass(slots=True)
class Server:
    """A chunk server of the run, and the proxy before it."""

    slot: int
    name: str
    incarnation: int
    address: str
    shown_address: str
    node: Child
    proxy: Child

    @property
    def record_name(self) -> str:
        """The name under which its records stand: another one after each start."""
        return f"{self.name}#{self.incarnation}"


@dataclass(slots=True)
class Front:
    """A front of the run: its processes, and its agent."""

    name: str
    number: int
    agent: Agent
    folder: Path
    processes: list[FrontProcess] = field(default_factory=list)
    past: list[FrontProcess] = field(default_factory=list)
    moved: bool = False  # lists come from the other address

    def live(self) -> list[FrontProcess]:
        """Return its processes that run and were not told to end."""
        return [p for p in self.processes if not p.ends and p.process.returncode is None]


class Fleet(Protocol):
    """What faults need of a run.

    Attributes:
        fronts: by their numbers.
        servers: those in service, by their slots.
        incarnations: starts so far, by server name and by slot.
    """

    fronts: list[Front]
    servers: dict[int, Server]
    incarnations: Counter[str]

    def note(self, what: str, who: str, at: float | None = None, value: float = 0.0) -> None:
        """Write an event down, at that monotonic time in seconds or now."""

    def entry(self, server: Server, status: str = "ready", cold: bool = False) -> Entry:
        """Return a server as lists tell of it."""

    def configure(self, front: Front) -> None:
        """Write a front's configuration anew."""

    def step_clock(self, step_ns: int) -> None:
        """Step the wall clock of all machines."""

    async def start_server(self, slot: int, name: str, cold: bool) -> Server:
        """Start a chunk server and its proxy."""

    async def launch_process(self, front: Front) -> FrontProcess:
        """Start a process of a front; it is not ready yet."""

    async def start_process(self, front: Front) -> FrontProcess:
        """Start a process of a front, and wait until it is ready."""

    async def end_process(self, front: Front, process: FrontProcess) -> None:
        """Tell a process to end, and see that it does."""

    async def crowd(self, front: Front, seconds: float) -> None:
        """Let idle clients fill a front for so long."""

    async def kill_process(self, front: Front, process: FrontProcess) -> None:
        """Kill a process."""
