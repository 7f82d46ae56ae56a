"""What connections of a scenario on sockets need of its driver."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from umberlead.emulator.node import Node
from umberlead.emulator.plan import Plan
from umberlead.emulator.world import ScenarioState
from umberlead.load_generator.clients import Try


class ScenarioDriver(Protocol):
    """Plays a scenario on real sockets; times are whole microseconds from the scenario's begin.

    Attributes:
        plan: what is played.
        state: the emulated servers and what is recorded.
        links: fronts' connections to servers, by server.
        collectors: connections that fronts write their log to.
        faults: what went wrong, for the report.
        dials: connections made to servers, by second.
    """

    plan: Plan
    state: ScenarioState
    links: dict[str, set[Any]]
    collectors: list[Any]
    faults: list[str]
    dials: Counter[int]

    def now(self) -> int:
        """Return the time."""

    def after(self, wait: int, what: Callable[[], Any]) -> None:
        """Call `what` after a while."""

    def cut(self, front: int, node: Node) -> bool:
        """Tell whether a front is partitioned from a server."""

    def arm(self, node: Node) -> None:
        """Set the timer of a server's next step."""

    def fall(self, node: Node) -> None:
        """End a server that was overloaded."""

    def once_more(self, of: Try, words: Callable[[], bytes]) -> None:
        """Send a request once more on a new connection."""

    def answered(self, of: Try, kind: str, body: str) -> None:
        """Take note of a request's answer."""

    def broke(self, of: Try) -> None:
        """Take note that a request's connection broke."""

    def line(self, text: str) -> None:
        """Take a line of a front's log."""


class ConnectedFront(Protocol):
    """What a client's connection needs of its front.

    Attributes:
        idle: connections to it that wait for a request.
    """

    idle: list[Any]
