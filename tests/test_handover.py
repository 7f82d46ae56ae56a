"""One process replaces another: what they share, who takes what waits, and nodes taken out by hand."""

import asyncio
import errno
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import uvloop

from tests.helpers import T0, ask, end, feed, head, nodes, sends, up
from umberlead.common.counters import Counters
from umberlead.front import Front
from umberlead.handover.shared_state import SharedState
from umberlead.net.client_connections import Clients
from umberlead.net.listener import Listener
from umberlead.requests.lifecycle import Engine
from umberlead.resource_limits import deal
from umberlead.scheduling import interface as api


class TestShared(unittest.TestCase):
    def test_marks_pass_from_one_process_to_the_next_and_the_dead_are_not_counted(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            old, new = SharedState(Path(folder) / "u"), SharedState(Path(folder) / "u")
            (Path(folder) / "u" / "fronts" / "killed").touch()
            self.assertEqual((old.others(), new.others()), (1, 1))
            old.override("s/1", True)
            since = old.overrides()["s/1"]
            new.override("s/1", True)
            old.leave()
            self.assertEqual((new.others(), new.overrides()), (0, {"s/1": since}))
            new.override("s/1", False)
            new.override("s/1", False)
            self.assertEqual(new.overrides(), {})
            new.leave()

    def test_without_a_folder_marks_still_hold(self) -> None:
        for root in (None, Path("/dev/null/u")):
            alone = SharedState(root)
            alone.override("s", True)
            self.assertEqual((list(alone.overrides()), alone.others()), (["s"], 0))


class TestLimits(unittest.TestCase):
    def test_two_processes_have_one_front_s_limits_between_them(self) -> None:
        """Their memory and descriptors count together, and the one that is there must make room."""
        front = mock.Mock(processes=1, marks={}, groups=[], doors=[], handlers=[], held=(4, 0), lists=None)
        front.start_times.local = lambda name, told, now: told
        front.shared = mock.Mock(others=lambda: 1, overrides=lambda: {"s": 5})
        front.conf = mock.Mock(sockets=400, memory=80 << 20, keepalive=15_000_000, objects=None)
        front.limit = lambda: Front.limit(front)
        Front.look(front)
        of = deal(200, 40 << 20, 4, 0)
        pool = front.pool
        self.assertEqual((pool.memory_limit_bytes, pool.max_reply_bytes), (of.answers, of.answer))
        front.divide.assert_called_once_with()
        front.engine.by_hand.assert_called_once_with("s", True, 5)


def _raise(fault: OSError) -> Any:
    raise fault


class TestClosing(unittest.TestCase):
    def test_what_the_system_has_accepted_is_answered_by_the_one_that_closes(self) -> None:
        """Closed with its listener, a connection that waits is reset, and its request lost."""
        asyncio.Runner(loop_factory=uvloop.new_event_loop).run(self._close())

    def test_one_that_left_or_a_lack_of_descriptors_costs_the_others_nothing(self) -> None:
        """The first fault of an accept closed the listener, and what waited behind was reset."""
        for fault in (errno.ECONNABORTED, errno.EMFILE):
            asyncio.Runner(loop_factory=uvloop.new_event_loop).run(self._close(fault))

    async def _close(self, fault: int = 0) -> None:
        loop = asyncio.get_running_loop()
        clients = Clients(9, lambda: T0, Counters(), 0, 0, print)
        handler = mock.Mock(max_body_bytes=0, sends_date=False, singleton_headers=frozenset())
        handler.request = lambda conn, _: conn.reply(200, (), b"x")
        old = Listener(handler, clients, ("127.0.0.1", 0), loop, reuse_port=True)
        old.accept_without_delay()
        came = [socket.create_connection(old.address) for _ in range(3)]
        clients.close_after_reply = True
        new = Listener(handler, clients, old.address, loop, reuse_port=True)
        if fault:
            real = old.socket
            faults = [OSError(fault, "")]
            old.socket = mock.Mock(wraps=real)
            old.socket.accept.side_effect = lambda: _raise(faults.pop()) if faults else real.accept()
        old.close()
        for sock in came:
            sock.setblocking(False)
            await loop.sock_sendall(sock, b"GET /a HTTP/1.1\r\n\r\n")
            got = b""
            while piece := await asyncio.wait_for(loop.sock_recv(sock, 1000), 5):
                got += piece
            self.assertRegex(got, rb"^HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx$")
            sock.close()
        new.close()


class TestByHand(unittest.TestCase):
    def test_out_by_hand_a_node_gets_nothing_whatever_the_list_says(self) -> None:
        h = head(T0, up("n0", 0))
        feed(h, T0, api.ByHand("n0", True, T0), ask("a"), nodes(up("n0", 0, T0)))
        self.assertEqual((sends(feed(h, T0 + 1)), Engine.pool(mock.Mock(head=h))), ([], (1, 1)))
        gone = api.Node("n0", api.NodeState.GONE, 0)
        feed(h, T0 + 2, nodes(gone, whole=False))
        self.assertEqual(sends(feed(h, T0 + 3, nodes(up("n0", 0, T0 + 3)))), [])
        self.assertEqual(sends(feed(h, T0 + 4, api.ByHand("n0", False, 0))), ["a"])

    def test_put_back_it_is_cold_until_the_list_tells_of_its_start(self) -> None:
        """It was restarted while it was out, and the list tells so seconds late."""
        h = head(T0, up("n0", 0), warm_up=10_000_000, cold_units=20.0, cold_window=3_000_000)
        feed(h, T0, api.ByHand("n0", True, T0))
        back = T0 + 5_000_000
        feed(h, back, api.ByHand("n0", False, 0))
        started = [h.nodes["n0"].info.started]
        for told in (0, T0 + 3_000_000):
            feed(h, back + 1, nodes(up("n0", 0, told)))
            started.append(h.nodes["n0"].info.started)
        self.assertEqual(started, [back, back, T0 + 3_000_000])
        self.assertEqual(sends(feed(h, back + 2, ask("a", back + 2))), ["a"])
        feed(h, back + 3, end("a"))


if __name__ == "__main__":
    unittest.main()
