"""The denials of the send guard, and the violations that the run-time invariant checks count."""

from typing import Any

import pytest

from tests.helpers import T0, settings, up
from umberlead.common.counters import Counters
from umberlead.requests.invariants import Invariant, InvariantChecker, slow_start_bound
from umberlead.requests.send_guard import Denial, SendGuard
from umberlead.requests.types import Attempt, IncomingRequest, InFlightRequest
from umberlead.scheduling.events import AttemptResult, EndpointList, EndpointStatus

SECOND = 1_000_000


class Clock:
    def __init__(self) -> None:
        self.now = T0

    def __call__(self) -> int:
        return self.now


def request(class_name: str = "read", **changed: Any) -> InFlightRequest:
    ask = IncomingRequest(class_name, "gold", "v", None, 0, 2.0, T0 + SECOND, None, call_id=b"call")
    made = InFlightRequest(ask, lambda answer: None, id="0.1")
    for name, value in changed.items():
        setattr(made, name, value)
    return made


class TestGuard:
    def guard(self, ready: bool = True, waits: bool = True) -> SendGuard:
        self.clock = Clock()
        made = settings()
        classes = {c.name: c for c in made.classes}
        return SendGuard(classes, made.max_attempts, self.clock, lambda node: ready, lambda of: waits)

    @pytest.mark.parametrize(
        ("changed", "denial"),
        [
            ({}, None),
            ({"answered": True}, Denial.ANSWERED),
            ({"abandoned": True}, Denial.CLIENT_LEFT),
            ({"attempt_count": 3}, Denial.ATTEMPTS_USED),
            ({"class_name": "once", "may_have_run": True}, Denial.MAY_HAVE_RUN),
            ({"may_have_run": True}, None),
        ],
    )
    def test_an_attempt_begins_only_where_the_request_allows_it(
        self, changed: dict[str, Any], denial: Denial | None
    ) -> None:
        assert self.guard().may_begin(request(**changed)) is denial

    def test_an_attempt_begins_neither_beside_another_nor_without_its_client_nor_past_its_time(self) -> None:
        open_ = request()
        open_.attempt = Attempt(open_, 0, "n0", T0, T0 + SECOND)
        assert self.guard().may_begin(open_) is Denial.IN_FLIGHT
        assert self.guard(waits=False).may_begin(request()) is Denial.CLIENT_LEFT
        guard = self.guard()
        self.clock.now = T0 + SECOND
        assert guard.may_begin(request()) is Denial.OUT_OF_TIME

    def test_what_was_begun_is_not_written_once_node_client_or_time_is_gone(
        self,
    ) -> None:
        attempt = Attempt(request(), 0, "n0", T0, T0 + SECOND)
        assert self.guard().may_write(attempt) is None
        assert self.guard(ready=False).may_write(attempt) is Denial.ENDPOINT_OUT_OF_SERVICE
        assert self.guard(waits=False).may_write(attempt) is Denial.CLIENT_LEFT
        guard = self.guard()
        self.clock.now = T0 + SECOND
        assert guard.may_write(attempt) is Denial.OUT_OF_TIME


class TestChecker:
    def setup_method(self) -> None:
        self.clock, self.counters, self.lines = Clock(), Counters(), list[dict[str, Any]]()
        self.settings = settings(
            slow_start_units=20.0,
            initial_capacity_ratio=0.2,
            slow_start_window_us=2 * SECOND,
            warm_up_us=10 * SECOND,
        )
        self.checker = InvariantChecker(
            self.settings, self.clock, self.counters, lambda event, **details: self.lines.append(details)
        )
        self.checker.record_endpoint_list(EndpointList(True, (up("n0"), up("n1"))))

    def written(self, of: InFlightRequest, node: str = "n0", budget: int = SECOND) -> Attempt:
        attempt = Attempt(of, of.attempt_count, node, self.clock.now, of.incoming.deadline_us)
        self.checker.written(attempt, budget)
        return attempt

    def broken(self) -> set[str]:
        prefix = "invariant_violations_"
        return {name.removeprefix(prefix) for name in self.counters if name.startswith(prefix)}

    def test_what_keeps_all_rules_is_not_counted(self) -> None:
        of = request()
        for result in (AttemptResult.REJECTED, AttemptResult.RESET):
            self.checker.record_outcome(self.written(of), result)
        self.written(of, "n1")
        self.checker.record_answer(of)
        self.checker.closed(False, "announced", "")
        self.checker.listening(True)
        assert self.broken() == set() and not self.lines

    def test_attempts_that_break_a_rule_are_counted_by_its_name_and_logged_with_their_call(self) -> None:
        of = request("once")
        first = self.written(of)
        self.written(of)
        assert self.broken() == {"one_in_flight"}
        assert self.lines[0]["call"] == "call" and self.lines[0]["invariant"] == "one_in_flight"
        del first
        self.counters.clear()
        other = request("once", id="0.2")
        self.checker.record_outcome(self.written(other), AttemptResult.RESET)
        self.written(other)
        assert self.broken() == {"never_twice"}

    def test_an_attempt_that_is_dialled_again_is_no_second_one(self) -> None:
        of = request("once")
        attempt = self.written(of)
        self.checker.written(attempt, 0)
        assert self.broken() == set()
        self.checker.record_outcome(attempt, AttemptResult.RESET)
        self.checker.written(attempt, 0)
        assert self.broken() == {"never_twice"}

    def test_one_attempt_too_many_is_counted(self) -> None:
        of = request()
        for _ in range(self.settings.max_attempts):
            self.checker.record_outcome(self.written(of), AttemptResult.REJECTED)
        assert self.broken() == set()
        self.written(of)
        assert self.broken() == {"attempts_bounded"}

    def test_an_attempt_behind_the_client_the_time_or_the_budget_is_counted(self) -> None:
        self.clock.now = T0 + 200_000
        self.written(request(client_left_us=T0 + 50_000), budget=0)
        assert self.broken() == {"client_waits"}
        self.counters.clear()
        self.written(request(id="0.2"), budget=SECOND - 200_000 + 150_001)
        assert self.broken() == {"budget_told"}
        self.counters.clear()
        self.clock.now = T0 + SECOND
        self.written(request(id="0.3"), budget=0)
        assert self.broken() == {"in_time"}

    def test_an_attempt_at_a_node_that_is_out_for_long_is_counted(self) -> None:
        self.checker.record_endpoint_list(
            EndpointList(False, (up("n0").__class__("n0", EndpointStatus.DRAINING, 0),))
        )
        self.checker.record_manual_drain("n1", True)
        self.clock.now = T0 + 900_000
        self.written(request(), budget=0)
        assert self.broken() == set()
        late = request(id="0.2")
        late.incoming.deadline_us = T0 + 9 * SECOND
        self.clock.now = T0 + 1_000_001
        for node in ("n0", "n1"):
            self.checker.record_outcome(self.written(late, node), AttemptResult.REJECTED)
        assert self.broken() == {"node_in_service"} and len(self.lines) == 2
        self.counters.clear()
        self.checker.record_manual_drain("n1", False)
        self.written(late, "n1")
        assert self.broken() == set()

    def test_a_cold_node_that_one_process_alone_sends_too_much_is_counted(self) -> None:
        self.checker.record_endpoint_list(EndpointList(False, (up("n0", started=T0),)))
        most = int(slow_start_bound(20.0 / self.settings.mean_request_units))
        for number in range(most + 1):
            self.written(request(id=f"0.{number}"))
        assert self.broken() == {"slow_start"} and self.counters["invariant_violations"] == 1

    def test_a_second_answer_a_close_on_a_request_and_a_start_without_places_are_counted(self) -> None:
        self.checker.record_answer(request(answered=True))
        self.checker.closed(True, "evicted", "call")
        self.checker.listening(False)
        names = {i.value for i in (Invariant.ONE_ANSWER, Invariant.ANSWERED_BEFORE_CLOSE)}
        assert self.broken() == names | {"ready_before_listening"}


def test_small_allowances_are_given_more_to_chance() -> None:
    assert slow_start_bound(16.0) == 16 + 3 * 4 + 3
    assert slow_start_bound(36.0) == 36 + 2 * 6 + 2
