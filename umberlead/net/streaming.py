"""Streamed responses, which are forwarded to the client as they are received from an endpoint."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol, TypeAlias

from umberlead.common.counters import Counters
from umberlead.net.attempt_log import AttemptIds, StreamProgress, log_stream_abort
from umberlead.resource_limits import MAX_BODY_BYTES

# Age past its request's deadline at which a streamed response can be evicted when slots are short. One
# without a length may never end; one with a length ends, however slow.
UNSIZED_EVICTION_AGE_US = 10_000_000
SIZED_EVICTION_AGE_US = 60_000_000
STREAMING_THRESHOLD_US = 20_000  # after which an incomplete response without a length is streamed
MAX_HOLD_US = 1_500_000  # of a part of a response that may be long; past 2 s the protocol counts it as lost
MAX_STREAM_BYTES = 32 << 20  # the protocol's limit on a response


StreamEvictionKey: TypeAlias = tuple[bool, int]  # whether the length is known, since when no byte has come


class AbortReason(Enum):
    """Why a streamed response was aborted; the values are names of counters and appear in the log."""

    ENDPOINT_CLOSED = "endpoint_closed"  # its connection ended, or broke, before the end of the response
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    EVICTED = "evicted"  # its slot was needed for another connection
    PROCESS_EXIT = "process_end"


class BodySink(Protocol):
    """Forwards a streamed response as it is received."""

    def write(self, piece: bytes) -> None:
        """Forward a piece of the body."""

    def finish(self) -> None:
        """End the response: its body is complete."""

    def abort(self) -> None:
        """Abort the response: its remainder will not be received."""


class IncomingResponse(Protocol):
    """The part of the response parser that a stream uses."""

    last_received_us: int
    content_length: int | None
    complete: bool

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request after this response."""

    def feed(self, data: bytes, now_us: int) -> bool:
        """Parse input; return False if it is not HTTP."""


class StreamingPool(Protocol):
    """The part of the pool that a stream uses."""

    clock: Callable[[], int]
    counters: Counters
    log: Callable[..., Any]


class StreamOwner(Protocol):
    """The part of the connection to the endpoint that a stream uses."""

    transport: asyncio.Transport | None
    closed: bool
    written: bool

    @property
    def response(self) -> IncomingResponse:
        """The response that is being parsed."""

    def reuse(self) -> None:
        """Prepare for the next response, and return to the pool."""

    def close(self) -> None:
        """Abort the connection."""


def exceeds_stream_limit(size_bytes: int) -> bool:
    """Return whether a response of this size exceeds the protocol's limit."""
    return size_bytes > MAX_STREAM_BYTES


def is_long_response(content_length: int | None, buffered_bytes: int, elapsed_us: int) -> bool:
    """Return whether a response is streamed, rather than buffered until it is complete."""
    slow = content_length is None and elapsed_us > STREAMING_THRESHOLD_US
    return slow or buffered_bytes > MAX_BODY_BYTES or (content_length or 0) > MAX_BODY_BYTES


def is_small_response(content_length: int | None) -> bool:
    """Return whether a response is known to be of a size that is never streamed."""
    return content_length is not None and content_length <= MAX_BODY_BYTES


class ResponseStream:
    """Forwards the remainder of a streamed response from an endpoint to a sink.

    No timer ends a stream: the pauses of an endpoint can't be told from a stall until its next byte. It ends
    with the response, its connection, its reader, the process, or by eviction when slots are short.

    Attributes:
        sink: receives the remainder; None once it has ended or the reader has disconnected.
        deadline_us: the request's deadline, extended by the reader's pauses.
        forwarded_bytes: number of bytes of the body that were forwarded.
        paused: reading is paused until the reader accepts more.
    """

    def __init__(
        self,
        owner: StreamOwner,
        pool: StreamingPool,
        forwarded_bytes: int,
        deadline_us: int,
        attempt: AttemptIds,
    ) -> None:
        """Start after the first `forwarded_bytes` of the body, which are in the reply of `attempt`."""
        self._owner = owner
        self._pool = pool
        self._attempt = attempt
        self.sink: BodySink | None = None
        self.deadline_us = deadline_us
        self.forwarded_bytes = forwarded_bytes
        self.paused = False
        self._paused_since_us = 0
        self._pieces: list[bytes] = []  # of the read that is being parsed

    def feed(self, data: bytes) -> None:
        """Parse input and forward the body."""
        response = self._owner.response
        now_us = self._pool.clock()
        if response.feed(data, now_us):
            self.read_ended()
        else:
            self.abort(AbortReason.MALFORMED)

    def read_ended(self) -> None:
        """Forward what one read has brought, in one write, and end the stream if it has ended."""
        response = self._owner.response
        if response.complete:
            self.finish()
        elif exceeds_stream_limit(self.forwarded_bytes):  # Content-Length was checked with the headers
            self.abort(AbortReason.TOO_LARGE)
        else:
            self._flush()

    def write(self, data: bytes) -> None:
        """Take a piece of the body, which is forwarded at the end of the read."""
        self.forwarded_bytes += len(data)
        self._pieces.append(data)

    def _flush(self) -> None:
        """Forward the pieces of the read in one write: an endpoint may send very small ones."""
        data = b"".join(self._pieces)
        self._pieces.clear()
        if data and self.sink is not None:
            self.sink.write(data)

    def finish(self) -> None:
        """End the stream: the response is complete, or delimited by its connection's end."""
        self._flush()
        owner = self._owner
        sink = self.sink
        self.sink = None
        if owner.response.reusable and owner.written:
            self.set_paused(False)
            owner.reuse()
        else:
            owner.close()
        if sink is not None:
            sink.finish()

    def abort(self, reason: AbortReason) -> None:
        """Abort the stream: its remainder will not be received."""
        self._flush()
        sink = self.sink
        self.sink = None
        self._pool.counters.add("node_answers_broke_off")
        self._pool.counters.add(f"node_answers_broke_off_{reason.value}")
        log_stream_abort(self._pool.log, self._attempt, reason.value, self._progress())
        self._owner.close()
        if sink is not None:
            sink.abort()

    def _progress(self) -> StreamProgress:
        now_us = self._pool.clock()
        response = self._owner.response
        return StreamProgress(
            forwarded_bytes=self.forwarded_bytes,
            content_length=response.content_length,
            silent_us=now_us - response.last_received_us,
            past_deadline_us=now_us - self.deadline_us,
            reader_paused=self.paused,
        )

    # BodySource interface: called by the client's side

    def eviction_rank(self) -> StreamEvictionKey | None:
        """Return the sort key for eviction, smallest first; None if it may not be evicted.

        Responses without a length come first; of each kind the one whose endpoint has been silent for the
        longest. While the reader accepts no more, the endpoint does not count as silent.
        """
        if self.sink is None or self._owner.closed:
            return None
        now_us = self._pool.clock()
        sized = self._owner.response.content_length is not None
        deadline_us = self.deadline_us + (now_us - self._paused_since_us if self.paused else 0)
        age_us = SIZED_EVICTION_AGE_US if sized else UNSIZED_EVICTION_AGE_US
        if deadline_us + age_us > now_us:
            return None
        return (sized, now_us if self.paused else self._owner.response.last_received_us)

    def evict(self) -> None:
        """Abort the stream to free its connection's slot."""
        self._pool.counters.add("node_answers_gave_way")
        self.abort(AbortReason.EVICTED)

    def set_paused(self, paused: bool) -> None:
        """Pause reading while the reader accepts no more, or resume it."""
        transport = self._owner.transport
        if transport is None or transport.is_closing():
            return
        if paused and not self.paused:
            self.paused = True
            self._paused_since_us = self._pool.clock()
            transport.pause_reading()
        elif not paused and self.paused:
            now_us = self._pool.clock()
            self.paused = False
            self._owner.response.last_received_us = now_us
            # The reader caused the pause, not the endpoint.
            self.deadline_us += now_us - self._paused_since_us
            transport.resume_reading()

    def cancel(self) -> None:
        """End the stream: the reader has disconnected."""
        self.sink = None
        self._pieces.clear()
        self._owner.close()
