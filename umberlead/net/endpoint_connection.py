"""One connection to an endpoint: writes requests, reads responses and classifies disconnects.

If the connection fails before the kernel has accepted the whole request, the endpoint can't have executed it
(CONNECT_FAILED). A later failure is a RESET, and the request may have been executed. This module never sends
a request twice.
"""

import asyncio
from typing import cast

from umberlead.common.timer_wheel import Timer
from umberlead.configuration import Address
from umberlead.net.attempt_log import (
    AttemptIds,
    log_connection_failure,
    log_early_end,
    log_stream_at_deadline,
)
from umberlead.net.bounded_reads import BoundedReadProtocol
from umberlead.net.endpoint_protocol import (
    PROTOCOL_HEADERS,
    OutgoingRequest,
    decode_response,
    encode_request,
    result_of_response,
)
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
from umberlead.scheduling.token_bucket import NEVER


class EndpointConnection(BoundedReadProtocol):
    """One connection to an endpoint; it carries one attempt at a time.

    Attributes:
        pool: the pool that the connection belongs to.
        address: host and port of the endpoint.
        transport: the transport; None while dialing.
        attempt: the attempt that the connection carries.
        cancel_result: the result for which this attempt was cancelled.
        written: the kernel has accepted the whole request.
        write_paused: part of the request is still in the transport's write buffer.
        dial_task: the dial that establishes the connection.
        timer: times out the dial, or limits how long a part of a response is held back.
        slot: index among the pool's connections.
        state_since_us: when the dial started, then when it succeeded.
        race_count: how many times racing this dial was considered.
        idle_since_us: when the latest response ended; 0 before the first.
        has_carried_attempt: a request was sent on the connection.
        closed: the connection was closed from this side.
        finished: the connection has ended, and the pool has removed it.
        connect_error: why no connection was established.
        failed_locally: the dial failed for lack of local resources.
        broke_early: the connection broke while or after it was established; it was neither refused nor timed
            out.
        stream: the streamed response in progress, or else the latest one.
        response: parses the responses.
    """

    def __init__(self, pool: "ConnectionPool[EndpointConnection]", address: Address) -> None:
        """Create a connection to `address` that is not dialed yet."""
        super().__init__()
        self.pool = pool
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.cancel_result: AttemptResult | None = None
        self.written = self.write_paused = False
        self.dial_task: asyncio.Task[None] | None = None
        self.timer: Timer | None = None
        self.slot = -1
        self.state_since_us = pool.clock()
        self.race_count = 0
        self.idle_since_us = 0
        self.has_carried_attempt = self.closed = self.finished = False
        self.connect_error = ""
        self.failed_locally = self.broke_early = False
        self.stream: ResponseStream | None = None
        self.response = ResponseParser(self, pool, PROTOCOL_HEADERS)
        self._socket: SocketState | None = None

    @property
    def streaming(self) -> bool:
        """Whether a response is being streamed to a sink."""
        return self.stream is not None and self.stream.sink is not None

    def has_no_unread_bytes(self) -> bool:
        """Return whether the receive buffer is empty; its bytes would be taken for the next response."""
        return not self._socket_state().pending_events()

    def _socket_state(self) -> SocketState:
        if self._socket is None:
            assert self.transport is not None
            self._socket = SocketState(self.transport)
        return self._socket

    def is_open(self) -> bool:
        """Return whether the connection is established and not closing.

        The event loop reports a close one iteration after it.
        """
        return self.transport is not None and not self.transport.is_closing()

    def cancel_timer(self) -> None:
        """Stop the timer of the dial, or of a response that is held back."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt that waits for this connection, if it may still be sent."""
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:  # cancelled while the connection was being established
            self.transport.abort()
            return
        # With a high-water mark of 0 a write is tried at once, and resume_writing is called once all is sent.
        self.transport.set_write_buffer_limits(high=0)
        self.cancel_timer()
        self.pool.counters.add("node_connections_opened")
        self.pool.connection_established(self)
        if self.attempt is None:
            return self.pool.put_unclaimed(self)
        denial = self.pool.write_denial(self.attempt)
        if denial is None:
            return self.send_request()
        self.pool.counters.add("node_connections_too_late")
        self.pool.counters.add(f"attempts_barred_{denial.value}")
        self.cancel_attempt(AttemptResult.NOT_SENT)

    def send_request(self) -> None:
        """Write the attempt's request."""
        attempt = self.attempt
        transport = self.transport
        assert attempt is not None and transport is not None
        self.has_carried_attempt = True
        request: OutgoingRequest = attempt.request.incoming.payload
        self.written = False
        budget_us = attempt.deadline_us - self.pool.clock()
        self.pool.on_write(attempt, budget_us)
        transport.writelines(encode_request(request, self.pool.host_line, budget_us))
        if not self.write_paused and not transport.is_closing():
            self._mark_written()
        else:
            attempt.write_delayed = True
        if attempt.write_until_us != NEVER:
            self.pool.wheel.call_at(int(attempt.write_until_us), self._end_late_write, attempt)

    def _mark_written(self) -> None:
        self.written = True
        self.pool.counters.add("attempts_written")
        if self.attempt is not None and self.attempt.write_delayed:
            self.pool.lifecycle.delayed_write_ended(self.attempt)

    def _end_late_write(self, attempt: Attempt) -> None:
        """End an attempt of which some has not reached the endpoint's machine in time: the rest would run."""
        if self.attempt is not attempt or self.attempt_cancelled or not self.is_open():
            return
        if self.response.started or not self._socket_state().unsent_bytes():
            return
        self.pool.counters.add("attempts_written_too_late")
        self._socket_state().reset_on_close()  # what the socket's send buffer holds is dropped
        self.cancel_attempt(AttemptResult.TIMEOUT)

    def pause_writing(self) -> None:
        """Record that the kernel has not accepted all of the request."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Record that the kernel has accepted all of the request."""
        self.write_paused = False
        if self.is_open() and not self.written:
            self._mark_written()

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

    def connection_lost(self, exc: Exception | None) -> None:
        """End the stream or the attempt that the connection carries."""
        if self.finished:
            return
        self.finished = True
        self.close()
        self.pool.remove(self)
        self.broke_early = not self.connect_error  # a connection established after its timeout did not break
        if self.stream is not None and self.streaming:
            self.stream.abort(AbortReason.ENDPOINT_CLOSED)
        if self.attempt is not None:
            # A stale pooled connection ends here too: the endpoint may have read a request written to it.
            self.end_attempt(AttemptResult.RESET if self.written else AttemptResult.CONNECT_FAILED)
        self.response.close()
        self.stream = None

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

    # Closing

    def end_attempt(self, result: AttemptResult) -> None:
        """Report the attempt's result, or reconnect once if nothing of it was sent."""
        attempt = self.attempt
        self.attempt = None
        if attempt is None:
            return
        reason = self.cancel_result
        if reason is not None:
            result = (
                reason if self.written or reason is AttemptResult.NOT_SENT else AttemptResult.CONNECT_FAILED
            )
        elif result is AttemptResult.CONNECT_FAILED and self.broke_early and not attempt.reconnected:
            # The connection broke before the request was written: the endpoint may be healthy.
            self.pool.counters.add("node_connections_broke_early")
            attempt.reconnected = True
            return self.pool.reconnect(attempt, self.address)
        if result is AttemptResult.CONNECT_FAILED and self.failed_locally:
            result = AttemptResult.NOT_SENT  # not a fault of the endpoint
        if result is AttemptResult.RESET and self.idle_since_us and not self.response.header_bytes:
            self.pool.record_reuse(self, True)
        if result is AttemptResult.CONNECT_FAILED:
            reason_text = reason.value if reason else self.connect_error or "broken"
            is_dialing = self.transport is None
            log_connection_failure(self.pool.log, attempt, self.pool.clock(), is_dialing, reason_text)
        self.pool.lifecycle.attempt_ended(attempt, result)

    def cancel_attempt(self, result: AttemptResult) -> None:
        """End the attempt with `result`.

        The result is reported once the connection is closed, so the next attempt never overlaps this one.
        """
        if self.cancel_result is None and not self.closed:
            self.cancel_result = result
            if self.attempt is not None:
                response = self.response
                log_early_end(
                    self.pool.log,
                    self.attempt,
                    self.pool.clock(),
                    result,
                    written=self.written,
                    headers_complete=response.headers_complete,
                    body_bytes=response.body_bytes,
                )
            if self.write_paused and not self.written and self.is_open():
                self._socket_state().stop_sending()
            self.close()

    def close(self) -> None:
        """Abort the connection or its dial."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif self.dial_task is not None:
            self.dial_task.cancel()
