"""The engine keeps the rules whatever the module says: one that says wrong things, a carrier of lists."""

import unittest
from typing import Any
from unittest import mock

from tests.test_parts import Alarm, Clock
from umberlead.common.counters import Counters
from umberlead.common.timer_wheel import Wheel
from umberlead.net.node_connection import NodeConnection
from umberlead.net.node_protocol import OutgoingRequest
from umberlead.requests.lifecycle import Engine
from umberlead.requests.types import Answer, Attempt, IncomingRequest, Kind
from umberlead.scheduling import interface as api
from umberlead.scheduling.interface import Effect, Result

SETTINGS = api.Settings(
    classes=(
        api.RequestClass("read", 300_000, 1_000_000),
        api.RequestClass("once", 300_000, 1_000_000, Effect.UNSAFE),
    ),
    plans=(api.Plan("p"),),
    max_attempts=3,
)


class TestEngine(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.calls = Clock(), list[Any]()
        self.sent, self.stopped = list[Attempt](), list[tuple[Attempt, Result]]()
        self.answers, self.says = list[Answer](), list[api.Action]()
        self.logged = list[str]()
        clock = self.clock
        wheel = Wheel(lambda: clock.now, lambda d, f: Alarm(clock, clock.now + d, f), 2000)
        self.engine = Engine(
            SETTINGS, 1, lambda: clock.now, wheel, self.calls.append, Counters(),
            lambda event, **_: self.logged.append(event),
        )  # fmt: skip
        self.engine.carrier = self
        self.engine.head.handle = self.handle  # type: ignore[method-assign]

    def start(self, attempt: Attempt) -> None:
        self.sent.append(attempt)

    def stop(self, attempt: Attempt, why: Result) -> None:
        self.stopped.append((attempt, why))

    def unwanted(self, attempt: Attempt) -> bool:
        return False

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        says, self.says = self.says, []
        return says

    def turn(self, *says: api.Action) -> None:
        """The module says so at its next batch."""
        self.says = list(says)
        if not self.calls:
            self.engine._post(api.Wake("x"))
        while self.calls:
            self.calls.pop(0)()

    def take(self, name: str = "read") -> Any:
        ask = IncomingRequest(name, "p", "v", None, 0, 1.0, self.clock.now + 1_000_000, None)
        return self.engine.take(ask, self.answers.append)

    def test_one_answer_whatever_comes_after_it(self) -> None:
        t = self.take()
        self.turn(api.Send(t.id, "n"))
        self.engine.ended(self.sent[0], Result.OK)
        self.turn(api.Refuse(t.id), api.Fail(t.id), api.Send(t.id, "n"))
        self.clock.run(5_000_000)
        self.assertEqual([a.kind for a in self.answers], [Kind.SERVED])
        self.assertEqual((len(self.sent), len(self.engine.tickets)), (1, 0))
        self.assertRaises(RuntimeError, self.engine.ended, self.sent[0], Result.OK)

    def test_never_two_attempts_at_once_nor_more_than_the_most(self) -> None:
        t = self.take()
        self.turn(api.Send(t.id, "a"), api.Send(t.id, "b"))
        self.assertEqual([a.node for a in self.sent], ["a"])
        self.engine.ended(self.sent[0], Result.FULL)
        self.turn(api.Send(t.id, "c"))
        self.engine.ended(self.sent[1], Result.FULL)
        self.turn(api.Send(t.id, "d"))
        self.assertEqual([a.number for a in self.sent], [0, 2])

    def test_an_unsafe_request_that_may_have_run_is_not_sent_again_and_not_refused(self) -> None:
        for result in (Result.ERROR, Result.RESET, Result.TIMEOUT, Result.CANCELLED):
            t = self.take("once")
            self.turn(api.Send(t.id, "n"))
            self.engine.ended(self.sent.pop(), result)
            self.turn(api.Send(t.id, "n"), api.Refuse(t.id))
            self.assertEqual((self.sent, self.answers.pop().kind), ([], Kind.FAILED))

    def test_what_a_module_leaves_open_or_breaks_on_is_answered(self) -> None:
        def broken(*_: Any) -> list[api.Action]:
            raise ValueError("no")

        self.engine.head.handle = broken  # type: ignore[method-assign,assignment]
        self.take()
        self.turn()
        self.clock.run(3_000_000)
        self.assertEqual((self.logged[0], self.answers.pop().kind), ("module_error", Kind.REFUSED))
        self.engine.head.handle = self.handle  # type: ignore[method-assign]
        t = self.take()
        self.turn(api.Send(t.id, "n"))
        self.clock.run(5_000_000)
        self.assertEqual([why for _, why in self.stopped], [Result.TIMEOUT])
        self.assertEqual(self.answers.pop().kind, Kind.FAILED)  # its attempt is still out
        self.engine.ended(self.sent[0], Result.TIMEOUT)
        self.assertEqual(len(self.engine.tickets), 0)

    def test_a_break_proves_that_nothing_ran_only_before_the_last_byte_is_handed_over(self) -> None:
        for steps, want in (("", Result.RESET), ("pause", Result.NO_LINK), ("pause resume", Result.RESET)):
            transport = mock.Mock()
            pool = mock.Mock(clock=lambda: 0, host_line=b"", held_bytes=0, may_write=lambda attempt: None)
            transport.is_closing.return_value = False
            conn = NodeConnection(pool, ("h", 1))
            conn.attempt = mock.Mock(give_up=0, sent=0)
            conn.attempt.ticket.ask.payload = OutgoingRequest(b"PUT", b"/x", [], b"body")
            transport.writelines.side_effect = lambda _, c=conn, s=steps: s and c.pause_writing()
            conn.connection_made(transport)
            if "resume" in steps:
                conn.resume_writing()
            conn.connection_lost(None)
            self.assertEqual(pool.engine.ended.call_args.args[1], want, steps)


if __name__ == "__main__":
    unittest.main()
