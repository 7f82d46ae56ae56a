"""What connections to chunk servers need of the pool that they belong to."""

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
    """What a connection needs of its pool; `node_pool.Pool` has it.

    Attributes:
        host_line: the Host field of each request, with its line end.
        connect_timeout_us: how long a connection may take to come up, and a reply may stop.
        held_bytes: what replies that are being read hold, of `memory_limit_bytes`.
        max_reply_bytes: how long a reply may be that is kept until it is whole.
        max_head_bytes: how long the head of a reply may be.
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

    @property
    def write_denial(self) -> Callable[[Attempt], Denial | None]:
        """Tells why an attempt may not be written now; None lets it."""

    @property
    def on_write(self) -> Callable[[Attempt, int], None]:
        """Is told of an attempt as its first byte is written, and what time it is told to take (us)."""

    def connection_established(self, conn: ConnectionT) -> None:
        """A dial has come up."""

    def put_unclaimed(self, conn: ConnectionT) -> None:
        """Keep a connection that came up and that nobody waits for."""

    def put_idle(self, conn: ConnectionT) -> None:
        """Keep a connection behind its reply."""

    def remove(self, conn: ConnectionT) -> None:
        """Forget a connection that has ended."""

    def record_reuse(self, conn: ConnectionT, reset: bool) -> None:
        """Learn whether a kept connection broke under a request."""

    def reconnect(self, attempt: Attempt, address: Address) -> None:
        """Connect once more for an attempt of which nothing was sent."""
