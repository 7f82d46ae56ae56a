"""One connection to an endpoint: writes requests and classifies disconnects.

If the connection fails before the kernel has accepted the whole request, the endpoint can't have executed it
(CONNECT_FAILED). A later failure is a RESET, and the request may have been executed. This module never sends
a request twice.
"""

import asyncio
from typing import cast

from umberlead.configuration import Address
from umberlead.net.attempt_log import log_connection_failure, log_early_end
from umberlead.net.endpoint_protocol import OutgoingRequest, encode_request
from umberlead.net.pool_interface import ConnectionPool
from umberlead.net.response_handling import ResponseHandling
from umberlead.net.streaming import AbortReason
from umberlead.requests.types import Attempt
from umberlead.scheduling.events import AttemptResult
from umberlead.scheduling.token_bucket import NEVER


class EndpointConnection(ResponseHandling):
    """One connection to an endpoint; it carries one attempt at a time.

    Attributes (the others are those of `ResponseHandling`):
        address: host and port of the endpoint.
        write_paused: part of the request is still in the transport's write buffer.
        dial_task: the dial that establishes the connection.
        slot: index among the pool's connections.
        state_since_us: when the dial started, then when it succeeded.
        race_count: how many times racing this dial was considered.
        has_carried_attempt: a request was sent on the connection.
        finished: the connection has ended, and the pool has removed it.
        connect_error: why no connection was established.
        failed_locally: the dial failed for lack of local resources.
        broke_early: the connection broke while or after it was established; it was neither refused nor timed
            out.
    """

    def __init__(self, pool: "ConnectionPool[EndpointConnection]", address: Address) -> None:
        """Create a connection to `address` that is not dialed yet."""
        super().__init__(pool)
        self.address = address
        self.write_paused = False
        self.dial_task: asyncio.Task[None] | None = None
        self.slot = -1
        self.state_since_us = pool.clock()
        self.race_count = 0
        self.has_carried_attempt = self.finished = False
        self.connect_error = ""
        self.failed_locally = self.broke_early = False

    def has_no_unread_bytes(self) -> bool:
        """Return whether the receive buffer is empty; its bytes would be taken for the next response."""
        return not self._socket_state().pending_events()

    def is_open(self) -> bool:
        """Return whether the connection is established and not closing.

        The event loop reports a close one iteration after it.
        """
        return self.transport is not None and not self.transport.is_closing()

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
