"""The watch of service discovery: a stream of endpoint list changes, reconnected with backoff."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import Timer, TimerWheel
from umberlead.configuration import Address, DiscoveryMessage, parse_discovery_message
from umberlead.net.watch_stream import WatchStream
from umberlead.recovery.backoff import LAST_WINDOW_US
from umberlead.recovery.discovery_pacing import UNKNOWN_RESPONSE_TIMEOUT_US, WatchPacing


class DiscoveryWatch:
    """Watches the endpoint list; the latest one stays in use while the service can't be reached.

    Attributes:
        address: host and port of the service.
        list_index: version of the latest list.
        on_message: is called with each list or change.
        pacing: timeouts and backoff, which depend on the fleet's size and on whether an agent answers.
        expects_agent: whether the configured address is that of an agent on this host.
        on_agent_detected: is called once it is known whether an agent answers at the address.
        stream: the current call; None between calls.
        late_stream: a call that timed out and is still read, in parallel with its successor.
        dial_task: establishes the current call's connection.
        retry_timer: starts the next call.
        first_list_received: is set with the first list.
        closed: no further call is made.
    """

    def __init__(
        self,
        address: Address,
        known_message: DiscoveryMessage,
        loop: asyncio.AbstractEventLoop,
        wheel: TimerWheel,
        clock: Callable[[], int],
        counters: Counters,
        log: Callable[..., Any],
        on_message: Callable[[DiscoveryMessage], None],
        fleet_size: int = 1,
        expects_agent: bool = False,
        is_agent: bool | None = None,
        on_agent_detected: Callable[[bool], None] | None = None,
    ) -> None:
        """Prepare a watch; `start` makes the first call."""
        self.address = address
        self.list_index = known_message.index
        self.on_message = on_message
        self.loop = loop
        self.wheel = wheel
        self.clock = clock
        self.counters = counters
        self.log = log
        self.stream: WatchStream | None = None
        self.late_stream: WatchStream | None = None
        self.dial_task: asyncio.Task[None] | None = None
        self.retry_timer: Timer | None = None
        self.pacing = WatchPacing(fleet_size, expects_agent, is_agent)
        self.expects_agent = expects_agent
        self.on_agent_detected = on_agent_detected
        self._is_agent = is_agent
        self.first_list_received = asyncio.Event()
        self.closed = False

    def start(self) -> None:
        """Make this process's first call, after the delay that its pacing requires."""
        delay_us = self.pacing.first_call_delay_us()
        if delay_us:
            self.retry_timer = self.wheel.call_after(delay_us, self.open)
        else:
            self.open()

    def open(self) -> None:
        """Start a call now."""
        if self.closed:
            return
        stream = WatchStream(self)
        self.stream = stream
        self.dial_task = self.loop.create_task(self._dial(stream))
        self.arm_silence_timer(stream)

    def arm_silence_timer(self, stream: WatchStream) -> None:
        """Schedule the check of whether `stream` has gone silent."""
        if stream.silence_timer is not None:
            stream.silence_timer.cancel()
        if not stream.ended and stream is not self.late_stream:
            delay_us = max(self.pacing.timeout_at_us(stream.call) - self.clock(), 0)
            stream.silence_timer = self.wheel.call_after(delay_us, self._check_silence, stream)

    async def _dial(self, stream: WatchStream) -> None:
        try:
            await self._connect(stream)
        except Exception as error:  # nobody waits for this task
            message = "the dial to discovery failed"
            self.loop.call_exception_handler({"message": message, "exception": error})
            stream.end("failed")

    async def _connect(self, stream: WatchStream) -> None:
        try:
            await self.loop.create_connection(lambda: stream, *self.address)
        except OSError:
            stream.end("refused")

    def restore_timers(self) -> None:
        """Start again what an unexpected error has ended: the next call, or the check of a silence."""
        if self.closed:
            return
        stream = self.stream
        if stream is None or stream.ended:
            if self.retry_timer is None or self.retry_timer.callback is None:
                self.counters.add("discovery_restarts")
                self.retry_timer = self.wheel.call_after(LAST_WINDOW_US, self.open)
        elif stream.silence_timer is None or stream.silence_timer.callback is None:
            self.counters.add("discovery_restarts")
            self.arm_silence_timer(stream)

    def _check_silence(self, stream: WatchStream) -> None:
        """Abandon a silent stream: a network partition gives no other sign."""
        if stream.ended or stream is self.late_stream:
            return
        now_us = self.clock()
        if now_us >= self.pacing.timeout_at_us(stream.call):
            stream.read_unread_bytes()
            if stream.ended or stream is self.late_stream:
                return
        if now_us < self.pacing.timeout_at_us(stream.call):
            self.arm_silence_timer(stream)
        elif self.late_stream is None and self.pacing.is_still_read(stream.call, now_us):
            self.stream_ended(stream, "silent")
            self.late_stream = stream
            delay_us = stream.call.started_us + UNKNOWN_RESPONSE_TIMEOUT_US - now_us
            self.wheel.call_after(delay_us, self._close_late_stream, stream)
        else:
            if self.dial_task is not None:
                self.dial_task.cancel()
            stream.end("silent")

    def _close_late_stream(self, stream: WatchStream) -> None:
        if self.late_stream is stream:
            self.pacing.record_no_response(stream.call)
            stream.end("silent")

    def response_started(self, stream: WatchStream) -> None:
        """Handle the end of a response's headers.

        A list is used even if its call has timed out. Any other response closes a call that has timed out: if
        it was a rejection, the pacing has learned whether an agent answers, and the next call is made as
        scheduled.
        """
        late_stream = self.late_stream
        self.late_stream = None
        if late_stream is stream and stream.call.status == 200:
            self._close_streams()
            self.stream = stream
            self.arm_silence_timer(stream)
        elif late_stream is not None:
            late_stream.end("left")

    def apply_line(self, stream: WatchStream, line: bytes) -> bool:
        """Apply one JSON object of a stream; return False if it is not an endpoint list."""
        try:
            message = parse_discovery_message(json.loads(line), on_bad_entry=self._record_malformed)
        except (ValueError, RecursionError) as error:  # configuration errors are ValueErrors
            self._record_malformed(error)
            return False
        self.first_list_received.set()
        self.counters.add("discovery_updates")
        self.pacing.record_list(stream.call)
        self.on_message(message)
        self.list_index = message.index  # only now: a change that could not be applied is asked for again
        self._report_agent(stream)
        return True

    def _report_agent(self, stream: WatchStream) -> None:
        """Report whether an agent answers at the address, once that is certain and if it has changed."""
        is_agent = self.pacing.is_agent
        if self.on_agent_detected is None or is_agent is None or is_agent == self._is_agent:
            return
        if not is_agent or stream.call.answered_quickly:
            self._is_agent = is_agent
            self.on_agent_detected(is_agent)

    def _record_malformed(self, error: Exception) -> None:
        """Count and log a malformed entry; other entries still apply, such as one for a draining endpoint."""
        self.counters.add("discovery_entries_malformed")
        self.log("watch_entry_rejected", reason=str(error))

    def stream_ended(self, stream: WatchStream, reason: str) -> None:
        """Schedule the next call, unless `stream` was replaced already."""
        if stream is self.late_stream:
            self.late_stream = None
        if not self.closed and stream is self.stream:
            self.stream = None
            self.counters.add("discovery_breaks")
            self.log("watch_disconnected", reason=reason, status=stream.call.status)
            delay_us = self.pacing.next_call_delay_us(stream.call, self.clock(), reason == "silent")
            self.retry_timer = self.wheel.call_after(delay_us, self.open)

    def change_address(self, address: Address) -> None:
        """Watch another address at once, without waiting for the current call to end.

        List versions belong to one service, so the new one is asked for its complete list. The current list
        stays in use until that arrives.
        """
        if address == self.address or self.closed:
            return
        self.counters.add("discovery_moves")
        for stream in (self.stream, self.late_stream):
            if stream is not None:
                stream.read_unread_bytes()
        self.address = address
        self.list_index = 0
        self.pacing.address_changed()
        self._close_streams()
        self.open()

    def _close_streams(self) -> None:
        """Close the open calls and cancel the next one."""
        streams = (self.stream, self.late_stream)
        self.stream = None
        self.late_stream = None
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        if self.dial_task is not None:
            self.dial_task.cancel()
        for stream in streams:
            if stream is not None:
                stream.end("left")

    def close(self) -> None:
        """End the watch."""
        self.closed = True
        self._close_streams()
