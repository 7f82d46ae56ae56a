"""Pacing of the watch on discovery: the timeout of a call, and the delay until the next one. No I/O.

Endpoint lists come from one of two kinds of servers. An agent on the front's own machine answers at once and
at no cost, and sends nothing while discovery is down. A front must get the agent's list at once, so it calls
again without backoff. A service answers the calls of the whole fleet in turn, and rejects (503) calls that
queued for about 2 s. A front must get the service's list within 6 s after the service can be reached,
whichever call failed. Which of the two a front calls is learned from the answers.

With a service, the time that a call hung and the delay after it are counted together from the call's last
activity, MAX_CALL_GAP_US at most (`recovery/backoff.py`); the rest of the 6 s is for the next call's time in
the queue. Times are microseconds of one monotonic clock.
"""

import random
from dataclasses import dataclass

from umberlead.recovery.backoff import FIRST_WINDOW_US, MAX_CALL_GAP_US, SERVICE_QUEUE_TIMEOUT_US, Backoff

SILENCE_TIMEOUT_US = 3_000_000  # without a byte on an open watch, which gets an empty line every 2 s
STALL_TIMEOUT_US = 1_500_000  # without a byte in the middle of a list, or of a response's head
# For the first byte from an agent on this machine. With the delay until the next call it is less than 1 s,
# the time within which a front must know of a drain that was announced while discovery recovered.
AGENT_RESPONSE_TIMEOUT_US = 600_000
# For the first byte where a service may be called, which answers calls in turn or rejects them after 2 s.
UNKNOWN_RESPONSE_TIMEOUT_US = 2_500_000
CONNECT_TIMEOUT_US = 2_000_000  # for a connection to a service
# For the first byte from a service. A rejection that comes later is still read.
SERVICE_RESPONSE_TIMEOUT_US = MAX_CALL_GAP_US - 3 * FIRST_WINDOW_US
AGENT_RESPONSE_US = 60_000  # only an agent answers within this time: a service has other calls in its queue
QUEUED_RESPONSE_US = SERVICE_QUEUE_TIMEOUT_US // 2  # a rejection after this time means that the call queued
# A fleet of this size is so small that a service can answer two calls of each member within
# UNKNOWN_RESPONSE_TIMEOUT_US.
SMALL_FLEET_SIZE = 8
STATUS_OK = 200


@dataclass(slots=True, eq=False)
class WatchCall:
    """One call to discovery, from its dial to the end of the watch that it opens.

    Attributes:
        started_us: when it was made.
        last_activity_us: when the last byte was received; `started_us` before the first one.
        connected_us: when its connection was established; None until then.
        answered: whether a byte was received.
        answered_quickly: whether the first byte came as fast as only an agent answers.
        status: the HTTP status of the response; 0 until it is received.
        retry_after_us: the Retry-After of the response; 0 without one.
        partial: whether a list, or the head of the response, has been received only in part.
        list_received: whether a list was received.
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
            may push lists too, so which of the two answers is learned.
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
            is_agent: whether an agent answers, if an earlier process of the front learned it; else None.
            rng: source of random numbers for the delays.
        """
        self.backoff = Backoff(fleet_size, rng)
        self.expects_agent = expects_agent
        self.is_agent: bool | None = is_agent if expects_agent else False

    def first_call_delay_us(self) -> int:
        """Return the delay until a new process's first call."""
        return 0 if self.expects_agent else self.backoff.first_delay_us()

    def start_call(self, now_us: int) -> WatchCall:
        """Return the record of a call that is made now."""
        return WatchCall(now_us, now_us)

    def record_activity(self, call: WatchCall, now_us: int) -> None:
        """Record that bytes were received, which restart the timeout; only a list resets the backoff."""
        call.last_activity_us = now_us
        if not call.answered:
            call.answered = True
            connected_us = call.connected_us
            call.answered_quickly = connected_us is not None and now_us - connected_us <= AGENT_RESPONSE_US

    def record_status(self, call: WatchCall, status: int) -> None:
        """Record the response's status, and learn from it whether an agent answers.

        An agent rejects no call. A service does not answer quickly, as it has other calls in its queue.
        """
        call.status = status
        if status != STATUS_OK:
            self.is_agent = False
        elif call.answered_quickly and self.is_agent is None:
            self.is_agent = True

    def record_list(self, call: WatchCall) -> None:
        """Record that a whole list was received."""
        call.list_received = True
        self.backoff.record_success()

    def address_changed(self) -> None:
        """Record that calls go to another address, to which earlier rejections do not apply."""
        self.backoff.record_success()

    def timeout_at_us(self, call: WatchCall) -> int:
        """Return when `call` times out if nothing more comes."""
        return call.last_activity_us + self._timeout_us(call)

    def _timeout_us(self, call: WatchCall) -> int:
        """Return how long `call` may be silent.

        An agent sends nothing while discovery is down, and must be called again soon after discovery is back:
        a call that hangs must not delay the next one. At a service that gets more calls than it answers, a
        call is silent because it queues.
        """
        if call.answered:
            return STALL_TIMEOUT_US if call.partial else SILENCE_TIMEOUT_US
        if self.is_agent is False:
            return CONNECT_TIMEOUT_US if call.connected_us is None else SERVICE_RESPONSE_TIMEOUT_US
        is_unknown = self.is_agent is None and call.connected_us is not None
        if is_unknown and self.backoff.fleet_size > SMALL_FLEET_SIZE:
            return UNKNOWN_RESPONSE_TIMEOUT_US  # a service that is up accepts the connection
        return AGENT_RESPONSE_TIMEOUT_US

    def is_still_read(self, call: WatchCall, now_us: int) -> bool:
        """Return whether a call that timed out is still read while the next one is made.

        If the server is a service, it answers the call, or rejects it, only after the timeout for an agent.
        """
        is_waiting = call.connected_us is not None and not call.answered
        may_be_service = self.is_agent is not False
        return is_waiting and may_be_service and now_us < call.started_us + UNKNOWN_RESPONSE_TIMEOUT_US

    def record_no_response(self, call: WatchCall) -> None:
        """Record that no byte came within UNKNOWN_RESPONSE_TIMEOUT_US.

        A service would have rejected the call by then, so an agent is assumed.
        """
        if self.is_agent is None and not call.answered:
            self.is_agent = True

    def next_call_delay_us(self, call: WatchCall, now_us: int, silent: bool) -> int:
        """Return the delay until the next call.

        Args:
            call: the previous call.
            now_us: the time in microseconds.
            silent: whether `call` timed out, instead of ending by itself.
        """
        hung = silent and not call.answered
        if hung and not self.is_still_read(call, now_us):
            self.record_no_response(call)
        if self.is_agent or (self.is_agent is None and hung):
            return self.backoff.agent_delay_us()
        if call.connected_us is None and not silent:
            self.backoff.record_connect_failure()
        since_us = call.last_activity_us if silent else now_us if call.list_received else call.started_us
        remaining_us = since_us + MAX_CALL_GAP_US - now_us
        was_rejected = call.answered and call.status not in (0, STATUS_OK)
        waited_in_queue = was_rejected and now_us - call.started_us >= QUEUED_RESPONSE_US
        return self.backoff.next_delay_us(now_us, remaining_us, call.retry_after_us, waited_in_queue)
