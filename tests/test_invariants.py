"""The denials of the send guard, and the violations that the run-time invariant checks count."""

from typing import Any

import pytest

from tests.helpers import T0, settings, up_endpoint
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


def request(class_name: str = "read", **attributes: Any) -> InFlightRequest:
    incoming = IncomingRequest(class_name, "gold", "v", None, 0, 2.0, T0 + SECOND, None, call_id=b"call")
    in_flight = InFlightRequest(incoming, lambda answer: None, id="0.1")
    for name, value in attributes.items():
        setattr(in_flight, name, value)
    return in_flight


class TestGuard:
    def guard(self, endpoint_ready: bool = True, is_client_connected: bool = True) -> SendGuard:
        self.clock = Clock()
        limits = settings()
        classes = {request_class.name: request_class for request_class in limits.classes}
        return SendGuard(
            classes,
            limits.max_attempts,
            self.clock,
            lambda endpoint: endpoint_ready,
            lambda in_flight: is_client_connected,
        )

    @pytest.mark.parametrize(
        ("attributes", "denial"),
        [
            ({}, None),
            ({"answered": True}, Denial.ANSWERED),
            ({"abandoned": True}, Denial.CLIENT_LEFT),
            ({"attempt_count": 3}, Denial.ATTEMPTS_USED),
            ({"class_name": "once", "may_have_run": True}, Denial.MAY_HAVE_RUN),
            ({"may_have_run": True}, None),
        ],
    )
    def test_request_state_decides_whether_an_attempt_may_begin(
        self, attributes: dict[str, Any], denial: Denial | None
    ) -> None:
        assert self.guard().may_begin(request(**attributes)) is denial

    def test_no_attempt_beside_another_after_disconnect_or_after_deadline(self) -> None:
        in_flight = request()
        in_flight.attempt = Attempt(in_flight, 0, "n0", T0, T0 + SECOND)
        assert self.guard().may_begin(in_flight) is Denial.IN_FLIGHT
        assert self.guard(is_client_connected=False).may_begin(request()) is Denial.CLIENT_LEFT
        guard = self.guard()
        self.clock.now = T0 + SECOND
        assert guard.may_begin(request()) is Denial.OUT_OF_TIME

    def test_no_write_to_drained_endpoint_after_disconnect_or_after_deadline(
        self,
    ) -> None:
        attempt = Attempt(request(), 0, "n0", T0, T0 + SECOND)
        assert self.guard().may_write(attempt) is None
        assert self.guard(endpoint_ready=False).may_write(attempt) is Denial.ENDPOINT_OUT_OF_SERVICE
        assert self.guard(is_client_connected=False).may_write(attempt) is Denial.CLIENT_LEFT
        guard = self.guard()
        self.clock.now = T0 + SECOND
        assert guard.may_write(attempt) is Denial.OUT_OF_TIME


class TestChecker:
    def setup_method(self) -> None:
        self.clock, self.counters, self.log_lines = Clock(), Counters(), list[dict[str, Any]]()
        self.settings = settings(
            slow_start_units=20.0,
            initial_capacity_ratio=0.2,
            slow_start_window_us=2 * SECOND,
            warm_up_us=10 * SECOND,
        )
        self.checker = InvariantChecker(
            self.settings, self.clock, self.counters, lambda event, **details: self.log_lines.append(details)
        )
        self.checker.record_endpoint_list(EndpointList(True, (up_endpoint("n0"), up_endpoint("n1"))))

    def write_attempt(
        self, in_flight: InFlightRequest, endpoint: str = "n0", budget_us: int = SECOND
    ) -> Attempt:
        attempt = Attempt(
            in_flight, in_flight.attempt_count, endpoint, self.clock.now, in_flight.incoming.deadline_us
        )
        self.checker.check_written(attempt, budget_us)
        return attempt

    def violated_invariants(self) -> set[str]:
        prefix = "invariant_violations_"
        return {name.removeprefix(prefix) for name in self.counters if name.startswith(prefix)}

    def test_no_violation_while_all_invariants_hold(self) -> None:
        in_flight = request()
        for result in (AttemptResult.REJECTED, AttemptResult.RESET):
            self.checker.record_outcome(self.write_attempt(in_flight), result)
        self.write_attempt(in_flight, "n1")
        self.checker.record_answer(in_flight)
        self.checker.check_close(False, "announced", "")
        self.checker.check_listening(True)
        assert self.violated_invariants() == set() and not self.log_lines

    def test_violations_are_counted_by_name_and_logged_with_the_call_id(self) -> None:
        in_flight = request("once")
        first = self.write_attempt(in_flight)
        self.write_attempt(in_flight)
        assert self.violated_invariants() == {"one_in_flight"}
        assert self.log_lines[0]["call"] == "call" and self.log_lines[0]["invariant"] == "one_in_flight"
        del first
        self.counters.clear()
        other = request("once", id="0.2")
        self.checker.record_outcome(self.write_attempt(other), AttemptResult.RESET)
        self.write_attempt(other)
        assert self.violated_invariants() == {"never_twice"}

    def test_reconnected_attempt_is_no_second_attempt(self) -> None:
        in_flight = request("once")
        attempt = self.write_attempt(in_flight)
        self.checker.check_written(attempt, 0)
        assert self.violated_invariants() == set()
        self.checker.record_outcome(attempt, AttemptResult.RESET)
        self.checker.check_written(attempt, 0)
        assert self.violated_invariants() == {"never_twice"}

    def test_attempt_beyond_the_limit_is_a_violation(self) -> None:
        in_flight = request()
        for _ in range(self.settings.max_attempts):
            self.checker.record_outcome(self.write_attempt(in_flight), AttemptResult.REJECTED)
        assert self.violated_invariants() == set()
        self.write_attempt(in_flight)
        assert self.violated_invariants() == {"attempts_bounded"}

    def test_attempt_after_disconnect_after_deadline_or_over_budget_is_a_violation(self) -> None:
        self.clock.now = T0 + 200_000
        self.write_attempt(request(client_disconnected_us=T0 + 50_000), budget_us=0)
        assert self.violated_invariants() == {"client_waits"}
        self.counters.clear()
        self.write_attempt(request(id="0.2"), budget_us=SECOND - 200_000 + 150_001)
        assert self.violated_invariants() == {"budget_told"}
        self.counters.clear()
        self.clock.now = T0 + SECOND
        self.write_attempt(request(id="0.3"), budget_us=0)
        assert self.violated_invariants() == {"in_time"}

    def test_attempt_at_an_endpoint_out_of_service_is_a_violation(self) -> None:
        self.checker.record_endpoint_list(
            EndpointList(False, (up_endpoint("n0").__class__("n0", EndpointStatus.DRAINING, 0),))
        )
        self.checker.record_manual_drain("n1", True)
        self.clock.now = T0 + 900_000
        self.write_attempt(request(), budget_us=0)
        assert self.violated_invariants() == set()
        late = request(id="0.2")
        late.incoming.deadline_us = T0 + 9 * SECOND
        self.clock.now = T0 + 1_000_001
        for endpoint in ("n0", "n1"):
            self.checker.record_outcome(self.write_attempt(late, endpoint), AttemptResult.REJECTED)
        assert self.violated_invariants() == {"node_in_service"} and len(self.log_lines) == 2
        self.counters.clear()
        self.checker.record_manual_drain("n1", False)
        self.write_attempt(late, "n1")
        assert self.violated_invariants() == set()

    def test_too_many_requests_to_a_cold_endpoint_are_a_violation(self) -> None:
        self.checker.record_endpoint_list(EndpointList(False, (up_endpoint("n0", started_us=T0),)))
        max_count = int(slow_start_bound(20.0 / self.settings.mean_request_units))
        for number in range(max_count + 1):
            self.write_attempt(request(id=f"0.{number}"))
        assert self.violated_invariants() == {"slow_start"} and self.counters["invariant_violations"] == 1

    def test_second_answer_early_close_and_early_listening_are_violations(self) -> None:
        self.checker.record_answer(request(answered=True))
        self.checker.check_close(True, "evicted", "call")
        self.checker.check_listening(False)
        names = {invariant.value for invariant in (Invariant.ONE_ANSWER, Invariant.ANSWERED_BEFORE_CLOSE)}
        assert self.violated_invariants() == names | {"ready_before_listening"}


def test_slow_start_bound_is_wider_for_small_allowances() -> None:
    assert slow_start_bound(16.0) == 16 + 3 * 4 + 3
    assert slow_start_bound(36.0) == 36 + 2 * 6 + 2
