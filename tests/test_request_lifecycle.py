"""The request lifecycle enforces its rules even if the scheduler returns wrong actions.

The scheduler's `handle` is replaced by a function that returns the actions that the test gives.
"""

import unittest
from typing import Any
from unittest import mock

from tests.test_parts import Alarm, Clock
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import TimerWheel
from umberlead.net.endpoint_connection import EndpointConnection
from umberlead.net.endpoint_protocol import OutgoingRequest
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.requests.types import Answer, AnswerKind, Attempt, IncomingRequest
from umberlead.scheduling.actions import Action, Fail, Reject, Send
from umberlead.scheduling.events import AttemptResult, Event, TimerExpired
from umberlead.scheduling.settings import Plan, Repeatability, RequestClass, Settings
from umberlead.scheduling.token_bucket import NEVER

SETTINGS = Settings(
    classes=(
        RequestClass("read", 300_000, 1_000_000),
        RequestClass("once", 300_000, 1_000_000, Repeatability.AT_MOST_ONCE),
    ),
    plans=(Plan("p"),),
    max_attempts=3,
)


class TestRequestLifecycle(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.pending_calls = Clock(), list[Any]()
        self.sent, self.stopped = list[Attempt](), list[tuple[Attempt, AttemptResult]]()
        self.answers, self.next_actions = list[Answer](), list[Action]()
        self.logged = list[str]()
        clock = self.clock
        timer_wheel = TimerWheel(lambda: clock.now, lambda d, f: Alarm(clock, clock.now + d, f), 2000)
        self.lifecycle = RequestLifecycle(
            SETTINGS,
            1,
            lambda: clock.now,
            timer_wheel,
            self.pending_calls.append,
            Counters(),
            lambda event, **_: self.logged.append(event),
        )
        self.lifecycle.transport = self
        self.lifecycle.scheduler.handle = self.handle  # type: ignore[method-assign]

    def start(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def stop(self, attempt: Attempt, result: AttemptResult) -> None:
        self.stopped.append((attempt, result))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        return False

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        actions, self.next_actions = self.next_actions, []
        return actions

    def run_batch(self, *actions: Action) -> None:
        """Return `actions` from the scheduler's next batch, and run the batch."""
        self.next_actions = list(actions)
        if not self.pending_calls:
            self.lifecycle._post(TimerExpired("x"))
        while self.pending_calls:
            self.pending_calls.pop(0)()

    def accept_request(self, name: str = "read") -> Any:
        incoming = IncomingRequest(name, "p", "v", None, 0, 1.0, self.clock.now + 1_000_000, None)
        return self.lifecycle.accept(incoming, self.answers.append)

    def test_later_actions_do_not_cause_a_second_answer(self) -> None:
        request = self.accept_request()
        self.run_batch(Send(request.id, "n"))
        self.lifecycle.attempt_ended(self.sent[0], AttemptResult.OK)
        self.run_batch(Reject(request.id), Fail(request.id), Send(request.id, "n"))
        self.clock.run(5_000_000)
        self.assertEqual([a.kind for a in self.answers], [AnswerKind.SERVED])
        self.assertEqual((len(self.sent), len(self.lifecycle.open_requests)), (1, 0))
        self.assertRaises(RuntimeError, self.lifecycle.attempt_ended, self.sent[0], AttemptResult.OK)

    def test_one_attempt_at_a_time_and_at_most_max_attempts(self) -> None:
        request = self.accept_request()
        self.run_batch(Send(request.id, "a"), Send(request.id, "b"))
        self.assertEqual([a.endpoint for a in self.sent], ["a"])
        self.lifecycle.attempt_ended(self.sent[0], AttemptResult.REJECTED)
        self.run_batch(Send(request.id, "c"))
        self.lifecycle.attempt_ended(self.sent[1], AttemptResult.REJECTED)
        self.run_batch(Send(request.id, "d"))
        self.assertEqual([a.number for a in self.sent], [0, 2])

    def test_at_most_once_request_that_may_have_run_is_not_retried_or_rejected(self) -> None:
        for result in (
            AttemptResult.ERROR,
            AttemptResult.RESET,
            AttemptResult.TIMEOUT,
            AttemptResult.CANCELLED,
        ):
            request = self.accept_request("once")
            self.run_batch(Send(request.id, "n"))
            self.lifecycle.attempt_ended(self.sent.pop(), result)
            self.run_batch(Send(request.id, "n"), Reject(request.id))
            self.assertEqual((self.sent, self.answers.pop().kind), ([], AnswerKind.FAILED))

    def test_requests_are_answered_if_the_scheduler_raises_or_does_not_answer(self) -> None:
        def raise_error(*_: Any) -> list[Action]:
            raise ValueError("no")

        self.lifecycle.scheduler.handle = raise_error  # type: ignore[method-assign,assignment]
        self.accept_request()
        self.run_batch()
        self.clock.run(3_000_000)
        self.assertEqual((self.logged[0], self.answers.pop().kind), ("module_error", AnswerKind.REJECTED))
        self.lifecycle.scheduler.handle = self.handle  # type: ignore[method-assign]
        request = self.accept_request()
        self.run_batch(Send(request.id, "n"))
        self.clock.run(5_000_000)
        self.assertEqual([why for _, why in self.stopped], [AttemptResult.TIMEOUT])
        self.assertEqual(self.answers.pop().kind, AnswerKind.FAILED)  # its attempt is still in flight
        self.lifecycle.attempt_ended(self.sent[0], AttemptResult.TIMEOUT)
        self.assertEqual(len(self.lifecycle.open_requests), 0)

    def test_lost_connection_means_not_run_only_before_the_last_byte_is_written(self) -> None:
        for steps, expected in (
            ("", AttemptResult.RESET),
            ("pause", AttemptResult.CONNECT_FAILED),
            ("pause resume", AttemptResult.RESET),
        ):
            transport = mock.Mock()
            pool = mock.Mock(
                clock=lambda: 0, host_line=b"", buffered_bytes=0, write_denial=lambda attempt: None
            )
            transport.is_closing.return_value = False
            connection = EndpointConnection(pool, ("h", 1))
            connection.attempt = mock.Mock(deadline_us=0, started_us=0, write_until_us=NEVER)
            connection.attempt.request.incoming.payload = OutgoingRequest(b"PUT", b"/x", [], b"body")
            transport.writelines.side_effect = lambda _, c=connection, s=steps: s and c.pause_writing()
            connection.connection_made(transport)
            if "resume" in steps:
                connection.resume_writing()
            connection.connection_lost(None)
            self.assertEqual(pool.lifecycle.attempt_ended.call_args.args[1], expected, steps)


if __name__ == "__main__":
    unittest.main()
