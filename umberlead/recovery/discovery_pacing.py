"""Pacing of the watch on discovery: how long a call is waited for, and when the next one is made. No I/O.

Lists come in one of two ways. An agent on the front's own machine answers at once and at no cost, and says
nothing while discovery is down. A front must know at once what the agent has, so it calls again at once. Or
one service answers the whole fleet in turn, and rejects (503) calls that queued for about 2 s. A front must
know what the service has within 6 s after it could be reached, whatever call failed. Which of the two it is
shows in how it answers.

With a service, the time that a call hung and the delay after it are counted together from the call's last
activity, MAX_CALL_GAP_US at most (`recovery/backoff.py`); the remainder is for the next call's time in the
queue. Times are microseconds of one monotonic clock.
"""

import random
from dataclasses import dataclass

from umberlead.recovery.backoff import FIRST_WINDOW_US, MAX_CALL_GAP_US, SERVICE_QUEUE_TIMEOUT_US, Backoff

SILENCE_TIMEOUT_US = 3_000_000  # without even an empty line, of which one comes every 2 s
STALL_TIMEOUT_US = 1_500_000  # without a byte in the middle of a list, or of a response's head
# For the first byte from an agent on this machine: with the delay it is less than the second within which a
# drain must be known that was announced as discovery came back.
AGENT_RESPONSE_TIMEOUT_US = 600_000
# The same where it may be a service, which answers in its turn or rejects the call after 2 s.
UNKNOWN_RESPONSE_TIMEOUT_US = 2_500_000
CONNECT_TIMEOUT_US = 2_000_000  # for a connection to a service
# For the first byte from a service; a rejection that comes later is still read.
SERVICE_RESPONSE_TIMEOUT_US = MAX_CALL_GAP_US - 3 * FIRST_WINDOW_US
AGENT_RESPONSE_US = 60_000  # within which only an agent answers: a service has others in its queue
QUEUED_RESPONSE_US = SERVICE_QUEUE_TIMEOUT_US // 2  # a rejection that comes later means that the call queued
# A service can answer two calls of each of so many members within UNKNOWN_RESPONSE_TIMEOUT_US.
SMALL_FLEET_SIZE = 8
STATUS_OK = 200


@dataclass(slots=True, eq=False)
class WatchCall:
    """One call, from its dial to the end of the watch that it opens.

    Attributes:
        started_us: when it was made.
        last_activity_us: when a byte last came.
        connected_us: when its connection was established; None until then.
        answered: whether a byte came.
        answered_quickly: whether the first byte came as fast as only an agent answers.
        status: the HTTP status of the response; 0 until it came.
        retry_after_us: of the response's Retry-After; 0 without one.
        partial: whether it stands in the middle of a list, or of the response's head.
        list_received: whether a list came.
    """

    started_us: int
    last_activity_us: int
    connected_us: int | None = None
    answered: bool = False
    answered_quickly: bool = False
    status: int = 0
    retry_after_us: int = 0
    partial: bool = False
    list_received: bool = False


class WatchPacing:
    """The pacing of one front's watch.

    Attributes:
        backoff: the delays between calls.
        expects_agent: whether lists are pushed, so that an agent should answer. A service for the whole fleet
            may push lists too, so what answers is learned.
        is_agent: whether an agent answers; None while that is not known.
    """

    def __init__(
        self,
        fleet_size: int = 1,
        expects_agent: bool = False,
        is_agent: bool | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Start without a call.

        Args:
            fleet_size: fronts that call the same service.
            expects_agent: whether an agent should answer.
            is_agent: what an earlier process of the front learned; None where it didn't.
            rng: for the delays.
        """
        self.backoff = Backoff(fleet_size, rng)
        self.expects_agent = expects_agent
        self.is_agent: bool | None = is_agent if expects_agent else False

    def first_call_delay_us(self) -> int:
        """Return the delay until a new process's first call."""
        return 0 if self.expects_agent else self.backoff.first_delay_us()

    def start_call(self, now: int) -> WatchCall:
        """Return the record of a call that is made now."""
        return WatchCall(now, now)

    def record_activity(self, call: WatchCall, now: int) -> None:
        """Note that bytes came: any end the silence, while only a list resets the backoff."""
        call.last_activity_us = now
        if not call.answered:
            call.answered = True
            connected_us = call.connected_us
            call.answered_quickly = connected_us is not None and now - connected_us <= AGENT_RESPONSE_US

    def record_status(self, call: WatchCall, status: int) -> None:
        """Note the response's status: an agent rejects no call, and a service has a queue to answer first."""
        call.status = status
        if status != STATUS_OK:
            self.is_agent = False
        elif call.answered_quickly and self.is_agent is None:
            self.is_agent = True

    def record_list(self, call: WatchCall) -> None:
        """Note that a whole list came."""
        call.list_received = True
        self.backoff.record_success()

    def address_changed(self) -> None:
        """Note that calls go to another address, for which earlier rejections say nothing."""
        self.backoff.record_success()

    def gives_up_at_us(self, call: WatchCall) -> int:
        """Return when `call` times out if nothing more comes."""
        return call.last_activity_us + self._timeout_us(call)

    def _timeout_us(self, call: WatchCall) -> int:
        """Return how long `call` may be silent.

        An agent is silent while discovery is down, and must be called again soon after it is back: a call
        that hangs must not delay the next one. At a service with more calls than it answers, calls queue.
        """
        if call.answered:
            return STALL_TIMEOUT_US if call.partial else SILENCE_TIMEOUT_US
        if self.is_agent is False:
            return CONNECT_TIMEOUT_US if call.connected_us is None else SERVICE_RESPONSE_TIMEOUT_US
        is_unknown = self.is_agent is None and call.connected_us is not None
        if is_unknown and self.backoff.fleet_size > SMALL_FLEET_SIZE:
            return UNKNOWN_RESPONSE_TIMEOUT_US  # a service that is up accepts the connection
        return AGENT_RESPONSE_TIMEOUT_US

    def keeps_listening(self, call: WatchCall, now: int) -> bool:
        """Tell whether a call that timed out is still read beside the next one.

        A service that was taken for an agent answers in its turn, or rejects the call, only then.
        """
        is_waiting = call.connected_us is not None and not call.answered
        may_be_service = self.is_agent is not False
        return is_waiting and may_be_service and now < call.started_us + UNKNOWN_RESPONSE_TIMEOUT_US

    def record_no_response(self, call: WatchCall) -> None:
        """Note that UNKNOWN_RESPONSE_TIMEOUT_US went by: a service would have rejected the call."""
        if self.is_agent is None and not call.answered:
            self.is_agent = True

    def next_call_delay_us(self, call: WatchCall, now: int, silent: bool) -> int:
        """Return the delay until the next call.

        Args:
            call: the call before it.
            now: the time in microseconds.
            silent: whether `call` timed out, and did not end by itself.
        """
        hung = silent and not call.answered
        if hung and not self.keeps_listening(call, now):
            self.record_no_response(call)
        if self.is_agent or (self.is_agent is None and hung):
            return self.backoff.agent_delay_us()
        if call.connected_us is None and not silent:
            self.backoff.queue_emptied()
        since_us = call.last_activity_us if silent else now if call.list_received else call.started_us
        remaining_us = since_us + MAX_CALL_GAP_US - now
        was_rejected = call.answered and call.status not in (0, STATUS_OK)
        waited_in_queue = was_rejected and now - call.started_us >= QUEUED_RESPONSE_US
        return self.backoff.next_delay_us(now, remaining_us, call.retry_after_us, waited_in_queue)
