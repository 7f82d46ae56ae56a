"""The interface of the connection pool that connections to endpoints use."""

from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.configuration import Address
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.send_guard import Denial
from umberlead.requests.types import Attempt

ConnectionT = TypeVar("ConnectionT", contravariant=True)


class ConnectionPool(Protocol[ConnectionT]):
    """The part of the pool that a connection uses; `endpoint_pool.EndpointPool` implements it.

    Attributes:
        lifecycle: receives the attempts' results.
        clock: returns microseconds of one monotonic clock.
        wheel: the timers.
        counters: where events are counted.
        log: takes an event's name and its fields.
        host_line: the Host field of each request, with its line end.
        connect_timeout_us: how long a connection may take to be established, and a response may pause.
        buffered_bytes: size of the responses that are being read, of at most `buffer_limit_bytes`.
        max_response_bytes: limit on a response that is buffered until it is complete.
        max_header_bytes: limit on the headers of a response.
        buffers_responses: whether long responses are buffered as far as memory allows, not streamed.
    """

    lifecycle: RequestLifecycle
    clock: Callable[[], int]
    wheel: TimerWheel
    counters: Counters
    log: Callable[..., Any]
    host_line: bytes
    connect_timeout_us: int
    buffered_bytes: int
    buffer_limit_bytes: int
    max_response_bytes: int
    max_header_bytes: int
    buffers_responses: bool

    @property
    def write_denial(self) -> Callable[[Attempt], Denial | None]:
        """A function that returns why an attempt may not be written now, or None if it may."""

    @property
    def on_write(self) -> Callable[[Attempt, int], None]:
        """Called before an attempt's first byte is written, with its time budget in microseconds."""

    def connection_established(self, conn: ConnectionT) -> None:
        """Record a dial that succeeded."""

    def put_unclaimed(self, conn: ConnectionT) -> None:
        """Pool a new connection that no attempt waits for."""

    def put_idle(self, conn: ConnectionT) -> None:
        """Pool a connection after its response."""

    def remove(self, conn: ConnectionT) -> None:
        """Remove a connection that has closed."""

    def record_reuse(self, conn: ConnectionT, reset: bool) -> None:
        """Record whether a reused connection was reset during a request."""

    def reconnect(self, attempt: Attempt, address: Address) -> None:
        """Connect once more for an attempt of which nothing was sent."""
