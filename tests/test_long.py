"""Long answers, where the bounds of reads matter: they can't be told apart in a recorded exchange."""

import unittest
from typing import Any
from unittest import mock

from tests.helpers import T0
from umberlead.core.counters import Counters
from umberlead.core.engine import Attempt, Reply
from umberlead.core.interface import Result
from umberlead.core.wheel import Wheel
from umberlead.net.attempts import SLOW, STILL, NodeConnection, Outgoing
from umberlead.net.http import UNREAD, Clients, ServerConnection

BODY = b"x" * 70_000


class TestLongAnswers(unittest.TestCase):
    def setUp(self) -> None:
        self.now, self.ended = T0, []  # type: ignore[var-annotated]
        self.wheel = Wheel(lambda: self.now, lambda delay, fn: mock.Mock(), 1000)
        self.counters = Counters()
        self.clients = Clients(9, lambda: self.now, self.counters, 0, 1 << 20, print)
        handler = mock.Mock(body_most=0, dated=False, single=frozenset())
        self.client = ServerConnection(handler, self.clients)
        self.client.connection_made(self._transport())
        self.client.data_received(b"GET /a HTTP/1.1\r\n\r\n")
        pool = mock.Mock(
            held=0, memory=1 << 20, answer_most=1 << 20, head_most=4096, link_timeout=250_000,
            wheel=self.wheel, clock=lambda: self.now, counters=self.counters,
        )  # fmt: skip
        pool.engine.ended = self._ended
        self.node = NodeConnection(pool, ("127.0.0.1", 1))
        self.node.transport, self.node.written = self._transport(), True
        ask = mock.Mock(streams=True, payload=Outgoing(b"GET", b"/a", []))
        self.node.attempt = Attempt(mock.Mock(ask=ask, answered=False), 0, "n0", T0, T0 + 10**6)

    def _transport(self) -> Any:
        made = mock.Mock()
        made.is_closing.return_value = False
        made.get_extra_info.return_value = None
        made.get_write_buffer_size.return_value = 10
        return made

    def _ended(self, attempt: Attempt, result: Result, reply: Reply) -> None:
        self.ended.append(result)
        self.client.relay(200, reply.length, reply.body, reply.rest, self.ended.append)

    def _out(self) -> bytes:
        transport: Any = self.client.transport
        calls = transport.method_calls
        return b"".join(
            b"".join(c.args[0]) if c[0] == "writelines" else c.args[0]
            for c in calls
            if c[0] in ("write", "writelines")
        )

    def test_one_that_comes_in_one_read_ends_with_it(self) -> None:
        """Begun and whole in the same read, it stood open until it was cut off as silent."""
        self.node.data_received(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
        )
        self.assertEqual(self.ended, [Result.OK, True])
        head, _, body = self._out().partition(b"\r\n\r\n")
        self.assertEqual(head, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked")
        self.assertEqual(body, b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY))
        self.assertIsNone(self.node.sink)

    def test_one_of_no_told_length_that_comes_slowly_does_not_wait_for_64_kib(self) -> None:
        """Its first bytes are what is timed: waiting for so much took up to a second."""
        chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
        self.node.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)
        self.now += SLOW
        self.node.data_received(chunk)
        self.assertEqual(self.ended, [])
        self.now += 1000
        self.node.data_received(chunk)
        self.assertEqual(self.ended, [Result.OK])
        self.assertIn(b"c00\r\n" + b"x" * 3072, self._out())

    def test_a_reader_that_takes_its_time_stops_the_reading_and_is_not_cut_off(self) -> None:
        self.node.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n" + BODY)
        node: Any = self.node.transport
        self.client.pause_writing()
        node.pause_reading.assert_called_once()
        for _ in range(5):
            self.now += STILL - 1
            self.client.transport.get_write_buffer_size.return_value -= 1  # type: ignore[attr-defined]
            self.wheel.turn()
            self.clients.sweep()
        self.assertEqual(self.ended, [Result.OK])
        self.client.resume_writing()
        node.resume_reading.assert_called_once()
        self.node.data_received(BODY)
        self.assertEqual(self.ended, [Result.OK, True])

    def test_neither_side_may_stand_still_for_ever(self) -> None:
        transport: Any = self.client.transport
        self.node.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 140000\r\n\r\n" + BODY)
        self.client.pause_writing()
        self.clients.sweep()
        self.now += UNREAD
        self.clients.sweep()
        transport.abort.assert_called_once()
        self.client.resume_writing()
        self.now += STILL + 1000
        self.wheel.turn()
        self.assertEqual(self.ended, [Result.OK, False])


if __name__ == "__main__":
    unittest.main()
