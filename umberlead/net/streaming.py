"""Long replies: passed on as they come, for as long as they move and their place is not needed."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import Timer, TimerWheel
from umberlead.resource_limits import MAX_BODY_BYTES

STREAM_IDLE_TIMEOUT_US = 10_000_000  # in which a long reply must move on
SERVER_PAUSE_TIMEOUT_US = 650_000  # that a server may stop within a reply that it is still giving
# Past its request's time a long reply can be evicted where places are short: one of no told length may never
# end; one of a told length has an end, however slow.
UNSIZED_EVICTION_AGE_US, SIZED_EVICTION_AGE_US = 10_000_000, 60_000_000
STREAMING_THRESHOLD_US = 20_000  # after which a reply of no told length, still coming, counts as a long one
MAX_STREAM_BYTES = 32 << 20  # the protocol's bytes of a long reply


class BodySink(Protocol):
    """Who passes a long reply on as it comes."""

    def write(self, piece: bytes) -> None:
        """Take a piece of the body."""

    def finish(self) -> None:
        """All of the body has come."""

    def abort(self) -> None:
        """What is missing will not come."""


class IncomingResponse(Protocol):
    """What a stream needs to know of the reply that is being parsed."""

    last_received_us: int
    content_length: int | None
    complete: bool

    @property
    def reusable(self) -> bool:
        """Whether the reply leaves its connection fit for another."""

    def feed(self, data: bytes, now_us: int) -> bool:
        """Parse bytes; False if they are no HTTP."""


class StreamingPool(Protocol):
    """What a stream needs of the pool."""

    clock: Callable[[], int]
    wheel: TimerWheel
    counters: Counters


class StreamOwner(Protocol):
    """What a stream needs of its connection to the chunk server."""

    transport: asyncio.Transport | None
    timer: Timer | None
    closed: bool
    written: bool

    @property
    def response(self) -> IncomingResponse:
        """The reply that is being parsed."""

    def cancel_timer(self) -> None:
        """Stop the connection's timer."""

    def reuse(self) -> None:
        """Begin the next reply, and rest in the pool until then."""

    def close(self) -> None:
        """End the connection."""


def exceeds_stream_limit(size_bytes: int) -> bool:
    """Tell whether a reply of this size is longer than the protocol allows."""
    return size_bytes > MAX_STREAM_BYTES


def is_long_response(content_length: int | None, buffered_bytes: int, elapsed_us: int) -> bool:
    """Tell whether a reply is passed on as it comes, rather than kept until it is whole."""
    slow = content_length is None and elapsed_us > STREAMING_THRESHOLD_US
    return slow or buffered_bytes > MAX_BODY_BYTES or (content_length or 0) > MAX_BODY_BYTES


class ResponseStream:
    """The rest of a long reply, on its way from a chunk server to a sink.

    Attributes:
        sink: who takes it; None once it has ended, or its reader has left.
        deadline_us: the request's time, moved on by what its reader stood still for.
        passed_bytes: how much of the body was passed on.
        paused: its reader has enough for now.
    """

    def __init__(self, owner: StreamOwner, pool: StreamingPool, forwarded_bytes: int) -> None:
        """Begin behind the first `passed_bytes`, which the request's outcome carries."""
        self._owner, self._pool = owner, pool
        self.sink: BodySink | None = None
        self.deadline_us = 0
        self.forwarded_bytes = forwarded_bytes
        self.paused = False
        self._paused_since_us = 0

    def start(self, deadline_us: int) -> None:
        """Watch over it from now on: it has a sink."""
        self.deadline_us = deadline_us
        now_us = self._pool.clock()
        self._check_at(min(now_us + STREAM_IDLE_TIMEOUT_US, deadline_us))

    def feed(self, data: bytes) -> None:
        """Parse and pass on what came."""
        response = self._owner.response
        if not response.feed(data, self._pool.clock()):
            self.abort()
        elif response.complete:
            self.finish()
        elif exceeds_stream_limit(
            self.forwarded_bytes
        ):  # none of a told length: that is checked with the head
            self.abort()

    def write(self, data: bytes) -> None:
        """Pass a piece of the body on."""
        self.forwarded_bytes += len(data)
        if self.sink is not None:
            self.sink.write(data)

    def finish(self) -> None:
        """End it: the reply is whole, or ends with its connection."""
        owner = self._owner
        sink, self.sink = self.sink, None
        owner.cancel_timer()
        if owner.response.reusable and owner.written:
            self.set_paused(False)
            owner.reuse()
        else:
            owner.close()
        if sink is not None:
            sink.finish()

    def abort(self) -> None:
        """Break it off, since its rest will not come."""
        sink, self.sink = self.sink, None
        self._pool.counters.add("node_answers_broke_off")
        self._owner.close()
        if sink is not None:
            sink.abort()

    def _check_at(self, at_us: int) -> None:
        self._owner.timer = self._pool.wheel.call_at(at_us, self._check)

    def _check(self) -> None:
        """Break off a reply whose node stopped in the middle.

        While the node goes on, so does the reply, also past the request's time: what is still given is not
        cut off. One of no told length and of no more than 64 KiB yet may be a small one, whose client waits
        for its last byte: past that time it may only pause. Of a client that stands still its own connection
        tells.
        """
        now_us, response = self._pool.clock(), self._owner.response
        due_us = (now_us if self.paused else response.last_received_us) + STREAM_IDLE_TIMEOUT_US
        if not self.paused and response.content_length is None and self.forwarded_bytes <= MAX_BODY_BYTES:
            due_us = min(due_us, max(response.last_received_us + SERVER_PAUSE_TIMEOUT_US, self.deadline_us))
        if due_us <= now_us:
            self.abort()
        else:
            self._check_at(due_us)

    # BodySource: what the sink's side asks

    def eviction_rank(self) -> tuple[bool, int] | None:
        """Return its place in the order of eviction, the smallest first; None keeps it.

        Those of no told length go first, then by their requests' time.
        """
        if self.sink is None or self._owner.closed:
            return None
        now_us, sized = self._pool.clock(), self._owner.response.content_length is not None
        deadline_us = self.deadline_us + (now_us - self._paused_since_us if self.paused else 0)
        age_us = SIZED_EVICTION_AGE_US if sized else UNSIZED_EVICTION_AGE_US
        return (sized, deadline_us) if deadline_us + age_us <= now_us else None

    def evict(self) -> None:
        """Break it off for another's need of its place."""
        self._pool.counters.add("node_answers_gave_way")
        self.abort()

    def set_paused(self, paused: bool) -> None:
        """Stop reading, since its reader has enough for now, or read on."""
        transport = self._owner.transport
        if transport is None or transport.is_closing():
            return
        if paused and not self.paused:
            self.paused, self._paused_since_us = True, self._pool.clock()
            transport.pause_reading()
        elif not paused and self.paused:
            now_us = self._pool.clock()
            self.paused, self._owner.response.last_received_us = False, now_us
            self.deadline_us += now_us - self._paused_since_us  # its reader's time, not the node's
            transport.resume_reading()

    def cancel(self) -> None:
        """End it: its reader has left."""
        self.sink = None
        self._owner.close()
