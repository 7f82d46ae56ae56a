"""Passes events to the scheduler in batches, and carries out the actions that it returns."""

import traceback
from collections.abc import Callable
from typing import Any

from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.requests.open_requests import OpenRequests
from umberlead.requests.types import InFlightRequest
from umberlead.scheduling.actions import Action, Cancel, Fail, LogNote, Reject, Send, SetTimer
from umberlead.scheduling.events import Event, TimerExpired
from umberlead.scheduling.scheduler import Scheduler

DECISION_RETRY_DELAY_US = 10_000  # from an error of the scheduler to its next call
RETRY_LABEL = "retry"  # of the timer for that call

RequestAction = Send | Reject | Fail | Cancel


class DecisionLoop:
    """Passes all events of one turn of the event loop to the scheduler as one batch.

    Attributes:
        action_observer: called with the time and the actions of each decision.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        open_requests: OpenRequests,
        carry_out: Callable[[InFlightRequest, RequestAction], None],
        clock: Callable[[], int],
        wheel: TimerWheel,
        call_soon: Callable[[Callable[[], None]], Any],
        counters: Counters,
        log: Callable[..., None],
    ) -> None:
        """Start without events.

        Args:
            scheduler: takes the events and returns actions.
            open_requests: the requests that actions refer to.
            carry_out: carries out an action on an open request.
            clock: returns microseconds.
            wheel: holds the scheduler's timers.
            call_soon: calls a function in the next turn of the event loop.
            counters: the counters of the process.
            log: logs an event by its name and its fields.
        """
        self.action_observer: Callable[[int, list[Action]], None] | None = None
        self._scheduler = scheduler
        self._open_requests = open_requests
        self._carry_out = carry_out
        self._clock = clock
        self._wheel = wheel
        self._call_soon = call_soon
        self._counters = counters
        self._log = log
        self._events: list[Event] = []

    def post(self, event: Event) -> None:
        """Add an event to the batch that the scheduler gets in the next turn of the event loop."""
        if not self._events:
            self._call_soon(self._decide)
        self._events.append(event)

    def _decide(self) -> None:
        events = self._events
        self._events = []
        now_us = self._clock()
        try:
            actions = self._scheduler.handle(now_us, events)
        except Exception:  # open requests are still answered at their deadlines
            self._counters.add("module_errors")
            self._log("module_error", trace=traceback.format_exc())
            # The scheduler still has the events after the failed one, and its own timers.
            self._wheel.call_at(now_us + DECISION_RETRY_DELAY_US, self.post, TimerExpired(RETRY_LABEL))
            return
        if self.action_observer is not None:
            self.action_observer(now_us, actions)
        # All requests are looked up before any action is carried out. An action may reveal that its client
        # has disconnected, which closes the client's other requests, but each Send must get an outcome.
        for action, request in [(action, self._request_of(action)) for action in actions]:
            try:
                self._perform(action, request, now_us)
            except Exception:  # the other actions must be carried out, above all the timer of the scheduler
                self._counters.add("module_errors")
                self._log("module_error", trace=traceback.format_exc())

    def _perform(self, action: Action, request: InFlightRequest | None, now_us: int) -> None:
        if isinstance(action, SetTimer):
            self._wheel.call_at(now_us + action.delay_us, self.post, TimerExpired(action.label))
        elif isinstance(action, LogNote):
            self._log("module_note", text=action.text)
        elif isinstance(action, RequestAction) and request is not None:
            self._carry_out(request, action)

    def _request_of(self, action: Action) -> InFlightRequest | None:
        return self._open_requests.find(action.request_id) if isinstance(action, RequestAction) else None
