"""One connection to a chunk server: writing a request, its reply, and what its end means.

Whether a request's bytes were all handed to the system decides between a failed connection, which proves that
nothing ran, and a reset, which does not. Nothing is ever sent again from here.
"""

import asyncio
from typing import cast

from umberlead.common.timer_wheel import Timer
from umberlead.configuration import Address
from umberlead.net.endpoint_protocol import (
    OutgoingRequest,
    decode_response,
    encode_request,
    result_of_response,
)
from umberlead.net.pool_interface import ConnectionPool
from umberlead.net.response_parser import ResponseParser
from umberlead.net.socket_state import SocketState
from umberlead.net.streaming import SERVER_PAUSE_TIMEOUT_US, ResponseStream, is_long_response
from umberlead.requests.types import Attempt, Reply
from umberlead.scheduling.events import AttemptResult


class EndpointConnection(asyncio.Protocol):
    """One connection to a chunk server; it carries an attempt at a time.

    Attributes:
        attempt: what it carries now.
        stop_reason: why that was given up.
        written: all of the request was handed to the system.
        write_paused: some of it was not.
        dial_task: the dial that makes it.
        since_us: when its dial began, then when it came up.
        races: times that another dial was thought of beside this one.
        idle_since_us: when its latest reply ended; 0 before the first.
        used: it has carried an attempt.
        closed: it was given up.
        finished: it has ended, and the pool knows.
        connect_error: why no connection came up.
        local_fault: that was our own lack of something.
        dropped: neither refused nor silent: it came up, or nearly, and broke.
        stream: the long reply that is on its way, or was the latest.
    """

    def __init__(self, pool: "ConnectionPool[EndpointConnection]", address: Address) -> None:
        """Begin before the dial to `address`."""
        self.pool, self.address = pool, address
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
        self.response = ResponseParser(self, pool)
        self._socket: SocketState | None = None

    @property
    def streaming(self) -> bool:
        """Whether a long reply is on its way to a sink."""
        return self.stream is not None and self.stream.sink is not None

    def has_no_unread_bytes(self) -> bool:
        """Tell that nothing has come that was not read yet: it would be taken for the next reply."""
        return not self._socket_state().pending_events()

    def _socket_state(self) -> SocketState:
        if self._socket is None:
            assert self.transport is not None
            self._socket = SocketState(self.transport)
        return self._socket

    def is_open(self) -> bool:
        """Tell whether it is up, and not on its way to its end: of that the protocol is told a turn later."""
        return self.transport is not None and not self.transport.is_closing()

    def cancel_timer(self) -> None:
        """Stop the timer of the dial or the reply."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt that waits for it, if that can still go."""
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:  # given up while it came up
            self.transport.abort()
            return
        # With a mark of 0 a write is tried at once, and resume_writing says when all of it is out.
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
        attempt, transport = self.attempt, self.transport
        assert attempt is not None and transport is not None
        self.has_carried_attempt = True
        request: OutgoingRequest = attempt.request.request.payload
        self.written = False
        budget_us = attempt.deadline_us - self.pool.clock()
        self.pool.on_write(attempt, budget_us)
        transport.writelines(encode_request(request, self.pool.host_line, budget_us))
        if not self.write_paused and not transport.is_closing():
            self._mark_written()

    def _mark_written(self) -> None:
        self.written = True
        self.pool.counters.add("attempts_written")

    def pause_writing(self) -> None:
        """Take note that the system has not taken all of the request."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Take note that it has now."""
        self.write_paused = False
        if self.is_open() and not self.written:
            self._mark_written()

    def data_received(self, data: bytes) -> None:
        """Read what came of a reply."""
        if self.stream is not None and self.streaming:
            return self.stream.feed(data)
        if self.attempt is None or self.cancel_result is not None:
            if self.cancel_result is None:
                self.pool.counters.add("node_answers_surplus")
            self.close()  # nobody asked: the connection is of no further use
            return
        if not self.response.feed(data, self.pool.clock()):
            return self._response_malformed()
        if self.stream is not None and self.streaming and self.response.complete:
            return self.stream.finish()  # all of a long reply in the read that began it
        if not self.attempt_cancelled and self.attempt is not None:
            self._continue_response()

    def _response_malformed(self) -> None:
        """End the reply, or break it off where the read that turned malformed began to pass it on."""
        if self.stream is not None and self.streaming:
            self.stream.abort()
        else:
            self.response_failed("malformed")

    def _continue_response(self) -> None:
        """End a reply that is complete, or wait for more of it."""
        if self.response.complete:
            self._end_response()
        elif not self.response.headers_complete and self.response.header_bytes > self.pool.max_header_bytes:
            self.response_failed("head_too_large")
        elif self.response.started and self.timer is None and not self.closed:
            self.timer = self.pool.wheel.call_after(self.pool.connect_timeout_us, self._check_progress)

    def eof_received(self) -> bool:
        """End a reply that ends with its connection."""
        if self.response.framed or self._socket_state().was_reset():
            return False  # `connection_lost` follows: what came breaks off, or counts as a reset
        if self.stream is not None and self.streaming:
            self.stream.finish()
        if self.attempt is not None and not self.attempt_cancelled and self.response.headers_complete:
            self._end_response()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End what it carries."""
        if self.finished:
            return
        self.finished = True
        self.close()
        self.pool.remove(self)
        self.response.release_body()
        self.broke_early = not self.connect_error  # one that came up too late has not broken
        if self.stream is not None and self.streaming:
            self.stream.abort()
        if self.attempt is not None:
            # A stale pooled connection ends here too: what was written may have been read.
            self.end_attempt(AttemptResult.RESET if self.written else AttemptResult.CONNECT_FAILED)

    # ReplyReceiver: what the parser reads

    @property
    def attempt_cancelled(self) -> bool:
        """Whether nothing more is wanted of the reply."""
        return self.cancel_result is not None

    def body_received(self, data: bytes) -> None:
        """Keep a piece of the body, or pass it on where the reply is a long one."""
        if self.stream is not None and self.streaming:
            return self.stream.write(data)
        if self.attempt is None:
            return  # given up within this read
        response = self.response
        response.buffer_body(data)
        if is_long_response(
            response.content_length,
            response.body_bytes,
            response.last_received_us - response.first_received_us,
        ):
            request = self.attempt.request
            served = response.status in request.request.payload.served_statuses
            if request.request.accepts_stream and served and not request.answered:
                return self._start_stream()
        over_memory = self.pool.buffered_bytes > self.pool.buffer_limit_bytes
        if response.body_bytes > self.pool.max_response_bytes or over_memory:
            self.response_failed("too_large")

    def interim_response_complete(self) -> None:
        """Wait for the reply itself, which may be long in coming."""
        self.cancel_timer()

    def response_failed(self, failure: str) -> None:
        """End the attempt: the node has answered, and may have run the request.

        An error of its own, and no news of its links. Where the reply ends can't be told, so the connection
        ends.
        """
        if self.attempt is not None and not self.attempt_cancelled:
            self.pool.counters.add(f"node_answers_{failure}")
            self.cancel_attempt(AttemptResult.ERROR)

    def _check_progress(self) -> None:
        """Once begun, a reply goes on.

        A length that says too much would hold the request, and its place at the node, to the end of its time.
        """
        wait_us, attempt = self.pool.connect_timeout_us, self.attempt
        if attempt is not None and attempt.must_not_repeat and self.response.headers_complete:
            # Nothing is tried elsewhere in its place, and the server may only pause.
            wait_us = max(wait_us, SERVER_PAUSE_TIMEOUT_US)
        due_us = self.response.last_received_us + wait_us
        if due_us > self.pool.clock():
            self.timer = self.pool.wheel.call_at(due_us, self._check_progress)
        else:
            self.response_failed("cut_short")

    def _decode_response(self) -> Reply:
        return decode_response(
            self.response.status, self.response.headers, b"".join(self.response.body_pieces)
        )

    def _start_stream(self) -> None:
        """End the attempt with its first bytes; the rest goes through as its reader takes it."""
        attempt, reply = self.attempt, self._decode_response()
        assert attempt is not None
        self.stream = ResponseStream(self, self.pool, self.response.body_bytes)
        reply.stream, reply.body_length = self.stream, self.response.content_length
        self.response.release_body()
        self.attempt, self.cancel_result = None, None
        self.cancel_timer()
        self.pool.counters.add("node_answers_long")
        self.pool.lifecycle.attempt_ended(attempt, AttemptResult.OK, reply)
        if self.streaming:
            self.stream.start(attempt.deadline_us)
        else:
            self.close()  # its client has left

    def reuse(self) -> None:
        """Begin the next reply, and rest in the pool until then."""
        self.response.reset()
        self.pool.put_idle(self)

    def _end_response(self) -> None:
        """End the attempt with its whole reply."""
        attempt, reply = self.attempt, self._decode_response()
        assert attempt is not None
        result = result_of_response(
            attempt.request.request.payload, self.response.status, self.response.headers
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

    # Ends

    def end_attempt(self, result: AttemptResult) -> None:
        """Report the attempt's outcome, or dial once more where nothing of it was sent."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        reason = self.cancel_result
        if reason is not None:
            result = (
                reason if self.written or reason is AttemptResult.NOT_SENT else AttemptResult.CONNECT_FAILED
            )
        elif result is AttemptResult.CONNECT_FAILED and self.broke_early and not attempt.reconnected:
            # Dropped before the request was on it: nothing was sent, and the node itself may be well.
            self.pool.counters.add("node_connections_broke_early")
            attempt.reconnected = True
            return self.pool.reconnect(attempt, self.address)
        if result is AttemptResult.CONNECT_FAILED and self.failed_locally:
            result = AttemptResult.NOT_SENT  # the node has no part in it
        if result is AttemptResult.RESET and self.idle_since_us and not self.response.header_bytes:
            self.pool.record_reuse(self, True)
        if result is AttemptResult.CONNECT_FAILED:
            self._log_failure(attempt)
        self.pool.lifecycle.attempt_ended(attempt, result)

    def _log_failure(self, attempt: Attempt) -> None:
        elapsed_ms = (self.pool.clock() - attempt.started_us) // 1000
        state = "dialling" if self.transport is None else "writing"
        why = self.cancel_result.value if self.cancel_result else self.connect_error or "broken"
        self.pool.log("link_failed", node=attempt.endpoint, state=state, why=why, ms=elapsed_ms)

    def cancel_attempt(self, result: AttemptResult) -> None:
        """End the attempt for `reason`.

        The outcome comes once the connection is closed, so the next attempt never overlaps this one.
        """
        if self.cancel_result is None and not self.closed:
            self.cancel_result = result
            if self.write_paused and not self.written and self.is_open():
                self._socket_state().stop_sending()
            self.close()

    def close(self) -> None:
        """End it, or its dial."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        elif self.dial_task is not None:
            self.dial_task.cancel()
