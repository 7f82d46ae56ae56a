"""Run-time checks of what must hold whoever decides: violations are counted by name and logged.

The checks keep records of their own, taken where bytes leave and connections end, and share no state with the
guards they check: a guard that is bypassed or wrong shows as a violation. All times are whole microseconds of
one monotonic clock.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from umberlead.common.counters import Counters
from umberlead.requests.types import RESULTS_WITHOUT_EFFECT, Attempt, InFlightRequest
from umberlead.scheduling.events import AttemptResult, Endpoint, EndpointList, EndpointStatus
from umberlead.scheduling.settings import Repeatability, Settings
from umberlead.scheduling.slow_start import capacity_growth_factor

CLIENT_LEFT_GRACE_US = 100_000  # after a client left, in which an attempt may still begin
ENDPOINT_CHANGE_GRACE_US = 1_000_000  # after a change of the list, in which an attempt may still begin
TIME_BUDGET_SLACK_US = 150_000  # that the time told to a node may exceed what the client has left
SMALL_ALLOWANCE_REQUESTS = 30.0  # requests; below it chance weighs more, and the bound is wider
SMALL_DEVIATIONS, DEVIATIONS = 3.0, 2.0  # of the allowance's root, and as many requests, above it
ENDPOINT_MEMORY_US = 60_000_000  # that a node which is gone is remembered
MAX_LOGGED_COUNT = 100  # violations that are logged, line by line; all are counted


class Invariant(Enum):
    """What must hold."""

    ONE_ANSWER = "one_answer"
    ONE_IN_FLIGHT = "one_in_flight"
    ATTEMPTS_BOUNDED = "attempts_bounded"
    CLIENT_WAITS = "client_waits"
    IN_TIME = "in_time"
    NEVER_TWICE = "never_twice"
    ENDPOINT_IN_SERVICE = "node_in_service"
    TIME_BUDGET_SENT = "budget_told"
    SLOW_START = "slow_start"
    ANSWERED_BEFORE_CLOSE = "answered_before_close"
    READY_BEFORE_LISTENING = "ready_before_listening"


def slow_start_bound(allowance: float) -> float:
    """Return how many requests of mean work a cold node may get in a window in which it bears `allowance`."""
    deviations = SMALL_DEVIATIONS if allowance < SMALL_ALLOWANCE_REQUESTS else DEVIATIONS
    return allowance + deviations * math.sqrt(allowance) + deviations


@dataclass(slots=True)
class _NodeRecord:
    """What is known of a node: since when it takes no requests, by list or hand, and what a cold one got."""

    out_since: int | None = None
    by_hand_since: int | None = None
    started: int = 0
    sent: deque[tuple[int, float]] = field(default_factory=deque)
    sent_units: float = 0.0


@dataclass(slots=True)
class _RequestRecord:
    """The attempts of a request that were written."""

    written: int = 0
    in_flight: Attempt | None = None
    may_have_run: bool = False


class InvariantChecker:
    """Counts violations as `invariant_violations` and `invariant_violations_NAME`."""

    def __init__(
        self, settings: Settings, clock: Callable[[], int], counters: Counters, log: Callable[..., Any]
    ) -> None:
        """Check what `settings` allow; `log` takes an event's name and its values."""
        self._settings, self._clock, self._counters, self._log = settings, clock, counters, log
        self._effects = {c.name: c.repeatability for c in settings.classes}
        self._nodes: dict[str, _NodeRecord] = {}
        self._requests: dict[str, _RequestRecord] = {}
        self._forget_at = 0
        self._logged = 0

    def check(self, holds: bool, invariant: Invariant, **details: Any) -> None:
        """Count a violation of `invariant` unless it `holds`."""
        if holds:
            return
        self._counters.add("invariant_violations")
        self._counters.add(f"invariant_violations_{invariant.value}")
        if self._logged < MAX_LOGGED_COUNT:
            self._logged += 1
            self._log("invariant_violated", invariant=invariant.value, **details)

    # Nodes

    def listed(self, news: EndpointList) -> None:
        """Take note of a list of nodes, or a change of it, as it was told."""
        named = {node.name for node in news.endpoints}
        for node in news.endpoints:
            record = self._nodes.setdefault(node.name, _NodeRecord())
            record.out_since = self._since(record.out_since, node.status is not EndpointStatus.UP)
            if node.started_us != record.started:
                record.started, record.sent_units = node.started_us, 0.0
                record.sent.clear()
        if news.complete:
            for name in self._nodes.keys() - named:
                record = self._nodes[name]
                record.out_since = self._since(record.out_since, True)
        self._forget_gone()

    def taken_out(self, node: str, out: bool) -> None:
        """Take note that an operator took a node out, or put it back."""
        record = self._nodes.setdefault(node, _NodeRecord())
        record.by_hand_since = self._since(record.by_hand_since, out)

    def _since(self, before: int | None, out: bool) -> int | None:
        """Since when a node is out that was so since `before`."""
        if not out:
            return None
        return self._clock() if before is None else before

    def _forget_gone(self) -> None:
        """Forget nodes long gone, once in a while: where all are replaced again and again they add up."""
        now = self._clock()
        if now < self._forget_at:
            return
        self._forget_at = now + ENDPOINT_MEMORY_US
        oldest = now - ENDPOINT_MEMORY_US
        gone = [n for n, r in self._nodes.items() if r.out_since is not None and r.out_since < oldest]
        for name in gone:
            del self._nodes[name]

    # Attempts

    def written(self, attempt: Attempt, budget_us: int) -> None:
        """Check an attempt whose first byte is written now, and which is told to take `budget_us`."""
        request, now = attempt.request, self._clock()
        record = self._requests.setdefault(request.id, _RequestRecord())
        about = {
            "request": request.id,
            "call": request.request.call_id.decode("latin-1"),
            "node": attempt.endpoint,
        }
        effect = self._effects[request.request.class_name]
        dialled_again = record.in_flight is attempt  # its connection broke before all of it was written
        self.check(dialled_again or record.in_flight is None, Invariant.ONE_IN_FLIGHT, **about)
        record.written += not dialled_again
        self.check(record.written <= self._settings.max_attempts, Invariant.ATTEMPTS_BOUNDED, **about)
        repeated = record.may_have_run and effect is Repeatability.AT_MOST_ONCE
        self.check(not repeated, Invariant.NEVER_TWICE, **about)
        left_since = now - request.client_left_us if request.client_left_us else 0
        self.check(left_since <= CLIENT_LEFT_GRACE_US, Invariant.CLIENT_WAITS, late_us=left_since, **about)
        self.check(now < request.request.deadline_us, Invariant.IN_TIME, **about)
        over = budget_us - max(request.request.deadline_us - now, 0)
        self.check(over <= TIME_BUDGET_SLACK_US, Invariant.TIME_BUDGET_SENT, over_us=over, **about)
        record.in_flight = attempt
        self._check_node(attempt.endpoint, request.request.units, now, about)

    def _check_node(self, name: str, units: float, now: int, about: dict[str, str]) -> None:
        record = self._nodes.setdefault(name, _NodeRecord())
        since = [at for at in (record.out_since, record.by_hand_since) if at is not None]
        out_for = now - min(since, default=now)
        self.check(
            out_for <= ENDPOINT_CHANGE_GRACE_US, Invariant.ENDPOINT_IN_SERVICE, late_us=out_for, **about
        )
        settings = self._settings
        if (
            not record.started
            or settings.cold_start_units <= 0
            or now >= record.started + settings.warm_up_us
        ):
            return
        while record.sent and record.sent[0][0] <= now - settings.cold_window_us:
            record.sent_units -= record.sent.popleft()[1]
        record.sent.append((now, units))
        record.sent_units += units
        node = Endpoint(name, EndpointStatus.UP, 0, record.started)
        allowance = (
            settings.cold_start_units
            * capacity_growth_factor(settings, node, now)
            / settings.mean_request_units
        )
        within = record.sent_units / settings.mean_request_units <= slow_start_bound(allowance)
        self.check(within, Invariant.SLOW_START, units=round(record.sent_units, 1), **about)

    def ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Take note of an attempt's outcome."""
        record = self._requests.get(attempt.request.id)
        if record is not None and record.in_flight is attempt:
            record.in_flight = None
            record.may_have_run |= result not in RESULTS_WITHOUT_EFFECT

    # Requests

    def answered(self, request: InFlightRequest) -> None:
        """Check that a request gets its first answer."""
        about = {"request": request.id, "call": request.request.call_id.decode("latin-1")}
        self.check(not request.answered, Invariant.ONE_ANSWER, **about)

    def released(self, request: InFlightRequest) -> None:
        """Forget a request that is answered and has no attempt out."""
        self._requests.pop(request.id, None)

    def closed(self, owed: bool, reason: str, calls: str) -> None:
        """Check that a client's connection ends from here only where no request read on it is owed an answer.

        Args:
            owed: whether one is.
            reason: why the connection ends.
            calls: the call ids of the requests on it.
        """
        self.check(not owed, Invariant.ANSWERED_BEFORE_CLOSE, reason=reason, calls=calls)

    def listening(self, ready: bool) -> None:
        """Check that clients are taken only once the process can serve them."""
        self.check(ready, Invariant.READY_BEFORE_LISTENING)
