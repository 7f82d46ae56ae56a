"""One connection to a chunk server: writing a request, its reply, and what its end means.

Whether a request's bytes were all handed to the system decides between a failed connection, which proves that
nothing ran, and a reset, which does not. Nothing is ever sent again from here.
"""

import asyncio
from typing import cast

from umberlead.common.timer_wheel import Timer
from umberlead.config import Address
from umberlead.net.node_protocol import OutgoingRequest, decode_reply, encode_request, result_of_reply
from umberlead.net.pool_interface import ConnectionPool
from umberlead.net.reply_parser import ReplyParser
from umberlead.net.socket_state import SocketState
from umberlead.net.streaming import SERVER_PAUSE_TIMEOUT_US, ReplyStream, is_long_reply
from umberlead.requests.types import Attempt, Reply
from umberlead.scheduling.interface import Result


class NodeConnection(asyncio.Protocol):
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

    def __init__(self, pool: "ConnectionPool[NodeConnection]", address: Address) -> None:
        """Begin before the dial to `address`."""
        self.pool, self.address = pool, address
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.stop_reason: Result | None = None
        self.written = self.write_paused = False
        self.dial_task: asyncio.Task[None] | None = None
        self.timer: Timer | None = None
        self.slot = -1
        self.since_us = pool.clock()
        self.races = 0
        self.idle_since_us = 0
        self.used = self.closed = self.finished = False
        self.connect_error = ""
        self.local_fault = self.dropped = False
        self.stream: ReplyStream | None = None
        self.reply = ReplyParser(self, pool)
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
        self.pool.came_up(self)
        if self.attempt is None:
            return self.pool.put_unused(self)
        denial = self.pool.may_write(self.attempt)
        if denial is None:
            return self.send_request()
        self.pool.counters.add("node_connections_too_late")
        self.pool.counters.add(f"attempts_barred_{denial.value}")
        self.give_up(Result.MOOT)

    def send_request(self) -> None:
        """Write the attempt's request."""
        attempt, transport = self.attempt, self.transport
        assert attempt is not None and transport is not None
        self.used = True
        request: OutgoingRequest = attempt.ticket.ask.payload
        self.written = False
        budget_us = attempt.give_up - self.pool.clock()
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
        if self.attempt is None or self.stop_reason is not None:
            if self.stop_reason is None:
                self.pool.counters.add("node_answers_surplus")
            self.close()  # nobody asked: the connection is of no further use
            return
        if not self.reply.feed(data, self.pool.clock()):
            return self._malformed()
        if self.stream is not None and self.streaming and self.reply.complete:
            return self.stream.finish()  # all of a long reply in the read that began it
        if not self.given_up and self.attempt is not None:
            self._after_read()

    def _malformed(self) -> None:
        """End the reply, or break it off where the read that turned malformed began to pass it on."""
        if self.stream is not None and self.streaming:
            self.stream.abort()
        else:
            self.reply_failed("malformed")

    def _after_read(self) -> None:
        """End a reply that is complete, or wait for more of it."""
        if self.reply.complete:
            self._end_reply()
        elif not self.reply.head_complete and self.reply.head_bytes > self.pool.max_head_bytes:
            self.reply_failed("head_too_large")
        elif self.reply.begun and self.timer is None and not self.closed:
            self.timer = self.pool.wheel.after(self.pool.connect_timeout_us, self._check_progress)

    def eof_received(self) -> bool:
        """End a reply that ends with its connection."""
        if self.reply.framed or self._socket_state().was_reset():
            return False  # `connection_lost` follows: what came breaks off, or counts as a reset
        if self.stream is not None and self.streaming:
            self.stream.finish()
        if self.attempt is not None and not self.given_up and self.reply.head_complete:
            self._end_reply()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End what it carries."""
        if self.finished:
            return
        self.finished = True
        self.close()
        self.pool.remove(self)
        self.reply.release()
        self.dropped = not self.connect_error  # one that came up too late has not broken
        if self.stream is not None and self.streaming:
            self.stream.abort()
        if self.attempt is not None:
            # A stale pooled connection ends here too: what was written may have been read.
            self.end_attempt(Result.RESET if self.written else Result.NO_LINK)

    # ReplyReceiver: what the parser reads

    @property
    def given_up(self) -> bool:
        """Whether nothing more is wanted of the reply."""
        return self.stop_reason is not None

    def body_received(self, data: bytes) -> None:
        """Keep a piece of the body, or pass it on where the reply is a long one."""
        if self.stream is not None and self.streaming:
            return self.stream.write(data)
        if self.attempt is None:
            return  # given up within this read
        reply = self.reply
        reply.keep(data)
        if is_long_reply(reply.length, reply.body_bytes, reply.heard_us - reply.first_us):
            ticket = self.attempt.ticket
            served = reply.status in ticket.ask.payload.served
            if ticket.ask.streams and served and not ticket.answered:
                return self._start_stream()
        over_memory = self.pool.held_bytes > self.pool.memory_limit_bytes
        if reply.body_bytes > self.pool.max_reply_bytes or over_memory:
            self.reply_failed("too_large")

    def interim_complete(self) -> None:
        """Wait for the reply itself, which may be long in coming."""
        self.cancel_timer()

    def reply_failed(self, fault: str) -> None:
        """End the attempt: the node has answered, and may have run the request.

        An error of its own, and no news of its links. Where the reply ends can't be told, so the connection
        ends.
        """
        if self.attempt is not None and not self.given_up:
            self.pool.counters.add(f"node_answers_{fault}")
            self.give_up(Result.ERROR)

    def _check_progress(self) -> None:
        """Once begun, a reply goes on.

        A length that says too much would hold the request, and its place at the node, to the end of its time.
        """
        wait_us, attempt = self.pool.connect_timeout_us, self.attempt
        if attempt is not None and attempt.once and self.reply.head_complete:
            # Nothing is tried elsewhere in its place, and the server may only pause.
            wait_us = max(wait_us, SERVER_PAUSE_TIMEOUT_US)
        until_us = self.reply.heard_us + wait_us
        if until_us > self.pool.clock():
            self.timer = self.pool.wheel.at(until_us, self._check_progress)
        else:
            self.reply_failed("cut_short")

    def _decode(self) -> Reply:
        return decode_reply(self.reply.status, self.reply.headers, b"".join(self.reply.body))

    def _start_stream(self) -> None:
        """End the attempt with its first bytes; the rest goes through as its reader takes it."""
        attempt, reply = self.attempt, self._decode()
        assert attempt is not None
        self.stream = ReplyStream(self, self.pool, self.reply.body_bytes)
        reply.rest, reply.length = self.stream, self.reply.length
        self.reply.release()
        self.attempt, self.stop_reason = None, None
        self.cancel_timer()
        self.pool.counters.add("node_answers_long")
        self.pool.engine.ended(attempt, Result.OK, reply)
        if self.streaming:
            self.stream.start(attempt.give_up)
        else:
            self.close()  # its client has left

    def reuse(self) -> None:
        """Begin the next reply, and rest in the pool until then."""
        self.reply.reset()
        self.pool.put_idle(self)

    def _end_reply(self) -> None:
        """End the attempt with its whole reply."""
        attempt, reply = self.attempt, self._decode()
        assert attempt is not None
        result = result_of_reply(attempt.ticket.ask.payload, self.reply.status, self.reply.headers)
        if result is Result.MOOT:
            attempt.astray = True
            self.pool.counters.add("attempts_astray")
        if self.reply.surplus:
            self.pool.counters.add("node_answers_surplus")
        self.cancel_timer()
        keep = self.reply.reusable and self.written
        if not keep:
            self.close()
        self.attempt = None
        self.reply.reset()
        self.stop_reason = None
        if self.idle_since_us:
            self.pool.record_reuse(self, False)
        if keep:
            self.pool.put_idle(self)
        self.pool.engine.ended(attempt, result, reply)

    # Ends

    def end_attempt(self, result: Result) -> None:
        """Report the attempt's outcome, or dial once more where nothing of it was sent."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        reason = self.stop_reason
        if reason is not None:
            result = reason if self.written or reason is Result.MOOT else Result.NO_LINK
        elif result is Result.NO_LINK and self.dropped and not attempt.again:
            # Dropped before the request was on it: nothing was sent, and the node itself may be well.
            self.pool.counters.add("node_connections_broke_early")
            attempt.again = True
            return self.pool.redial(attempt, self.address)
        if result is Result.NO_LINK and self.local_fault:
            result = Result.MOOT  # the node has no part in it
        if result is Result.RESET and self.idle_since_us and not self.reply.head_bytes:
            self.pool.record_reuse(self, True)
        if result is Result.NO_LINK:
            self._log_failure(attempt)
        self.pool.engine.ended(attempt, result)

    def _log_failure(self, attempt: Attempt) -> None:
        elapsed_ms = (self.pool.clock() - attempt.sent) // 1000
        state = "dialling" if self.transport is None else "writing"
        why = self.stop_reason.value if self.stop_reason else self.connect_error or "broken"
        self.pool.log("link_failed", node=attempt.node, state=state, why=why, ms=elapsed_ms)

    def give_up(self, reason: Result) -> None:
        """End the attempt for `reason`.

        The outcome comes once the connection is closed, so the next attempt never overlaps this one.
        """
        if self.stop_reason is None and not self.closed:
            self.stop_reason = reason
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
