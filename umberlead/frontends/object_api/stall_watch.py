"""Tells an object's response that has stalled from one that progresses, past its client's time.

A range read whose chunk server stalls must end before its client gives up, and a response that a chunk server
still sends must not be cut off. Only the next bytes tell one from the other. So a response is given up if no
byte of it comes in the half second after its client's time, in which the platform's protocol still accepts an
answer; one that progresses then goes on, and may later pause for as long as a request of its class may take.
"""

from collections.abc import Callable

from umberlead.common.timer_wheel import Timer
from umberlead.frontends.object_api.requests import ObjectRequest
from umberlead.requests.lifecycle import RequestLifecycle

LATE_ANSWER_GRACE_US = 500_000  # after a client's time, in which an answer is late and not lost
READ_UNREAD_US = 2_000  # in which the event loop reads what a process that was held up has received


class StallWatch:
    """A context manager that watches a response while it is sent."""

    def __init__(
        self,
        request: ObjectRequest,
        lifecycle: RequestLifecycle,
        max_pause_us: int,
        on_stall: Callable[[], None],
    ) -> None:
        """Create the watch of a response that has begun.

        Args:
            request: the client's request.
            lifecycle: provides the clock and the timers.
            max_pause_us: how long the chunk servers may send nothing once the client's time is over.
            on_stall: called once if the response has stalled.
        """
        self._request = request
        self._lifecycle = lifecycle
        self._max_pause_us = max_pause_us
        self._on_stall = on_stall
        self._timer: Timer | None = None

    def __enter__(self) -> None:
        """Start to watch."""
        first_check_us = max(self._request.deadline_us, self._lifecycle.clock()) + LATE_ANSWER_GRACE_US
        self._call_at(first_check_us, self._request.deadline_us)

    def __exit__(self, *_: object) -> None:
        """Stop to watch."""
        if self._timer is not None:
            self._timer.cancel()

    def _call_at(self, when_us: int, since_us: int) -> None:
        self._timer = self._lifecycle.wheel.call_at(when_us, self._defer_check, since_us)

    def _defer_check(self, since_us: int) -> None:
        """Let the event loop read first: this process may have been held up."""
        self._timer = self._lifecycle.wheel.call_after(READ_UNREAD_US, self._check, since_us)

    def _check(self, since_us: int) -> None:
        """Report a stall if no byte has come since `since_us`."""
        now_us = self._lifecycle.clock()
        progress_us = self._last_progress_us()
        if not self._request.open_block_requests:  # the client reads, or the next window begins
            progress_us = now_us
        if progress_us < since_us:
            self._on_stall()
        else:
            self._call_at(progress_us + self._max_pause_us, progress_us + 1)

    def _last_progress_us(self) -> int:
        """Return when the latest byte of the response came from a chunk server."""
        progress_us = self._request.last_progress_us
        for in_flight in self._request.open_block_requests:
            if in_flight.attempt is not None:
                progress_us = max(progress_us, in_flight.attempt.response_received_us)
        return progress_us
