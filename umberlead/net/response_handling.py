"""The responses on a connection to an endpoint: buffered, streamed, or incomplete at a request's deadline."""

import asyncio
from typing import Any

from umberlead.common.timer_wheel import Timer
from umberlead.net.attempt_log import AttemptIds, log_stream_at_deadline
from umberlead.net.bounded_reads import BoundedReadProtocol
from umberlead.net.endpoint_protocol import PROTOCOL_HEADERS, decode_response, result_of_response
from umberlead.net.pool_interface import ConnectionPool
from umberlead.net.response_parser import ResponseParser
from umberlead.net.socket_state import SocketState
from umberlead.net.streaming import (
    MAX_HOLD_US,
    AbortReason,
    ResponseStream,
    is_long_response,
    is_small_response,
)
from umberlead.requests.types import Attempt, Reply
from umberlead.scheduling.events import AttemptResult


class ResponseHandling(BoundedReadProtocol):
    """Reads the responses on a connection; `EndpointConnection` dials, writes and closes it.

    Attributes:
        pool: the pool that the connection belongs to.
        transport: the transport; None while dialing.
        attempt: the attempt that the connection carries.
        cancel_result: the result for which this attempt was cancelled.
        written: the kernel has accepted the whole request.
        timer: times out the dial, or limits how long a part of a response is held back.
        idle_since_us: when the latest response ended; 0 before the first.
        closed: the connection was closed from this side.
        stream: the streamed response in progress, or else the latest one.
        response: parses the responses.
    """

    def __init__(self, pool: ConnectionPool[Any]) -> None:
        """Create the state of a connection without an attempt."""
        super().__init__()
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.cancel_result: AttemptResult | None = None
        self.written = False
        self.timer: Timer | None = None
        self.idle_since_us = 0
        self.closed = False
        self.stream: ResponseStream | None = None
        self.response = ResponseParser(self, pool, PROTOCOL_HEADERS)
        self._socket: SocketState | None = None

    def cancel_attempt(self, result: AttemptResult) -> None:
        """End the attempt with `result`."""
        raise NotImplementedError

    def close(self) -> None:
        """Abort the connection or its dial."""
        raise NotImplementedError

    def _socket_state(self) -> SocketState:
        if self._socket is None:
            assert self.transport is not None
            self._socket = SocketState(self.transport)
        return self._socket

    @property
    def streaming(self) -> bool:
        """Whether a response is being streamed to a sink."""
        return self.stream is not None and self.stream.sink is not None

    def cancel_timer(self) -> None:
        """Stop the timer of the dial, or of a response that is held back."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # asyncio.BufferedProtocol

    def data_received(self, data: bytes) -> None:
        """Parse input of a response."""
        if self.stream is not None and self.streaming:
            return self.stream.feed(data)
        if self.attempt is None or self.cancel_result is not None:
            if self.cancel_result is None:
                self.pool.counters.add("node_answers_surplus")
            self.close()  # unsolicited input: the connection can't be reused
            return
        now_us = self.pool.clock()
        self.attempt.response_received_us = now_us
        if not self.response.feed(data, now_us):
            return self._response_malformed()
        if self.stream is not None and self.streaming:
            return self.stream.read_ended()  # this read started the stream
        if not self.attempt_cancelled and self.attempt is not None:
            self._continue_response()

    def reading_transport(self) -> asyncio.BaseTransport | None:
        """Return the transport that is read from."""
        return self.transport

    def may_resume_reading(self) -> bool:
        """Return whether reading is not paused until the client reads on."""
        return not self.closed and (self.stream is None or not self.stream.paused)

    def _response_malformed(self) -> None:
        """Fail the response, or abort it if the malformed input has started its stream."""
        if self.stream is not None and self.streaming:
            self.stream.abort(AbortReason.MALFORMED)
        else:
            self.response_failed("malformed")

    def _continue_response(self) -> None:
        """End a complete response, or wait for more of it."""
        if self.response.complete:
            self._end_response()
        elif not self.response.headers_complete and self.response.header_bytes > self.pool.max_header_bytes:
            self.response_failed("head_too_large")
        elif self.attempt is not None:
            self._limit_hold(self.attempt)

    def eof_received(self) -> bool:
        """End a response that is delimited by the end of the connection."""
        if self.response.framed or self._socket_state().was_reset():
            return False  # `connection_lost` follows: the response is incomplete, or counts as reset
        if self.stream is not None and self.streaming:
            self.stream.finish()
        if self.attempt is not None and not self.attempt_cancelled and self.response.headers_complete:
            self._end_response()
        return False

    # ResponseReceiver interface: called by the parser

    @property
    def attempt_cancelled(self) -> bool:
        """Whether the remainder of the response is not needed."""
        return self.cancel_result is not None

    def body_received(self, data: bytes) -> None:
        """Buffer a piece of the body, or forward it if the response is streamed."""
        if self.stream is not None and self.streaming:
            return self.stream.write(data)
        if self.attempt is None:
            return  # the attempt was cancelled while this read was parsed
        response = self.response
        response.buffer_body(data)
        over_memory = (
            response.body_bytes > self.pool.max_response_bytes
            or self.pool.buffered_bytes > self.pool.buffer_limit_bytes
        )
        is_long = not self.pool.buffers_responses and is_long_response(
            response.content_length,
            response.body_bytes,
            response.last_received_us - response.first_received_us,
        )
        if (is_long or over_memory) and self._can_stream(self.attempt):
            self._start_stream()
        elif over_memory:
            self.response_failed("too_large")

    def _can_stream(self, attempt: Attempt) -> bool:
        """Return whether the response serves the request, whose client may receive it as a stream."""
        request = attempt.request
        served = self.response.status in request.incoming.payload.served_statuses
        return request.incoming.accepts_stream and served and not request.answered

    def response_failed(self, failure: str) -> None:
        """End the attempt with an error: the endpoint has responded, and may have executed the request.

        This does not indicate a network fault. The end of the response is unknown, so the connection is
        closed.
        """
        if self.attempt is not None and not self.attempt_cancelled:
            self.pool.counters.add(f"node_answers_{failure}")
            self.cancel_attempt(AttemptResult.ERROR)

    def stream_past_deadline(self) -> bool:
        """Stream a response that may become a long one, at its request's deadline.

        Return False if the attempt is to be timed out: no response has begun, or the response is small or
        does not serve the request, so that its client gets a complete one at the deadline.
        """
        attempt = self.attempt
        if attempt is None or not self._may_stream_incomplete(attempt):
            return False
        response = self.response
        self.pool.counters.add("node_answers_at_deadline")
        silent_us = self.pool.clock() - response.last_received_us
        log_stream_at_deadline(self.pool.log, AttemptIds.of(attempt), response.body_bytes, silent_us)
        self._start_stream()
        return True

    def await_past_deadline(self) -> bool:
        """Let the attempt outlast its deadline if its request waits for the response, and that has begun."""
        attempt = self.attempt
        if attempt is None or not self.written or not self.response.headers_complete:
            return False
        request = attempt.request
        served = self.response.status in request.incoming.payload.served_statuses
        attempt.outlasts_deadline = served and request.incoming.waits_for_response and not request.answered
        return attempt.outlasts_deadline

    def _may_stream_incomplete(self, attempt: Attempt) -> bool:
        """Return whether a part of a response may be passed on that may be long, and is not complete."""
        response = self.response
        if not self.written or not response.headers_complete or response.complete:
            return False
        return self._can_stream(attempt) and not is_small_response(response.content_length)

    def _limit_hold(self, attempt: Attempt) -> None:
        """Start the time for which a part of a response that may be long may be held back."""
        if self.timer is None and self.response.body_bytes and self._may_stream_incomplete(attempt):
            self.timer = self.pool.wheel.call_after(MAX_HOLD_US, self._end_hold, attempt)

    def _end_hold(self, attempt: Attempt) -> None:
        self.timer = None
        if self.attempt is attempt and not self.attempt_cancelled and self._may_stream_incomplete(attempt):
            self._start_stream()

    def _decode_response(self) -> Reply:
        return decode_response(self.response.status, self.response.headers, bytes(self.response.body))

    def _start_stream(self) -> None:
        """End the attempt with the first bytes; the remainder is forwarded as the client reads it."""
        attempt = self.attempt
        reply = self._decode_response()
        assert attempt is not None
        self.stream = ResponseStream(
            self, self.pool, self.response.body_bytes, attempt.deadline_us, AttemptIds.of(attempt)
        )
        reply.stream = self.stream
        reply.body_length = self.response.content_length
        self.response.release_body()
        self.attempt = None
        self.cancel_result = None
        self.cancel_timer()
        self.pool.counters.add("node_answers_long")
        self.pool.lifecycle.attempt_ended(attempt, AttemptResult.OK, reply)
        if not self.streaming:
            self.close()  # the client has disconnected

    def reuse(self) -> None:
        """Prepare for the next response, and return to the pool."""
        self.response.reset()
        self.pool.put_idle(self)

    def _end_response(self) -> None:
        """End the attempt with its complete response."""
        attempt = self.attempt
        reply = self._decode_response()
        assert attempt is not None
        result = result_of_response(
            attempt.request.incoming.payload, self.response.status, self.response.headers
        )
        if result is AttemptResult.NOT_SENT:
            attempt.misdirected = True
            self.pool.counters.add("attempts_astray")
        if self.response.has_surplus:
            self.pool.counters.add("node_answers_surplus")
        self.cancel_timer()
        keep = self.response.reusable and self.written
        if not keep:
            self.close()
        self.attempt = None
        self.response.reset()
        self.cancel_result = None
        if self.idle_since_us:
            self.pool.record_reuse(self, False)
        if keep:
            self.pool.put_idle(self)
        self.pool.lifecycle.attempt_ended(attempt, result, reply)
