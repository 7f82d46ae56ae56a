"""Interfaces between the connections of a scenario on sockets and its driver."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from umberlead.emulator.node import Node
from umberlead.emulator.plan import Plan
from umberlead.emulator.world import ScenarioState
from umberlead.load_generator.clients import Try


class ScenarioDriver(Protocol):
    """Plays a scenario on real sockets; times are whole microseconds from the scenario's start.

    Attributes:
        plan: the plan that is played.
        state: the emulated servers, the clients and the records.
        links: fronts' connections to servers, by server.
        collectors: connections to which fronts write their log.
        faults: unexpected events, for the report.
        dials: number of connections to servers, by second.
    """

    plan: Plan
    state: ScenarioState
    links: dict[str, set[Any]]
    collectors: list[Any]
    faults: list[str]
    dials: Counter[int]

    def now(self) -> int:
        """Return the current time."""

    def after(self, wait: int, what: Callable[[], Any]) -> None:
        """Schedule a call of `what` after `wait` microseconds."""

    def cut(self, front: int, node: Node) -> bool:
        """Return whether a front is partitioned from a server."""

    def arm(self, node: Node) -> None:
        """Set the timer for the next request that a server finishes."""

    def fall(self, node: Node) -> None:
        """End a server that is overloaded."""

    def once_more(self, of: Try, build_request: Callable[[], bytes]) -> None:
        """Send a request again on a new connection."""

    def answered(self, of: Try, kind: str, body: str) -> None:
        """Record the answer to a request."""

    def broke(self, of: Try) -> None:
        """Record that a request's connection closed without an answer."""

    def line(self, text: str) -> None:
        """Process a line of a front's log."""


class ConnectedFront(Protocol):
    """The part of a front that a client's connection uses.

    Attributes:
        idle: idle client connections to the front.
    """

    idle: list[Any]
