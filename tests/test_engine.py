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

SETTINGS = Settings(
    classes=(
        RequestClass("read", 300_000, 1_000_000),
        RequestClass("once", 300_000, 1_000_000, Repeatability.AT_MOST_ONCE),
    ),
    plans=(Plan("p"),),
    max_attempts=3,
)


class TestEngine(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.calls = Clock(), list[Any]()
        self.sent, self.stopped = list[Attempt](), list[tuple[Attempt, AttemptResult]]()
        self.answers, self.says = list[Answer](), list[Action]()
        self.logged = list[str]()
        clock = self.clock
        wheel = TimerWheel(lambda: clock.now, lambda d, f: Alarm(clock, clock.now + d, f), 2000)
        self.engine = RequestLifecycle(
            SETTINGS,
            1,
            lambda: clock.now,
            wheel,
            self.calls.append,
            Counters(),
            lambda event, **_: self.logged.append(event),
        )
        self.engine.transport = self
        self.engine.scheduler.handle = self.handle  # type: ignore[method-assign]

    def start(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def stop(self, attempt: Attempt, why: AttemptResult) -> None:
        self.stopped.append((attempt, why))

    def cancel_if_unsent(self, attempt: Attempt) -> bool:
        return False

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        says, self.says = self.says, []
        return says

    def turn(self, *says: Action) -> None:
        """Return `says` from the scheduler's next batch, and run the batch."""
        self.says = list(says)
        if not self.calls:
            self.engine._post(TimerExpired("x"))
        while self.calls:
            self.calls.pop(0)()

    def take(self, name: str = "read") -> Any:
        ask = IncomingRequest(name, "p", "v", None, 0, 1.0, self.clock.now + 1_000_000, None)
        return self.engine.accept(ask, self.answers.append)

    def test_one_answer_whatever_comes_after_it(self) -> None:
        t = self.take()
        self.turn(Send(t.id, "n"))
        self.engine.attempt_ended(self.sent[0], AttemptResult.OK)
        self.turn(Reject(t.id), Fail(t.id), Send(t.id, "n"))
        self.clock.run(5_000_000)
        self.assertEqual([a.kind for a in self.answers], [AnswerKind.SERVED])
        self.assertEqual((len(self.sent), len(self.engine.open_requests)), (1, 0))
        self.assertRaises(RuntimeError, self.engine.attempt_ended, self.sent[0], AttemptResult.OK)

    def test_never_two_attempts_at_once_nor_more_than_the_most(self) -> None:
        t = self.take()
        self.turn(Send(t.id, "a"), Send(t.id, "b"))
        self.assertEqual([a.endpoint for a in self.sent], ["a"])
        self.engine.attempt_ended(self.sent[0], AttemptResult.REJECTED)
        self.turn(Send(t.id, "c"))
        self.engine.attempt_ended(self.sent[1], AttemptResult.REJECTED)
        self.turn(Send(t.id, "d"))
        self.assertEqual([a.number for a in self.sent], [0, 2])

    def test_an_unsafe_request_that_may_have_run_is_not_sent_again_and_not_refused(self) -> None:
        for result in (
            AttemptResult.ERROR,
            AttemptResult.RESET,
            AttemptResult.TIMEOUT,
            AttemptResult.CANCELLED,
        ):
            t = self.take("once")
            self.turn(Send(t.id, "n"))
            self.engine.attempt_ended(self.sent.pop(), result)
            self.turn(Send(t.id, "n"), Reject(t.id))
            self.assertEqual((self.sent, self.answers.pop().kind), ([], AnswerKind.FAILED))

    def test_what_a_module_leaves_open_or_breaks_on_is_answered(self) -> None:
        def broken(*_: Any) -> list[Action]:
            raise ValueError("no")

        self.engine.scheduler.handle = broken  # type: ignore[method-assign,assignment]
        self.take()
        self.turn()
        self.clock.run(3_000_000)
        self.assertEqual((self.logged[0], self.answers.pop().kind), ("module_error", AnswerKind.REJECTED))
        self.engine.scheduler.handle = self.handle  # type: ignore[method-assign]
        t = self.take()
        self.turn(Send(t.id, "n"))
        self.clock.run(5_000_000)
        self.assertEqual([why for _, why in self.stopped], [AttemptResult.TIMEOUT])
        self.assertEqual(self.answers.pop().kind, AnswerKind.FAILED)  # its attempt is still in flight
        self.engine.attempt_ended(self.sent[0], AttemptResult.TIMEOUT)
        self.assertEqual(len(self.engine.open_requests), 0)

    def test_a_break_proves_that_nothing_ran_only_before_the_last_byte_is_handed_over(self) -> None:
        for steps, want in (
            ("", AttemptResult.RESET),
            ("pause", AttemptResult.CONNECT_FAILED),
            ("pause resume", AttemptResult.RESET),
        ):
            transport = mock.Mock()
            pool = mock.Mock(
                clock=lambda: 0, host_line=b"", buffered_bytes=0, write_denial=lambda attempt: None
            )
            transport.is_closing.return_value = False
            conn = EndpointConnection(pool, ("h", 1))
            conn.attempt = mock.Mock(deadline_us=0, started_us=0)
            conn.attempt.request.incoming.payload = OutgoingRequest(b"PUT", b"/x", [], b"body")
            transport.writelines.side_effect = lambda _, c=conn, s=steps: s and c.pause_writing()
            conn.connection_made(transport)
            if "resume" in steps:
                conn.resume_writing()
            conn.connection_lost(None)
            self.assertEqual(pool.lifecycle.attempt_ended.call_args.args[1], want, steps)


if __name__ == "__main__":
    unittest.main()
