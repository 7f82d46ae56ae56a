"""Handover between processes: shared state, connections in the backlog of the old one, manual drains."""

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
from umberlead.daemon.limits import LimitControl
from umberlead.daemon.shared_state_sync import SharedStateSync
from umberlead.handover.shared_state import SharedState
from umberlead.net.client_connections import ClientGroup
from umberlead.net.listener import Listener
from umberlead.requests.lifecycle import RequestLifecycle
from umberlead.resource_limits import divide_resources
from umberlead.scheduling.events import Endpoint, EndpointStatus, ManualDrain


class TestSharedState(unittest.TestCase):
    def test_manual_drains_pass_to_the_next_process_and_dead_processes_are_not_counted(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            old, new = SharedState(Path(folder) / "u"), SharedState(Path(folder) / "u")
            (Path(folder) / "u" / "fronts" / "killed").touch()
            self.assertEqual((old.count_siblings(), new.count_siblings()), (1, 1))
            old.set_drain_override("s/1", True)
            since = old.drain_overrides()["s/1"]
            new.set_drain_override("s/1", True)
            old.deregister()
            self.assertEqual((new.count_siblings(), new.drain_overrides()), (0, {"s/1": since}))
            new.set_drain_override("s/1", False)
            new.set_drain_override("s/1", False)
            self.assertEqual(new.drain_overrides(), {})
            new.deregister()

    def test_a_process_that_has_ended_leaves_no_entry_by_a_later_look_at_its_siblings(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder) / "u"
            ended = SharedState(root)
            ended.deregister()
            entries = sorted(path.name for path in (root / "fronts").iterdir())
            ended.count_siblings()
            self.assertEqual(sorted(path.name for path in (root / "fronts").iterdir()), entries)

    def test_manual_drains_hold_without_a_folder(self) -> None:
        for root in (None, Path("/dev/null/u")):
            alone = SharedState(root)
            alone.set_drain_override("s", True)
            self.assertEqual((list(alone.drain_overrides()), alone.count_siblings()), (["s"], 0))


class TestLimits(unittest.TestCase):
    def test_two_processes_share_the_limits_of_one_front(self) -> None:
        """Memory and descriptors are divided between them, and the older process has to release some."""
        front = mock.Mock(
            process_count=1,
            client_groups=[],
            admin_listeners=[],
            handlers=[],
            descriptors_in_use=4,
            memory_in_use_bytes=0,
            watched_lists=None,
        )
        front.start_times.to_local_clock = lambda name, told, now: told
        front.shared_state = mock.Mock(count_siblings=lambda: 1, drain_overrides=lambda: {"s": 5})
        front.config = mock.Mock(
            max_descriptors=400, memory_limit_bytes=80 << 20, keepalive_us=15_000_000, object_api=None
        )
        control = LimitControl(front)
        with mock.patch.object(control, "update_quota") as update_quota:
            SharedStateSync(front, control).sync()
        limits = divide_resources(200, 40 << 20, 4, 0)
        pool = front.pool
        self.assertEqual(
            (pool.buffer_limit_bytes, pool.max_response_bytes),
            (limits.response_bytes, limits.max_response_bytes),
        )
        update_quota.assert_called_once_with()
        front.lifecycle.set_manual_drain.assert_called_once_with("s", True, 5)


def _raise(error: OSError) -> Any:
    raise error


class TestClosingListener(unittest.TestCase):
    def test_connections_in_the_backlog_are_answered_by_the_process_that_closes(self) -> None:
        """Otherwise connections in the backlog of the closed listener are reset, and their requests lost."""
        asyncio.Runner(loop_factory=uvloop.new_event_loop).run(self._close())

    def test_a_failed_accept_does_not_affect_other_connections(self) -> None:
        """If a failed accept closed the listener, the connections behind it in the backlog would be reset."""
        for code in (errno.ECONNABORTED, errno.EMFILE):
            asyncio.Runner(loop_factory=uvloop.new_event_loop).run(self._close(code))

    async def _close(self, code: int = 0) -> None:
        loop = asyncio.get_running_loop()
        clients = ClientGroup(9, lambda: T0, Counters(), 0, 0, print)
        handler = mock.Mock(max_body_bytes=0, sends_date=False, singleton_headers=frozenset())
        handler.handle_request = lambda conn, _: conn.send_response(200, (), b"x")
        old = Listener(handler, clients, ("127.0.0.1", 0), loop, reuse_port=True)
        old.disable_deferred_accept()
        sockets = [socket.create_connection(old.address) for _ in range(3)]
        clients.close_after_response = True
        new = Listener(handler, clients, old.address, loop, reuse_port=True)
        if code:
            real = old.socket
            errors = [OSError(code, "")]
            old.socket = mock.Mock(wraps=real)
            old.socket.accept.side_effect = lambda: _raise(errors.pop()) if errors else real.accept()
        old.close()
        for sock in sockets:
            sock.setblocking(False)
            await loop.sock_sendall(sock, b"GET /a HTTP/1.1\r\n\r\n")
            got = b""
            while piece := await asyncio.wait_for(loop.sock_recv(sock, 1000), 5):
                got += piece
            self.assertRegex(got, rb"^HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx$")
            sock.close()
        new.close()


class TestManualDrain(unittest.TestCase):
    def test_a_manually_drained_endpoint_gets_nothing_whatever_the_list_says(self) -> None:
        h = head(T0, up("n0", 0))
        feed(h, T0, ManualDrain("n0", True, T0), ask("a"), nodes(up("n0", 0, T0)))
        self.assertEqual(
            (sends(feed(h, T0 + 1)), RequestLifecycle.endpoint_summary(mock.Mock(scheduler=h))), ([], (1, 1))
        )
        gone = Endpoint("n0", EndpointStatus.GONE, 0)
        feed(h, T0 + 2, nodes(gone, whole=False))
        self.assertEqual(sends(feed(h, T0 + 3, nodes(up("n0", 0, T0 + 3)))), [])
        self.assertEqual(sends(feed(h, T0 + 4, ManualDrain("n0", False, 0))), ["a"])

    def test_an_endpoint_put_back_is_in_slow_start_until_the_list_reports_its_start(self) -> None:
        """The endpoint restarted while it was drained, and the list reports its start seconds late."""
        h = head(
            T0, up("n0", 0), warm_up_us=10_000_000, slow_start_units=20.0, slow_start_window_us=3_000_000
        )
        feed(h, T0, ManualDrain("n0", True, T0))
        back = T0 + 5_000_000
        feed(h, back, ManualDrain("n0", False, 0))
        started = [h.directory.endpoints["n0"].endpoint.started_us]
        for told in (0, T0 + 3_000_000):
            feed(h, back + 1, nodes(up("n0", 0, told)))
            started.append(h.directory.endpoints["n0"].endpoint.started_us)
        self.assertEqual(started, [back, back, T0 + 3_000_000])
        self.assertEqual(sends(feed(h, back + 2, ask("a", back + 2))), ["a"])
        feed(h, back + 3, end("a"))


if __name__ == "__main__":
    unittest.main()
