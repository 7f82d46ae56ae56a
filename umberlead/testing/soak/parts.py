"""The parts of a soak run's fleet: chunk servers with their proxies, and fronts with their processes."""

from dataclasses import dataclass, field
from pathlib import Path

from umberlead.testing.soak.fleet import Child, FrontProcess
from umberlead.testing.soak.lists import Agent


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
    managed_by_other: bool = False  # the newest process is called at the other address

    def live(self) -> list[FrontProcess]:
        """Return its processes that run and were not told to end."""
        return [p for p in self.processes if not p.ends and p.process.returncode is None]
