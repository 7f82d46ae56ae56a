"""Accepting clients' connections on one address, as far as there is room for them."""

import asyncio
import socket
from collections.abc import Iterator
from typing import Any

from umberlead.configuration import Address
from umberlead.net.client_connections import ClientConnection, ClientGroup
from umberlead.net.server_connection import RequestHandler, ServerConnection
from umberlead.resource_limits import LOCAL_RESOURCE_ERRNOS, surplus_connections

ACCEPT_BATCH_SIZE = 16  # connections accepted in a turn: a flood must not hold up those that are here
ACCEPT_RETRY_SECONDS = 0.02  # until what can't be accepted now is tried again
LISTEN_BACKLOG_SIZE = 1024


class Listener:
    """A listening socket that takes connections while there is room for them.

    The others wait with the system, where they cost no descriptor. With TCP_DEFER_ACCEPT those that send
    nothing stay there for a second.

    Attributes:
        address: the host and port it listens on.
        is_open: whether it takes connections.
        accepting: connections that were accepted and have no slot yet.
    """

    def __init__(
        self,
        handler: RequestHandler,
        clients: ClientGroup,
        address: Address,
        loop: asyncio.AbstractEventLoop,
        reuse_port: bool = False,
    ) -> None:
        """Listen on `address`, with `reuse_port` beside the process that replaces this one.

        Raises:
            OSError: the address can't be listened on.
        """
        self.handler, self.clients, self.loop = handler, clients, loop
        self.is_open, self.paused, self.accepting_count = True, False, 0
        self._backlog_since_us = 0  # since when connections wait with the system for more than a turn
        self.accept_tasks: dict[asyncio.Task[Any], ServerConnection] = {}  # of connections being accepted
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.bind(address)
        self._defer_accept(1)
        self.socket.listen(LISTEN_BACKLOG_SIZE)
        self.socket.setblocking(False)
        self.address: Address = self.socket.getsockname()[:2]
        loop.add_reader(self.socket, self._accept_batch)

    def _defer_accept(self, seconds: int) -> None:
        if hasattr(socket, "TCP_DEFER_ACCEPT"):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, seconds)

    def pending_count(self) -> int:
        """Count the connections that were accepted and have no slot yet."""
        return sum(conn.slot < 0 for conn in self.accept_tasks.values())

    def _excess_count(self) -> int:
        """Connections past the cap, with those being accepted and without those that were evicted."""
        return self.clients.count + self.pending_count() - self.clients.max_connections

    def _accept_batch(self) -> None:
        """Accept one turn's share of what waits: those that came before are read in between."""
        clients = self.clients
        if self._excess_count() >= 0:
            clients.on_capacity_shortage()
        evictable, excess = clients.evictable(), self._excess_count()
        max_excess = surplus_connections(
            clients.max_connections
        )  # for telling those at once that there is no room
        for accepted in range(min(max_excess, ACCEPT_BATCH_SIZE)):
            if (
                excess + clients.evicting_count >= max_excess
            ):  # an evicted one's descriptor is free a turn later
                if excess >= max_excess and not clients.evict(evictable):
                    self._pause()
                return
            try:
                sock, _ = self.socket.accept()
            except OSError as error:
                # A lack of descriptors is told though nobody may wait: behind others the next turn knows.
                return self._accept_failed(error, evictable, first=not accepted)
            self._connect(sock)
            excess += 1
            if excess > 0 and clients.evict(evictable):
                excess -= 1

    def _accept_failed(self, error: OSError, evictable: Iterator[ClientConnection], first: bool) -> None:
        """End a turn's accepts: nobody waits, the next turn goes on, or a pause is due."""
        if isinstance(error, BlockingIOError):
            self._backlog_since_us = 0
            return
        self._record_backlog()
        if not first or isinstance(error, InterruptedError | ConnectionAbortedError):
            return
        clients = self.clients
        clients.counters.add("accepts_failed")
        clients.log("accept_failed", why=str(error))
        if error.errno in LOCAL_RESOURCE_ERRNOS:  # what is held now must go first
            clients.evict(evictable)
        self.loop.call_later(ACCEPT_RETRY_SECONDS, self.resume)
        self._pause()

    def _connect(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.accepting_count += 1
        conn = ServerConnection(self.handler, self.clients)
        conn.backlog_since_us = self._backlog_since_us
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: conn, sock))
        self.accept_tasks[task] = conn
        task.add_done_callback(self._connected)

    def _connected(self, task: "asyncio.Task[Any]") -> None:
        del self.accept_tasks[task]
        self.accepting_count -= 1
        if not task.cancelled() and task.exception() is not None:  # it left before it was taken
            self.clients.counters.add("accepts_failed")

    def _record_backlog(self) -> None:
        self._backlog_since_us = self._backlog_since_us or self.clients.clock()

    def _pause(self) -> None:
        self._record_backlog()
        self.paused = True
        self.loop.remove_reader(self.socket)

    def resume(self) -> None:
        """Accept again after a pause for want of room."""
        if self.paused and self.is_open:
            self.paused = False
            self.loop.add_reader(self.socket, self._accept_batch)

    def disable_deferred_accept(self) -> None:
        """Take silent connections too: it will close, and the system's queue closes with it."""
        self._defer_accept(0)

    def close(self) -> None:
        """Accept what waits with the system, and close."""
        if self.is_open:
            self.is_open = False
            if not self.paused:
                self.loop.remove_reader(self.socket)
            self._accept_backlog()

    def _accept_backlog(self) -> None:
        """Accept what the system has accepted: closed on, it would be reset.

        Where there is no place for it now there will be, as replies end their connections; where none came,
        the surplus is told that there is no room.
        """
        clients, evictable, excess = self.clients, self.clients.evictable(), self._excess_count()
        max_excess = surplus_connections(clients.max_connections)
        limit = 0 if excess < 0 else max_excess
        try:
            while excess < limit and excess + clients.evicting_count < max_excess:
                self._connect(self.socket.accept()[0])
                excess += 1
        except BlockingIOError:
            return self.socket.close()
        except OSError:
            clients.counters.add("accepts_failed")
        for _ in range(excess):
            clients.evict(evictable)
        self.accepting_count += 1  # the process does not end meanwhile
        self.loop.call_later(ACCEPT_RETRY_SECONDS, self._retry_backlog)

    def _retry_backlog(self) -> None:
        self.accepting_count -= 1
        self._accept_backlog()
