"""How a watch on discovery is paced: how long a call is waited for, and when the next one is made. No I/O.

Lists come in one of two ways. An agent on the front's own machine answers at once and at no cost, and is
silent while discovery is down; what it has counts as told at once, so it is called again at once. Or one
service answers the whole fleet in turn, and says no (503) to what has waited about 2 s; what it has counts
6 s after it had it and could be reached, whatever call failed. Which of the two it is shows in how it
answers.

The bound of the second: what a call has waited and the pause after it are counted together from the last
sign of life, LIMIT at most (`recovery/backoff.py`), and the next call's turn is the rest. How it fares, and
where a fleet calls more than the service takes, is in docs/measurements/news.md. Times are us of one clock
that only goes on."""

import random
from dataclasses import dataclass

from umberlead.recovery.backoff import FIRST_WINDOW_US, MAX_CALL_GAP_US, SERVICE_QUEUE_TIMEOUT_US, Backoff

SILENCE_TIMEOUT_US = 3_000_000  # us without even an empty line, of which one comes every 2 s
STALL_TIMEOUT_US = 1_500_000  # us without a byte in the middle of a list, or of an answer's head
AGENT_RESPONSE_TIMEOUT_US = (
    600_000  # us an agent on this machine may take over a call's first word: with the pause, less
)
# than the second in which a drain told at the return of discovery must be known
UNKNOWN_RESPONSE_TIMEOUT_US = (
    2_500_000  # us the same, where it may be a service that answers in turn, or says no, after 2 s
)
CONNECT_TIMEOUT_US = 2_000_000  # us a connection to a service may take to come up
SERVICE_RESPONSE_TIMEOUT_US = (
    MAX_CALL_GAP_US - 3 * FIRST_WINDOW_US
)  # us a service that answers in turn may take; a no that comes late is still heard
AGENT_RESPONSE_US = (
    60_000  # us in which only an agent answers: the service was seen to take seven calls a second
)
QUEUED_RESPONSE_US = (
    SERVICE_QUEUE_TIMEOUT_US // 2
)  # us after which a no means that the call had waited its turn
SMALL_FLEET_SIZE = (
    8  # members of which each may call twice in UNSURE and a service that answers in turn bears it
)


@dataclass(slots=True, eq=False)
class WatchCall:
    """One call, from its dial to the end of the watch that it opens."""

    started_us: int
    last_activity_us: int  # its last sign of life
    connected_us: int | None = None  # when its connection came up
    answered: bool = False
    answered_quickly: bool = False  # its first word came as only an agent's does
    status: int = 0
    retry_after_us: int = 0  # us of a Retry-After
    partial: bool = False  # the middle of a list, or of the answer's head
    list_received: bool = False  # a list came


class WatchPacing:
    """One front's watch. `ours`: lists are pushed, so it should be an agent that answers; pushed lists were
    met behind a service for the whole fleet too, so it is learnt. `agent`: what an earlier process learnt."""

    def __init__(
        self,
        fleet_size: int = 1,
        expects_agent: bool = False,
        is_agent: bool | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.backoff, self.expects_agent = Backoff(fleet_size, rng), expects_agent
        self.is_agent: bool | None = is_agent if expects_agent else False  # None: not known yet

    def first_call_delay_us(self) -> int:
        """Us until a new process's first call."""
        return 0 if self.expects_agent else self.backoff.first_delay_us()

    def start_call(self, now: int) -> WatchCall:
        return WatchCall(now, now)

    def record_activity(self, call: WatchCall, now: int) -> None:
        """Anything at all counts against silence; only a list resets the back-off (see `listed`)."""
        call.last_activity_us = now
        if not call.answered:
            call.answered = True
            call.answered_quickly = (
                call.connected_us is not None and now - call.connected_us <= AGENT_RESPONSE_US
            )

    def record_status(self, call: WatchCall, status: int) -> None:
        """The answer's status. An agent does not say no; a service that has others to answer is not quick."""
        call.status = status
        if status != 200:
            self.is_agent = False
        elif call.answered_quickly and self.is_agent is None:
            self.is_agent = True

    def record_list(self, call: WatchCall) -> None:
        call.list_received = True
        self.backoff.record_success()

    def address_changed(self) -> None:
        """To another address: what was refused there says nothing here."""
        self.backoff.record_success()

    def gives_up_at_us(self, call: WatchCall) -> int:
        """When `call` is given up if nothing more comes of it."""
        return call.last_activity_us + self._timeout_us(call)

    def _timeout_us(self, call: WatchCall) -> int:
        """While discovery is down an agent says nothing. What it gets at the return counts as told at once:
        a call that hangs must not stand in the way of the next. A service that is overbooked has it wait."""
        if call.answered:
            return STALL_TIMEOUT_US if call.partial else SILENCE_TIMEOUT_US
        if self.is_agent is False:
            return CONNECT_TIMEOUT_US if call.connected_us is None else SERVICE_RESPONSE_TIMEOUT_US
        if (
            self.is_agent is None
            and call.connected_us is not None
            and self.backoff.fleet_size > SMALL_FLEET_SIZE
        ):
            return UNKNOWN_RESPONSE_TIMEOUT_US  # a service that is up takes the call
        return AGENT_RESPONSE_TIMEOUT_US

    def keeps_listening(self, call: WatchCall, now: int) -> bool:
        """Whether a call that was given up is still listened to beside the next, up to UNSURE after it began:
        a service that was taken for an agent answers in its turn, or says no, only then."""
        here = call.connected_us is not None and not call.answered
        return here and self.is_agent is not False and now < call.started_us + UNKNOWN_RESPONSE_TIMEOUT_US

    def record_no_response(self, call: WatchCall) -> None:
        """UNSURE went by: a service would have said no."""
        if self.is_agent is None and not call.answered:
            self.is_agent = True

    def next_call_delay_us(self, call: WatchCall, now: int, silent: bool) -> int:
        """Us from `now` until the next call; `silent`: this one was given up, and did not end."""
        hung = silent and not call.answered
        if hung and not self.keeps_listening(call, now):
            self.record_no_response(call)
        if self.is_agent or (self.is_agent is None and hung):
            return self.backoff.agent_delay_us()
        if call.connected_us is None and not silent:
            self.backoff.queue_emptied()
        since = call.last_activity_us if silent else now if call.list_received else call.started_us
        waited = call.answered and call.status not in (0, 200) and now - call.started_us >= QUEUED_RESPONSE_US
        return self.backoff.next_delay_us(now, since + MAX_CALL_GAP_US - now, call.retry_after_us, waited)
